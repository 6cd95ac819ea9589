/**
 * Lets an entry serve sessions to sidecars on behalf of the control leader. A leader cannot hold a session with each of thousands of
 * sidecars within its CPU budget. Instead it holds one session with each relay, and relays forward only what changed.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import type { CrashReport, SessionDown, SessionUp, VmReport, VmReportSchema } from "../rpc/index.js";
import { createSessionServer, type SessionServer } from "./server.js";
import type { Session } from "./session.js";

type VmReportInit = MessageInitShape<typeof VmReportSchema>;

/** A sidecar that has sent no message for this long is reported as silent. */
export const sidecarSilenceTimeoutMs = 2_000;
/** How long the time of the last message of an ended session is kept. */
const endedSessionRetentionMs = 60_000;
/** An unchanged report is resent once in this many rounds, in case it was lost with a failed control leader. */
const roundsPerRefresh = 16;

/**
 * Creates a filter that lets a daemon's own report through if it has changed, and periodically even if it has not, in case an earlier
 * one was lost.
 */
export function createReportFilter(): (report: VmReportInit, isFull: boolean) => boolean {
    let lastText = "";
    let round = 0;
    return (report, isFull) => {
        const text = serializeStableFields(report);
        round++;
        const isDue = isFull || text !== lastText || round % roundsPerRefresh === 0;
        lastText = text;
        return isDue;
    };
}

/** Fields that change constantly and do not affect any decision of the control leader. */
const volatileFields = new Set<string>(["running", "queued", "tokenLatencyMs"]);

/** Serializes the fields that affect decisions of the control leader, for comparison. */
export function serializeStableFields(report: VmReportInit): string {
    return JSON.stringify(report, (key, value: unknown) =>
        volatileFields.has(key) ? undefined : typeof value === "bigint" ? String(value) : value);
}

/** Serves sessions to sidecars and forwards their reports over the entry's own session. */
export interface Relay {
    serve(messages: AsyncIterable<SessionUp>): AsyncIterable<SessionDown>;
    /** Returns the reports to forward: all of them if `isFull`, otherwise the changed ones and a rotating share of the rest. */
    reports(isFull: boolean): VmReportInit[];
    /** Returns the VMs that have become silent since the last call. */
    takeSilentVmIds(): string[];
    /** Returns the oldest version among the live leases granted by this relay, or `ownVersion` if none is older. */
    oldestHeldVersion(ownVersion: number): number;
    /** Forwards a message received on the relay's own session to the sidecars concerned. */
    forward(message: SessionDown): void;
    stop(): void;
}

export interface RelayOptions {
    readonly session: () => Session;
    readonly nowMs: () => number;
    readonly onCrash: (crash: CrashReport) => void;
}

interface RelayedVm {
    readonly report: VmReport;
    readonly stableText: string;
    readonly sessionId: number;
    heardAtMs: number;
    isSent: boolean;
    refreshSlot: number;
}

/** Creates the relay of one entry. */
export function createRelay(options: RelayOptions): Relay {
    const vms = new Map<string, RelayedVm>();
    const silentVmIds = new Set<string>();
    let round = 0;

    const server: SessionServer = createSessionServer({
        // Chained relays would add a hop and could form a cycle.
        redirect: hello => hello.relays ? "" : undefined,
        configuration() {
            const { version, configuration } = options.session().view;
            return { version, value: configuration };
        },
        // Never longer than the relay's own lease. The holder counts from its request, so its lease expires before the relay's.
        grantableLeaseMs: () => options.session().leaseRemainingMs(),
        initialMessage() {
            const { suspects, crashCauses, suspectedParts } = options.session().view;
            const causes = crashCauses.map(parts => ({ parts: [...parts] }));
            return { suspects: [...suspects.values()], crashCauses: { causes, suspectedParts: [...suspectedParts] } };
        },
        onReports(reports, sessionId) {
            reports.forEach(report => recordReport(report, sessionId));
        },
        onSilent: () => undefined,
        onCrashes: crashes => crashes.forEach(options.onCrash),
        onEnded: () => undefined,
    }, options.nowMs);

    function recordReport(report: VmReport, sessionId: number) {
        const previous = vms.get(report.vmId);
        const stableText = serializeStableFields(report);
        const isSent = previous?.isSent === true && previous.stableText === stableText;
        vms.set(report.vmId, { report, stableText, sessionId, heardAtMs: options.nowMs(), isSent,
            refreshSlot: previous?.refreshSlot ?? vms.size });
        silentVmIds.delete(report.vmId);
        if (!isSent) {
            options.session().reportNow();
        }
    }

    /** Removes VMs whose sidecars are silent. Sidecars resend only changed reports, so any message on the session counts as a heartbeat. */
    function removeSilentVms() {
        for (const [vmId, vm] of vms) {
            const heardAtMs = Math.max(vm.heardAtMs, server.heardAtMs(vm.sessionId) ?? vm.heardAtMs);
            if (options.nowMs() - heardAtMs > sidecarSilenceTimeoutMs) {
                vms.delete(vmId);
                silentVmIds.add(vmId);
            }
        }
    }

    return {
        serve: messages => server.serve(messages),
        reports(isFull) {
            removeSilentVms();
            round++;
            const dueVms = [...vms.values()].filter(vm =>
                isFull || !vm.isSent || vm.refreshSlot % roundsPerRefresh === round % roundsPerRefresh);
            dueVms.forEach(vm => {
                vm.isSent = true;
            });
            return dueVms.map(vm => vm.report);
        },
        takeSilentVmIds() {
            const ids = [...silentVmIds];
            silentVmIds.clear();
            return ids;
        },
        oldestHeldVersion(ownVersion) {
            const nowMs = options.nowMs();
            const liveHolders = [...server.holders.values()].filter(holder => holder.leaseUntilMs > nowMs);
            server.sweep(nowMs, nowMs - endedSessionRetentionMs);
            return Math.min(ownVersion, ...liveHolders.map(holder => holder.configVersion));
        },
        forward(message) {
            server.pushConfiguration();
            if (message.suspects.length > 0) {
                server.broadcast({ suspects: message.suspects });
            }
            if (message.crashCauses !== undefined) {
                server.broadcast({ crashCauses: message.crashCauses });
            }
            for (const order of message.orders) {
                const vm = vms.get(order.vmId);
                if (vm !== undefined) {
                    server.sendOrders(vm.sessionId, [order]);
                }
            }
        },
        stop: () => server.endAll(),
    };
}
