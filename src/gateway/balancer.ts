/**
 * Load balancing: chooses the upstream for a request, and tracks the state of each upstream from the answers that this entry has seen.
 *
 * Designed for several entries that share a few short-lived groups, where an entry learns the load of a group only from answers. The load
 * estimate is the last reported load plus what this entry has sent since, so that a burst between two answers is spread as well. A head
 * all of whose streams are stalled has probably lost a member, and is avoided until an event comes again.
 *
 * An upstream that can't finish more requests on time also has a late queue: a few requests of lower priority that are served late.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import { shareOfColdRate } from "./entryCount.js";
import { chooseByFirstEvent, type ChoiceScoring, type ScoredCandidate } from "./scoredChoice.js";
import type { Candidate } from "./siteView.js";
import {
    estimateLoad, decayedFailures, createUpstreamState, hasRecentLoad, isLateQueueStalled, isMakingProgress, isStalled, isSuspect,
    lateShare, refillLimitTokens, type UpstreamState,
} from "./upstreamState.js";

/** How long a late queue is blocked after a caller has left it unserved. An overload that outlasts a caller lasts for seconds more. */
const lateQueueBlockMs = 3_000;
/** Exponential backoff after failures: an upstream is avoided for this long, doubled with each further failure. */
const baseBackoffMs = 400;
const maxBackoffMs = 5_000;
/** Each recent failure counts as much as this many requests. */
const failureWeight = 6;

export interface Balancer {
    /** Returns the best candidate, or undefined if no request may be sent to any of them now. */
    choose(candidates: readonly Candidate[], options: ChooseOptions): Candidate | undefined;
    /**
     * Whether one more request may be sent: the upstream has not pushed back, and the request stays within this entry's shares of the cold
     * rate and of the limit that the upstream states. Every attempt, first or repeated, asks this.
     */
    mayReceive(upstream: Upstream, coldRequestsPerSecond: number): boolean;
    /** Whether a candidate is used only if there is no other: it has failed recently, its streams are stalled, or it is reported silent. */
    isAvoided(candidate: Candidate): boolean;
    /**
     * Estimates the requests at an upstream, running and queued, without its late queue. The share of the late queue is assumed to be the
     * same for all entries.
     */
    onTimeEstimate(upstream: Upstream): number;
    /** Estimates the late queue of an upstream under the same assumption. */
    lateEstimate(upstream: Upstream): number;
    /**
     * The requests of all entries at an upstream. `others` are those of the other entries; if undefined, the load that the upstream has
     * reported is used. Undefined if neither is known.
     */
    knownLoad(upstream: Upstream, others: number | undefined): number | undefined;
    requestSent(upstream: Upstream, isCold: boolean): void;
    /** Whether a request in the late queue has waited for longer than `maxWaitMs`, or one has recently left it unserved. */
    isLateQueueStalled(upstream: Upstream, maxWaitMs: number): boolean;
    /** Adds a request to the late queue and returns the time at which it was sent, to be passed to `lateDequeued`. */
    lateQueued(upstream: Upstream): number;
    /** Removes a request from the late queue. `hasStarted` false: it left before it was served. */
    lateDequeued(upstream: Upstream, sentAtMs: number, hasStarted: boolean): void;
    requestEnded(upstream: Upstream): void;
    /** This entry's own requests at an upstream, running and queued. */
    ownRequests(upstream: Upstream): number;
    streamStarted(upstream: Upstream): void;
    /** `hasStarted`: the stream has brought an event. */
    streamEnded(upstream: Upstream, hasStarted: boolean): void;
    /** Records that an event has come. `isFirst`: it is the first of its stream. */
    eventReceived(upstream: Upstream, isFirst: boolean): void;
    loadReported(upstream: Upstream, running: number, waiting: number): void;
    requestFailed(upstream: Upstream): void;
    /** Records that opening a connection has failed. The upstream becomes a suspect, so that the control leader probes its group. */
    connectFailed(upstream: Upstream): void;
    requestSucceeded(upstream: Upstream): void;
    /** Whether the upstream's streams are stalled. `isWaiting` selects the shorter threshold, for a stream without any event yet. */
    isStalled(upstream: Upstream, isWaiting?: boolean): boolean;
    /** Heads whose streams may be stalled, and upstreams to which a connection could not be opened recently. */
    readonly suspectIds: readonly string[];
    /** Upstreams from which an event has come recently. */
    readonly movingIds: readonly string[];
}

