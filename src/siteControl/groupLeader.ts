/**
 * The control leader's management of engine groups: probes upstreams, plans groups with `groups`, and sends orders to the engines. On a
 * daemon that is not the leader it does nothing. State from an earlier term is discarded.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import type { Report } from "../feed/index.js";
import { type DirectoryState, hasIncarnationEnded, possiblyRunning, type Pushbacks, type Upstream, type UpstreamSignals } from "../fleet/index.js";
import {
    type Coverage, type EngineOrder, firstEpochOf, type GroupPhase, type GroupsPlan, type GroupsState, type GroupsView, type ModelCoverage,
    emptyGroupsState, type AddressedOrder, createUnansweredOrders, planGroups, withoutLastOrder,
} from "../groups/index.js";
import { callsForOverloadControl, type EngineSpec, type OverloadMode, type SiteTable } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import type { Forecast } from "./forecast.js";
import { createOrderSender } from "./orderSender.js";
import { createPlannedDemand } from "./plannedDemand.js";
import { createProber, type ProbeResult } from "./prober.js";
import { createProgress } from "./progress.js";
import type { UpstreamInquirer } from "./restoration.js";

/** An engine's answer, and what it states about the engine; undefined if there was no answer or another upstream sent it. */
export interface EngineAnswer<Outcome> {
    readonly outcome: Outcome;
    readonly signals: UpstreamSignals | undefined;
}

/** Sends requests to engines. */
export interface EngineClient {
    /**
     * Resolves to a short form of the engine's answer, for the log; rejects if there was no answer. If `expectedRevision` is given, the
     * engine refuses the order, with status 409, unless it has accepted exactly so many orders since its start.
     */
    order(upstream: Upstream, order: EngineOrder, expectedRevision?: number): Promise<EngineAnswer<string>>;
    probe(upstream: Upstream): Promise<EngineAnswer<ProbeResult>>;
}

export interface GroupLeaderOptions {
    readonly log: ConsensusNode;
    readonly engines: EngineClient & UpstreamInquirer;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    /** Whether the site starts for the first time, in which case loads are quick until the first requests arrive. */
    readonly isFirstStart: boolean;
    /** The interval at which upstreams announce themselves. */
    readonly heartbeatMs: number;
    /** For which services plans are made for a shortage of capacity; `auto` if absent. */
    readonly overloadMode?: OverloadMode | undefined;
    nowMs(): number;
    directory(): DirectoryState;
    /** The pushbacks that this VM has received. */
    readonly pushbacks: Pushbacks;
    /** Records what an engine's answer states about it. */
    recordSignals(upstream: Upstream, signals: UpstreamSignals): void;
    /** Requests a planning step soon, after a change that may affect groups. */
    requestPlanning(): void;
}

export interface GroupLeader {
    /** Runs one planning step for the site in force. */
    planStep(table: SiteTable): void;
    /** Records the report of an entry. */
    recordReport(report: Report): void;
    /** Upstreams that do not respond. */
    readonly lostIds: readonly string[];
    groupCount(phase: GroupPhase): number;
    /** The latest coverage of the models of all services; empty while another daemon leads. */
    readonly coverage: readonly ModelCoverage[];
    /** The latest forecasts of demand by model; empty while no plans are made for a shortage. */
    readonly forecasts: ReadonlyMap<string, Forecast>;
}

/** How often coverage is computed for the log and the metrics. It is logged only if the allocation of VMs has changed. */
const coverageIntervalMs = 1_000;

