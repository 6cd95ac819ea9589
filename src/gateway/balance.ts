/**
 * Chooses the upstream for a request and knows how each one fares, from the answers that this entry has seen.
 *
 * The pattern it answers: several entries share a few groups that come and go; an entry sees the load of a group only in answers. The
 * estimate is the last load told plus what this entry has sent since, so that a burst between two answers is spread as well. A head
 * whose streams have all stopped has lost a member: it is avoided until it moves again.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import { shareOfCold } from "./entryCount.js";
import type { Candidate } from "./siteView.js";
import {
    estimateOf, failuresNow, freshStanding, isLateStuck, isMoving, isStill, isSuspect, lateShare, refillLimit, type Standing,
} from "./standing.js";

/** How long nothing more is sent to wait where a caller left before its turn: overloads that outlast a caller last for seconds more. */
const lateBlockMs = 3_000;
/** After failures an upstream is left alone for this long, doubled for each further one. */
const avoidMs = 400;
const mostAvoidMs = 5_000;
/** A failing upstream weighs as much as this many requests for each failure lately. */
const failureWeight = 6;

export interface Balance {
    /** The best of `candidates`, or undefined when none may be sent to now. */
    choose(candidates: readonly Candidate[], options: ChooseOptions): Candidate | undefined;
    /** Whether one more request now stays within this entry's parts of what a cold upstream bears and of the limit that it states. */
    hasRoom(upstream: Upstream, coldRequestsPerSecond: number): boolean;
    /**
     * Requests at an upstream, as far as is known here: those that can be on time, running and waiting, and those that wait behind them.
     * Other entries' are taken to be split like this one's.
     */
    onTimeEstimate(upstream: Upstream): number;
    lateEstimate(upstream: Upstream): number;
    sent(upstream: Upstream, isCold: boolean): void;
    /** Whether what waits behind those that can be on time gets nothing: one more would wait in vain. */
    isLateStuck(upstream: Upstream): boolean;
    /** One more request waits behind those that can be on time; gives when, for `lateEnded`, which ends the wait. */
    lateSent(upstream: Upstream): number;
    /** `hasBegun` false: its turn had not come. */
    lateEnded(upstream: Upstream, sentAtMs: number, hasBegun: boolean): void;
    ended(upstream: Upstream): void;
    streamStarted(upstream: Upstream): void;
    /** `hasBegun`: it has brought an event. */
    streamEnded(upstream: Upstream, hasBegun: boolean): void;
    /** An event has come; `isFirst` of its stream. */
    event(upstream: Upstream, isFirst: boolean): void;
    toldLoad(upstream: Upstream, running: number, waiting: number): void;
    failed(upstream: Upstream): void;
    /** No connection to it could be opened: it becomes a suspect, so that the control leader probes its group. */
    unreachable(upstream: Upstream): void;
    succeeded(upstream: Upstream): void;
    /** `isWaiting`: for a stream without any event yet, which loses nothing by going elsewhere. */
    isStill(upstream: Upstream, isWaiting?: boolean): boolean;
    /** Heads that may stand still, and upstreams to which no connection could be opened lately. */
    readonly suspectIds: readonly string[];
    readonly movingIds: readonly string[];
}

export interface ChooseOptions {
    readonly without: ReadonlySet<string>;
    readonly coldRequestsPerSecond: number;
    /** Prefers this data centre when loads are close: bytes between data centres cost. */
    readonly dataCentre: string;
    /** Whether a connection to this upstream is open and idle, and may be used for the request. */
    hasIdle(upstream: Upstream): boolean;
}

/** Another data centre weighs as much as this many requests. */
const farWeight = 0.5;
/**
 * A connection that has to be opened weighs as much as this many requests. Entries that spread evenly over all groups come back to each
 * too rarely to find their connection open; two requests more or less at a group of dozens are no delay.
 */
const openWeight = 2;

/**
 * Creates a balance that has seen nothing; `random` is uniform in [0, 1), `entries` how many entries share what a cold upstream bears,
 * `shareOfLimit` gives the requests a second that this entry may send to an upstream that states a limit, undefined for any other.
 */
