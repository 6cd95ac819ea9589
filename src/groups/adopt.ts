/**
 * Takes over groups that members report and this leader did not form: those of an earlier leader, or of an order that was carried out
 * late. A whole one goes on as it is; of any other the rest is ended, so that its head cannot open without its members.
 *
 * @module
 */

import { isStandby, type ReportedGroup, reportedGroups } from "../fleet/index.js";
import type { GroupsView, PlannedGroup } from "./types.js";

function adopted(reported: ReportedGroup, view: GroupsView): PlannedGroup {
    const size = view.engine.models.find(model => model.name === reported.model)?.size;
    const known = reported.members.filter(member => member !== undefined);
    const isWhole = size !== undefined && known.length === size && reported.members.length === size &&
        known.every(member => member.group!.epoch === reported.epoch && member.group!.state !== "broken");
    const headState = reported.members[0]?.group?.state;
    const length = Math.max(size ?? 0, reported.members.length);
    const phase = !isWhole || headState === "closing" ? "ending" : headState === "open" ? "open" : "forming";
    return {
        name: reported.name,
        epoch: reported.epoch,
        model: reported.model,
        domain: known[0]?.domain ?? "",
        memberIds: Array.from({ length }, (_, rank) => reported.members[rank]?.id ?? ""),
        bornMs: Array.from({ length }, (_, rank) => reported.members[rank]?.bornMs ?? 0),
        phase,
        sinceMs: view.nowMs,
        isGentle: false,
    };
}

/**
 * Groups that upstreams report and that are not in `groups`, also where this leader has planned otherwise for some of their members: a
 * leader before it, cut off, may have formed them since. A member alone is taken over as well and has to leave: its head may serve on, out
 * of this leader's reach. Only where this leader itself has seen the group end are its members free at once.
 */
export function adoptGroups(groups: ReadonlyMap<string, PlannedGroup>, overNames: ReadonlySet<string>, view: GroupsView): PlannedGroup[] {
    const strays = [...view.upstreams.values()].filter(upstream => upstream.group !== undefined && !groups.has(upstream.group.name));
    return [...reportedGroups(strays).values()]
        .filter(reported => !isStandby(reported.name) && !overNames.has(reported.name))
        .map(reported => adopted(reported, view));
}
