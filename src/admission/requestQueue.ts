/**
 * The request queue of one service at an entry: an interface with one class per policy.
 *
 * @module
 */

import { initialQueue, type QueueEffect, type QueueEvent, queueReducer } from "./queue.js";
import type { QueuedRequest, QueuePolicy, QueueState } from "./queueState.js";
import { jitteredRetryAfterMs } from "./retryAfter.js";

/** Handles one event at a time. The caller performs the returned effects in order. */
export interface RequestQueue {
    apply(event: QueueEvent): readonly QueueEffect[];
    readonly queued: number;
    readonly running: number;
}

/** Fair queueing between organisations, earliest due first within one, and early refusal; see `queueReducer`. */
export class FairDeadlineQueue implements RequestQueue {
    private state: QueueState;

    constructor(policy: QueuePolicy) {
        this.state = initialQueue(policy);
    }

    get queued() {
        return this.state.queued;
    }

    get running() {
        return this.state.running.size;
    }

    apply(event: QueueEvent) {
        const { state, effects } = queueReducer(this.state, event);
        this.state = state;
        return effects;
    }
}

const queueFullRetryMs = 1_000;

/** The baseline: a single first-in, first-out queue that refuses requests only when it is full. */
export class FifoQueue implements RequestQueue {
    private readonly waiting: QueuedRequest[] = [];
    private readonly started = new Map<string, QueuedRequest>();
    private slots = 0;

    constructor(private readonly policy: QueuePolicy) {}

    get queued() {
        return this.waiting.length;
    }

    get running() {
        return this.started.size;
    }

    apply(event: QueueEvent): QueueEffect[] {
        if (event.kind === "arrive" && this.waiting.length >= this.policy.maxQueued) {
            return [{ kind: "refuse", id: event.request.id, code: "queue-full", retryAfterMs: jitteredRetryAfterMs(queueFullRetryMs, event.random) }];
        }
        this.update(event);
        return event.kind === "returned" ? [] : this.dispatchWaiting();
    }

    private update(event: QueueEvent) {
        switch (event.kind) {
            case "arrive":
                this.waiting.push(event.request);
                break;
            case "slots":
                this.slots = event.slots;
                break;
            case "finished":
                this.started.delete(event.id);
                break;
            case "returned":
                this.requeue(event.id);
                break;
            case "cancelled":
                this.remove(event.id);
                break;
            case "tick":
                break;
        }
    }

    private requeue(id: string) {
        const request = this.started.get(id);
        if (request !== undefined) {
            this.started.delete(id);
            this.waiting.unshift(request);
        }
    }

    private remove(id: string) {
        this.started.delete(id);
        const index = this.waiting.findIndex(request => request.id === id);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
    }

    private dispatchWaiting(): QueueEffect[] {
        const effects: QueueEffect[] = [];
        while (this.started.size < this.slots && this.waiting.length > 0) {
            const request = this.waiting.shift()!;
            this.started.set(request.id, request);
            effects.push({ kind: "dispatch", id: request.id });
        }
        return effects;
    }
}
