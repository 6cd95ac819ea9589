/**
 * Groups as their members report them: who is in which group, and which groups are whole.
 *
 * @module
 */

import type { Upstream } from "./types.js";

/** A group put together from the reports of its members. */
export interface ReportedGroup {
    readonly name: string;
    readonly epoch: number;
    readonly model: string;
    /** By rank; undefined where no member of that rank reports this group and epoch. */
    readonly members: readonly (Upstream | undefined)[];
}

/** The name of a group says which model it serves, so that whoever reads a report knows without a table. */
export function groupNameOf(model: string, epoch: number): string {
    return `${model}/${epoch}`;
}

/** What stands between the model and the epoch in the name of a standby. */
const standbyMark = "standby-";

/** The name of a group of one VM that never serves: joining it keeps the model's weights on the accelerator of a spare. */
export function standbyNameOf(model: string, epoch: number): string {
    return `${model}/${standbyMark}${epoch}`;
}

export function isStandby(groupName: string): boolean {
    return groupName.slice(groupName.lastIndexOf("/") + 1).startsWith(standbyMark);
}

export function modelOfGroup(name: string): string {
    return name.slice(0, Math.max(0, name.lastIndexOf("/")));
}

/** All groups that living upstreams of `service` report, by name. */
export function reportedGroups(upstreams: Iterable<Upstream>): Map<string, ReportedGroup> {
    const groups = new Map<string, { name: string; epoch: number; model: string; members: (Upstream | undefined)[] }>();
    for (const upstream of upstreams) {
        const { group } = upstream;
        if (upstream.isGone || group === undefined) {
            continue;
        }
        const known = groups.get(group.name) ?? { name: group.name, epoch: group.epoch, model: modelOfGroup(group.name), members: [] };
        known.members[group.rank] = upstream;
        groups.set(group.name, known);
    }
    return groups;
}
