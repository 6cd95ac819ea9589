/**
 * Accumulates, at the control leader, the two most important metrics for operators: replica downtime and stranded accelerators.
 *
 * @module
 */

import type { ClusterState } from "../cluster/index.js";
import type { Upstream } from "../rpc/index.js";
import { vmSilenceTimeoutMs } from "./directory.js";
import type { VmRecord } from "./vmTable.js";

/** The accumulated metrics. */
export interface Totals {
    /** Replica-milliseconds by which ready replicas fell short of the highest number seen, over all services. */
    readonly replicaDowntimeMs: number;
    /** VM-milliseconds of live model VMs that belong to no ready replica, excluding the configured spares. */
    readonly strandedVmMs: number;
    /** The number of stranded VMs at the last update. */
    readonly strandedVms: number;
}

/** Accumulates the totals with each update. */
export interface Meters {
    readonly totals: Totals;
    update(state: ClusterState, vms: ReadonlyMap<string, VmRecord>, directory: ReadonlyMap<string, Upstream>, nowMs: number): void;
}

function countBy(items: Iterable<string>): Map<string, number> {
    const counts = new Map<string, number>();
    for (const item of items) {
        counts.set(item, (counts.get(item) ?? 0) + 1);
    }
    return counts;
}

/** Yields the service and fabric domain of each live model VM that belongs to no ready replica. */
function* idleDomains(
    state: ClusterState,
    vms: ReadonlyMap<string, VmRecord>,
    directory: ReadonlyMap<string, Upstream>,
    nowMs: number,
): Generator<string> {
    for (const { report, heardAtMs } of vms.values()) {
        if (report.kind !== "model" || !report.engineUp || nowMs - heardAtMs > vmSilenceTimeoutMs) {
            continue;
        }
        const binding = state.replicas.bindings[report.vmId];
        if (binding === undefined || directory.get(binding.replicaId)?.ready !== true) {
            yield `${report.service}\n${report.fabricDomain}`;
        }
    }
}

/** Creates meters with all totals at zero. Each fabric domain with VMs of a service may have the service's configured number of spares. */
export function createMeters(): Meters {
    const peakReadyCounts = new Map<string, number>();
    let totals: Totals = { replicaDowntimeMs: 0, strandedVmMs: 0, strandedVms: 0 };
    let lastUpdateMs: number | undefined;

    function countMissingReplicas(directory: ReadonlyMap<string, Upstream>): number {
        const ready = [...directory.values()].filter(upstream => upstream.kind === "model" && upstream.ready);
        const counts = countBy(ready.map(upstream => upstream.service));
        counts.forEach((count, service) => peakReadyCounts.set(service, Math.max(count, peakReadyCounts.get(service) ?? 0)));
        return [...peakReadyCounts].reduce((sum, [service, count]) => sum + count - (counts.get(service) ?? 0), 0);
    }

    function countStrandedVms(
        state: ClusterState,
        vms: ReadonlyMap<string, VmRecord>,
        directory: ReadonlyMap<string, Upstream>,
        nowMs: number,
    ): number {
        const spares = new Map(state.configuration.value.services.map(service => [service.name, service.sparesPerDomain]));
        const idleByDomain = countBy(idleDomains(state, vms, directory, nowMs));
        return [...idleByDomain].reduce((sum, [key, count]) => sum + Math.max(0, count - (spares.get(key.split("\n")[0]!) ?? 0)), 0);
    }

    return {
        get totals() {
            return totals;
        },
        update(state, vms, directory, nowMs) {
            const elapsedMs = lastUpdateMs === undefined ? 0 : nowMs - lastUpdateMs;
            lastUpdateMs = nowMs;
            const strandedCount = countStrandedVms(state, vms, directory, nowMs);
            totals = {
                replicaDowntimeMs: totals.replicaDowntimeMs + countMissingReplicas(directory) * elapsedMs,
                strandedVmMs: totals.strandedVmMs + strandedCount * elapsedMs,
                strandedVms: strandedCount,
            };
        },
    };
}
