/**
 * Adopts groups that members report and that this leader did not form: groups of an earlier leader, or of an order that was executed
 * late. A complete group is kept as it is; an incomplete one is ended, so that its head cannot open without its members. A group that this
 * leader has seen end is ended once more if its head reports it again.
 *
 * @module
 */

import { isStandby, type ReportedGroup, reportedGroups } from "../fleet/index.js";
import type { GroupsView, PlannedGroup } from "./types.js";

function toPlannedGroup(reported: ReportedGroup, hasEnded: boolean, view: GroupsView): PlannedGroup {
    const size = view.engine.models.find(model => model.name === reported.model)?.size;
    const reportingMembers = reported.members.filter(member => member !== undefined);
    const isComplete = size !== undefined && reportingMembers.length === size && reported.members.length === size &&
        reportingMembers.every(member => member.group!.epoch === reported.epoch && member.group!.state !== "broken");
    const headState = reported.members[0]?.group?.state;
    const length = Math.max(size ?? 0, reported.members.length);
    const phase = hasEnded || !isComplete || headState === "closing" ? "ending" : headState === "open" ? "open" : "forming";
    return {
        name: reported.name,
        epoch: reported.epoch,
        model: reported.model,
        domain: reportingMembers[0]?.domain ?? "",
        memberIds: Array.from({ length }, (_, rank) => reported.members[rank]?.id ?? ""),
        bornMs: Array.from({ length }, (_, rank) => reported.members[rank]?.bornMs ?? 0),
        phase,
        sinceMs: view.nowMs,
        isGraceful: false,
    };
}

/**
 * Returns the groups that upstreams report and that are missing from `groups`, even if this leader has other plans for some of their
 * members: an earlier leader that is partitioned from this one may have formed them since. A group with a single known member is adopted
 * too, and the member has to leave it: the head may still serve, out of this leader's reach. Members are free at once only if this leader
 * has seen the group end and its head does not report it again: the head may have carried out late orders to join and to open it.
 */
export function adoptGroups(
    groups: ReadonlyMap<string, PlannedGroup>, endedGroupNames: ReadonlySet<string>, view: GroupsView,
): PlannedGroup[] {
    const unknownGroupMembers = [...view.upstreams.values()]
        .filter(upstream => upstream.group !== undefined && !groups.has(upstream.group.name));
    return [...reportedGroups(unknownGroupMembers).values()]
        .filter(({ name, members }) => !isStandby(name) && (!endedGroupNames.has(name) || members[0] !== undefined))
        .map(reported => toPlannedGroup(reported, endedGroupNames.has(reported.name), view));
}
