/**
 * The entry role towards a site: watches the control daemons, serves callers, and reports what it has seen.
 *
 * @module
 */

import { RetryBudget } from "../admission/index.js";
import { createFeedWatcher } from "../feed/index.js";
import type { SiteDialect } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import { createBalance } from "./balance.js";
import { createConnections } from "./connections.js";
import { createCrashes, fingerprintOf } from "./crashes.js";
import { createEntryCount, shareOfSlack } from "./entryCount.js";
import type { HeaderNames } from "./headers.js";
import { createLoopTurns } from "./loopTurns.js";
import { createLimits } from "./limits.js";
import { type GatewayServer, listenForCallers } from "./server.js";
import { createSiteView } from "./siteView.js";
import { roomAt } from "./work.js";
import { createWorkload } from "./workload.js";

export interface GatewayOptions {
    readonly daemonId: string;
    readonly dataCentre: string;
    readonly callers: string;
    readonly controls: readonly string[];
    readonly dialect: SiteDialect;
    readonly names: HeaderNames;
    /** The bound on second sends, over all entries: this part of the requests, and this many more in each window. */
    readonly repeats: { readonly ratio: number; readonly slack: number };
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
}

export interface Gateway {
    readonly isReady: boolean;
    /** Other control daemons to start from. */
    useControls(addresses: readonly string[]): void;
    /** Stops gracefully within `withinMs` of the signal that is heard now. */
    stop(withinMs: number): Promise<void>;
}

