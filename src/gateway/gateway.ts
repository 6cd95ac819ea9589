/**
 * The entry role of a daemon: follows the control daemons' feed, serves callers, and reports load, failures and limits back.
 *
 * @module
 */

import { RetryBudget } from "../admission/index.js";
import { createFeedWatcher, type Frame, type LogPosition } from "../feed/index.js";
import { createPushbacks } from "../fleet/index.js";
import { splitAddress } from "../rpc/index.js";
import { createOverloadCheck, type OverloadMode, type SiteDialect } from "../site/index.js";
import { createExceptionLog, createRefusedInputs, type Logger, type SiteMetrics } from "../telemetry/index.js";
import { createAdmission } from "./admission.js";
import { createAllowances } from "./allowances.js";
import { createBalancer } from "./balancer.js";
import { createBusyShare } from "./busyShare.js";
import { createConnectionShedding } from "./connectionShedding.js";
import { createConnections } from "./connections.js";
import { createCrashLog, fingerprintOf } from "./crashes.js";
import { createDepartureCheck } from "./departedCallers.js";
import { createEntryCount, shareOfSlack } from "./entryCount.js";
import { createGroupPrediction } from "./groupPrediction.js";
import type { HeaderNames } from "./headers.js";
import { messageHeader } from "./parsedRequest.js";
import { createLoadReports } from "./loadReports.js";
import { createContainment, createLoopTicks } from "../runtime/index.js";
import { createLimits } from "./limits.js";
import { createMemory, heldKinds, unboundedMemory } from "./memory/index.js";
import { type GatewayServer, listenForCallers } from "./server.js";
import { createSharedLoads } from "./sharedLoads.js";
import { createSiteView } from "./siteView.js";
import { createStartHold } from "./startHold.js";
import { pushbackLeftMs } from "./withoutCandidate.js";
import { queueLimitsFor } from "./work.js";
import { createWorkload } from "./workload.js";

export interface GatewayOptions {
    readonly daemonId: string;
    readonly dataCentre: string;
    readonly callerAddress: string;
    readonly controlAddresses: readonly string[];
    readonly dialect: SiteDialect;
    readonly headerNames: HeaderNames;
    /** The retry budget of all entries together: this ratio of the requests, plus this many retries in each window. */
    readonly retries: { readonly ratio: number; readonly slack: number };
    /** Whether overload control acts; by default for the services for which the published site calls for it. */
    readonly overloadMode?: OverloadMode;
    /** The interval at which upstreams announce themselves. */
    readonly heartbeatMs: number;
    /** The memory that the process may use, in MB; if undefined, the bytes held for callers and upstreams are not bounded. */
    readonly memoryLimitMb?: number;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
}

export interface Gateway {
    readonly isReady: boolean;
    /** Adds control daemons to watch. */
    addControlAddresses(addresses: readonly string[]): void;
    /** Shuts down gracefully within `withinMs` of the termination signal that is being handled now. */
    stop(withinMs: number): Promise<void>;
}

/**
 * The part of the configured retry ratio that is used. The margin is needed because requests are counted when they end, but retries as soon
 * as they are sent.
 */
const usedRetryRatioShare = 0.85;
/** Interval of reports to the control daemons. A new suspect is reported at once. */
const reportIntervalMs = 250;
/** Without a tick for this long, three halves of the tick interval, the event loop counts as blocked. */
const blockedAfterMs = 75;
/** After the event loop was blocked, requests that waited for it are read within this time. */
const readAfterBlockMs = 500;
/** How often group heads are checked for suspects. It is short compared with the 0.5 s within which a lost member is detected. */
const suspectCheckIntervalMs = 50;
const sweepIntervalMs = 500;
/** How often an entry asks whether upstreams that refused its connections have been heard since. */
const askHeardIntervalMs = 500;
/** How often slow callers are looked for. It is short compared with the 500 ms after which one may be disconnected. */
const memoryCheckIntervalMs = 100;
const busySampleIntervalMs = 250;
/** How often a shutdown checks whether requests are still running. */
const drainPollMs = 50;
/**
 * How long the load balancer may still open new connections after readiness was withdrawn: two failed readiness probes, one second apart,
 * and one more second.
 */
