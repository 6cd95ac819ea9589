/**
 * The requests that wait for room at the groups of one model, as a reducer.
 *
 * - Requests that can still be on time come first: by priority, between organisations by fair queueing, then by the earliest due time. The
 *   due time is the latest start with which the first event is on time.
 * - A request that has waited for half of its time until then moves up one priority, so that no priority waits forever behind another.
 * - Requests that can't be on time any more come last.
 * - A request whose expected wait passes its last useful start is refused on arrival, or when it turns late.
 * - The queue is bounded by requests and bytes. Beyond a bound the least urgent and latest request is refused.
 *
 * The caller offers room to the request that `nextWaiting` returns and to no other, so that a less urgent request never takes the room
 * that a more urgent one waits for.
 *
 * @module
 */

import { type Step, step, unchanged } from "../runtime/index.js";
import {
    type FairQueue, type FairRequest, insertRequest, nextOrganisation, removeRequestAt, takeRequestAt, totalWork, workAhead,
} from "./fairQueue.js";
import { lowestPriority, priorityClass, type RoomRates } from "./reserve.js";

/** A request that waits for room. Its due time is its latest start that is on time. */
export interface WaitingRequest extends FairRequest {
    readonly priority: number;
    readonly arrivedMs: number;
    /** When starting it is of no use to its caller any more; not before the due time. */
    readonly lastStartMs: number;
    readonly bytes: number;
}

export interface QueueBounds {
    readonly maxQueued: number;
    readonly maxBytes: number;
}

type Lane = FairQueue<WaitingRequest>;

export interface PriorityQueueState {
    /** A lane for each priority, and one for late requests at the end. */
    readonly lanes: readonly Lane[];
    readonly queued: number;
    readonly bytes: number;
    /** The earliest time at which a request moves to another lane or is refused. It may be earlier than that, but not later. */
    readonly nextChangeMs: number;
}

/** `expected-wait`: its wait passes its last useful start. `expired`: this has come. `queue-full`, `bytes-full`: a bound is exceeded. */
export type WaitingRefusal = "expected-wait" | "expired" | "queue-full" | "bytes-full";

export type PriorityQueueEvent =
    /** A request arrives. It is offered room first and settled if it gets none. */
    | { readonly kind: "arrive"; readonly nowMs: number; readonly request: WaitingRequest }
    /** There is no room for a request that has arrived or turned late: it waits or is refused. */
    | {
        readonly kind: "settle"; readonly nowMs: number; readonly request: WaitingRequest; readonly rates: RoomRates;
        readonly bounds: QueueBounds;
        /** The wait is at least this long, since no group accepts requests. */
        readonly minWaitMs: number;
    }
    /** A request is sent. */
    | { readonly kind: "take"; readonly request: WaitingRequest }
    /** A request can't be on time at any group with room, earlier than predicted. */
    | { readonly kind: "turn-late"; readonly request: WaitingRequest }
    | { readonly kind: "cancel"; readonly request: WaitingRequest }
    | { readonly kind: "advance"; readonly nowMs: number; readonly rates: RoomRates };

export type PriorityQueueEffect =
    | {
        readonly kind: "refuse"; readonly request: WaitingRequest; readonly reason: WaitingRefusal;
        /** How long a new request like this one would wait; Infinity if it can't be said to be served at all. */
        readonly waitMs: number;
    }
    /** The request has turned late. It is offered room first and settled if it gets none. */
    | { readonly kind: "turned-late"; readonly request: WaitingRequest };

type QueueStep = Step<PriorityQueueState, PriorityQueueEffect>;

const lateLane = lowestPriority + 1;
/** The part of the room assumed to be left by more urgent requests, whose arrivals are only estimated. */
const minFreeShare = 0.1;

export function initialPriorityQueue(): PriorityQueueState {
    const lanes = Array.from({ length: lateLane + 1 }, () => ({ virtualTime: 0, organisations: new Map(), queued: 0 }));
    return { lanes, queued: 0, bytes: 0, nextChangeMs: Infinity };
}