/** Creates a group leader, which acts only while this daemon holds the leader's lease. */
export function createGroupLeader(options: GroupLeaderOptions): GroupLeader {
    const { log, logger, engines, metrics, nowMs } = options;
    const plannedDemand = createPlannedDemand(nowMs, logger);
    const progress = createProgress(nowMs);
    const unansweredOrders = createUnansweredOrders(nowMs);
    const stateByService = new Map<string, GroupsState>();
    const coverageByService = new Map<string, { readonly atMs: number; readonly coverage: Coverage }>();
    let isLeading = false;
    /** The latest term in which this process has been the leader; `leadsSinceMs` is the time at which it became the leader. */
    let lastLedTerm = 0;
    let leadsSinceMs = 0;
    let hasTraffic = !options.isFirstStart;

    const prober = createProber({
        nowMs,
        heartbeatMs: options.heartbeatMs,
        async probe(upstream) {
            const { outcome, signals } = await engines.probe(upstream);
            recordSignals(upstream, signals);
            return outcome;
        },
        onResult(upstream, result) {
            if (result !== "answered") {
                options.requestPlanning();
                logger.info("upstream gave no answer", { upstream: upstream.id, result, heardAgoMs: Math.round(nowMs() - upstream.heardAtMs) });
            }
        },
    });

    const orderSender = createOrderSender({ engines, unansweredOrders, logger, metrics, nowMs, recordSignals });

    function recordSignals(upstream: Upstream, signals: UpstreamSignals | undefined) {
        if (signals !== undefined) {
            options.recordSignals(upstream, signals);
        }
    }

    /**
     * Updates the leadership state and returns whether this process is the leader. A busy quorum sometimes confirms the lease late. While
     * the term is unchanged, no other process has led, so the known state of groups remains valid. Discarding it at each such lapse would
     * make callers wait as after a change of leader and would assign one epoch to two groups.
     */
    function updateLeadership(): boolean {
        if (!log.leaseHeld) {
            if (isLeading) {
                logger.info("leads no more", { term: log.term });
                isLeading = false;
                coverageByService.clear();
            }
            return false;
        }
        if (lastLedTerm !== log.term) {
            leadsSinceMs = nowMs();
            lastLedTerm = log.term;
            stateByService.clear();
            prober.reset();
        }
        if (!isLeading) {
            isLeading = true;
            logger.info("leads", { term: log.term });
        }
        return true;
    }

    /** Sends an order unless a later step has planned another one for the upstream. */
    function sendOrder(service: string, item: AddressedOrder) {
        const { upstreamId } = item;
        const lastOrder = () => stateByService.get(service)?.lastOrders.get(upstreamId);
        const planned = lastOrder();
        const isCurrent = () => planned !== undefined && lastOrder() === planned;
        orderSender.send(options.directory().get(upstreamId)!, item, {
            isWanted: () => log.leaseHeld && log.term === lastLedTerm && isCurrent(),
            onVoid() {
                if (isCurrent()) {
                    stateByService.set(service, withoutLastOrder(stateByService.get(service)!, upstreamId));
                }
            },
        });
    }

    function viewOf(engine: EngineSpec, upstreams: ReadonlyMap<string, Upstream>, plansForShortage: boolean): GroupsView {
        const directory = options.directory();
        const demand = plannedDemand.averageVms(engine.models, upstreams.size);
        return {
            nowMs: nowMs(),
            leadsSinceMs,
            heartbeatMs: options.heartbeatMs,
            engine,
            upstreams,
            isLost: id => prober.isLost(id),
            isRefusing: id => prober.isRefusing(id),
            hasPushedBack: id => options.pushbacks.leftMs(id) > 0,
            hasIncarnationEnded: id => hasIncarnationEnded(directory, id),
            unansweredOrders,
            isMakingProgress: (headId, lostId) => progress.isMakingProgress(headId, prober.lostSinceMs(lostId) ?? nowMs()),
            evacuatedDataCentres: log.state.published.evacuated,
            demand,
            plansForShortage,
            forecastDemand: horizonMs => plannedDemand.forecastVms(horizonMs, demand),
            hasTraffic,
        };
    }

    /** Computes the coverage and logs it if the allocation has changed. A change of demand alone, as with every request, is not logged. */
    function updateCoverage(service: string, plan: GroupsPlan) {
        const previous = coverageByService.get(service);
        if (previous !== undefined && nowMs() - previous.atMs < coverageIntervalMs) {
            return;
        }
        const coverage = plan.coverage();
        coverageByService.set(service, { atMs: nowMs(), coverage });
        const allocationOf = ({ models, freeVms }: Coverage) =>
            JSON.stringify([models.map(({ model, groups }) => [model, groups]), freeVms]);
        if (previous === undefined || allocationOf(previous.coverage) !== allocationOf(coverage)) {
            logger.info("models covered", { service, ...coverage });
        }
    }

    function planService(service: string, table: SiteTable, engine: EngineSpec, upstreams: ReadonlyMap<string, Upstream>) {
        upstreams.forEach(unansweredOrders.recordReported);
        const state = stateByService.get(service) ?? { ...emptyGroupsState, lastEpoch: firstEpochOf(lastLedTerm) };
        const plansForShortage = callsForOverloadControl(service, table.site, options.overloadMode);
        const plan = planGroups(state, viewOf(engine, upstreams, plansForShortage));
        stateByService.set(service, plan.state);
        updateCoverage(service, plan);
        plan.transitions.forEach(transition => logger.info("group changed", { ...transition }));
        plan.orders.forEach(item => sendOrder(service, item));
    }

    return {
        planStep(table) {
            if (!updateLeadership()) {
                return;
            }
            const running = possiblyRunning(options.directory());
            const mayProbe = ({ id, service }: Upstream) => table.service(service) !== undefined && options.pushbacks.leftMs(id) === 0;
            prober.probeDue(running.filter(mayProbe));
            const reachable = running.filter(upstream => !prober.isRefusing(upstream.id));
            for (const { name, engine } of table.site.services) {
                if (engine !== undefined && engine.models.length > 0) {
                    const upstreams = reachable.filter(upstream => upstream.service === name);
                    planService(name, table, engine, new Map(upstreams.map(upstream => [upstream.id, upstream])));
                }
            }
        },
        recordReport(report) {
            plannedDemand.addWork(report.workByModel, options.directory().size);
            if (report.requests > 0 && !hasTraffic) {
                hasTraffic = true;
                logger.info("first requests were reported");
            }
            report.movingIds.forEach(progress.recordMoving);
            report.suspectIds.forEach(progress.recordSuspect);
            const groups = [...stateByService.values()].flatMap(state => [...state.groups.values()]);
            const members = groups.filter(group => report.suspectIds.includes(group.memberIds[0]!)).flatMap(group => group.memberIds);
            prober.markSuspect([...report.suspectIds, ...members]);
            if (report.suspectIds.length > 0 && isLeading) {
                options.requestPlanning();
            }
        },
        get lostIds() {
            return prober.lostIds;
        },
        get coverage() {
            return [...coverageByService.values()].flatMap(({ coverage }) => coverage.models);
        },
        get forecasts() {
            return plannedDemand.latest;
        },
        groupCount: phase =>
            [...stateByService.values()].flatMap(state => [...state.groups.values()]).filter(group => group.phase === phase).length,
    };
}