export function createBalance(
    nowMs: () => number, random: () => number, entries: () => number,
    shareOfLimit: (upstream: Upstream) => number | undefined = () => undefined,
): Balance {
    const standings = new Map<string, Standing>();

    function standing(upstream: Upstream): Standing {
        const known = standings.get(upstream.id);
        if (known?.bornMs === upstream.bornMs) {
            return known;
        }
        const fresh = freshStanding(upstream.bornMs);
        standings.set(upstream.id, fresh);
        return fresh;
    }

    /** Whether one more request now stays within this entry's part of what a cold upstream bears. */
    function isWithinCold(upstream: Upstream, state: Standing, perSecond: number): boolean {
        if (perSecond <= 0 || upstream.coldUntilMs <= nowMs()) {
            return true;
        }
        const { count, windowMs } = shareOfCold(perSecond, entries());
        state.coldSentAtMs = state.coldSentAtMs.filter(atMs => nowMs() - atMs < windowMs);
        return state.coldSentAtMs.length < count;
    }

    /** Whether one more request now stays within this entry's part of the limit that an upstream states. */
    function isWithinLimit(upstream: Upstream, state: Standing): boolean {
        const perSecond = shareOfLimit(upstream);
        if (perSecond === undefined) {
            state.limitTokens = 0;
            state.limitAtMs = nowMs();
            return true;
        }
        refillLimit(state, perSecond, nowMs());
        return state.limitTokens >= 1;
    }

    function hasRoom(upstream: Upstream, coldRequestsPerSecond: number): boolean {
        const state = standing(upstream);
        return isWithinCold(upstream, state, coldRequestsPerSecond) && isWithinLimit(upstream, state);
    }

    return {
        hasRoom,
        choose(candidates, options) {
            let best: Candidate | undefined;
            let bestScore = Infinity;
            for (const candidate of candidates) {
                const { upstream } = candidate;
                if (options.without.has(upstream.id) || !hasRoom(upstream, options.coldRequestsPerSecond)) {
                    continue;
                }
                const state = standing(upstream);
                const isAvoided = state.avoidUntilMs > nowMs() || isStill(state, nowMs()) || candidate.isDoubtful;
                const far = upstream.dataCentre === options.dataCentre ? 0 : farWeight;
                const opening = options.hasIdle(upstream) ? 0 : openWeight;
                const load = estimateOf(state, nowMs()) + failuresNow(state, nowMs()) * failureWeight;
                const score = load + far + opening + random() + (isAvoided ? 1_000 : 0);
                if (score < bestScore) {
                    best = candidate;
                    bestScore = score;
                }
            }
            return best;
        },
        onTimeEstimate(upstream) {
            const state = standing(upstream);
            return estimateOf(state, nowMs()) * (1 - lateShare(state));
        },
        lateEstimate(upstream) {
            const state = standing(upstream);
            return estimateOf(state, nowMs()) * lateShare(state);
        },
        isLateStuck: upstream => isLateStuck(standing(upstream), nowMs()),
        lateSent(upstream) {
            const sentAtMs = nowMs();
            standing(upstream).lateSentAtMs.push(sentAtMs);
            return sentAtMs;
        },
        lateEnded(upstream, sentAtMs, hasBegun) {
            const state = standing(upstream);
            if (!hasBegun) {
                state.lateBlockedUntilMs = nowMs() + lateBlockMs;
            }
            const place = state.lateSentAtMs.indexOf(sentAtMs);
            if (place >= 0) {
                state.lateSentAtMs.splice(place, 1);
            }
        },
        sent(upstream, isCold) {
            const state = standing(upstream);
            state.running++;
            state.load++;
            state.limitTokens = Math.max(0, state.limitTokens - 1);
            if (isCold) {
                state.coldSentAtMs.push(nowMs());
            }
        },
        ended(upstream) {
            const state = standing(upstream);
            state.running = Math.max(0, state.running - 1);
            state.load = Math.max(0, state.load - 1);
        },
        streamStarted(upstream) {
            const state = standing(upstream);
            if (state.streaming === 0) {
                state.stillSinceMs = nowMs();
            }
            state.streaming++;
        },
        streamEnded(upstream, hasBegun) {
            const state = standing(upstream);
            state.streaming = Math.max(0, state.streaming - 1);
            state.begun = Math.max(0, state.begun - (hasBegun ? 1 : 0));
        },
        event(upstream, isFirst) {
            const state = standing(upstream);
            state.lastEventAtMs = nowMs();
            state.begun += isFirst ? 1 : 0;
        },
        toldLoad(upstream, running, waiting) {
            const state = standing(upstream);
            state.load = running + waiting;
            state.loadAtMs = nowMs();
        },
        failed(upstream) {
            const state = standing(upstream);
            state.failures = failuresNow(state, nowMs()) + 1;
            state.failedAtMs = nowMs();
            state.avoidUntilMs = nowMs() + Math.min(mostAvoidMs, avoidMs * 2 ** Math.min(4, state.failures - 1));
        },
        unreachable(upstream) {
            standing(upstream).unreachableAtMs = nowMs();
        },
        succeeded(upstream) {
            const state = standing(upstream);
            state.avoidUntilMs = 0;
        },
        isStill: (upstream, isWaiting) => isStill(standing(upstream), nowMs(), isWaiting),
        get suspectIds() {
            return [...standings].filter(([, state]) => isSuspect(state, nowMs())).map(([id]) => id);
        },
        get movingIds() {
            return [...standings].filter(([, state]) => isMoving(state, nowMs())).map(([id]) => id);
        },
    };
}