export interface ChooseOptions {
    readonly without: ReadonlySet<string>;
    readonly coldRequestsPerSecond: number;
    /** Preferred if loads are close, because traffic between data centres is charged. */
    readonly dataCentre: string;
    /** Whether the request can use an open idle connection to this upstream. */
    hasIdle(upstream: Upstream): boolean;
    /** Predictions to choose by while overload control is active; undefined to choose by load. */
    readonly scoring?: ChoiceScoring | undefined;
}

/** An upstream in another data centre counts as if it had this many more requests. */
const remoteWeight = 0.5;
/**
 * Having to open a connection counts as much as this many requests. Entries that spread their requests evenly return to each group too
 * rarely to find a connection open, and two requests more at a group that runs dozens cause no noticeable delay.
 */
const connectWeight = 2;

export interface BalancerOptions {
    nowMs(): number;
    /** Returns a random number, uniform in [0, 1). */
    random(): number;
    /** Returns how many entries share the cold rate of an upstream. */
    entries(): number;
    /** Returns the requests per second that this entry may send to an upstream; undefined if the upstream states no limit. */
    shareOfLimit?(upstream: Upstream): number | undefined;
    /** Returns how much longer an upstream wants no requests from this entry, in ms; 0 if it accepts them. */
    pushbackLeftMs?(upstreamId: string): number;
}

