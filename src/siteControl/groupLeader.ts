/**
 * What the control leader does about groups of engines: watches which upstreams still answer, has `groups` plan, and gives the orders.
 * On a daemon that does not lead it does nothing; what it knew in an earlier term is void.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import type { Report } from "../feed/index.js";
import { type DirectoryState, isLifeOver, mayRun, type Upstream } from "../fleet/index.js";
import {
    type Coverage, type EngineOrder, firstEpochOf, type GroupPhase, type GroupsPlan, type GroupsState, type GroupsView, type ModelCoverage,
    noGroups, type OrderTo, planGroups,
} from "../groups/index.js";
import type { EngineSpec, SiteTable } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import { createDemand } from "./demand.js";
import { createProber, type ProbeResult } from "./prober.js";
import { createProgress } from "./progress.js";

/** How engines are reached. */
export interface Engines {
    /** Resolves to what the engine answered, in a word for the log; rejects where no answer came. */
    order(upstream: Upstream, order: EngineOrder): Promise<string>;
    probe(upstream: Upstream): Promise<ProbeResult>;
}

export interface GroupLeaderOptions {
    readonly log: ConsensusNode;
    readonly engines: Engines;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    /** Whether the site starts for the first time: until requests come, loads are quick. */
    readonly isFirstStart: boolean;
    nowMs(): number;
    directory(): DirectoryState;
    /** Asks for a step soon: something has been learnt that groups may have to follow. */
    wake(): void;
}

export interface GroupLeader {
    /** One step of planning, for the site in force. */
    step(table: SiteTable): void;
    /** Takes what an entry has seen. */
    report(report: Report): void;
    /** Upstreams that answer nobody. */
    readonly lostIds: readonly string[];
    countOf(phase: GroupPhase): number;
    /** How the models of all services are covered, as last worked out; empty while another daemon leads. */
    readonly coverage: readonly ModelCoverage[];
}

/** How often coverage is worked out for the log and the metrics; a line is written when it has changed. */
const coverageIntervalMs = 1_000;

/** Creates the part of the role that acts only while it leads. */
export function createGroupLeader(options: GroupLeaderOptions): GroupLeader {
    const { log, logger, engines, metrics, nowMs } = options;
    const demand = createDemand();
    const progress = createProgress(nowMs);
    const states = new Map<string, GroupsState>();
    const coverages = new Map<string, { readonly atMs: number; readonly coverage: Coverage }>();
    let isLeading = false;
    /** The term of the log in which this process has led last, and since when. */
    let planTerm = 0;
    let leadsSinceMs = 0;
    let hasTraffic = !options.isFirstStart;

    const prober = createProber({
        nowMs,
        probe: upstream => engines.probe(upstream),
        judged(upstream, result) {
            if (result !== "answered") {
                options.wake();
                logger.info("upstream gave no answer", { upstream: upstream.id, result, heardAgoMs: Math.round(nowMs() - upstream.heardAtMs) });
            }
        },
    });

    /**
     * Whether this process leads now. A quorum that is busy confirms the lease late now and then. As long as the term is the same nobody
     * else has led, so what is known of groups holds; forgotten, it would cost callers the wait of a new leader at every such moment, and
     * epochs that name two groups.
     */
    function noteLeading(): boolean {
        if (!log.leaseHeld) {
            if (isLeading) {
                logger.info("leads no more", { term: log.term });
                isLeading = false;
                coverages.clear();
            }
            return false;
        }
        if (planTerm !== log.term) {
            leadsSinceMs = nowMs();
            planTerm = log.term;
            states.clear();
            prober.forget();
        }
        if (!isLeading) {
            isLeading = true;
            logger.info("leads", { term: log.term });
        }
        return true;
    }

    function send(upstream: Upstream, { order, reason }: OrderTo) {
        const sentAtMs = nowMs();
        const facts = { upstream: upstream.id, order, reason };
        engines.order(upstream, order).then(outcome => {
            metrics.order(order.kind, outcome.slice(0, 3));
            logger.info("order answered", { ...facts, outcome, tookMs: Math.round(nowMs() - sentAtMs) });
        }, (error: Error) => {
            metrics.order(order.kind, "none");
            logger.warn("order without an answer", { ...facts, error: error.message });
        });
    }

    function viewOf(engine: EngineSpec, upstreams: ReadonlyMap<string, Upstream>): GroupsView {
        const directory = options.directory();
        return {
            nowMs: nowMs(),
            leadsSinceMs,
            engine,
            upstreams,
            isLost: id => prober.isLost(id),
            isRefusing: id => prober.isRefusing(id),
            isLifeOver: id => isLifeOver(directory, id),
            isMoving: (headId, lostId) => progress.isMoving(headId, prober.lostSinceMs(lostId) ?? nowMs()),
            evacuated: log.state.published.evacuated,
            demand: demand.read(nowMs(), engine.models, upstreams.size),
            hasTraffic,
        };
    }

    /** Tells what the division of VMs rests on. Demand moves with every request: alone it is no reason for a line. */
    function noteCoverage(service: string, plan: GroupsPlan) {
        const last = coverages.get(service);
        if (last !== undefined && nowMs() - last.atMs < coverageIntervalMs) {
            return;
        }
        const coverage = plan.coverage();
        coverages.set(service, { atMs: nowMs(), coverage });
        const divisionOf = ({ models, freeVms }: Coverage) => JSON.stringify([models.map(({ model, groups }) => [model, groups]), freeVms]);
        if (last === undefined || divisionOf(last.coverage) !== divisionOf(coverage)) {
            logger.info("models covered", { service, ...coverage });
        }
    }

    function planService(service: string, engine: EngineSpec, upstreams: ReadonlyMap<string, Upstream>) {
        const known = states.get(service) ?? { ...noGroups, lastEpoch: firstEpochOf(planTerm) };
        const planned = planGroups(known, viewOf(engine, upstreams));
        states.set(service, planned.state);
        noteCoverage(service, planned);
        planned.notes.forEach(note => logger.info("group changed", { ...note }));
        planned.orders.forEach(item => send(options.directory().get(item.upstreamId)!, item));
    }

    return {
        step(table) {
            if (!noteLeading()) {
                return;
            }
            const running = mayRun(options.directory());
            prober.look(running.filter(upstream => table.service(upstream.service) !== undefined));
            const living = running.filter(upstream => !prober.isRefusing(upstream.id));
            for (const { name, engine } of table.site.services) {
                if (engine !== undefined && engine.models.length > 0) {
                    const upstreams = living.filter(upstream => upstream.service === name);
                    planService(name, engine, new Map(upstreams.map(upstream => [upstream.id, upstream])));
                }
            }
        },
        report(taken) {
            demand.add(taken.workByModel, nowMs());
            if (taken.requests > 0 && !hasTraffic) {
                hasTraffic = true;
                logger.info("first requests of callers were reported");
            }
            taken.movingIds.forEach(progress.recordMoving);
            taken.suspectIds.forEach(progress.recordSuspect);
            const groups = [...states.values()].flatMap(state => [...state.groups.values()]);
            const members = groups.filter(group => taken.suspectIds.includes(group.memberIds[0]!)).flatMap(group => group.memberIds);
            prober.suspect([...taken.suspectIds, ...members]);
            if (taken.suspectIds.length > 0 && isLeading) {
                options.wake();
            }
        },
        get lostIds() {
            return prober.lostIds;
        },
        get coverage() {
            return [...coverages.values()].flatMap(({ coverage }) => coverage.models);
        },
        countOf: phase => [...states.values()].flatMap(state => [...state.groups.values()]).filter(group => group.phase === phase).length,
    };
}