const readinessPropagationMs = 3_000;
/** Time allowed for sending the answers of requests that the shutdown ends. */
const finalAnswersMs = 200;

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Starts the entry role and resolves once it listens for callers. */
export async function createGateway(options: GatewayOptions): Promise<Gateway> {
    const { logger, metrics } = options;
    const nowMs = () => performance.now();
    const exceptions = createExceptionLog({ logger, count: metrics.recordException, nowMs });
    const refusedInputs = createRefusedInputs({ logger, countInputs: metrics.recordRefusedInputs, nowMs });
    const contained = createContainment(error => exceptions.record("task", error));
    const view = createSiteView(options.dialect, logger);
    const startHold = createStartHold({ view, heartbeatMs: options.heartbeatMs, nowMs });
    const entryCount = createEntryCount(nowMs);
    const limits = createLimits(options.daemonId, logger, nowMs);
    const pushbacks = createPushbacks(nowMs, (upstream, forMs) => logger.info("upstream wants no requests", { upstream, forMs }));
    const balancer = createBalancer({
        nowMs, random: Math.random, entries: () => entryCount.upperBound, shareOfLimit: limits.shareOf,
        pushbackLeftMs: pushbacks.leftMs,
    });
    const sharedLoads = createSharedLoads({ nowMs, entries: () => entryCount.upperBound, logger });
    const isActive = createOverloadCheck(options.overloadMode);
    const loadReports = createLoadReports({ view, balancer, sharedLoads, isActive });
    const loopTicks = createLoopTicks(nowMs, blockedAfterMs);
    const { groupRoom, latency } = createGroupPrediction({
        ...options, nowMs, isActive, balancer, hasBlockedSince: loopTicks.hasBlockedSince, sharedLoads,
        allowanceOf: createAllowances(sharedLoads),
        ownAtModel: (service, model) =>
            view.candidates(service, model).reduce((sum, { upstream }) => sum + balancer.ownRequests(upstream), 0),
    });
    const connections = createConnections();
    const admission = createAdmission({
        view, room: groupRoom, nowMs, random: Math.random, isAvoided: balancer.isAvoided, record: metrics.recordAdmission,
        pushbackLeftMs: candidates => pushbackLeftMs(candidates, pushbacks),
        isActive, recordException: error => exceptions.record("task", error),
    });
    const crashes = createCrashLog({ logger, nowMs, suspectedParts: () => view.suspectedParts });
    const workload = createWorkload();
    const memory = options.memoryLimitMb === undefined
        ? unboundedMemory
        : createMemory({ limitMb: options.memoryLimitMb, logger, nowMs, count: metrics.recordMemoryAction });
    const shedding = createConnectionShedding({
        busyShare: createBusyShare(),
        onChanged: (isShedding, busyShare) => logger.info(isShedding ? "closing new connections" : "accepting all connections", { busyShare }),
    });
    const vm = splitAddress(options.callerAddress).host;
    const { ratio, slack } = options.retries;
    const budgets = new Map<string, RetryBudget>();
    let requests = 0;
    let isStopping = false;
    let reportedAtMs = 0;
    let reportedSuspects: readonly string[] = [];

    function report() {
        const { suspectIds, movingIds } = balancer;
        const isNew = crashes.hasNews || suspectIds.some(id => !reportedSuspects.includes(id));
        if (!isNew && nowMs() - reportedAtMs < loadReports.intervalMs(reportIntervalMs)) {
            return;
        }
        const loads = loadReports.drain();
        if (loads !== undefined) {
            metrics.recordLoadReport();
        }
        reportedAtMs = nowMs();
        reportedSuspects = suspectIds;
        watcher.report({
            workByModel: workload.drain(), requests, suspectIds: [...suspectIds], movingIds: [...movingIds], crashes: [...crashes.recent],
            limits: limits.observedLimits(), draining: [...view.observedDraining],
            vm, pushbacks: pushbacks.relayed(),
        }, { loads, crashes: crashes.drain() }, answer => {
            sharedLoads.apply(answer);
            admission.roomChanged();
        });
        requests = 0;
    }

    function askHeard() {
        const { refusingIds } = view;
        if (refusingIds.length > 0) {
            watcher.askHeard(refusingIds);
        }
    }

    function budgetOf(service: string): RetryBudget {
        const { maxTokens, initialTokens } = shareOfSlack(slack, entryCount.upperBound);
        const currentBudget = budgets.get(service);
        if (currentBudget?.maxTokens === maxTokens) {
            return currentBudget;
        }
        // The number of entries has changed. Tokens accrued under the old number may exceed this entry's new share, so they are dropped.
        const tokens = currentBudget === undefined ? initialTokens : 0;
        const newBudget = new RetryBudget(nowMs(), { perSuccess: ratio * usedRetryRatioShare, perSecond: 0, maxTokens }, tokens);
        budgets.set(service, newBudget);
        return newBudget;
    }

    function applyFrame(frame: Frame, address: string, log?: LogPosition) {
        view.apply(frame, address, log);
        if (frame.kind === "upstreams") {
            admission.roomChanged();
        }
        startHold.controlHeard();
        startHold.viewChanged();
        if (frame.kind === "crash-causes" || frame.kind === "judged") {
            endBarred();
        }
        if (frame.kind === "limits") {
            limits.applyDivision(frame);
        }
        if (frame.kind === "pushbacks" && frame.vm === vm) {
            pushbacks.merge(frame.pushbacks);
        }
        if (frame.kind === "controls") {
            watcher.watch(frame.addresses);
        }
        if (frame.kind === "alive" && frame.entries !== undefined) {
            entryCount.update(address, frame.entries);
        }
    }

    /** Has no effect until the entry listens. */
    let endBarred: () => void = () => undefined;
    const watcher = createFeedWatcher({
        daemonId: options.daemonId,
        isEntry: true,
        dataCentre: options.dataCentre,
        onFrame(frame, address, log) {
            const onThrown = (error: unknown) => exceptions.record("frame", error, { kind: frame.kind, from: address });
            createContainment(onThrown)(() => applyFrame(frame, address, log))();
        },
        onHeardChanged: (address, isHeard) => logger.info(isHeard ? "control daemon heard" : "control daemon lost", { address }),
        onUnreadableLoads: error => logger.warn("answer about shared loads ignored", { error }),
        onUnknownKind: (kind, address) => logger.warn("frame of an unknown kind", { kind, address }),
        onRefused: refusedInputs.record,
        onFollowedChanged: (address, previous) => logger.info("followed control daemon changed", { address, previous }),
    });
    watcher.watch(options.controlAddresses);

    const server: GatewayServer = await listenForCallers(options.callerAddress, {
        names: options.headerNames, view, startHold, balancer, connections, memory, pushbacks, logger, dataCentre: options.dataCentre,
        nowMs, random: Math.random, queueLimits: queueLimitsFor, admission, groupRoom, latency,
        recordException: (error, fields) => exceptions.record("request", error, fields),
        mayRetry: service => budgetOf(service).tryRetry(nowMs()) === undefined,
        recordLimit: limits.limitSeen,
        recordCrash: (request, upstream) => crashes.record(request, upstream),
        recordArrival: loadReports.requestArrived,
        isBarred: request => view.crashesEngines(request.sharedParts) || (view.barred.size > 0 && view.barred.has(fingerprintOf(request))),
        countFailedAttempt: kind => metrics.recordAttemptWithoutAnswer(kind),
        hasLeft: createDepartureCheck({
            logger, mayHaveWaited: () => loopTicks.hasBlockedSince(nowMs() - readAfterBlockMs),
            idOf: message => messageHeader(message, options.headerNames.attemptId),
        }),
        acceptsConnection() {
            const isAccepted = shedding.accepts();
            if (!isAccepted) {
                metrics.recordConnectionClosed();
            }
            return isAccepted;
        },
        countEarlyRefusal: status => metrics.recordRefusal(status),
        countWhileStopping: labels => metrics.recordStoppingRequest(labels),
        recordOutcome(outcome, request, tookMs, firstMs) {
            if (outcome === "delivered") {
                crashes.completed(request);
            }
            metrics.recordRequest(request.route.name, outcome, tookMs, firstMs);
            requests++;
            const target = request.route.targets[0]!.service;
            budgetOf(target).recordSuccess(nowMs());
            const engine = request.table.service(target)?.engine;
            if (engine !== undefined) {
                workload.attemptEnded(engine, request, outcome);
            }
        },
    });

    ({ endBarred } = server);
    metrics.registerGauge("zinnialanding_crash_causes", () => view.crashCauseCount);
    metrics.registerGauge("zinnialanding_connections_shedding", () => Number(shedding.isShedding));
    metrics.registerGauge("zinnialanding_requests_running", () => server.running);
    metrics.registerGauge("zinnialanding_callers_held", () => startHold.heldCount);
    metrics.registerGauge("zinnialanding_caller_connections", () => server.connections.open);
    metrics.registerGauge("zinnialanding_caller_connections_unused", () => server.connections.unused);
    metrics.registerGauge("zinnialanding_upstream_connections", () => connections.open);
    metrics.registerGauge("zinnialanding_site_version", () => view.version);
    metrics.registerGauge("zinnialanding_log_index", () => view.logState?.index ?? 0);
    metrics.registerGauge("zinnialanding_log_age_seconds", () => (view.logState?.ageMs ?? NaN) / 1_000);
    metrics.registerGauge("zinnialanding_data_centres_evacuated", () => view.evacuated.length);
    metrics.registerGauge("zinnialanding_upstreams_limited", () => limits.count);
    metrics.registerGauge("zinnialanding_upstreams_pushing_back", () => pushbacks.relayed().length);
    metrics.registerGauge("zinnialanding_shared_loads_age_seconds", () => Number.isFinite(sharedLoads.ageMs) ? sharedLoads.ageMs / 1_000 : NaN);
    metrics.registerGauge("zinnialanding_control_daemons_heard", () => watcher.heard.length);

    metrics.registerModelGauge("zinnialanding_model_requests_waiting", () => admission.waitingByModel);
    metrics.registerOrganisationGauge("zinnialanding_organisation_requests_waiting", () => admission.waitingByOrganisation);

    if (memory.isBounded) {
        metrics.registerHeldBytes(() => new Map(heldKinds.map(kind => [kind, memory.held[kind]])));
        metrics.registerGauge("zinnialanding_held_bytes_bound", () => memory.boundBytes);
    }

    const timers = [
        setInterval(contained(() => {
            loopTicks.tick();
            sharedLoads.checkAge();
            view.checkAge();
            crashes.logCollected();
            report();
        }), suspectCheckIntervalMs),
        setInterval(contained(() => connections.sweep(view.addresses)), sweepIntervalMs),
        setInterval(contained(askHeard), askHeardIntervalMs),
        setInterval(contained(() => memory.check()), memoryCheckIntervalMs),
        setInterval(contained(() => shedding.sample()), busySampleIntervalMs),
    ];

    function activityLogFields() {
        return { running: server.running, connections: server.connections.open, unused: server.connections.unused };
    }

    async function waitForRunning(deadlineAtMs: number) {
        while (server.running > 0 && nowMs() < deadlineAtMs) {
            await pause(drainPollMs);
        }
    }

    return {
        get isReady() {
            return !isStopping && view.table !== undefined && view.addresses.size > 0;
        },
        addControlAddresses: addresses => watcher.watch(addresses),
        async stop(withinMs) {
            isStopping = true;
            // The platform's kill timeout starts when it sends the signal, so a process that handles the signal late has less time left.
            const earliestSignalMs = loopTicks.earliestSignalMs;
            const listenerClosesAtMs = earliestSignalMs + Math.min(readinessPropagationMs, withinMs);
            const cutOffAtMs = earliestSignalMs + withinMs;
            server.drain({ listenerClosesAtMs, cutOffAtMs });
            logger.info("stopping", { ...activityLogFields(), lateMs: Math.round(nowMs() - earliestSignalMs) });
            await pause(Math.max(0, listenerClosesAtMs - nowMs()));
            const closed = await server.closeListener();
            admission.close();
            logger.info("listener closed", { closed, ...activityLogFields() });
            await waitForRunning(cutOffAtMs);
            const unfinished = server.running;
            server.endRunning();
            await waitForRunning(nowMs() + finalAnswersMs);
            timers.forEach(timer => clearInterval(timer));
            server.close();
            watcher.close();
            connections.close();
            logger.info("stopped", { unfinished, linesLeftOut: server.droppedLogLines });
        },
    };
}
