/**
 * Learns from the first events and the pauses between events of this entry's own streams: for each model how far predicted first events
 * are off, for each group how fast it is and how many prompt tokens it has not read.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import {
    addDifference, addSpeedSample, type Backlog, createGroupSpeed, createModelCosts, type Differences, emptyBacklog, type GroupSpeed,
    isLearned, type ModelCosts, noDifferences, passMs, predictFirstEventMs, roundTripMs, speedFactor, type SpeedSample, unreadTokens,
    usualUnreadTokens,
} from "../latency/index.js";
import type { EngineSpec, SiteService } from "../site/index.js";
import type { Logger } from "../telemetry/index.js";
import type { ParsedRequest } from "./parsedRequest.js";
import { estimateWork } from "./work.js";

/** A model with all figures that a prediction needs. */
export interface TrackedModel {
    readonly name: string;
    readonly engine: EngineSpec;
    readonly costs: ModelCosts;
    readonly learned: { differences: Differences };
    /** The network's round trip between this entry and data centres, filled as they are asked for. */
    readonly roundTripsMs: Map<string, number>;
}

/** Observes the stream of one attempt. */
export interface AttemptObservation {
    /** Records that `count` events have come now. `wasPaused`: reading was paused at some time since the last ones. */
    eventsReceived(count: number, wasPaused: boolean): void;
}

/** What an attempt reports about its stream. */
export interface LatencyObserver {
    /** Called right before a request is sent; undefined if its stream is not observed. `isNewConnection`: a connection has to be opened. */
    requestSent(upstream: Upstream, request: ParsedRequest, isNewConnection: boolean): AttemptObservation | undefined;
}

export interface LatencyTracker extends LatencyObserver {
    /** Returns the model of a service; undefined if the site lacks a figure, which is logged once, or there is no such model. */
    model(service: SiteService, name: string): TrackedModel | undefined;
    /**
     * Predicts the time to the first event without the network and the learned difference, at a group that runs `requests` requests and has
     * the speed factor `factor`.
     */
    predictMs(model: TrackedModel, upstream: Upstream, requests: number, request: ParsedRequest, factor: number, atMs: number): number;
    /** Returns the speed factor of a group relative to the usual one of its model; 1 if nothing has been observed of it. */
    factorOf(upstream: Upstream, atMs: number): number;
    /** The network's round trip between this entry and a data centre. */
    roundTripMs(model: TrackedModel, dataCentre: string): number;
    /** The models of the newest site, by name. */
    readonly models: ReadonlyMap<string, TrackedModel>;
    /** The highest speed factor of a group, by model. */
    readonly highestFactors: ReadonlyMap<string, number>;
}

export interface LatencyTrackerOptions {
    readonly dataCentre: string;
    readonly logger: Pick<Logger, "info" | "warn">;
    nowMs(): number;
    /** Whether this process has been unable to read at some time since `sinceMs`, so that events seem later than they were. */
    hasBlockedSince(sinceMs: number): boolean;
    /** Whether the streams of a request's service are observed. */
    isActive(service: string, request: ParsedRequest): boolean;
    /** The requests at an upstream; undefined if only this entry's own are known. */
    knownLoad(upstream: Upstream): number | undefined;
    ownRequests(upstream: Upstream): number;
}

/** A prompt counts as at most this many usual ones, so that an absurd hint of a caller doesn't make a group look occupied for minutes. */
const maxUsualPrompts = 64;
/** Groups that are not in use for this long are not shown in the gauge of the highest factor. */
const gaugeRetentionMs = 10_000;
/** What was observed of a group is forgotten after this time, in which its speed factor has returned to 1. */
const headRetentionMs = 60_000;

interface HeadState {
    model: string;
    speed: GroupSpeed;
    backlog: Backlog;
    /** The speed factor, and until when it is used without being computed again. */
    factor: number;
    factorUntilMs: number;
}

/** With fewer groups in use, their median says little about the model. */
const minGroupsForMedian = 3;
/** A factor changes by less than a hundredth within this time, unless there is a new sample. */
const factorRetentionMs = 50;

