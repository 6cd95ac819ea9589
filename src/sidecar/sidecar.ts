/**
 * The sidecar role of one VM: reports the VM's state, follows the orders of the control leader, and runs attempts at the upstream.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { SlowStartLimiter, type StartLimiter } from "../admission/index.js";
import type { AdmissionContext } from "../attempt/index.js";
import type { Configuration } from "../cluster/index.js";
import type { Settings } from "../config/index.js";
import { hasCrashCause, maxPartsPerCrash } from "../crashes/index.js";
import {
    AcknowledgeResponseSchema,
    type PeerCertificates,
    type RunRequest,
    SidecarService,
    TombstoneResponseSchema,
    type VmOrder,
    type VmReportSchema,
} from "../rpc/index.js";
import { type Clock, createRecentSet } from "../runtime/index.js";
import type { Session } from "../session/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import { type Attempts, createAttempts } from "./attempts.js";
import { createEngine, type Engine } from "./engine.js";
import { createMembership, type VmMembership } from "./membership.js";

/** Allows one request at a time until the configuration is known. */
const defaultCapacities = { capacity: 1, coldCapacity: 1 };
/** Entries open a new connection after one second of silence. */
const resumeGraceMs = 2_000;
/** Parts of prompts on which answers have been completed, of which so many are remembered. */
const maxProvenParts = 4_096;
/** An epoch that no replica has. */
const noEpoch = -1;

export interface SidecarOptions {
    readonly settings: Settings;
    readonly vm: NonNullable<Settings["vm"]>;
    readonly bootId: string;
    /** The host:port at which entries and other members reach this sidecar. */
    readonly address: string;
    readonly clock: Clock;
    readonly session: () => Session;
    readonly onChange: (what: string, details: Record<string, unknown>) => void;
    readonly tracing: Tracing;
    readonly metrics: Metrics;
    readonly certificates?: () => PeerCertificates | undefined;
}

export interface Sidecar {
    report(): MessageInitShape<typeof VmReportSchema>;
    order(order: VmOrder): void;
    routes(router: ConnectRouter): void;
    /** Refuses new work and resolves once all running work has ended and this VM has left its replica. */
    drain(): Promise<void>;
    stop(): void;
}

