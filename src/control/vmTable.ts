/**
 * The control leader's table of recent reports from the region's VMs. This is soft state, lost with the leader. A new leader receives
 * all reports within a second or two, and until then draws no conclusion from a VM's silence.
 *
 * @module
 */

import type { VmReport } from "../rpc/index.js";

/** The last report of one VM. */
export interface VmRecord {
    readonly report: VmReport;
    /**
     * When the VM was last known to be alive. A relay resends only changed reports, and each of its messages counts as a heartbeat of all
     * its VMs. The time is therefore looked up from the session instead of being stored for each VM every second.
     */
    readonly heardAtMs: number;
    /** The session on which the VM was last reported. Orders to the VM are sent on it. */
    readonly sessionId: number;
}

/** The last reports by VM id. */
export interface VmTable {
    readonly vms: ReadonlyMap<string, VmRecord>;
    record(report: VmReport, sessionId: number, nowMs: number): void;
    /** Records that the VM's relay reported it as silent and last heard from it at `heardAtMs`. */
    markSilent(vmId: string, heardAtMs: number): void;
    /** Removes VMs that have been silent for `retentionMs`. */
    sweep(nowMs: number, retentionMs: number): void;
    clear(): void;
}

/** Creates an empty table. `sessionHeardAtMs` returns when the last message arrived on a session, even after the session has ended. */
export function createVmTable(sessionHeardAtMs: (sessionId: number) => number | undefined): VmTable {
    const vms = new Map<string, VmRecord>();
    return {
        vms,
        record(report, sessionId, nowMs) {
            vms.set(report.vmId, {
                report,
                sessionId,
                get heardAtMs() {
                    return Math.max(nowMs, sessionHeardAtMs(sessionId) ?? nowMs);
                },
            });
        },
        markSilent(vmId, heardAtMs) {
            const vm = vms.get(vmId);
            if (vm !== undefined) {
                vms.set(vmId, { report: vm.report, sessionId: vm.sessionId, heardAtMs: Math.min(vm.heardAtMs, heardAtMs) });
            }
        },
        sweep(nowMs, retentionMs) {
            for (const [vmId, vm] of vms) {
                if (nowMs - vm.heardAtMs > retentionMs) {
                    vms.delete(vmId);
                }
            }
        },
        clear: () => vms.clear(),
    };
}
