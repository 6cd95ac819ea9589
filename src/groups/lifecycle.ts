/**
 * Advances each group through its phases based on the reports of its members: opens a group whose members are all ready, ends a group that
 * has lost a member, and releases the members of a group that has ended.
 *
 * Invariants: a head is ordered to open only after every member has been seen ready in this group and epoch; a member is assigned to
 * another group only after the head has left the group for good or the head's process has ended, or after the member itself has left.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { GroupsView, AddressedOrder, PlannedGroup } from "./types.js";

/** A group that has not formed within twice the longest load plus this margin, which covers lost orders, is ended. */
const formingMarginMs = 8_000;

export interface GroupUpdate {
    /** Undefined if the group has ended and its members are free. */
    readonly group: PlannedGroup | undefined;
    /** The group was dropped although its head was not seen leaving it. The head may reappear and still be in the group. */
    readonly mayReappear?: boolean;
    readonly orders: readonly AddressedOrder[];
    /** Why the phase changes, if it does. */
    readonly reason: string;
}

type Members = readonly (Upstream | undefined)[];

function isMemberOf(upstream: Upstream | undefined, group: PlannedGroup): boolean {
    return upstream?.group?.name === group.name && upstream.group.epoch === group.epoch;
}

/** Returns why a group cannot continue, or undefined if it can. */
function findBreakReason(group: PlannedGroup, members: Members, view: GroupsView): string | undefined {
    for (const [rank, member] of members.entries()) {
        const id = group.memberIds[rank]!;
        if (member === undefined || view.isRefusing(id) || view.hasIncarnationEnded(id)) {
            return `member ${id} is gone`;
        }
        if (member.bornMs !== group.bornMs[rank]) {
            return `member ${id} has started again`;
        }
        if (view.unansweredOrders.mayJoinAfter(id, member.bornMs, group.epoch)) {
            return `member ${id} may still join a later group`;
        }
        // The member may be unreachable only for this leader; progress of callers' requests shows that it still works.
        if (view.isLost(id) && !view.isMakingProgress(group.memberIds[0]!, id)) {
            return `member ${id} does not answer`;
        }
        if (isMemberOf(member, group) && member.group!.state === "broken") {
            return `member ${id} reports that it is broken`;
        }
        if (group.phase === "open" && !isMemberOf(member, group) && member.heardAtMs > group.sinceMs) {
            return `member ${id} is in it no more`;
        }
    }
    return undefined;
}

function memberOrder(group: PlannedGroup, rank: number, kind: "open" | "leave", reason: string): AddressedOrder {
    return { upstreamId: group.memberIds[rank]!, order: { kind, group: group.name, epoch: group.epoch }, reason };
}

function closeHeadOrder(group: PlannedGroup, reason: string): AddressedOrder {
    const running = group.isGraceful ? "finish" : "stop";
    return { upstreamId: group.memberIds[0]!, order: { kind: "close", group: group.name, epoch: group.epoch, running }, reason };
}

/** Starts ending a group. */
export function endGroup(group: PlannedGroup, view: GroupsView, reason: string, isGraceful: boolean): GroupUpdate {
    const ending: PlannedGroup = { ...group, phase: "ending", sinceMs: view.nowMs, isGraceful };
    return advanceEnding(ending, membersOf(ending, view), view, reason);
}

export function membersOf(group: PlannedGroup, view: GroupsView): Members {
    return group.memberIds.map(id => view.upstreams.get(id));
}

/** Whether a member has reported since the group began to end, and is not in it. */
function isOut(group: PlannedGroup, member: Upstream | undefined, view: GroupsView): boolean {
    return member !== undefined && !view.isLost(member.id) && member.heardAtMs > group.sinceMs && !isMemberOf(member, group);
}

/** Until when a member that is out of the group may still join it. */
function mayJoinUntilMs(group: PlannedGroup, rank: number, view: GroupsView): number {
    return view.unansweredOrders.mayJoinUntilMs(group.memberIds[rank]!, group.bornMs[rank]!, group.name) ?? Number.NEGATIVE_INFINITY;
}

/**
 * Whether a member can't be in the group any more: it is out of it and carries out no late order to join it, or its process has ended. That
 * holds for a head that was never told to open as well: once it joins, a later leader would find the group ready and open it. An engine
 * rejects a late order once it is in a later group. A refused connection proves nothing: something on the path may refuse connections to an
 * engine that others can reach and that still serves.
 */
