/**
 * The request queue of one service at an entry, as a reducer.
 *
 * - Between organisations: start-time fair queueing by work, so that the backlog of a heavy organisation delays only its own requests.
 * - Within an organisation: earliest due time first among the requests that can still be on time, late requests only if there are none.
 *   Plain earliest-due-first under overload spends every slot on requests that are already late and so makes the next ones late too.
 * - A request that cannot meet its deadline is refused: on arrival by the estimate, and later as soon as it is certain.
 * - The queue is bounded. When it is full, a request of the organisation with the longest backlog is evicted, so that a flood from one
 *   organisation does not lock out the others.
 *
 * Each decision takes at most linear time in the number of queued requests, which the bound keeps small. The caller reports the number
 * of slots. A refusal decided here always means "not run", since a queued request has not reached an upstream.
 *
 * @module
 */

import { type Step, step, unchanged } from "../runtime/index.js";
import { insertRequest, nextOrganisation, removeRequestAt, takeRequestAt, withOrganisation } from "./fairQueue.js";
import { expectedWaitMs, nextRequestIndex, workAhead } from "./queueOrder.js";
import type { QueuedRequest, QueuePolicy, QueueState, RunningRequest } from "./queueState.js";
import { jitteredRetryAfterMs } from "./retryAfter.js";

export type QueueEvent =
    | { readonly kind: "arrive"; readonly nowMs: number; readonly random: number; readonly request: QueuedRequest }
    /** The limit on concurrently running requests has changed. */
    | { readonly kind: "slots"; readonly nowMs: number; readonly random: number; readonly slots: number }
    | { readonly kind: "finished"; readonly nowMs: number; readonly random: number; readonly id: string; readonly firstTokenMs?: number }
    /** An upstream refused the request without running it: it is queued again at its old position. */
    | { readonly kind: "returned"; readonly nowMs: number; readonly random: number; readonly id: string }
    | { readonly kind: "cancelled"; readonly nowMs: number; readonly random: number; readonly id: string; readonly organisation: string }
    | { readonly kind: "tick"; readonly nowMs: number; readonly random: number };

export type QueueEffect =
    | { readonly kind: "dispatch"; readonly id: string }
    | { readonly kind: "refuse"; readonly id: string; readonly code: QueueRefusal; readonly retryAfterMs: number };

/** `queue-full`: the queue is at its bound. `deadline-unreachable`: the request would end after its deadline. */
export type QueueRefusal = "queue-full" | "deadline-unreachable";

/** The weight of a new sample in the exponential moving averages of the estimates. */
const estimateSmoothing = 0.1;

/** Returns an empty queue without slots. */
export function initialQueue(policy: QueuePolicy): QueueState {
    return {
        policy,
        slots: 0,
        virtualTime: 0,
        organisations: new Map(),
        queued: 0,
        running: new Map(),
        estimates: { msPerWork: undefined, firstTokenMs: undefined },
    };
}

function refuse(request: QueuedRequest, code: QueueRefusal, waitMs: number, random: number): QueueEffect {
    return { kind: "refuse", id: request.id, code, retryAfterMs: jitteredRetryAfterMs(waitMs, random) };
}

function serviceMs(state: QueueState, request: QueuedRequest): number {
    return request.work * (state.estimates.msPerWork ?? 0);
}

/**
 * Returns whether the request would end after its deadline even if it started now. The estimate is ignored while nothing runs: after a
 * stall it can be so high that every request is refused, and without running requests it would never be corrected.
 */
function cannotMeetDeadline(state: QueueState, request: QueuedRequest, nowMs: number): boolean {
    const estimateMs = state.running.size === 0 ? 0 : serviceMs(state, request);
    return nowMs + estimateMs > request.deadlineMs;
}

function dispatchOne(state: QueueState, organisation: string, nowMs: number, random: number): Step<QueueState, QueueEffect> {
    const queue = state.organisations.get(organisation)!;
    const index = nextRequestIndex(queue.waiting, nowMs + (state.estimates.firstTokenMs ?? 0));
    const request = queue.waiting[index]!;
    if (cannotMeetDeadline(state, request, nowMs)) {
        return step(removeRequestAt<QueuedRequest, QueueState>(state, organisation, index), refuse(request, "deadline-unreachable", serviceMs(state, request), random));
    }
    const next = takeRequestAt<QueuedRequest, QueueState>(state, organisation, index);
    const running = new Map(state.running).set(request.id, { ...request, startedMs: nowMs });
    return step({ ...next, running }, { kind: "dispatch", id: request.id });
}

/** Dispatches queued requests while slots are free. */
function dispatch(state: QueueState, nowMs: number, random: number, effects: readonly QueueEffect[]): Step<QueueState, QueueEffect> {
    let current = state;
    const allEffects = [...effects];
    while (current.running.size < current.slots) {
        const organisation = nextOrganisation(current);
        if (organisation === undefined) {
            break;
        }
        const result = dispatchOne(current, organisation, nowMs, random);
        current = result.state;
        allEffects.push(...result.effects);
    }
    return step(current, ...allEffects);
}

/**
 * Inserts a request into a full queue by evicting the last request of the organisation with the longest backlog. The new request is
 * refused instead if, counting it, no other backlog is longer than that of its own organisation.
 */
