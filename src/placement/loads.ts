/**
 * Limits concurrent loads from the weight store. The region has a single, rate-limited store, and if every VM loaded at the same time,
 * none would finish soon. Members of the replica with the fewest pending loads come first, spares last.
 *
 * @module
 */

import type { VmHealth } from "./health.js";
import type { Lookup } from "./overlay.js";
import { isPresent } from "./domain.js";
import type { LoadRequest } from "./state.js";

/** The default number of VMs in the region that may load weights from the store concurrently. */
export const defaultMaxConcurrentLoads = 8;
/** A load that takes longer is considered stuck, and its slot is granted to another VM. */
export const loadTimeoutMs = 600_000;

/** Returns the loads that are allowed now, with their start times, and the VMs whose loads are newly granted. */
export function grantLoads(
    loads: ReadonlyMap<string, number>,
    requests: readonly LoadRequest[],
    healths: Lookup<VmHealth>,
    maxConcurrentLoads: number,
    nowMs: number,
): { loads: ReadonlyMap<string, number>; granted: readonly string[] } {
    if (loads.size === 0 && requests.length === 0) {
        return { loads, granted: [] };
    }
    const requestedVmIds = new Set(requests.map(({ vmId }) => vmId));
    const inProgress = [...loads]
        .filter(([vmId, atMs]) => requestedVmIds.has(vmId) && isPresent(healths.get(vmId)) && nowMs - atMs < loadTimeoutMs);
    const allowed = new Map(inProgress);
    const granted = [...requests]
        .filter(({ vmId }) => !allowed.has(vmId))
        .sort((a, b) => a.rank - b.rank || (a.vmId < b.vmId ? -1 : 1))
        .slice(0, Math.max(0, maxConcurrentLoads - allowed.size))
        .map(({ vmId }) => vmId);
    granted.forEach(vmId => allowed.set(vmId, nowMs));
    return { loads: allowed, granted };
}
