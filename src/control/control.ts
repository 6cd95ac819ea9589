/**
 * The control role of one voter: serves sessions and runs the placement planner while it leads, and submits proposals to the log.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { type Command, commandSchema, type ProposalResult, type ReplicatedLog } from "../cluster/index.js";
import type { Settings } from "../config/index.js";
import {
    type ControlCommand,
    type ControlCommandResult,
    ControlCommandResultSchema,
    ControlService,
    type CrashReport,
    type PeerConnections,
    type SessionDown,
    type SessionUp,
    type Upstream,
    type VmReport,
} from "../rpc/index.js";
import { SpareFirst } from "../placement/index.js";
import { type Clock, createContainment } from "../runtime/index.js";
import { configLeaseMs, createSessionServer, type SessionServer, serializeStableFields, sidecarSilenceTimeoutMs } from "../session/index.js";
import { vmSilenceTimeoutMs } from "./directory.js";
import { createDirectoryFeed } from "./directoryFeed.js";
import { clockMarginMs, inForceVersion } from "./inForce.js";
import { createMeters, type Meters } from "./meters.js";
import { createPlacer } from "./placer.js";
import { withTimestamp } from "./stamp.js";
import { diffSuspects, toCrashCauses } from "./suspects.js";
import { createVmTable, type VmTable } from "./vmTable.js";

const tickIntervalMs = 250;
/** The interval of full scans of the VM table, which run in addition to those triggered by a change. */
const fullScanIntervalMs = 1_000;
const vmRetentionMs = 600_000;
const proposeTimeoutMs = 3_000;

/** Dependencies of the control role. */
export interface ControlOptions {
    readonly settings: Settings;
    readonly log: ReplicatedLog;
    readonly clock: Clock;
    readonly connections: PeerConnections;
    readonly onChange: (event: string, details: Record<string, unknown>) => void;
}

/** The control role of one voter. */
export interface Control {
    readonly log: ReplicatedLog;
    readonly table: VmTable;
    readonly sessions: SessionServer;
    readonly meters: Meters;
    readonly directory: ReadonlyMap<string, Upstream>;
    /** Returns the configuration version in force, or undefined while this voter does not know it. */
    inForce(): number | undefined;
    isLeader(): boolean;
    nowMs(): number;
    /** Proposes a command to the local log, or forwards it if another voter leads. */
    propose(command: Command, timeoutMs?: number): Promise<ProposalResult>;
    /** Serves a session, or redirects it to the leader if another voter leads. */
    serve(messages: AsyncIterable<SessionUp>): AsyncIterable<SessionDown>;
    /** Proposes a command that another daemon forwarded. */
    handleForwardedCommand(request: ControlCommand): Promise<ControlCommandResult>;
    stop(): void;
}