/** Creates a tracker without any observations. */
export function createLatencyTracker(options: LatencyTrackerOptions): LatencyTracker {
    const { nowMs, logger, knownLoad, ownRequests } = options;
    const heads = new Map<string, HeadState>();
    const modelsByEngine = new WeakMap<EngineSpec, Map<string, TrackedModel | undefined>>();
    const learnedByModel = new Map<string, TrackedModel["learned"]>();
    const newestModels = new Map<string, TrackedModel>();

    function createTrackedModel(service: SiteService, engine: EngineSpec, name: string): TrackedModel | undefined {
        const { groupMs } = estimateWork(engine, name, engine.usualPromptTokens, engine.usualAnswerTokens);
        const costs = createModelCosts(engine, name, groupMs);
        if (costs === undefined) {
            logger.warn("the site lacks figures to predict first events", { service: service.name, model: name });
            return undefined;
        }
        const key = `${service.name} ${name}`;
        const learned = learnedByModel.get(key) ?? { differences: noDifferences };
        learnedByModel.set(key, learned);
        const model = { name, engine, costs, learned, roundTripsMs: new Map<string, number>() };
        newestModels.set(name, model);
        return model;
    }

    function modelOf(service: SiteService, name: string): TrackedModel | undefined {
        const { engine } = service;
        if (engine === undefined) {
            return undefined;
        }
        let byName = modelsByEngine.get(engine);
        if (byName === undefined) {
            byName = new Map();
            modelsByEngine.set(engine, byName);
        }
        // A model that the site doesn't have is not stored: callers choose the names.
        if (!byName.has(name) && engine.models.some(model => model.name === name)) {
            byName.set(name, createTrackedModel(service, engine, name));
        }
        return byName.get(name);
    }

    function isCurrent(speed: GroupSpeed, { bornMs, group }: Upstream): boolean {
        return speed.bornMs === bornMs && speed.epoch === (group?.epoch ?? 0);
    }

    /** Returns the state of a head, new if its incarnation or the epoch of its group is. */
    function stateOf(upstream: Upstream, model: string): HeadState {
        const known = heads.get(upstream.id);
        if (known !== undefined && isCurrent(known.speed, upstream)) {
            return known;
        }
        const speed = createGroupSpeed(upstream.bornMs, upstream.group?.epoch ?? 0, nowMs());
        [...heads].filter(([, head]) => nowMs() - head.speed.atMs > headRetentionMs).forEach(([id]) => heads.delete(id));
        const state = { model, speed, backlog: emptyBacklog, factor: 1, factorUntilMs: 0 };
        heads.set(upstream.id, state);
        return state;
    }

    /**
     * The median speed factor of the groups of a model that are in use, at least 1. All groups are slower than predicted where the engine's
     * stated costs are too low; that is part of the learned differences, and must not count a second time as the slowness of each group.
     */
    function medianFactor(model: string, atMs: number): number {
        const factors = [...heads.values()]
            .filter(head => head.model === model && atMs - head.speed.atMs < gaugeRetentionMs)
            .map(({ speed }) => speedFactor(speed, atMs))
            .sort((a, b) => a - b);
        return factors.length < minGroupsForMedian ? 1 : Math.max(1, factors[Math.floor((factors.length - 1) / 2)]!);
    }

    function factorOf(upstream: Upstream, atMs: number): number {
        const known = heads.get(upstream.id);
        if (known === undefined || !isCurrent(known.speed, upstream)) {
            return 1;
        }
        if (atMs >= known.factorUntilMs) {
            known.factor = speedFactor(known.speed, atMs) / medianFactor(known.model, atMs);
            known.factorUntilMs = atMs + factorRetentionMs;
        }
        return known.factor;
    }

    function promptTokensOf({ costs }: TrackedModel, { promptTokens }: ParsedRequest): number {
        return Math.min(promptTokens || costs.usualPromptTokens, maxUsualPrompts * costs.usualPromptTokens);
    }

    /** The unread tokens ahead of a new request: those that this entry has sent, and the usual ones of other entries. */
    function unreadAt({ costs }: TrackedModel, upstream: Upstream, requests: number, factor: number, atMs: number): number {
        const known = heads.get(upstream.id);
        const backlog = known !== undefined && isCurrent(known.speed, upstream) ? known.backlog : emptyBacklog;
        const own = unreadTokens(backlog, costs, requests, factor, atMs);
        const othersShare = requests > 0 ? Math.max(0, requests - ownRequests(upstream)) / requests : 0;
        return own + usualUnreadTokens(costs, requests) * othersShare;
    }

    function predictMs(
        model: TrackedModel, upstream: Upstream, requests: number, request: ParsedRequest, factor: number, atMs: number,
    ): number {
        const unread = unreadAt(model, upstream, requests, factor, atMs);
        return predictFirstEventMs(model.costs, requests, promptTokensOf(model, request), unread) * factor;
    }

    function addSample(upstream: Upstream, model: TrackedModel, { observedMs, predictedMs }: SpeedSample, requests: number) {
        const state = stateOf(upstream, model.name);
        const before = state.speed;
        state.speed = addSpeedSample(before, { observedMs, predictedMs }, nowMs());
        state.factorUntilMs = 0;
        if (state.speed.isSlow !== before.isSlow) {
            logger.info(state.speed.isSlow ? "group is slower than predicted" : "group is about as fast as predicted again", {
                upstream: upstream.id, group: upstream.group?.name, model: model.name, requests,
                factor: Number(factorOf(upstream, nowMs()).toFixed(2)), observedMs: Math.round(state.speed.observedMs),
                predictedMs: Math.round(state.speed.predictedMs),
                lastObservedMs: Math.round(observedMs), lastPredictedMs: Math.round(predictedMs),
            });
        }
    }

    function roundTripTo({ engine, roundTripsMs }: TrackedModel, dataCentre: string): number {
        let ms = roundTripsMs.get(dataCentre);
        if (ms === undefined) {
            ms = roundTripMs(engine, options.dataCentre, dataCentre);
            roundTripsMs.set(dataCentre, ms);
        }
        return ms;
    }

    function observe(upstream: Upstream, model: TrackedModel, request: ParsedRequest, isNewConnection: boolean): AttemptObservation {
        const sentAtMs = nowMs();
        const load = knownLoad(upstream);
        const factorAtSending = factorOf(upstream, sentAtMs);
        const predictedMs = predictMs(model, upstream, load ?? ownRequests(upstream), request, factorAtSending, sentAtMs);
        const networkMs = roundTripTo(model, upstream.dataCentre) * (isNewConnection ? 2 : 1);
        let lastEventAtMs: number | undefined;

        function firstEventReceived(observedMs: number) {
            // The time of requests that wait for a slot depends on their order there, so it says little about a request that does not.
            if (load === undefined || load > model.costs.slots) {
                return;
            }
            const { differences } = model.learned;
            if (isLearned(differences)) {
                const engineMs = observedMs - differences.medianMs;
                addSample(upstream, model, { observedMs: engineMs, predictedMs: predictedMs / factorAtSending }, load);
            }
            model.learned.differences = addDifference(
                differences, observedMs - predictedMs, passMs(model.costs, load) * factorAtSending, nowMs(),
            );
        }

        function pauseEnded(pauseMs: number, count: number) {
            const requests = knownLoad(upstream);
            if (requests !== undefined) {
                addSample(upstream, model, { observedMs: pauseMs, predictedMs: passMs(model.costs, requests) * count }, requests);
            }
        }

        return {
            eventsReceived(count, wasPaused) {
                const previousMs = lastEventAtMs;
                lastEventAtMs = nowMs();
                if (wasPaused || options.hasBlockedSince(previousMs ?? sentAtMs)) {
                    return;
                }
                if (previousMs === undefined) {
                    firstEventReceived(lastEventAtMs - sentAtMs - networkMs);
                }
                else {
                    pauseEnded(lastEventAtMs - previousMs, count);
                }
            },
        };
    }

    return {
        model: modelOf,
        predictMs,
        factorOf,
        roundTripMs: roundTripTo,
        requestSent(upstream, request, isNewConnection) {
            const service = request.table.service(upstream.service);
            if (service === undefined || request.model === undefined || !options.isActive(service.name, request)) {
                return undefined;
            }
            const model = modelOf(service, request.model);
            if (model === undefined) {
                return undefined;
            }
            const observation = observe(upstream, model, request, isNewConnection);
            const state = stateOf(upstream, model.name);
            const requests = knownLoad(upstream) ?? ownRequests(upstream);
            const atMs = nowMs();
            const unread = unreadTokens(state.backlog, model.costs, requests, factorOf(upstream, atMs), atMs);
            state.backlog = { tokens: unread + promptTokensOf(model, request), atMs };
            return observation;
        },
        models: newestModels,
        get highestFactors() {
            const highest = new Map<string, number>();
            for (const { model, speed } of heads.values()) {
                if (nowMs() - speed.atMs < gaugeRetentionMs) {
                    highest.set(model, Math.max(highest.get(model) ?? 0, speedFactor(speed, nowMs())));
                }
            }
            return highest;
        },
    };
}
