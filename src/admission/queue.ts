/**
 * What waits at an entry for one service, and in which order it is dispatched.
 *
 * - Between organisations: start-time fair queueing by work, so that a heavy organisation's backlog delays itself and not others.
 * - Inside an organisation: earliest due time first among the requests that can still be on time; late ones only when none is.
 *   Plain earliest-due-first would, once behind, spend every slot on requests that are late already and make the next ones late too.
 * - A request whose deadline cannot be met is refused: at once on arrival by the estimate, later as soon as it is certain.
 * - The queue is bounded; when it is full the longest organisation gives way, so that a flood does not lock the others out.
 *
 * All decisions are linear in the number waiting at most, which the bound keeps small. How many slots there are is told by the
 * shell; a refusal decided here is always "not run", because nothing waiting here has reached an upstream.
 *
 * @module
 */

import { type Step, step, unchanged } from "../runtime/index.js";
import { expectedWaitMs, nextIndex, workAhead } from "./queueOrder.js";
import type { OrganisationQueue, QueuedRequest, QueuePolicy, QueueState, RunningRequest } from "./queueState.js";
import { spreadRetryAfterMs } from "./retryAfter.js";

export type QueueEvent =
    | { readonly kind: "arrive"; readonly nowMs: number; readonly random: number; readonly request: QueuedRequest }
    /** The number of requests that may run at once has changed. */
    | { readonly kind: "slots"; readonly nowMs: number; readonly random: number; readonly slots: number }
    | { readonly kind: "finished"; readonly nowMs: number; readonly random: number; readonly id: string; readonly firstTokenMs?: number }
    /** An upstream refused it as not run: it waits again, in its old place. */
    | { readonly kind: "returned"; readonly nowMs: number; readonly random: number; readonly id: string }
    | { readonly kind: "cancelled"; readonly nowMs: number; readonly random: number; readonly id: string; readonly organisation: string }
    | { readonly kind: "tick"; readonly nowMs: number; readonly random: number };

export type QueueEffect =
    | { readonly kind: "dispatch"; readonly id: string }
    | { readonly kind: "refuse"; readonly id: string; readonly code: QueueRefusal; readonly retryAfterMs: number };

/** `queue-full`: no room. `deadline-unreachable`: it would end after its deadline. */
export type QueueRefusal = "queue-full" | "deadline-unreachable";

const followShare = 0.1;

/** An empty queue without slots. */
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

function withOrganisation(state: QueueState, name: string, queue: OrganisationQueue): QueueState {
    const before = state.organisations.get(name)?.waiting.length ?? 0;
    const organisations = new Map(state.organisations).set(name, queue);
    // An idle organisation's tag matters only while it lies ahead of the virtual time.
    if (queue.waiting.length === 0 && queue.startTag <= state.virtualTime) {
        organisations.delete(name);
    }
    return { ...state, organisations, queued: state.queued + queue.waiting.length - before };
}

function insert(state: QueueState, request: QueuedRequest): QueueState {
    const queue = state.organisations.get(request.organisation) ?? { waiting: [], startTag: 0 };
    const place = queue.waiting.findIndex(other => other.dueMs > request.dueMs);
    const waiting = queue.waiting.toSpliced(place < 0 ? queue.waiting.length : place, 0, request);
    const startTag = queue.waiting.length === 0 ? Math.max(state.virtualTime, queue.startTag) : queue.startTag;
    return withOrganisation(state, request.organisation, { waiting, startTag });
}

function removeAt(state: QueueState, organisation: string, index: number): QueueState {
    const queue = state.organisations.get(organisation)!;
    return withOrganisation(state, organisation, { ...queue, waiting: queue.waiting.toSpliced(index, 1) });
}

function refuse(request: QueuedRequest, code: QueueRefusal, waitMs: number, random: number): QueueEffect {
    return { kind: "refuse", id: request.id, code, retryAfterMs: spreadRetryAfterMs(waitMs, random) };
}

function serviceMs(state: QueueState, request: QueuedRequest): number {
    return request.work * (state.estimates.msPerWork ?? 0);
}

/**
 * Whether the request would end after its deadline even if it started now. While nothing runs, the estimate is not believed: after a
 * stall it can be so high that every request is refused, nothing is measured any more, and the refusals never end.
 */
function isTooLate(state: QueueState, request: QueuedRequest, nowMs: number): boolean {
    const estimateMs = state.running.size === 0 ? 0 : serviceMs(state, request);
    return nowMs + estimateMs > request.deadlineMs;
}

/** The organisation whose turn it is: the lowest start tag. */
function nextOrganisation(state: QueueState): string | undefined {
    let found: string | undefined;
    let lowest = Infinity;
    for (const [name, queue] of state.organisations) {
        if (queue.waiting.length > 0 && queue.startTag < lowest) {
            found = name;
            lowest = queue.startTag;
        }
    }
    return found;
}

