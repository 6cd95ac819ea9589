/**
 * The groups of one planning step, indexed by name, domain and member. The indexes are updated with every change, so that looking up a
 * domain's groups or a VM's membership doesn't scan all groups.
 *
 * @module
 */

import type { PlannedGroup } from "./types.js";

export interface GroupTable {
    /** By name. */
    readonly groups: ReadonlyMap<string, PlannedGroup>;
    groupsInDomain(domain: string): readonly PlannedGroup[];
    /** Whether a VM is a member of at least one group. */
    isInGroup(upstreamId: string): boolean;
    /** Adds a group or replaces the one of the same name. */
    put(group: PlannedGroup): void;
    remove(name: string): void;
}

export function createGroupTable(initial: ReadonlyMap<string, PlannedGroup>): GroupTable {
    const groups = new Map<string, PlannedGroup>();
    const byDomain = new Map<string, Map<string, PlannedGroup>>();
    /** Number of groups per member, by upstream id. It can exceed one, since adopted groups may overlap. */
    const membershipCounts = new Map<string, number>();

    function adjustMembershipCounts(group: PlannedGroup, delta: 1 | -1) {
        group.memberIds.forEach(id => membershipCounts.set(id, (membershipCounts.get(id) ?? 0) + delta));
    }

    function remove(name: string) {
        const group = groups.get(name);
        if (group !== undefined) {
            groups.delete(name);
            byDomain.get(group.domain)!.delete(name);
            adjustMembershipCounts(group, -1);
        }
    }

    function put(group: PlannedGroup) {
        const previous = groups.get(group.name);
        if (previous === group) {
            return;
        }
        if (previous !== undefined) {
            byDomain.get(previous.domain)!.delete(previous.name);
            adjustMembershipCounts(previous, -1);
        }
        groups.set(group.name, group);
        const domainGroups = byDomain.get(group.domain) ?? new Map<string, PlannedGroup>();
        byDomain.set(group.domain, domainGroups.set(group.name, group));
        adjustMembershipCounts(group, 1);
    }

    initial.forEach(put);
    return {
        groups,
        groupsInDomain: domain => [...byDomain.get(domain)?.values() ?? []],
        isInGroup: upstreamId => (membershipCounts.get(upstreamId) ?? 0) > 0,
        put,
        remove,
    };
}
