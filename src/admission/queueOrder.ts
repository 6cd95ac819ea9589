/**
 * Ordering within a queue and wait estimates: which request of an organisation is dispatched next, and how long a new one would wait.
 *
 * @module
 */

import type { QueuedRequest, QueueState } from "./queueState.js";

/** Returns the index of the first request due at `firstTokenMs` or later, which can still be on time, or else of the earliest late one. */
export function nextRequestIndex(waiting: readonly QueuedRequest[], firstTokenMs: number): number {
    const onTime = waiting.findIndex(request => request.dueMs >= firstTokenMs);
    return Math.max(0, onTime);
}

/**
 * Returns the work that would be dispatched before a new request: the earlier-due requests of its own organisation and, for each other
 * organisation, as much work as fair queueing dispatches in the meantime. Requests due before `fromMs` are late and are not counted.
 */
export function workAhead(state: QueueState, request: QueuedRequest, fromMs: number): number {
    let ownWork = 0;
    for (const other of state.organisations.get(request.organisation)?.waiting ?? []) {
        ownWork += other.dueMs >= fromMs && other.dueMs <= request.dueMs ? other.work : 0;
    }
    let total = ownWork;
    for (const [name, queue] of state.organisations) {
        if (name === request.organisation) {
            continue;
        }
        const otherWork = queue.waiting.reduce((sum, other) => sum + (other.dueMs >= fromMs ? other.work : 0), 0);
        total += Math.min(otherWork, ownWork + request.work);
    }
    return total;
}

/**
 * Estimates how long it takes to dispatch this much work; 0 while a slot is free or no request has finished yet. If `work` is
 * infinite, the work of the running requests is used instead.
 */
export function expectedWaitMs(state: QueueState, work: number): number {
    const { msPerWork } = state.estimates;
    if (msPerWork === undefined || state.running.size < state.slots) {
        return 0;
    }
    let runningWork = 0;
    for (const request of state.running.values()) {
        runningWork += request.work;
    }
    const slots = Math.max(1, state.slots);
    const untilFreeMs = runningWork / Math.max(1, state.running.size) * msPerWork / (slots + 1);
    const finiteWork = work === Infinity ? runningWork : work;
    return untilFreeMs + finiteWork * msPerWork / slots;
}
