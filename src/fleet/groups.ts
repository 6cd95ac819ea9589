/**
 * Groups as reported by their members: which upstreams are in which group, and which groups are complete.
 *
 * @module
 */

import type { Upstream } from "./types.js";

/** A group assembled from the reports of its members. */
export interface ReportedGroup {
    readonly name: string;
    readonly epoch: number;
    readonly model: string;
    /** By rank; undefined where no member of that rank reports this group and epoch. */
    readonly members: readonly (Upstream | undefined)[];
}

/** Returns the name of a group. It contains the model, so that the reader of a report needs no lookup table. */
export function groupNameOf(model: string, epoch: number): string {
    return `${model}/${epoch}`;
}

/** Precedes the epoch in the name of a standby group. */
const standbyPrefix = "standby-";

/** Returns the name of a standby group: a group of one VM that never serves and keeps the model's weights on a spare's accelerator. */
export function standbyNameOf(model: string, epoch: number): string {
    return `${model}/${standbyPrefix}${epoch}`;
}

export function isStandby(groupName: string): boolean {
    return groupName.slice(groupName.lastIndexOf("/") + 1).startsWith(standbyPrefix);
}

export function modelOfGroup(name: string): string {
    return name.slice(0, Math.max(0, name.lastIndexOf("/")));
}

/** Returns all groups that are reported by `upstreams` which are not gone, by name. */
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