/** Starts the sidecar role. */
export function createSidecar(options: SidecarOptions): Sidecar {
    const { settings, vm } = options;
    const slowStart = new SlowStartLimiter(defaultCapacities);
    let appliedConfiguration: Configuration | undefined;
    let appliedPolicyJson = "";
    let leaving = false;
    let resolveIdle: (() => void) | undefined;

    const engine: Engine = createEngine(vm.upstream, (state, isChanged) => {
        // Must come first: requests in flight then fail as crash suspects rather than because a member is missing.
        attempts.engineObserved(state?.bootId, engine.isGone);
        if (vm.kind === "model") {
            membership.engineObserved(state);
        }
        if (isChanged) {
            options.onChange("engine", { bootId: state?.bootId, models: state?.models });
            options.session().reportNow();
        }
    });
    const membership: VmMembership = createMembership({
        vmId: vm.id,
        bootId: options.bootId,
        clock: options.clock,
        ...(options.certificates === undefined ? {} : { certificates: options.certificates }),
        engine: () => engine,
        running: () => attempts.running,
        stopStreams: epoch => attempts.endEpoch(epoch),
        reportNow: () => options.session().reportNow(),
        count: metric => options.metrics.count("sidecar.membership", { service: vm.service, code: metric }),
        onChange: options.onChange,
    });

    function report(): MessageInitShape<typeof VmReportSchema> {
        const membershipReport = membership.report();
        return {
            vmId: vm.id,
            sidecarBootId: options.bootId,
            address: options.address,
            dataCentre: settings.daemon.dataCentre,
            fabricDomain: vm.fabricDomain,
            service: vm.service,
            kind: vm.kind,
            engineBootId: engine.state?.bootId ?? "",
            engineUp: engine.state !== undefined,
            leaving,
            replicaId: membershipReport.replicaId,
            epoch: BigInt(membershipReport.epoch),
            joined: membershipReport.joined,
            models: engine.state?.models ?? [],
            loadingModel: engine.state?.loading ?? "",
            tokenLatencyMs: engine.state?.stepLatencyMs ?? 0,
            replicaReady: membershipReport.replicaReady,
            stragglerVmIds: membershipReport.stragglerVmIds,
            running: attempts.running,
            releasedEpoch: BigInt(membershipReport.releasedEpoch),
        };
    }

    /** Parts of prompts on which this VM has completed answers. */
    const provenParts = createRecentSet<string>(maxProvenParts);
    const attempts: Attempts = createAttempts({
        bootId: options.bootId,
        engine: () => engine,
        limiter,
        nowMs: () => options.clock.nowMs(),
        tracing: options.tracing,
        onStarted: () => options.metrics.count("sidecar.runs", { service: vm.service }),
        onFirstToken: latencyMs => options.metrics.distribution("sidecar.first_token_ms", latencyMs, { service: vm.service }),
        admissionContext,
        mayForward: epoch => vm.kind === "plain" || membership.mayServe(epoch),
        onCompleted: ({ sharedParts }) => sharedParts.forEach(part => provenParts.add(part)),
        reportCrash({ engineBootId, fingerprints, parts: inFlight, isTrial }) {
            const parts = inFlight.slice(0, maxPartsPerCrash);
            options.session().reportCrash({
                vmId: vm.id, engineBootId, fingerprints: [...fingerprints], parts, isTrial,
                provenParts: parts.filter(part => provenParts.has(part)),
            });
            options.metrics.count("sidecar.crashes", { service: vm.service });
            options.onChange("engine-crashed", { engineBootId, inFlight: fingerprints.length });
        },
        onIdle: () => resolveIdle?.(),
    });

    /** Returns the start limiter, updated to the capacities of the current configuration. */
    function limiter(): StartLimiter {
        const { configuration } = options.session().view;
        if (configuration !== appliedConfiguration) {
            appliedConfiguration = configuration;
            const { capacity, coldCapacity } = configuration.services.find(item => item.name === vm.service) ?? defaultCapacities;
            const latenessMs = configuration.classes.filter(item => item.service === vm.service).map(item => item.latenessMs);
            const provenFirstTokenMs = latenessMs.length === 0 ? {} : { provenFirstTokenMs: Math.max(...latenessMs) };
            applyPolicy({ capacity, coldCapacity, ...provenFirstTokenMs });
        }
        return slowStart;
    }

    function applyPolicy(policy: typeof defaultCapacities) {
        const policyJson = JSON.stringify(policy);
        if (policyJson !== appliedPolicyJson) {
            appliedPolicyJson = policyJson;
            slowStart.updatePolicy(policy);
        }
    }

    /**
     * Waits until the attempts are idle, and then for as long as an entry takes to detect a silent link: events written to such a link
     * count as read here, but the entry requests them again over a new connection.
     */
    async function drainAttempts() {
        do {
            await (attempts.isIdle
                ? undefined
                : new Promise<void>(resolve => {
                        resolveIdle = resolve;
                    }));
            await sleep(resumeGraceMs);
        } while (!attempts.isIdle);
    }

    function admissionContext(run: RunRequest): Omit<AdmissionContext, "pushbackLeftMs"> {
        const { view } = options.session();
        const epoch = Number(run.epoch);
        const isPlain = vm.kind === "plain";
        return {
            leaving,
            epoch: isPlain && run.upstreamId === vm.id ? epoch : membership.isLeader(epoch) ? epoch : noEpoch,
            membersLive: isPlain || membership.mayAdmit(epoch),
            configurationLive: run.configLeaseMs > 0 || options.session().leaseRemainingMs() > 0,
            drained: view.configuration.dataCentres.some(item => item.name === settings.daemon.dataCentre && item.drained),
            barred: view.suspects.get(run.fingerprint)?.state === "barred" || hasCrashCause(run.sharedParts, view.crashCauses),
        };
    }

    return {
        report,
        order: order => membership.order(order),
        routes(router) {
            router.service(SidecarService, {
                run: (request, context) => attempts.run(request, context.signal),
                resume: (request, context) => attempts.resume(request, context.signal),
                tombstone: request => create(TombstoneResponseSchema, { state: attempts.tombstone(request) }),
                acknowledge(request) {
                    attempts.acknowledge(request);
                    return create(AcknowledgeResponseSchema);
                },
                memberLeases: asks => membership.serveLeases(asks),
            });
        },
        async drain() {
            leaving = true;
            options.session().reportNow();
            await Promise.all([drainAttempts(), vm.kind === "model" ? membership.leave() : undefined]);
        },
        stop() {
            attempts.stop();
            membership.stop();
            engine.stop();
        },
    };
}
