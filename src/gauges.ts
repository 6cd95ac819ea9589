/**
 * Gauges that a daemon records periodically: its memory, its running requests and, on the control leader, the state of the region.
 *
 * @module
 */

import type { Control } from "./control/index.js";
import type { Metrics } from "./telemetry/index.js";

const intervalMs = 5_000;

export interface GaugeSources {
    readonly metrics: Metrics;
    readonly control: Control | undefined;
    /** Returns the number of requests in flight at this entry; undefined without an entry role. */
    readonly countRunningRequests: (() => number) | undefined;
}

function recordRegionGauges(metrics: Metrics, control: Control) {
    if (!control.isLeader()) {
        return;
    }
    const { configuration, replicas } = control.log.state;
    metrics.gauge("control.replicas", Object.keys(replicas.replicas).length);
    metrics.gauge("control.lease_holders", control.sessions.holders.size);
    metrics.gauge("control.configuration_version", configuration.version);
    metrics.gauge("control.in_force_version", control.inForce() ?? 0);
    metrics.gauge("control.replica_downtime_ms", control.meters.totals.replicaDowntimeMs);
    metrics.gauge("control.stranded_vm_ms", control.meters.totals.strandedVmMs);
}

/** Records the gauges immediately and then at a fixed interval. Returns a function that stops the timer. */
export function startGauges({ metrics, control, countRunningRequests }: GaugeSources): () => void {
    function recordGauges() {
        metrics.gauge("process.resident_bytes", process.memoryUsage.rss());
        if (countRunningRequests !== undefined) {
            metrics.gauge("entry.running", countRunningRequests());
        }
        if (control !== undefined) {
            recordRegionGauges(metrics, control);
        }
    }
    recordGauges();
    const timer = setInterval(recordGauges, intervalMs);
    return () => clearInterval(timer);
}
