/**
 * How many more requests a group can serve on time, and how many of them this entry may send.
 *
 * @module
 */

import { type Differences, isLearned, onTimeLimit, passMs } from "../latency/index.js";
import type { Route } from "../site/index.js";
import type { Balancer } from "./balancer.js";
import type { LatencyTracker, TrackedModel } from "./latencyTracker.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { ChoiceScoring } from "./scoredChoice.js";
import type { SharedLoads } from "./sharedLoads.js";
import type { Candidate } from "./siteView.js";
import { queueLimitsFor } from "./work.js";

/** The room at one group for one request. */
export interface RoomAtGroup {
    /** The estimated requests of all entries at the group, running and queued. */
    readonly running: number;
    /** The number of requests at the group up to which this one is expected to be on time. */
    readonly limit: number;
    /** The number of requests that this entry may send to the group now. It can be fractional or negative. */
    readonly allowance: number;
    /** The expected time to the first event if the request were sent now, including the network. */
    readonly firstEventMs: number;
    /** The age of the view of the other entries' requests; Infinity if there is none. */
    readonly ageMs: number;
}

export interface GroupRoom {
    /** Returns the room at a candidate; undefined if the site lacks the figures to predict it, in which case fixed bounds apply. */
    at(candidate: Candidate, request: ParsedRequest): RoomAtGroup | undefined;
}

/** What the allowance of an entry at a group is derived from. */
export interface AllowanceInput {
    readonly headId: string;
    /** The number of requests at the group up to which a further one is on time. */
    readonly limit: number;
    /** The requests of the other entries, by a recent view or else by the head's answers; undefined without either. */
    readonly estimatedOthers: number | undefined;
    /** The requests of this entry. */
    readonly own: number;
    /** This entry's share of the requests for the model, from 0 to 1. */
    readonly share: number;
    /** The age of the view of the other entries' requests; Infinity if there is none. */
    readonly ageMs: number;
    /** Returns this entry's requests at all groups of the model. */
    ownAtModel(): number;
}

export interface GroupRoomOptions {
    nowMs(): number;
    readonly balancer: Pick<Balancer, "ownRequests" | "knownLoad">;
    readonly sharedLoads: SharedLoads;
    readonly tracker: LatencyTracker;
    /** Whether overload control is active for a service of the request's site. */
    isActive(service: string, request: ParsedRequest): boolean;
    /** Returns how many requests this entry may send to a group now. */
    allowanceOf(input: AllowanceInput): number;
    /** Returns this entry's requests at all groups of a model. */
    ownAtModel(service: string, model: string): number;
}

export interface PredictingGroupRoom extends GroupRoom {
    /** Returns what a choice for this request compares; undefined if overload control is not active or the site lacks figures. */
    scoringFor(service: string, request: ParsedRequest): ChoiceScoring | undefined;
    /** The lowest on-time limit of a route at a group of usual speed, by model. */
    readonly onTimeLimits: ReadonlyMap<string, number>;
}

/** Speed factors are rounded to a multiple of this for limits, so that limits don't change with each observation. */
const limitFactorStep = 0.25;

/** The limits of one route for the differences of which they were computed, by speed factor and round trip. */
interface CachedLimits {
    readonly differences: Differences;
    readonly byTerms: Map<number, number>;
}

/** Creates the view of the room at groups from predictions, loads and the allowance. */
export function createGroupRoom(options: GroupRoomOptions): PredictingGroupRoom {
    const { nowMs, balancer, sharedLoads, tracker, isActive, allowanceOf, ownAtModel } = options;
    const limitsByModel = new WeakMap<TrackedModel, Map<Route, CachedLimits>>();

    function modelOf(serviceName: string, name: string | undefined, request: ParsedRequest): TrackedModel | undefined {
        const service = request.table.service(serviceName);
        return service === undefined || name === undefined || !isActive(serviceName, request) ? undefined : tracker.model(service, name);
    }

    function cachedLimits(model: TrackedModel, route: Route, differences: Differences): Map<number, number> {
        let byRoute = limitsByModel.get(model);
        if (byRoute === undefined) {
            byRoute = new Map();
            limitsByModel.set(model, byRoute);
        }
        let cached = byRoute.get(route);
        if (cached?.differences !== differences) {
            cached = { differences, byTerms: new Map() };
            byRoute.set(route, cached);
        }
        return cached.byTerms;
    }

    function limitAt(model: TrackedModel, candidate: Candidate, request: ParsedRequest, factor: number, networkMs: number): number {
        const { differences } = model.learned;
        if (!isLearned(differences)) {
            return queueLimitsFor(candidate, request).onTime;
        }
        const { route } = request;
        const steps = Math.max(1 / limitFactorStep, Math.round(factor / limitFactorStep));
        const limits = cachedLimits(model, route, differences);
        const key = steps * 100_000 + Math.round(networkMs * 10);
        let limit = limits.get(key);
        if (limit === undefined) {
            limit = onTimeLimit(model.costs, {
                latenessMs: route.latenessMs ?? route.timeoutMs, pauseMs: route.pauseMs, networkMs, differences,
                factor: steps * limitFactorStep,
            });
            limits.set(key, limit);
        }
        return limit;
    }

    function roomAt(model: TrackedModel, candidate: Candidate, request: ParsedRequest, extraRequests: number, atMs: number): RoomAtGroup {
        const { upstream } = candidate;
        const own = balancer.ownRequests(upstream);
        const known = balancer.knownLoad(upstream, sharedLoads.othersAt(upstream.id));
        const running = known ?? own;
        const networkMs = tracker.roundTripMs(model, upstream.dataCentre);
        const factor = tracker.factorOf(upstream, atMs);
        const limit = limitAt(model, candidate, request, factor, networkMs);
        const { ageMs } = sharedLoads;
        const allowance = allowanceOf({
            headId: upstream.id, limit, estimatedOthers: known === undefined ? undefined : Math.max(0, known - own), own,
            share: sharedLoads.shareOf(model.name), ageMs,
            ownAtModel: () => ownAtModel(upstream.service, model.name),
        });
        const predictedMs = tracker.predictMs(model, upstream, running + extraRequests, request, factor, atMs);
        return { running, limit, allowance, firstEventMs: predictedMs + model.learned.differences.medianMs + networkMs, ageMs };
    }

    return {
        at(candidate, request) {
            const model = modelOf(candidate.upstream.service, candidate.model, request);
            return model === undefined ? undefined : roomAt(model, candidate, request, 0, nowMs());
        },
        scoringFor(service, request) {
            const model = modelOf(service, request.model, request);
            if (model === undefined) {
                return undefined;
            }
            const { medianMs, upperMs } = model.learned.differences;
            const atMs = nowMs();
            return {
                at: (candidate, extraRequests) => roomAt(model, candidate, request, extraRequests, atMs),
                connectMs: ({ upstream }) => tracker.roundTripMs(model, upstream.dataCentre),
                // An event can be late by a pass in any case, also while no differences have been learned.
                errorMs: Math.max(passMs(model.costs, 1), upperMs - medianMs),
            };
        },
        get onTimeLimits() {
            const lowest = new Map<string, number>();
            for (const [name, model] of tracker.models) {
                const limits = [...limitsByModel.get(model)?.values() ?? []].flatMap(({ byTerms }) =>
                    [...byTerms].filter(([key]) => key < (1 / limitFactorStep + 1) * 100_000).map(([, limit]) => limit));
                if (limits.length > 0) {
                    lowest.set(name, Math.min(...limits));
                }
            }
            return lowest;
        },
    };
}