function isReleased(group: PlannedGroup, rank: number, member: Upstream | undefined, view: GroupsView): boolean {
    const id = group.memberIds[rank]!;
    const bornMs = group.bornMs[rank]!;
    if (view.hasIncarnationEnded(id) || (member !== undefined && member.bornMs !== bornMs)) {
        return true;
    }
    const isInLaterGroup = (member?.group?.epoch ?? 0) > group.epoch;
    return isOut(group, member, view) && (isInLaterGroup || member!.heardAtMs > mayJoinUntilMs(group, rank, view));
}

function advanceEnding(group: PlannedGroup, members: Members, view: GroupsView, reason: string): GroupUpdate {
    const head = members[0];
    const headId = group.memberIds[0]!;
    if (headId !== "" && isReleased(group, 0, head, view)) {
        return { group: undefined, orders: [], reason: "its head is out" };
    }
    if (head !== undefined && !view.isLost(headId) && !isOut(group, head, view)) {
        const isServing = isMemberOf(head, group) && (head.group!.state === "open" || head.group!.state === "closing");
        if (isServing && group.isGraceful) {
            return { group, orders: [closeHeadOrder(group, reason)], reason };
        }
        // Without one of its members the head makes no progress. Its requests can only continue elsewhere, so they are stopped at once.
        return { group, orders: isMemberOf(head, group) ? [memberOrder(group, 0, "leave", reason)] : [], reason };
    }
    return releaseMembers(group, members, view, reason);
}

/**
 * Ends a group whose head is unreachable or unknown, or may join it again. The head may be unreachable only for this leader and still
 * serve, so each member has to leave before it is free; an unreachable member stays assigned until it reports again or its process has
 * ended. A group with only its head left, whose address refuses connections, is dropped: the head has no member left to serve with. Since
 * something on the path may be refusing the connections, the head has to leave the group as well if it reappears.
 */
function releaseMembers(group: PlannedGroup, members: Members, view: GroupsView, reason: string): GroupUpdate {
    const orders: AddressedOrder[] = [];
    const memberIds = group.memberIds.map((id, rank) => {
        if (rank === 0 || id === "") {
            return id;
        }
        const member = members[rank];
        if (isMemberOf(member, group) && !view.isLost(id)) {
            orders.push(memberOrder(group, rank, "leave", reason));
        }
        return isReleased(group, rank, member, view) ? "" : id;
    });
    const unreleased = memberIds.filter(id => id !== "");
    const isOver = unreleased.length === 0 ||
        (unreleased.length === 1 && unreleased[0] === memberIds[0] && view.isRefusing(unreleased[0]!));
    return { group: isOver ? undefined : { ...group, memberIds }, mayReappear: isOver, orders, reason };
}

function advanceForming(group: PlannedGroup, members: Members, view: GroupsView): GroupUpdate {
    const isReady = members.every((member, rank) => isMemberOf(member, group) && member!.group!.rank === rank && member!.group!.state === "ready");
    if (isReady) {
        return { group: { ...group, phase: "open", sinceMs: view.nowMs }, orders: [memberOrder(group, 0, "open", "every member is ready")], reason: "every member is ready" };
    }
    const { models } = view.engine;
    const loadMs = Math.max(0, ...models.map(model => model.loadMs));
    if (view.nowMs - group.sinceMs > 2 * loadMs + formingMarginMs) {
        return endGroup(group, view, "its members were not ready in time", false);
    }
    const orders = members.flatMap((member, rank): AddressedOrder[] => isMemberOf(member, group)
        ? []
        : [{
                upstreamId: group.memberIds[rank]!,
                order: { kind: "join", group: group.name, epoch: group.epoch, model: group.model, memberIds: group.memberIds },
                reason: "forming",
            }]);
    return { group, orders, reason: "forming" };
}

/** Advances one group by one planning step. */
export function advanceGroup(group: PlannedGroup, view: GroupsView): GroupUpdate {
    const members = membersOf(group, view);
    if (group.phase === "ending") {
        return advanceEnding(group, members, view, "ending");
    }
    const breakReason = findBreakReason(group, members, view);
    if (breakReason !== undefined) {
        return endGroup(group, view, breakReason, false);
    }
    const draining = members.find(member => member?.state === "draining");
    if (draining !== undefined) {
        return endGroup(group, view, `member ${draining.id} is draining`, true);
    }
    if (group.phase === "forming") {
        return advanceForming(group, members, view);
    }
    const head = members[0]!;
    const isServing = isMemberOf(head, group) && head.group!.state === "open";
    return { group, orders: isServing ? [] : [memberOrder(group, 0, "open", "the head has not opened yet")], reason: "open" };
}
