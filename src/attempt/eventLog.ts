/**
 * The event log of one attempt at a sidecar. Events are numbered from 1 and kept until the entry acknowledges them, so that a stream can
 * be resumed after its connection was lost. The log is bounded: above the limit, the sidecar stops reading the upstream's answer until the
 * entry has acknowledged enough events.
 *
 * @module
 */

import { type Step, step, unchanged } from "../runtime/index.js";
import type { AttemptEvent } from "./requestTypes.js";

/** An event that is logged, which is any event but a heartbeat. */
export type LoggedEvent = Exclude<AttemptEvent, { kind: "heartbeat" }>;

export interface EventLogState {
    readonly firstSequence: number;
    /** The events from `firstSequence` on. */
    readonly kept: readonly LoggedEvent[];
    readonly bytes: number;
    readonly maxBytes: number;
    readonly paused: boolean;
    /** Whether an end or failure event has closed the log. */
    readonly closed: boolean;
}

export type EventLogEvent =
    | { readonly kind: "append"; readonly event: LoggedEvent }
    | { readonly kind: "acknowledge"; readonly throughSequence: number };

export type EventLogEffect =
    | { readonly kind: "pause-reading" | "go-on-reading" }
    /** New events are available to waiting readers. */
    | { readonly kind: "wake-readers" };

/** The bytes accounted for an event in addition to its data. */
const eventOverheadBytes = 64;

/** The default bound on the bytes kept for one attempt. */
export const defaultMaxLogBytes = 1_048_576;

/** Returns an empty log. */
export function newEventLog(maxBytes = defaultMaxLogBytes): EventLogState {
    return { firstSequence: 1, kept: [], bytes: 0, maxBytes, paused: false, closed: false };
}

function sizeOf(event: LoggedEvent): number {
    return eventOverheadBytes + (event.kind === "chunk" ? event.data.length : 0);
}

/** Applies one event. Events appended after the log is closed are dropped, since an attempt ends only once. */
export function reduceEventLog(state: EventLogState, event: EventLogEvent): Step<EventLogState, EventLogEffect> {
    return event.kind === "append" ? append(state, event.event) : acknowledge(state, event.throughSequence);
}

function append(state: EventLogState, event: LoggedEvent): Step<EventLogState, EventLogEffect> {
    if (state.closed) {
        return unchanged(state);
    }
    const bytes = state.bytes + sizeOf(event);
    const isFull = bytes > state.maxBytes;
    const next: EventLogState = {
        ...state,
        kept: [...state.kept, event],
        bytes,
        paused: isFull,
        closed: event.kind === "end" || event.kind === "failure",
    };
    const pause: readonly EventLogEffect[] = isFull && !state.paused ? [{ kind: "pause-reading" }] : [];
    return step<EventLogState, EventLogEffect>(next, { kind: "wake-readers" }, ...pause);
}

function acknowledge(state: EventLogState, throughSequence: number): Step<EventLogState, EventLogEffect> {
    const dropped = Math.min(state.kept.length, throughSequence - state.firstSequence + 1);
    if (dropped <= 0) {
        return unchanged(state);
    }
    const freedBytes = state.kept.slice(0, dropped).reduce((sum, event) => sum + sizeOf(event), 0);
    const bytes = state.bytes - freedBytes;
    const paused = state.paused && bytes > state.maxBytes;
    const next = { ...state, firstSequence: state.firstSequence + dropped, kept: state.kept.slice(dropped), bytes, paused };
    return state.paused && !paused ? step<EventLogState, EventLogEffect>(next, { kind: "go-on-reading" }) : step(next);
}

/** Returns the events from a sequence number on; undefined if some of them have been discarded. */
export function eventsFrom(state: EventLogState, fromSequence: number): readonly LoggedEvent[] | undefined {
    if (fromSequence < state.firstSequence) {
        return undefined;
    }
    return state.kept.slice(fromSequence - state.firstSequence);
}
