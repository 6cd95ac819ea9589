/**
 * The choice among eligible upstreams: an interface with one class per policy. Ineligible upstreams are filtered out before; see
 * `chooseUpstream`.
 *
 * @module
 */

import { isHinted } from "./cacheHints.js";
import { effectiveCapacity, estimatedRunning, freeSlots, medianLatencyMs, slowdownFactor } from "./load.js";
import { hashText, rank } from "./rendezvous.js";
import type { KnownUpstream, RoutingState } from "./state.js";
import type { RouteRequest } from "./types.js";

/** Picks one of `eligible`, which is not empty. Returns undefined if the request should wait. */
export interface UpstreamPolicy {
    pick(state: RoutingState, request: RouteRequest, eligible: readonly KnownUpstream[]): KnownUpstream | undefined;
}

/**
 * The preferred upstream is passed over only if its cost exceeds that of the alternative by this factor, because moving loses the cached
 * prefix.
 */
const affinityMargin = 1.5;
/** The number of top-ranked upstreams that share the load of one hot prefix. */
const affineChoices = 2;

/**
 * Prefix affinity with two choices. The prefix ranks the upstreams with free slots; a hinted upstream, or else the first, gets the request
 * unless the alternative among the first two costs clearly less. Without a prefix, two random upstreams are compared. Upstreams in the
 * local data centre are preferred; the others are used only while it has no free slot.
 */
export class AffinityTwoChoices implements UpstreamPolicy {
    pick(state: RoutingState, request: RouteRequest, eligible: readonly KnownUpstream[]): KnownUpstream | undefined {
        const free = eligible.filter(known => freeSlots(known, state, request.nowMs) > 0);
        const local = free.filter(known => known.upstream.dataCentre === state.dataCentre);
        const tier = local.length > 0 ? local : free;
        if (tier.length === 0) {
            return undefined;
        }
        const medianMs = medianLatencyMs(eligible);
        const cost = (known: KnownUpstream) =>
            (estimatedRunning(known, state.policy, request.nowMs) + 1) / effectiveCapacity(known, state.policy, request.nowMs) *
            slowdownFactor(known, medianMs, state.policy, request.nowMs);
        return request.prefixKey === undefined
            ? this.pickRandom(request, tier, cost)
            : this.pickAffine(state, request, request.prefixKey, tier, cost);
    }

    private pickAffine(
        state: RoutingState, request: RouteRequest, prefixKey: string, tier: readonly KnownUpstream[],
        cost: (known: KnownUpstream) => number,
    ): KnownUpstream {
        const ranked = rank(hashText(prefixKey), tier, known => known.hash, tier.length);
        const [first, second] = ranked.slice(0, affineChoices);
        const hinted = ranked.find(known => isHinted(state.hints, known.upstream.upstreamId, prefixKey, request.nowMs));
        const preferred = hinted ?? first!;
        const other = preferred === first ? second : first;
        return other === undefined || cost(preferred) <= cost(other) * affinityMargin ? preferred : other;
    }

    private pickRandom(request: RouteRequest, tier: readonly KnownUpstream[], cost: (known: KnownUpstream) => number): KnownUpstream {
        // The two must differ: with n upstreams, a straggler would be compared with itself and win in one of n choices.
        const index = Math.floor(request.random * tier.length * Math.max(1, tier.length - 1));
        const firstIndex = index % tier.length;
        const first = tier[firstIndex]!;
        const second = tier[(firstIndex + 1 + Math.floor(index / tier.length)) % tier.length]!;
        return cost(first) <= cost(second) ? first : second;
    }
}

/** Baseline: uniformly random choice. */
export class RandomChoice implements UpstreamPolicy {
    pick(_state: RoutingState, request: RouteRequest, eligible: readonly KnownUpstream[]): KnownUpstream | undefined {
        return eligible[Math.floor(request.random * eligible.length)];
    }
}

/** Baseline: round robin. */
export class RoundRobin implements UpstreamPolicy {
    private turn = 0;

    pick(_state: RoutingState, _request: RouteRequest, eligible: readonly KnownUpstream[]): KnownUpstream | undefined {
        return eligible[this.turn++ % eligible.length];
    }
}
