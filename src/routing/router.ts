/**
 * The router of one entry: it holds the routing state and lets a policy choose the upstream of each attempt.
 *
 * @module
 */

import { freeSlots } from "./load.js";
import { AffinityTwoChoices, type UpstreamPolicy } from "./policies.js";
import { initialRouting, type KnownUpstream, observe, type RoutingEvent, type RoutingPolicy, type RoutingState } from "./state.js";
import type { RouteRequest, RouteChoice } from "./types.js";

const noUpstreamRetryAfterMs = 1_000;
const minBusyRetryAfterMs = 50;

/**
 * Returns whether the upstream may receive new work for the service and model. Unready and leaving upstreams are not in the state at all.
 * Drained data centres are checked here, since the configuration may be newer than the directory.
 */
function canServe(state: RoutingState, known: KnownUpstream, request: Pick<RouteRequest, "service" | "model">): boolean {
    const { upstream } = known;
    return upstream.service === request.service && !state.drained.has(upstream.dataCentre) &&
        (request.model === undefined || upstream.models.length === 0 || upstream.models.includes(request.model));
}

/** Chooses an upstream for one attempt. No policy can choose a drained, leaving, unready or excluded upstream. */
export function chooseUpstream(state: RoutingState, request: RouteRequest, policy: UpstreamPolicy): RouteChoice {
    const serving = [...state.known.values()]
        .filter(known => canServe(state, known, request) && !request.exclude.has(known.upstream.upstreamId));
    if (serving.length === 0) {
        return { kind: "none", reason: "no-upstream", retryAfterMs: noUpstreamRetryAfterMs };
    }
    const eligible = serving.filter(known => known.backoffUntilMs <= request.nowMs);
    const picked = eligible.length === 0 ? undefined : policy.pick(state, request, eligible);
    if (picked !== undefined) {
        return { kind: "upstream", upstreamId: picked.upstream.upstreamId };
    }
    const retryAfterMs = Math.min(...serving.map(known => Math.max(minBusyRetryAfterMs, known.backoffUntilMs - request.nowMs)));
    return { kind: "none", reason: "busy", retryAfterMs };
}

/** Returns how many attempts the known upstreams of a service could take now. */
export function freeSlotsForService(state: RoutingState, request: Pick<RouteRequest, "service" | "model" | "nowMs">): number {
    let free = 0;
    for (const known of state.known.values()) {
        if (canServe(state, known, request) && known.backoffUntilMs <= request.nowMs) {
            free += freeSlots(known, state, request.nowMs);
        }
    }
    return free;
}

/** A mutable router over the routing state of one entry. */
export class UpstreamRouter {
    private state: RoutingState;

    constructor(
        entryId: string,
        dataCentre: string,
        private readonly policy: UpstreamPolicy = new AffinityTwoChoices(),
        routingPolicy?: RoutingPolicy,
    ) {
        this.state = initialRouting(entryId, dataCentre, routingPolicy);
    }

    choose(request: RouteRequest): RouteChoice {
        return chooseUpstream(this.state, request, this.policy);
    }

    observe(event: RoutingEvent) {
        this.state = observe(this.state, event);
    }

    /** Returns whether any known upstream serves the service and model, busy or not. */
    hasUpstreamFor(request: Pick<RouteRequest, "service" | "model">): boolean {
        return [...this.state.known.values()].some(known => canServe(this.state, known, request));
    }

    freeSlots(request: Pick<RouteRequest, "service" | "model" | "nowMs">): number {
        return freeSlotsForService(this.state, request);
    }
}