export interface NextWaiting {
    readonly request: WaitingRequest;
    /** The priority that it counts with now; Infinity if it is late. */
    readonly level: number;
}

/** Returns the request that is to be offered room next. */
export function nextWaiting({ lanes }: PriorityQueueState): NextWaiting | undefined {
    const index = lanes.findIndex(lane => lane.queued > 0);
    const lane = lanes[index];
    const organisation = lane === undefined ? undefined : nextOrganisation(lane);
    return organisation === undefined
        ? undefined
        : { request: lane!.organisations.get(organisation)!.waiting[0]!, level: index === lateLane ? Infinity : index };
}

/**
 * Returns the expected time until a request is given room in a lane, in ms; 0 if nothing is known about the rate. Late requests get only
 * what the arrivals of others leave, so they may wait forever.
 */
function expectedWaitIn({ lanes }: PriorityQueueState, request: WaitingRequest, laneIndex: number, { freed, arriving }: RoomRates): number {
    if (freed === undefined) {
        return 0;
    }
    // Room for the first in the queue becomes free after half of the usual interval.
    let work = request.work / 2 + workAhead(lanes[laneIndex]!, request);
    let free = freed;
    for (let index = 0; index < laneIndex; index++) {
        work += lanes[index]!.queued === 0 ? 0 : totalWork(lanes[index]!);
        free -= arriving[index] ?? 0;
    }
    const usable = laneIndex === lateLane ? free : Math.max(free, freed * minFreeShare);
    return usable > 0 ? work / usable : Infinity;
}

function refusal(state: PriorityQueueState, request: WaitingRequest, reason: WaitingRefusal, rates: RoomRates): PriorityQueueEffect {
    return { kind: "refuse", request, reason, waitMs: expectedWaitIn(state, request, priorityClass(request.priority), rates) };
}

function agesAtMs(request: WaitingRequest): number {
    return (request.arrivedMs + request.dueMs) / 2;
}

/** Returns the lane of a request at `nowMs`. */
function laneAt(request: WaitingRequest, nowMs: number): number {
    if (nowMs > request.dueMs) {
        return lateLane;
    }
    return Math.max(0, priorityClass(request.priority) - (nowMs >= agesAtMs(request) ? 1 : 0));
}

function nextChangeOf(request: WaitingRequest, laneIndex: number): number {
    if (laneIndex === lateLane) {
        return request.lastStartMs;
    }
    return laneIndex > 0 && laneIndex === priorityClass(request.priority) ? agesAtMs(request) : request.dueMs;
}

function withLane(state: PriorityQueueState, index: number, lane: Lane, request: WaitingRequest, count: 1 | -1): PriorityQueueState {
    return {
        ...state, lanes: state.lanes.with(index, lane), queued: state.queued + count, bytes: state.bytes + count * request.bytes,
    };
}

function insert(state: PriorityQueueState, request: WaitingRequest, laneIndex: number): PriorityQueueState {
    const inserted = withLane(state, laneIndex, insertRequest<WaitingRequest, Lane>(state.lanes[laneIndex]!, request), request, 1);
    return { ...inserted, nextChangeMs: Math.min(state.nextChangeMs, nextChangeOf(request, laneIndex)) };
}

/** Returns the index of the lane in which a request waits; -1 if it doesn't. */
function laneOf({ lanes }: PriorityQueueState, { id, organisation }: WaitingRequest): number {
    return lanes.findIndex(lane => lane.queued > 0 && lane.organisations.get(organisation)?.waiting.some(other => other.id === id));
}

/** Removes a request, wherever it is; `isServed` counts its work against its organisation. */
function remove(state: PriorityQueueState, request: WaitingRequest, isServed = false): PriorityQueueState {
    const laneIndex = laneOf(state, request);
    const lane = state.lanes[laneIndex];
    if (lane === undefined) {
        return state;
    }
    const index = lane.organisations.get(request.organisation)!.waiting.findIndex(({ id }) => id === request.id);
    const removeAt = isServed ? takeRequestAt<WaitingRequest, Lane> : removeRequestAt<WaitingRequest, Lane>;
    return withLane(state, laneIndex, removeAt(lane, request.organisation, index), request, -1);
}