/** The part of the stated ratio of second sends that is used: requests are counted when they end, sends at once. */
const repeatRatioShare = 0.85;
/** Work and progress are reported this often; a head that has come under suspicion at once. */
const reportIntervalMs = 250;
/** How often heads are looked at: short against the 0.5 s in which a lost member is noticed. */
const suspectIntervalMs = 50;
const sweepIntervalMs = 500;
/** How often a stop looks whether anything still runs. */
const runningCheckMs = 50;
/** How long the balancer may send new connections after readiness was withdrawn: two of its questions, a second apart, and one more. */
const balancerNoticeMs = 3_000;
/** What sending the answers of requests that are ended by the stop may take. */
const lastAnswersMs = 200;

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Starts the role. */
export async function createGateway(options: GatewayOptions): Promise<Gateway> {
    const { logger, metrics } = options;
    const nowMs = () => performance.now();
    const view = createSiteView(options.dialect, logger);
    const entries = createEntryCount(nowMs);
    const limits = createLimits(options.daemonId, logger, nowMs);
    const balance = createBalance(nowMs, Math.random, () => entries.most, limits.shareOf);
    const connections = createConnections();
    const crashes = createCrashes(nowMs);
    const workload = createWorkload();
    const { ratio, slack } = options.repeats;
    const budgets = new Map<string, RetryBudget>();
    let requests = 0;
    let isStopping = false;
    let reportedAtMs = 0;
    let reportedSuspects: readonly string[] = [];

    function report() {
        const { suspectIds, movingIds } = balance;
        const isNew = suspectIds.some(id => !reportedSuspects.includes(id));
        if (!isNew && nowMs() - reportedAtMs < reportIntervalMs) {
            return;
        }
        reportedAtMs = nowMs();
        reportedSuspects = suspectIds;
        watcher.report({
            workByModel: workload.take(), requests, suspectIds: [...suspectIds], movingIds: [...movingIds], crashes: [...crashes.recent],
            limits: limits.carry(),
        });
        requests = 0;
    }

    function budgetOf(service: string): RetryBudget {
        const { most, start } = shareOfSlack(slack, entries.most);
        const known = budgets.get(service);
        if (known?.most === most) {
            return known;
        }
        // Another count of entries: what was saved up under the old one may be more than this entry's part now.
        const tokens = known === undefined ? start : 0;
        const fresh = new RetryBudget(nowMs(), { perSuccess: ratio * repeatRatioShare, perSecond: 0, most }, tokens);
        budgets.set(service, fresh);
        return fresh;
    }

    const watcher = createFeedWatcher({
        daemonId: options.daemonId,
        isEntry: true,
        dataCentre: options.dataCentre,
        take(frame, address) {
            view.take(frame, address);
            if (frame.kind === "limits") {
                limits.take(frame);
            }
            if (frame.kind === "controls") {
                watcher.watch(frame.addresses);
            }
            if (frame.kind === "alive" && frame.entries !== undefined) {
                entries.told(address, frame.entries);
            }
        },
        changed: (address, isHeard) => logger.info(isHeard ? "control daemon heard" : "control daemon lost", { address }),
        followedChanged: (address, previous) => logger.info("followed control daemon changed", { address, previous }),
    });
    watcher.watch(options.controls);

    const server: GatewayServer = await listenForCallers(options.callers, {
        names: options.names, view, balance, connections, logger, dataCentre: options.dataCentre, nowMs, random: Math.random, roomAt,
        mayRepeat: service => budgetOf(service).tryRetry(nowMs()) === undefined,
        statedLimit: limits.seen,
        crashed: (asked, upstream) => crashes.note(asked, upstream),
        isBarred: asked => view.barred.size > 0 && view.barred.has(fingerprintOf(asked)),
        attemptEnded: ending => metrics.attemptEnded(ending),
        refusedEarly: status => metrics.refused(status),
        whileStopping: labels => metrics.whileStopping(labels),
        count(outcome, asked, tookMs, firstMs) {
            metrics.request(asked.route.name, outcome, tookMs, firstMs);
            requests++;
            const target = asked.route.targets[0]!.service;
            budgetOf(target).succeeded(nowMs());
            const engine = asked.table.service(target)?.engine;
            if (engine !== undefined) {
                workload.ended(engine, asked, outcome);
            }
        },
    });

    metrics.observe("zinnialanding_requests_running", () => server.running);
    metrics.observe("zinnialanding_caller_connections", () => server.connections.open);
    metrics.observe("zinnialanding_caller_connections_unused", () => server.connections.unused);
    metrics.observe("zinnialanding_upstream_connections", () => connections.open);
    metrics.observe("zinnialanding_site_version", () => view.version);
    metrics.observe("zinnialanding_upstreams_limited", () => limits.count);
    metrics.observe("zinnialanding_control_daemons_heard", () => watcher.heard.length);

    const turns = createLoopTurns(nowMs);
    const timers = [
        setInterval(() => {
            turns.turned();
            report();
        }, suspectIntervalMs),
        setInterval(() => connections.sweep(view.addresses), sweepIntervalMs),
    ];

    function whatIsOpen() {
        return { running: server.running, connections: server.connections.open, unused: server.connections.unused };
    }

    async function whileRunning(untilMs: number) {
        while (server.running > 0 && nowMs() < untilMs) {
            await pause(runningCheckMs);
        }
    }

    return {
        get isReady() {
            return !isStopping && view.table !== undefined && view.addresses.size > 0;
        },
        useControls: addresses => watcher.watch(addresses),
        async stop(withinMs) {
            isStopping = true;
            // The platform counts from when it sent the signal: a process that heard it late is ended sooner.
            const signalledMs = turns.signalledAfterMs;
            const closesAtMs = signalledMs + Math.min(balancerNoticeMs, withinMs);
            const untilMs = signalledMs + withinMs;
            server.drain({ closesAtMs, untilMs });
            logger.info("stopping", { ...whatIsOpen(), lateMs: Math.round(nowMs() - signalledMs) });
            await pause(Math.max(0, closesAtMs - nowMs()));
            const closed = await server.closeListener();
            logger.info("listener closed", { closed, ...whatIsOpen() });
            await whileRunning(untilMs);
            const unfinished = server.running;
            server.endRunning();
            await whileRunning(nowMs() + lastAnswersMs);
            timers.forEach(timer => clearInterval(timer));
            server.close();
            watcher.close();
            connections.close();
            logger.info("stopped", { unfinished, linesLeftOut: server.linesLeftOut });
        },
    };
}
