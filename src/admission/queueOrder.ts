/**
 * Order and estimates inside a queue: which request of an organisation goes next, and how long a newcomer would wait.
 *
 * @module
 */

import type { QueuedRequest, QueueState } from "./queueState.js";

/** The first request that is due at `firstTokenMs` or later and so can be on time; without one, the earliest of the late. */
export function nextIndex(waiting: readonly QueuedRequest[], firstTokenMs: number): number {
    const onTime = waiting.findIndex(request => request.dueMs >= firstTokenMs);
    return Math.max(0, onTime);
}

/**
 * The work that would be dispatched before a newcomer: its organisation's requests that are due earlier, and of each other
 * organisation as much as fairness lets pass meanwhile. Requests due before `fromMs` are late and do not count.
 */
export function workAhead(state: QueueState, request: QueuedRequest, fromMs: number): number {
    let own = 0;
    for (const other of state.organisations.get(request.organisation)?.waiting ?? []) {
        own += other.dueMs >= fromMs && other.dueMs <= request.dueMs ? other.work : 0;
    }
    let total = own;
    for (const [name, queue] of state.organisations) {
        if (name === request.organisation) {
            continue;
        }
        const theirs = queue.waiting.reduce((sum, other) => sum + (other.dueMs >= fromMs ? other.work : 0), 0);
        total += Math.min(theirs, own + request.work);
    }
    return total;
}

/** How long this much work takes to be dispatched; 0 while a slot is free or nothing has been measured. */
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
    const boundedWork = work === Infinity ? runningWork : work;
    return untilFreeMs + boundedWork * msPerWork / slots;
}