/** Returns the request to refuse when a bound is exceeded: in the last lane, the last one of the organisation with the most work there. */
function leastUrgent({ lanes }: PriorityQueueState): WaitingRequest | undefined {
    const lane = lanes.findLast(({ queued }) => queued > 0);
    let worst: WaitingRequest | undefined;
    let mostWork = -1;
    for (const { waiting } of lane?.organisations.values() ?? []) {
        const work = waiting.reduce((sum, request) => sum + request.work, 0);
        if (waiting.length > 0 && work > mostWork) {
            worst = waiting.at(-1);
            mostWork = work;
        }
    }
    return worst;
}

function applyBounds(state: PriorityQueueState, { maxQueued, maxBytes }: QueueBounds, rates: RoomRates): QueueStep {
    let current = state;
    const effects: PriorityQueueEffect[] = [];
    while (current.queued > maxQueued || current.bytes > maxBytes) {
        const request = leastUrgent(current)!;
        const reason = current.queued > maxQueued ? "queue-full" : "bytes-full";
        current = remove(current, request);
        effects.push(refusal(current, request, reason, rates));
    }
    return step(current, ...effects);
}

function settle(state: PriorityQueueState, event: Extract<PriorityQueueEvent, { kind: "settle" }>): QueueStep {
    const { request, nowMs, rates, bounds, minWaitMs } = event;
    const laneIndex = laneOf(state, request);
    if (laneIndex < 0) {
        return unchanged(state);
    }
    const startInLane = (lane: number) => nowMs + Math.max(minWaitMs, expectedWaitIn(state, request, lane, rates));
    const isUseful = (laneIndex !== lateLane && startInLane(laneIndex) <= request.dueMs) || startInLane(lateLane) <= request.lastStartMs;
    if (!isUseful) {
        const removed = remove(state, request);
        return step(removed, refusal(removed, request, "expected-wait", rates));
    }
    return applyBounds(state, bounds, rates);
}

/** Moves requests to the lanes in which they belong now, and refuses those whose last useful start has passed. */
function advance(state: PriorityQueueState, nowMs: number, rates: RoomRates): QueueStep {
    if (nowMs < state.nextChangeMs) {
        return unchanged(state);
    }
    const due: { request: WaitingRequest; laneIndex: number }[] = [];
    let nextChangeMs = Infinity;
    for (const [laneIndex, lane] of state.lanes.entries()) {
        for (const { waiting } of lane.organisations.values()) {
            for (const request of waiting) {
                const changeMs = nextChangeOf(request, laneIndex);
                if (changeMs <= nowMs) {
                    due.push({ request, laneIndex });
                }
                else {
                    nextChangeMs = Math.min(nextChangeMs, changeMs);
                }
            }
        }
    }
    let current: PriorityQueueState = { ...state, nextChangeMs };
    const effects: PriorityQueueEffect[] = [];
    for (const { request, laneIndex } of due) {
        current = remove(current, request);
        if (nowMs >= request.lastStartMs) {
            effects.push(refusal(current, request, "expired", rates));
        }
        else if (nowMs >= request.dueMs) {
            current = insert(current, request, lateLane);
            effects.push({ kind: "turned-late", request });
        }
        else {
            current = insert(current, request, laneIndex - 1);
        }
    }
    return step(current, ...effects);
}

/** Applies one event to the queue of one model. */
export function priorityQueueReducer(state: PriorityQueueState, event: PriorityQueueEvent): QueueStep {
    switch (event.kind) {
        case "arrive":
            return step(insert(state, event.request, laneAt(event.request, event.nowMs)));
        case "settle":
            return settle(state, event);
        case "take":
            return step(remove(state, event.request, true));
        case "turn-late":
            return step(insert(remove(state, event.request), event.request, lateLane));
        case "cancel":
            return step(remove(state, event.request));
        case "advance":
            return advance(state, event.nowMs, event.rates);
    }
}
