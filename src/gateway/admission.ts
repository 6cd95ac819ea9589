/**
 * Admission of streams to the groups of models where overload control acts: a stream that finds room is sent at once, and otherwise waits
 * for it in the queue of its service and model, is refused, or leaves with its caller.
 *
 * @module
 */

import type { Site } from "../site/index.js";
import { createContainment } from "../runtime/index.js";
import type { AdmissionDecision, Submission } from "./admissionTypes.js";
import { createModelQueue, type ModelQueue, type ModelQueueDependencies } from "./modelQueue.js";
import type { ParsedRequest } from "./parsedRequest.js";

/** The shortest time between two wake-ups by the timer: requests that are due within it are decided together. */
const minTimerMs = 10;

export interface Admission {
    /** Whether requests to this service pass through here. */
    appliesTo(request: ParsedRequest, service: string): boolean;
    /**
     * Asks for room. `onDecision` is called at most once, and exactly once unless the request is cancelled first. It is called before
     * `submit` returns if there is room.
     */
    submit(submission: Submission, onDecision: (decision: AdmissionDecision) => void): { cancel(): void };
    /**
     * Has to be called when there may be more room: an attempt has ended, a stream has brought its first event, or a new view of loads has
     * arrived. Waiting requests are sent after the caller has returned.
     */
    roomChanged(): void;
    /** Refuses all waiting requests as not run, and from now on those that find no room at once. */
    close(): void;
    readonly waitingByModel: ReadonlyMap<string, number>;
    readonly waitingByOrganisation: ReadonlyMap<string, number>;
}

export interface AdmissionOptions extends Omit<ModelQueueDependencies, "wake"> {
    /** Whether overload control acts for a service. */
    isActive(service: string, site: Site): boolean;
    /** Records an exception; the queue in which it was thrown is decided again with the next change. */
    recordException(error: unknown): void;
    /** Calls back once the present callback has returned. */
    defer?(callback: () => void): void;
    /** Calls back once after a delay; returns a function that cancels this. */
    setTimer?(callback: () => void, delayMs: number): () => void;
}

function startTimer(callback: () => void, delayMs: number): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
}

/** Creates an admission without waiting requests. */
export function createAdmission(options: AdmissionOptions): Admission {
    const { nowMs, defer = queueMicrotask, setTimer = startTimer } = options;
    /** The queues by service and model. */
    const queues = new Map<string, ModelQueue>();
    let isClosed = false;
    let isWoken = false;
    const contained = createContainment(error => options.recordException(error));
    let timer: { readonly dueMs: number; cancel(): void } | undefined;

    function queueOf({ service, model }: Submission): ModelQueue {
        const key = `${service} ${model}`;
        let queue = queues.get(key);
        if (queue === undefined) {
            queue = createModelQueue(service, model, { ...options, wake });
            queues.set(key, queue);
            if (isClosed) {
                queue.close();
            }
        }
        return queue;
    }

    /** Arms the timer for the earliest change in a queue. */
    function schedule() {
        const dueMs = Math.min(...Array.from(queues.values(), queue => queue.nextChangeMs));
        if (timer !== undefined && timer.dueMs <= dueMs) {
            return;
        }
        timer?.cancel();
        timer = undefined;
        if (dueMs < Infinity) {
            const delayMs = Math.max(minTimerMs, Math.ceil(dueMs - nowMs()));
            timer = { dueMs, cancel: setTimer(contained(onTimer), delayMs) };
        }
    }

    /** Pumps once for all that happens within the present callback. */
    function wake() {
        if (!isWoken) {
            isWoken = true;
            defer(contained(() => {
                isWoken = false;
                pumpAll();
            }));
        }
    }

    function onTimer() {
        timer = undefined;
        pumpAll();
    }

    function pumpAll() {
        for (const [key, queue] of queues) {
            if (queue.waiting > 0) {
                contained(() => queue.pump())();
            }
            else if (!queue.isServed) {
                queues.delete(key);
            }
        }
        schedule();
    }

    function sumCounts(countsOf: (queue: ModelQueue) => Iterable<readonly [string, number]>): Map<string, number> {
        const sums = new Map<string, number>();
        for (const queue of queues.values()) {
            for (const [name, count] of countsOf(queue)) {
                sums.set(name, (sums.get(name) ?? 0) + count);
            }
        }
        return sums;
    }

    return {
        appliesTo: ({ table: { site } }, service) => options.isActive(service, site),
        submit(submission, onDecision) {
            const engine = submission.request.table.service(submission.service)?.engine;
            // A name that callers invent must not create a queue.
            if (!engine?.models.some(({ name }) => name === submission.model)) {
                onDecision({ kind: "unpredicted" });
                return { cancel: () => undefined };
            }
            const ticket = queueOf(submission).submit(submission, onDecision);
            schedule();
            return ticket;
        },
        roomChanged: wake,
        close() {
            isClosed = true;
            queues.forEach(queue => queue.close());
            timer?.cancel();
            timer = undefined;
        },
        get waitingByModel() {
            return sumCounts(queue => [[queue.model, queue.waiting]]);
        },
        get waitingByOrganisation() {
            return sumCounts(queue => queue.organisations);
        },
    };
}