/** Creates a balancer without any observations. */
export function createBalancer(options: BalancerOptions): Balancer {
    const { nowMs, random, entries, shareOfLimit = () => undefined, pushbackLeftMs = () => 0 } = options;
    const states = new Map<string, UpstreamState>();

    function stateOf(upstream: Upstream): UpstreamState {
        const known = states.get(upstream.id);
        if (known?.bornMs === upstream.bornMs) {
            return known;
        }
        const created = createUpstreamState(upstream.bornMs);
        states.set(upstream.id, created);
        return created;
    }

    /** Whether one more request stays within this entry's share of the rate that a cold upstream can serve. */
    function isWithinColdRate(upstream: Upstream, state: UpstreamState, perSecond: number, atMs: number): boolean {
        if (perSecond <= 0 || upstream.coldUntilMs <= atMs) {
            return true;
        }
        const { count, windowMs } = shareOfColdRate(perSecond, entries());
        state.coldSentAtMs = state.coldSentAtMs.filter(sentAtMs => atMs - sentAtMs < windowMs);
        return state.coldSentAtMs.length < count;
    }

    /** Whether one more request stays within this entry's share of the limit that the upstream states. */
    function isWithinLimit(upstream: Upstream, state: UpstreamState, atMs: number): boolean {
        const perSecond = shareOfLimit(upstream);
        if (perSecond === undefined) {
            state.limitTokens = 0;
            state.limitTokensAtMs = atMs;
            return true;
        }
        refillLimitTokens(state, perSecond, atMs);
        return state.limitTokens >= 1;
    }

    function mayReceiveAt(upstream: Upstream, state: UpstreamState, coldRequestsPerSecond: number, atMs: number): boolean {
        return pushbackLeftMs(upstream.id) === 0 && isWithinColdRate(upstream, state, coldRequestsPerSecond, atMs) &&
            isWithinLimit(upstream, state, atMs);
    }

    function mayReceive(upstream: Upstream, coldRequestsPerSecond: number): boolean {
        return mayReceiveAt(upstream, stateOf(upstream), coldRequestsPerSecond, nowMs());
    }

    function isAvoided(state: UpstreamState, candidate: Candidate, atMs: number): boolean {
        return state.backoffUntilMs > atMs || isStalled(state, atMs) || candidate.isReportedSilent;
    }

    function chooseScored(candidates: readonly Candidate[], request: ChooseOptions, scoring: ChoiceScoring): Candidate | undefined {
        const scored: ScoredCandidate[] = [];
        const atMs = nowMs();
        for (const candidate of candidates) {
            const { upstream } = candidate;
            const state = stateOf(upstream);
            if (request.without.has(upstream.id) || !mayReceiveAt(upstream, state, request.coldRequestsPerSecond, atMs)) {
                continue;
            }
            const { firstEventMs, allowance } = scoring.at(candidate, decayedFailures(state, atMs) * failureWeight);
            const connectMs = request.hasIdle(upstream) ? 0 : scoring.connectMs(candidate);
            scored.push({ candidate, firstEventMs: firstEventMs + connectMs, allowance, isAvoided: isAvoided(state, candidate, atMs) });
        }
        return chooseByFirstEvent(scored, scoring.errorMs, random());
    }

    return {
        mayReceive,
        isAvoided: candidate => isAvoided(stateOf(candidate.upstream), candidate, nowMs()),
        choose(candidates, request) {
            if (request.scoring !== undefined) {
                return chooseScored(candidates, request, request.scoring);
            }
            let best: Candidate | undefined;
            let bestScore = Infinity;
            for (const candidate of candidates) {
                const { upstream } = candidate;
                if (request.without.has(upstream.id) || !mayReceive(upstream, request.coldRequestsPerSecond)) {
                    continue;
                }
                const state = stateOf(upstream);
                const remotePenalty = upstream.dataCentre === request.dataCentre ? 0 : remoteWeight;
                const connectPenalty = request.hasIdle(upstream) ? 0 : connectWeight;
                const load = estimateLoad(state, nowMs()) + decayedFailures(state, nowMs()) * failureWeight;
                const score = load + remotePenalty + connectPenalty + random() + (isAvoided(state, candidate, nowMs()) ? 1_000 : 0);
                if (score < bestScore) {
                    best = candidate;
                    bestScore = score;
                }
            }
            return best;
        },
        onTimeEstimate(upstream) {
            const state = stateOf(upstream);
            return estimateLoad(state, nowMs()) * (1 - lateShare(state));
        },
        lateEstimate(upstream) {
            const state = stateOf(upstream);
            return estimateLoad(state, nowMs()) * lateShare(state);
        },
        ownRequests: upstream => stateOf(upstream).running,
        knownLoad(upstream, others) {
            const state = stateOf(upstream);
            if (others !== undefined) {
                return state.running + others;
            }
            return hasRecentLoad(state, nowMs()) ? estimateLoad(state, nowMs()) : undefined;
        },
        isLateQueueStalled: (upstream, maxWaitMs) => isLateQueueStalled(stateOf(upstream), maxWaitMs, nowMs()),
        lateQueued(upstream) {
            const sentAtMs = nowMs();
            stateOf(upstream).lateSentAtMs.push(sentAtMs);
            return sentAtMs;
        },
        lateDequeued(upstream, sentAtMs, hasStarted) {
            const state = stateOf(upstream);
            if (!hasStarted) {
                state.lateBlockedUntilMs = nowMs() + lateQueueBlockMs;
            }
            const index = state.lateSentAtMs.indexOf(sentAtMs);
            if (index >= 0) {
                state.lateSentAtMs.splice(index, 1);
            }
        },
        requestSent(upstream, isCold) {
            const state = stateOf(upstream);
            state.running++;
            state.load++;
            state.limitTokens = Math.max(0, state.limitTokens - 1);
            if (isCold) {
                state.coldSentAtMs.push(nowMs());
            }
        },
        requestEnded(upstream) {
            const state = stateOf(upstream);
            state.running = Math.max(0, state.running - 1);
            state.load = Math.max(0, state.load - 1);
        },
        streamStarted(upstream) {
            const state = stateOf(upstream);
            if (state.streams === 0) {
                state.streamingSinceMs = nowMs();
            }
            state.streams++;
        },
        streamEnded(upstream, hasStarted) {
            const state = stateOf(upstream);
            state.streams = Math.max(0, state.streams - 1);
            state.startedStreams = Math.max(0, state.startedStreams - (hasStarted ? 1 : 0));
        },
        eventReceived(upstream, isFirst) {
            const state = stateOf(upstream);
            state.lastEventAtMs = nowMs();
            state.startedStreams += isFirst ? 1 : 0;
        },
        loadReported(upstream, running, waiting) {
            const state = stateOf(upstream);
            state.load = running + waiting;
            state.loadAtMs = nowMs();
        },
        requestFailed(upstream) {
            const state = stateOf(upstream);
            state.failures = decayedFailures(state, nowMs()) + 1;
            state.failedAtMs = nowMs();
            state.backoffUntilMs = nowMs() + Math.min(maxBackoffMs, baseBackoffMs * 2 ** Math.min(4, state.failures - 1));
        },
        connectFailed(upstream) {
            stateOf(upstream).unreachableAtMs = nowMs();
        },
        requestSucceeded(upstream) {
            const state = stateOf(upstream);
            state.backoffUntilMs = 0;
        },
        isStalled: (upstream, isWaiting) => isStalled(stateOf(upstream), nowMs(), isWaiting),
        get suspectIds() {
            return [...states].filter(([, state]) => isSuspect(state, nowMs())).map(([id]) => id);
        },
        get movingIds() {
            return [...states].filter(([, state]) => isMakingProgress(state, nowMs())).map(([id]) => id);
        },
    };
}
