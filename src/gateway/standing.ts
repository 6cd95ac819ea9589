/**
 * What an entry has seen of one upstream, and what follows from it at a moment: its load, whether anything moves there, how much it has
 * failed lately.
 *
 * @module
 */

/** With streams on it and no event for this long, a head stands still: events come every 60 ms, on a slow one every 300 ms. */
const stillMs = 700;
/** Half that is enough for a stream without any event yet, which loses nothing by going elsewhere. */
const doubtMs = 350;
/** Three events' time without one is enough to have the members asked whether they are there: asking costs little and moves nothing. */
const suspectMs = 200;
/** A request that has waited so long behind others is a sign that no more should: callers leave a stream without an event after 2 s. */
const lateStuckMs = 500;
/** How long an upstream remains a suspect after a connection to it could not be opened. */
const unreachableSuspectMs = 500;
/** Two events' time: a head whose last event is older is not known to move, and each 0.1 s more would delay a repair by as much. */
const movingMs = 120;
/** A load told longer ago says nothing about now: about the length of a request. */
const loadAgeMs = 1_500;
const failureHalfLifeMs = 3_000;

export interface Standing {
    readonly bornMs: number;
    running: number;
    /** Of those, the ones that were sent to wait behind what is on time and have not begun: when they were sent, the oldest first. */
    lateSentAtMs: number[];
    /** Until then nothing more is sent to wait there. */
    lateBlockedUntilMs: number;
    /** Requests whose answer is a stream, and those of them that have brought an event. */
    streaming: number;
    begun: number;
    lastEventAtMs: number;
    stillSinceMs: number;
    load: number;
    loadAtMs: number;
    avoidUntilMs: number;
    failures: number;
    failedAtMs: number;
    coldSentAtMs: number[];
    /** Requests that may be sent at once under the limit that it states, and since when that is counted. */
    limitTokens: number;
    limitAtMs: number;
    unreachableAtMs: number;
}

/** An upstream of which nothing has been seen in its life. */
export function freshStanding(bornMs: number): Standing {
    return {
        bornMs, running: 0, lateSentAtMs: [], lateBlockedUntilMs: 0, streaming: 0, begun: 0,
        lastEventAtMs: 0, stillSinceMs: 0, load: 0, loadAtMs: Number.NEGATIVE_INFINITY,
        avoidUntilMs: 0, failures: 0, failedAtMs: 0, coldSentAtMs: [], limitTokens: 0, limitAtMs: 0,
        unreachableAtMs: Number.NEGATIVE_INFINITY,
    };
}

/** Requests there: the last load told with what was sent since, or what this entry has there itself. */
export function estimateOf(state: Standing, nowMs: number): number {
    const isFresh = nowMs - state.loadAtMs < loadAgeMs;
    return Math.max(state.running, isFresh ? state.load : 0);
}

/** The part of the requests there that wait behind those which can be on time: all entries' are taken to be split like this one's. */
export function lateShare(state: Standing): number {
    return state.running === 0 ? 0 : Math.min(1, state.lateSentAtMs.length / state.running);
}

/** Whether what waits behind those that can be on time gets nothing. */
export function isLateStuck({ lateSentAtMs: [oldestMs], lateBlockedUntilMs }: Standing, nowMs: number): boolean {
    return nowMs < lateBlockedUntilMs || (oldestMs !== undefined && nowMs - oldestMs > lateStuckMs);
}

/** How much of its part of a limit an entry may save up: a request that comes a moment late does not lose its turn. */
const mostLimitTokens = 1.5;

/** Counts up what may be sent under a part of `perSecond`. */
export function refillLimit(state: Standing, perSecond: number, nowMs: number) {
    const earned = (nowMs - state.limitAtMs) / 1_000 * perSecond;
    state.limitTokens = Math.min(mostLimitTokens, state.limitTokens + earned);
    state.limitAtMs = nowMs;
}

export function failuresNow(state: Standing, nowMs: number): number {
    return state.failures * 0.5 ** ((nowMs - state.failedAtMs) / failureHalfLifeMs);
}

function isSilent(state: Standing, nowMs: number, forMs: number, waitingForMs: number): boolean {
    const sinceMs = Math.max(state.lastEventAtMs, state.stillSinceMs);
    // Streams that only wait bring no events while others' run: their silence says little about the head.
    const enoughMs = state.begun === 0 ? waitingForMs : forMs;
    return state.streaming > 0 && nowMs - sinceMs > enoughMs;
}

/** Whether nothing moves there; `isWaiting`: for a stream without any event yet, which loses nothing by going elsewhere. */
export function isStill(state: Standing, nowMs: number, isWaiting = false): boolean {
    return isSilent(state, nowMs, isWaiting ? doubtMs : stillMs, stillMs);
}

/** Whether it may stand still or be out of reach, so that its members should be probed. */
export function isSuspect(state: Standing, nowMs: number): boolean {
    return isSilent(state, nowMs, suspectMs, doubtMs) || nowMs - state.unreachableAtMs < unreachableSuspectMs;
}

export function isMoving(state: Standing, nowMs: number): boolean {
    return nowMs - state.lastEventAtMs < movingMs;
}