function dispatchOne(state: QueueState, organisation: string, nowMs: number, random: number): Step<QueueState, QueueEffect> {
    const queue = state.organisations.get(organisation)!;
    const index = nextIndex(queue.waiting, nowMs + (state.estimates.firstTokenMs ?? 0));
    const request = queue.waiting[index]!;
    if (isTooLate(state, request, nowMs)) {
        return step(removeAt(state, organisation, index), refuse(request, "deadline-unreachable", serviceMs(state, request), random));
    }
    const advanced = { ...state, virtualTime: Math.max(state.virtualTime, queue.startTag) };
    const waiting = queue.waiting.toSpliced(index, 1);
    const next = withOrganisation(advanced, organisation, { waiting, startTag: queue.startTag + request.work });
    const running = new Map(state.running).set(request.id, { ...request, startedMs: nowMs });
    return step({ ...next, running }, { kind: "dispatch", id: request.id });
}

/** Fills the free slots. */
function dispatch(state: QueueState, nowMs: number, random: number, effects: readonly QueueEffect[]): Step<QueueState, QueueEffect> {
    let current = state;
    const all = [...effects];
    while (current.running.size < current.slots) {
        const organisation = nextOrganisation(current);
        if (organisation === undefined) {
            break;
        }
        const result = dispatchOne(current, organisation, nowMs, random);
        current = result.state;
        all.push(...result.effects);
    }
    return step(current, ...all);
}

/** Makes room in a full queue: the last of the longest organisation gives way, if that is longer than the newcomer's. */
function makeRoom(state: QueueState, request: QueuedRequest, random: number): Step<QueueState, QueueEffect> {
    const retryMs = expectedWaitMs(state, Infinity);
    let longest = request.organisation;
    let most = (state.organisations.get(longest)?.waiting.length ?? 0) + 1;
    for (const [name, queue] of state.organisations) {
        if (queue.waiting.length > most) {
            longest = name;
            most = queue.waiting.length;
        }
    }
    if (longest === request.organisation) {
        return step(state, refuse(request, "queue-full", retryMs, random));
    }
    const last = state.organisations.get(longest)!.waiting.length - 1;
    const victim = state.organisations.get(longest)!.waiting[last]!;
    return step(insert(removeAt(state, longest, last), request), refuse(victim, "queue-full", retryMs, random));
}

function arrive(state: QueueState, request: QueuedRequest, nowMs: number, random: number): Step<QueueState, QueueEffect> {
    const firstMs = state.estimates.firstTokenMs ?? 0;
    const onTimeWaitMs = expectedWaitMs(state, workAhead(state, request, nowMs + firstMs));
    const isOnTime = nowMs + onTimeWaitMs + firstMs <= request.dueMs;
    const waitMs = isOnTime ? onTimeWaitMs : expectedWaitMs(state, workAhead(state, request, -Infinity));
    const endMs = nowMs + waitMs + serviceMs(state, request);
    if (endMs > request.deadlineMs && state.running.size > 0) {
        return step(state, refuse(request, "deadline-unreachable", endMs - request.deadlineMs, random));
    }
    const placed = state.queued < state.policy.maxQueued ? step(insert(state, request)) : makeRoom(state, request, random);
    return dispatch(placed.state, nowMs, random, placed.effects as QueueEffect[]);
}

function follow(usual: number | undefined, measured: number): number {
    return usual === undefined ? measured : usual + (measured - usual) * followShare;
}

function stop(state: QueueState, id: string): { state: QueueState; request: RunningRequest | undefined } {
    const request = state.running.get(id);
    const running = new Map(state.running);
    running.delete(id);
    return { state: request === undefined ? state : { ...state, running }, request };
}

function finished(state: QueueState, id: string, nowMs: number, firstTokenMs: number | undefined): QueueState {
    const stopped = stop(state, id);
    if (stopped.request === undefined) {
        return state;
    }
    const msPerWork = follow(state.estimates.msPerWork, (nowMs - stopped.request.startedMs) / stopped.request.work);
    const firstMs = firstTokenMs === undefined ? state.estimates.firstTokenMs : follow(state.estimates.firstTokenMs, firstTokenMs);
    return { ...stopped.state, estimates: { msPerWork, firstTokenMs: firstMs } };
}

/** Refuses whatever can no longer end before its deadline. */
function expire(state: QueueState, nowMs: number, random: number): Step<QueueState, QueueEffect> {
    let current = state;
    const effects: QueueEffect[] = [];
    for (const [name, queue] of state.organisations) {
        const late = queue.waiting.filter(request => isTooLate(state, request, nowMs));
        if (late.length > 0) {
            effects.push(...late.map(request => refuse(request, "deadline-unreachable", serviceMs(state, request), random)));
            current = withOrganisation(current, name, { ...queue, waiting: queue.waiting.filter(request => !late.includes(request)) });
        }
    }
    return step(current, ...effects);
}

function cancelled(state: QueueState, id: string, organisation: string): QueueState {
    const index = state.organisations.get(organisation)?.waiting.findIndex(request => request.id === id) ?? -1;
    return index < 0 ? stop(state, id).state : removeAt(state, organisation, index);
}

/** One decision about the requests of one service. */
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
            const stopped = stop(state, event.id);
            return stopped.request === undefined ? unchanged(state) : step(insert(stopped.state, stopped.request));
        }
        case "cancelled":
            return dispatch(cancelled(state, event.id, event.organisation), nowMs, random, []);
        case "tick": {
            const expired = expire(state, nowMs, random);
            return dispatch(expired.state, nowMs, random, expired.effects as QueueEffect[]);
        }
    }
}