function makeRoom(state: QueueState, request: QueuedRequest, random: number): Step<QueueState, QueueEffect> {
    const retryMs = expectedWaitMs(state, Infinity);
    let longestName = request.organisation;
    let longestLength = (state.organisations.get(longestName)?.waiting.length ?? 0) + 1;
    for (const [name, queue] of state.organisations) {
        if (queue.waiting.length > longestLength) {
            longestName = name;
            longestLength = queue.waiting.length;
        }
    }
    if (longestName === request.organisation) {
        return step(state, refuse(request, "queue-full", retryMs, random));
    }
    const lastIndex = state.organisations.get(longestName)!.waiting.length - 1;
    const evicted = state.organisations.get(longestName)!.waiting[lastIndex]!;
    const reduced = removeRequestAt<QueuedRequest, QueueState>(state, longestName, lastIndex);
    return step(insertRequest<QueuedRequest, QueueState>(reduced, request), refuse(evicted, "queue-full", retryMs, random));
}

function arrive(state: QueueState, request: QueuedRequest, nowMs: number, random: number): Step<QueueState, QueueEffect> {
    const firstTokenMs = state.estimates.firstTokenMs ?? 0;
    const onTimeWaitMs = expectedWaitMs(state, workAhead(state, request, nowMs + firstTokenMs));
    const isOnTime = nowMs + onTimeWaitMs + firstTokenMs <= request.dueMs;
    const waitMs = isOnTime ? onTimeWaitMs : expectedWaitMs(state, workAhead(state, request, -Infinity));
    const endMs = nowMs + waitMs + serviceMs(state, request);
    if (endMs > request.deadlineMs && state.running.size > 0) {
        return step(state, refuse(request, "deadline-unreachable", endMs - request.deadlineMs, random));
    }
    const inserted = state.queued < state.policy.maxQueued
        ? step(insertRequest<QueuedRequest, QueueState>(state, request))
        : makeRoom(state, request, random);
    return dispatch(inserted.state, nowMs, random, inserted.effects as QueueEffect[]);
}

function smooth(estimate: number | undefined, measured: number): number {
    return estimate === undefined ? measured : estimate + (measured - estimate) * estimateSmoothing;
}

function removeRunning(state: QueueState, id: string): { state: QueueState; request: RunningRequest | undefined } {
    const request = state.running.get(id);
    const running = new Map(state.running);
    running.delete(id);
    return { state: request === undefined ? state : { ...state, running }, request };
}

function finished(state: QueueState, id: string, nowMs: number, firstTokenMs: number | undefined): QueueState {
    const removed = removeRunning(state, id);
    if (removed.request === undefined) {
        return state;
    }
    const msPerWork = smooth(state.estimates.msPerWork, (nowMs - removed.request.startedMs) / removed.request.work);
    const firstTokenEstimateMs = firstTokenMs === undefined
        ? state.estimates.firstTokenMs
        : smooth(state.estimates.firstTokenMs, firstTokenMs);
    return { ...removed.state, estimates: { msPerWork, firstTokenMs: firstTokenEstimateMs } };
}

/** Refuses every queued request that can no longer end before its deadline. */
function expireRequests(state: QueueState, nowMs: number, random: number): Step<QueueState, QueueEffect> {
    let current = state;
    const effects: QueueEffect[] = [];
    for (const [name, queue] of state.organisations) {
        const late = queue.waiting.filter(request => cannotMeetDeadline(state, request, nowMs));
        if (late.length > 0) {
            effects.push(...late.map(request => refuse(request, "deadline-unreachable", serviceMs(state, request), random)));
            const waiting = queue.waiting.filter(request => !late.includes(request));
            current = withOrganisation<QueuedRequest, QueueState>(current, name, { ...queue, waiting });
        }
    }
    return step(current, ...effects);
}

function cancelled(state: QueueState, id: string, organisation: string): QueueState {
    const index = state.organisations.get(organisation)?.waiting.findIndex(request => request.id === id) ?? -1;
    return index < 0 ? removeRunning(state, id).state : removeRequestAt<QueuedRequest, QueueState>(state, organisation, index);
}

/** Applies one event to the queue of one service. */
export function queueReducer(state: QueueState, event: QueueEvent): Step<QueueState, QueueEffect> {
    const { nowMs, random } = event;
    switch (event.kind) {
        case "arrive":
            return arrive(state, event.request, nowMs, random);
        case "slots":
            return dispatch({ ...state, slots: event.slots }, nowMs, random, []);
        case "finished":
            return dispatch(finished(state, event.id, nowMs, event.firstTokenMs), nowMs, random, []);
        case "returned": {
            const removed = removeRunning(state, event.id);
            return removed.request === undefined
                ? unchanged(state)
                : step(insertRequest<QueuedRequest, QueueState>(removed.state, removed.request));
        }
        case "cancelled":
            return dispatch(cancelled(state, event.id, event.organisation), nowMs, random, []);
        case "tick": {
            const expired = expireRequests(state, nowMs, random);
            return dispatch(expired.state, nowMs, random, expired.effects as QueueEffect[]);
        }
    }
}
