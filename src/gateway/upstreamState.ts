/**
 * What an entry has observed of one upstream, and what it derives from that: the load estimate, whether its streams are stalled, and the
 * rate of recent failures.
 *
 * @module
 */

/** A head with open streams counts as stalled after this time without an event. Events come every 60 ms, on a slow head every 300 ms. */
const stallMs = 700;
/** Half of that is enough for a stream that has brought no event yet, since it loses nothing by being retried elsewhere. */
const shortStallMs = 350;
/** After about three event intervals without an event the members are probed. Probing is cheap and moves no requests. */
const suspectAfterMs = 200;
/** How long an upstream remains a suspect after opening a connection to it has failed. */
const unreachableSuspectMs = 500;
/** Two event intervals. A head whose last event is older isn't reported as moving; each 0.1 s more would delay a repair by as much. */
const movingWithinMs = 120;
/** A reported load is ignored after this time, about the duration of a request. */
const maxLoadAgeMs = 1_500;
const failureHalfLifeMs = 3_000;

export interface UpstreamState {
    readonly bornMs: number;
    running: number;
    /** When the requests that still wait in the late queue were sent, the oldest first. They are part of `running`. */
    lateSentAtMs: number[];
    /** Until then the late queue accepts no requests. */
    lateBlockedUntilMs: number;
    /** Open streams, and those of them that have brought an event. */
    streams: number;
    startedStreams: number;
    lastEventAtMs: number;
    streamingSinceMs: number;
    load: number;
    loadAtMs: number;
    backoffUntilMs: number;
    failures: number;
    failedAtMs: number;
    coldSentAtMs: number[];
    /** Token bucket of the limit that the upstream states, and when it was last refilled. */
    limitTokens: number;
    limitTokensAtMs: number;
    unreachableAtMs: number;
}

/** Creates the state of an upstream of which nothing has been observed since it started at `bornMs`. */
export function createUpstreamState(bornMs: number): UpstreamState {
    return {
        bornMs, running: 0, lateSentAtMs: [], lateBlockedUntilMs: 0, streams: 0, startedStreams: 0,
        lastEventAtMs: 0, streamingSinceMs: 0, load: 0, loadAtMs: Number.NEGATIVE_INFINITY,
        backoffUntilMs: 0, failures: 0, failedAtMs: 0, coldSentAtMs: [], limitTokens: 0, limitTokensAtMs: 0,
        unreachableAtMs: Number.NEGATIVE_INFINITY,
    };
}

/** Whether the last reported load is recent enough to be used. */
export function hasRecentLoad(state: UpstreamState, nowMs: number): boolean {
    return nowMs - state.loadAtMs < maxLoadAgeMs;
}

/**
 * Estimates the requests at the upstream: the last reported load, adjusted by what this entry has sent and finished since, but at least
 * this entry's own requests.
 */
export function estimateLoad(state: UpstreamState, nowMs: number): number {
    return Math.max(state.running, hasRecentLoad(state, nowMs) ? state.load : 0);
}

/** The estimated share of the late queue in the requests at the upstream, assuming that it is the same for all entries. */
export function lateShare(state: UpstreamState): number {
    return state.running === 0 ? 0 : Math.min(1, state.lateSentAtMs.length / state.running);
}

/** Whether a request has waited in the late queue for longer than `maxWaitMs`, or a caller has recently left the queue unserved. */
export function isLateQueueStalled(state: UpstreamState, maxWaitMs: number, nowMs: number): boolean {
    const { lateSentAtMs: [oldestMs], lateBlockedUntilMs } = state;
    return nowMs < lateBlockedUntilMs || (oldestMs !== undefined && nowMs - oldestMs > maxWaitMs);
}

/** Capacity of the token bucket. With more than 1, a request that comes slightly late doesn't lose its turn. */
const maxLimitTokens = 1.5;

/** Refills the token bucket at a rate of `perSecond`. */
export function refillLimitTokens(state: UpstreamState, perSecond: number, nowMs: number) {
    const earned = (nowMs - state.limitTokensAtMs) / 1_000 * perSecond;
    state.limitTokens = Math.min(maxLimitTokens, state.limitTokens + earned);
    state.limitTokensAtMs = nowMs;
}

/** Recent failures, with exponential decay. */
export function decayedFailures(state: UpstreamState, nowMs: number): number {
    return state.failures === 0 ? 0 : state.failures * 0.5 ** ((nowMs - state.failedAtMs) / failureHalfLifeMs);
}

function isSilent(state: UpstreamState, nowMs: number, startedThresholdMs: number, waitingThresholdMs: number): boolean {
    const sinceMs = Math.max(state.lastEventAtMs, state.streamingSinceMs);
    // Streams that are still queued bring no events while those of other entries run, so their silence says little about the head.
    const thresholdMs = state.startedStreams === 0 ? waitingThresholdMs : startedThresholdMs;
    return state.streams > 0 && nowMs - sinceMs > thresholdMs;
}

/** Whether the streams are stalled. `isWaiting` selects the shorter threshold, for a stream that has brought no event yet. */
export function isStalled(state: UpstreamState, nowMs: number, isWaiting = false): boolean {
    return isSilent(state, nowMs, isWaiting ? shortStallMs : stallMs, stallMs);
}

/** Whether the upstream may be stalled or unreachable, so that the members of its group should be probed. */
export function isSuspect(state: UpstreamState, nowMs: number): boolean {
    return isSilent(state, nowMs, suspectAfterMs, shortStallMs) || nowMs - state.unreachableAtMs < unreachableSuspectMs;
}

/** Whether an event has come recently. */
export function isMakingProgress(state: UpstreamState, nowMs: number): boolean {
    return nowMs - state.lastEventAtMs < movingWithinMs;
}
