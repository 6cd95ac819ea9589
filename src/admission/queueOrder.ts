/**
 * Ordering within an organisation and wait estimates: which of its requests is dispatched next, and how long some work would wait.
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
