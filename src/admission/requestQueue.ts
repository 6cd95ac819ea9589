/**
 * The queue that an entry holds for one service, as an interface with a class for each policy.
 *
 * @module
 */

import { initialQueue, type QueueEffect, type QueueEvent, queueReducer } from "./queue.js";
import type { QueuedRequest, QueuePolicy, QueueState } from "./queueState.js";
import { spreadRetryAfterMs } from "./retryAfter.js";

/** Takes one event at a time; what it asks for is to be performed in order. */
export interface RequestQueue {
    apply(event: QueueEvent): readonly QueueEffect[];
    readonly queued: number;
    readonly running: number;
}

/** Fair between organisations, earliest due first inside one, early refusal: `queueReducer`. */
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

const fullRetryMs = 1_000;

/** The baseline: one line, first come first served, refusing only when it is full. */
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
            return [{ kind: "refuse", id: event.request.id, code: "queue-full", retryAfterMs: spreadRetryAfterMs(fullRetryMs, event.random) }];
        }
        this.take(event);
        return event.kind === "returned" ? [] : this.fill();
    }

    private take(event: QueueEvent) {
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
                this.putBack(event.id);
                break;
            case "cancelled":
                this.drop(event.id);
                break;
            case "tick":
                break;
        }
    }

    private putBack(id: string) {
        const request = this.started.get(id);
        if (request !== undefined) {
            this.started.delete(id);
            this.waiting.unshift(request);
        }
    }

    private drop(id: string) {
        this.started.delete(id);
        const index = this.waiting.findIndex(request => request.id === id);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
    }

    private fill(): QueueEffect[] {
        const effects: QueueEffect[] = [];
        while (this.started.size < this.slots && this.waiting.length > 0) {
            const request = this.waiting.shift()!;
            this.started.set(request.id, request);
            effects.push({ kind: "dispatch", id: request.id });
        }
        return effects;
    }
}
