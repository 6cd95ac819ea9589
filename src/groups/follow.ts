/**
 * Follows each group through its phases by what the members report: opens one that is complete, ends one that has lost a member, and
 * lets go of the members of one that has ended.
 *
 * Invariants: a head is told to open only after every member has been seen ready in this group and epoch; members of a group are
 * given to another only once its head is out of it or its life is over, or they have left it themselves.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { GroupsView, OrderTo, PlannedGroup } from "./types.js";

/** A group that has not come together by then is given up: twice the longest load, and time for orders that were lost. */
const formingMarginMs = 8_000;

export interface Followed {
    /** Undefined: the group is over and its members are free. */
    readonly group: PlannedGroup | undefined;
    /** The group is let go though its head was not seen to leave it: it may be heard again and still be in it. */
    readonly mayReturn?: boolean;
    readonly orders: readonly OrderTo[];
    /** Why, where the phase changes. */
    readonly reason: string;
}

type Members = readonly (Upstream | undefined)[];

function isIn(upstream: Upstream | undefined, group: PlannedGroup): boolean {
    return upstream?.group?.name === group.name && upstream.group.epoch === group.epoch;
}

/** Why a group cannot go on; undefined while it can. */
function whyBroken(group: PlannedGroup, members: Members, view: GroupsView): string | undefined {
    for (const [rank, member] of members.entries()) {
        const id = group.memberIds[rank]!;
        if (member === undefined || view.isRefusing(id) || view.isLifeOver(id)) {
            return `member ${id} is gone`;
        }
        if (member.bornMs !== group.bornMs[rank]) {
            return `member ${id} has started again`;
        }
        // A member that this leader can't reach may be cut off from it alone; what callers get shows whether it works.
        if (view.isLost(id) && !view.isMoving(group.memberIds[0]!, id)) {
            return `member ${id} does not answer`;
        }
        if (isIn(member, group) && member.group!.state === "broken") {
            return `member ${id} reports that it is broken`;
        }
        if (group.phase === "open" && !isIn(member, group) && member.heardAtMs > group.sinceMs) {
            return `member ${id} is in it no more`;
        }
    }
    return undefined;
}

function order(group: PlannedGroup, rank: number, kind: "open" | "leave", reason: string): OrderTo {
    return { upstreamId: group.memberIds[rank]!, order: { kind, group: group.name, epoch: group.epoch }, reason };
}

function closeHead(group: PlannedGroup, reason: string): OrderTo {
    const running = group.isGentle ? "finish" : "stop";
    return { upstreamId: group.memberIds[0]!, order: { kind: "close", group: group.name, epoch: group.epoch, running }, reason };
}

/** Starts to end a group. */
export function endGroup(group: PlannedGroup, view: GroupsView, reason: string, isGentle: boolean): Followed {
    const ending: PlannedGroup = { ...group, phase: "ending", sinceMs: view.nowMs, isGentle };
    return followEnding(ending, membersOf(ending, view), view, reason);
}

export function membersOf(group: PlannedGroup, view: GroupsView): Members {
    return group.memberIds.map(id => view.upstreams.get(id));
}

/**
 * Whether this member has been heard since the group began to end and is in it no more, or its life is over. That nothing listens at its
 * address proves nothing: something between may refuse connections to an engine that others reach and that serves on.
 */
function isOut(group: PlannedGroup, rank: number, member: Upstream | undefined, view: GroupsView): boolean {
    const id = group.memberIds[rank]!;
    if (view.isLifeOver(id) || (member !== undefined && member.bornMs !== group.bornMs[rank])) {
        return true;
    }
    return member !== undefined && !view.isLost(id) && member.heardAtMs > group.sinceMs && !isIn(member, group);
}

function followEnding(group: PlannedGroup, members: Members, view: GroupsView, reason: string): Followed {
    const head = members[0];
    const headId = group.memberIds[0]!;
    if (headId !== "" && isOut(group, 0, head, view)) {
        return { group: undefined, orders: [], reason: "its head is out" };
    }
    if (head !== undefined && !view.isLost(headId)) {
        const serves = isIn(head, group) && (head.group!.state === "open" || head.group!.state === "closing");
        if (serves && group.isGentle) {
            return { group, orders: [closeHead(group, reason)], reason };
        }
        // Without a member nothing moves at the head: what runs there can only be taken up elsewhere, so it is cut short at once.
        return { group, orders: isIn(head, group) ? [order(group, 0, "leave", reason)] : [], reason };
    }
    return releaseMembers(group, members, view, reason);
}

/**
 * Ends a group whose head can't be asked. It may serve on, cut off from this leader alone, so each member has to leave before it is free;
 * one that is out of reach as well stays bound until it is heard again or its life is over. A head alone, at whose address nothing listens,
 * is let go: it has no member left to serve with. What refuses may stand between, so it has to leave as well when it is heard again.
 */
function releaseMembers(group: PlannedGroup, members: Members, view: GroupsView, reason: string): Followed {
    const orders: OrderTo[] = [];
    const memberIds = group.memberIds.map((id, rank) => {
        if (rank === 0 || id === "") {
            return id;
        }
        const member = members[rank];
        if (isIn(member, group) && !view.isLost(id)) {
            orders.push(order(group, rank, "leave", reason));
        }
        return isOut(group, rank, member, view) ? "" : id;
    });
    const left = memberIds.filter(id => id !== "");
    const isOver = left.length === 0 || (left.length === 1 && left[0] === memberIds[0] && view.isRefusing(left[0]!));
    return { group: isOver ? undefined : { ...group, memberIds }, mayReturn: isOver, orders, reason };
}

function followForming(group: PlannedGroup, members: Members, view: GroupsView): Followed {
    const isReady = members.every((member, rank) => isIn(member, group) && member!.group!.rank === rank && member!.group!.state === "ready");
    if (isReady) {
        return { group: { ...group, phase: "open", sinceMs: view.nowMs }, orders: [order(group, 0, "open", "every member is ready")], reason: "every member is ready" };
    }
    const { models } = view.engine;
    const loadMs = Math.max(0, ...models.map(model => model.loadMs));
    if (view.nowMs - group.sinceMs > 2 * loadMs + formingMarginMs) {
        return endGroup(group, view, "it did not come together in time", false);
    }
    const orders = members.flatMap((member, rank): OrderTo[] => isIn(member, group)
        ? []
        : [{
                upstreamId: group.memberIds[rank]!,
                order: { kind: "join", group: group.name, epoch: group.epoch, model: group.model, memberIds: group.memberIds },
                reason: "forming",
            }]);
    return { group, orders, reason: "forming" };
}

/** One step of one group. */
export function followGroup(group: PlannedGroup, view: GroupsView): Followed {
    const members = membersOf(group, view);
    if (group.phase === "ending") {
        return followEnding(group, members, view, "ending");
    }
    const broken = whyBroken(group, members, view);
    if (broken !== undefined) {
        return endGroup(group, view, broken, false);
    }
    const leaving = members.find(member => member?.state === "draining");
    if (leaving !== undefined) {
        return endGroup(group, view, `member ${leaving.id} leaves`, true);
    }
    if (group.phase === "forming") {
        return followForming(group, members, view);
    }
    const head = members[0]!;
    const isServing = isIn(head, group) && head.group!.state === "open";
    return { group, orders: isServing ? [] : [order(group, 0, "open", "the head has not opened yet")], reason: "open" };
}