/** Starts the control role. */
export function createControl(options: ControlOptions): Control {
    const { settings, log, clock, connections } = options;
    const table = createVmTable(sessionId => sessions.heardAtMs(sessionId));
    const meters = createMeters();
    let directory = createDirectoryFeed(clock.nowMs());
    let leaderSinceMs: number | undefined;
    const placer = createPlacer(new SpareFirst());
    let isPlanning = false;
    let lastScanAtMs = -Infinity;
    /** Whether any input of the planner has changed since its last run. */
    let isDirty = true;
    let lastSeenReplicas = log.state.replicas;
    let lastSilentSessionCount = 0;
    let sessionEndedAtMs = -Infinity;
    let lastSentSuspects = log.state.suspects.byFingerprint;
    let lastSentEvidence = log.state.crashEvidence;

    /** An exception costs the step in which it is thrown; the next tick makes up for it. */
    const onThrown = (error: unknown) => options.onChange("exception", { error: error instanceof Error ? error.stack : String(error) });
    const contained = createContainment(onThrown);

    function isLeader(): boolean {
        return log.role === "leader" && log.leaseHeld;
    }

    function inForce(): number | undefined {
        return leaderSinceMs === undefined || !isLeader()
            ? undefined
            : inForceVersion(sessions.holders.values(), log.state.configuration.version, leaderSinceMs, clock.nowMs());
    }

    async function propose(command: Command, timeoutMs = proposeTimeoutMs): Promise<ProposalResult> {
        const localResult = await log.propose(withTimestamp(command), timeoutMs);
        if (localResult.outcome !== "not-leader" || localResult.leaderAddress === undefined) {
            return localResult;
        }
        return forwardCommand(connections, localResult.leaderAddress, command, timeoutMs);
    }

    const sessions = createSessionServer({
        redirect: () => isLeader() ? undefined : log.leaderAddress ?? "",
        configuration: () => log.state.configuration,
        grantableLeaseMs: () => isLeader() ? configLeaseMs : 0,
        initialMessage: hello => ({
            suspects: diffSuspects({}, log.state.suspects.byFingerprint, Date.now()),
            crashCauses: toCrashCauses(log.state.crashEvidence),
            ...(hello.wantsDirectory ? { directory: directory.initialUpdate(clock.nowMs()) } : {}),
        }),
        onReports: handleReports,
        onSilent(vmIds) {
            vmIds.forEach(vmId => table.markSilent(vmId, clock.nowMs() - sidecarSilenceTimeoutMs));
            isDirty = true;
        },
        onCrashes: crashes => crashes.forEach(crash => void reportCrash(crash).catch(onThrown)),
        onEnded() {
            sessionEndedAtMs = clock.nowMs();
        },
    }, () => clock.nowMs());

    async function reportCrash({ engineBootId, fingerprints, parts, provenParts, isTrial }: CrashReport) {
        const atMs = Date.now();
        if (fingerprints.length > 0) {
            await propose({ kind: "report-crash", engineBootId, fingerprints, atMs });
        }
        if (parts.length > 0) {
            await propose({ kind: "report-crashed-parts", engineBootId, parts, provenParts, isTrial, atMs });
        }
    }

    /** Sends every daemon the parts of prompts that crash engines, if these have changed. */
    function pushCrashCauses() {
        const { crashEvidence } = log.state;
        if (crashEvidence !== lastSentEvidence) {
            lastSentEvidence = crashEvidence;
            sessions.broadcast({ crashCauses: toCrashCauses(crashEvidence) });
        }
    }

    /** Sends every daemon the suspects that were added, barred or cleared. */
    function pushSuspects() {
        const { byFingerprint } = log.state.suspects;
        if (byFingerprint === lastSentSuspects) {
            return;
        }
        const suspects = diffSuspects(lastSentSuspects, byFingerprint, Date.now());
        lastSentSuspects = byFingerprint;
        if (suspects.length > 0) {
            sessions.broadcast({ suspects });
        }
    }

    function handleReports(reports: readonly VmReport[], sessionId: number) {
        let isUrgent = false;
        for (const report of reports) {
            const previous = table.vms.get(report.vmId)?.report;
            table.record(report, sessionId, clock.nowMs());
            isDirty ||= previous === undefined || serializeStableFields(previous) !== serializeStableFields(report);
            isUrgent ||= previous?.replicaReady !== report.replicaReady || previous.leaving !== report.leaving ||
                previous.engineUp !== report.engineUp;
        }
        if (isUrgent) {
            refreshDirectory();
        }
    }

    function refreshDirectory() {
        const update = directory.refresh(log.state, table.vms, clock.nowMs());
        if (update !== undefined) {
            sessions.broadcast({ directory: update }, hello => hello.wantsDirectory);
        }
    }

    function updateRole() {
        if (isLeader() && leaderSinceMs === undefined) {
            leaderSinceMs = clock.nowMs();
            directory = createDirectoryFeed(leaderSinceMs);
            options.onChange("leading", {});
        }
        if (!isLeader() && leaderSinceMs !== undefined) {
            leaderSinceMs = undefined;
            table.clear();
            placer.clear();
            isDirty = true;
            sessions.endAll();
            options.onChange("following", { leader: log.leaderAddress });
        }
    }

    async function plan() {
        if (isPlanning || leaderSinceMs === undefined) {
            return;
        }
        isPlanning = true;
        try {
            const time = { leadingSinceMs: leaderSinceMs, nowMs: clock.nowMs(), wallMs: Date.now() };
            const { commands, orders } = placer.plan(log.state, table.vms, time);
            isDirty = commands.length > 0 || orders.length > 0;
            for (const order of orders) {
                sessions.sendOrders(table.vms.get(order.vmId)!.sessionId, [order]);
            }
            for (const command of commands) {
                const proposal = await log.propose(command, proposeTimeoutMs);
                options.onChange(command.kind, { command, proposal });
            }
        }
        finally {
            isPlanning = false;
        }
    }

    function tick() {
        updateRole();
        if (leaderSinceMs === undefined) {
            return;
        }
        const nowMs = clock.nowMs();
        detectChanges(nowMs);
        if (!isDirty && nowMs - lastScanAtMs < fullScanIntervalMs) {
            return;
        }
        lastScanAtMs = nowMs;
        table.sweep(nowMs, vmRetentionMs);
        sessions.sweep(nowMs - clockMarginMs, nowMs - vmRetentionMs);
        refreshDirectory();
        meters.update(log.state, table.vms, directory.upstreams, nowMs);
        plan().catch(onThrown);
    }

    /**
     * Detects changes without a pass over every VM, which at each tick cost the leader of a full region several times its CPU budget.
     * A VM becomes silent only when its session does, or when its relay reports it as silent.
     */
    function detectChanges(nowMs: number) {
        const silentSessionCount = sessions.countSilentSessions(nowMs - vmSilenceTimeoutMs);
        const endedAgoMs = nowMs - sessionEndedAtMs;
        const mayHaveSilentVms = endedAgoMs > vmSilenceTimeoutMs && endedAgoMs < vmSilenceTimeoutMs + fullScanIntervalMs;
        isDirty ||= mayHaveSilentVms || silentSessionCount !== lastSilentSessionCount || lastSeenReplicas !== log.state.replicas;
        lastSilentSessionCount = silentSessionCount;
        lastSeenReplicas = log.state.replicas;
    }

    const unsubscribe = log.subscribe(contained(() => {
        updateRole();
        sessions.pushConfiguration();
        pushSuspects();
        pushCrashCauses();
    }));
    const timer = setInterval(contained(tick), tickIntervalMs);
    updateRole();
    return {
        log,
        table,
        sessions,
        meters,
        get directory() {
            return directory.upstreams;
        },
        inForce,
        isLeader,
        nowMs: () => clock.nowMs(),
        propose,
        serve: messages => sessions.serve(messages),
        async handleForwardedCommand(request) {
            const command = commandSchema.parse(JSON.parse(new TextDecoder().decode(request.command)));
            const proposal = await log.propose(withTimestamp(command), request.timeoutMs);
            return create(ControlCommandResultSchema, {
                outcome: proposal.outcome,
                result: new TextEncoder().encode(JSON.stringify(proposal.outcome === "applied" ? proposal : {})),
                leaderAddress: proposal.outcome === "not-leader" ? proposal.leaderAddress ?? "" : "",
            });
        },
        stop() {
            clearInterval(timer);
            unsubscribe();
            sessions.endAll();
            options.onChange("stopped", { daemon: settings.daemon.id });
        },
    };
}

/** Forwards a command to another control daemon. If the connection fails, the outcome is unknown: the command may have been applied. */
export async function forwardCommand(
    connections: PeerConnections,
    address: string,
    command: Command,
    timeoutMs: number,
): Promise<ProposalResult> {
    const client = createClient(ControlService, connections.get(address).transport);
    try {
        const response = await client.propose({ command: new TextEncoder().encode(JSON.stringify(command)), timeoutMs }, { timeoutMs });
        if (response.outcome === "applied") {
            return JSON.parse(new TextDecoder().decode(response.result)) as ProposalResult;
        }
        return response.outcome === "not-leader"
            ? { outcome: "not-leader", leaderAddress: response.leaderAddress || undefined }
            : { outcome: "unknown" };
    }
    catch {
        return { outcome: "unknown" };
    }
}
