/**
 * Continuous batching: requests queue by priority and join the running batch between steps; each step produces one token for every
 * running request. Step time grows with the batch size, and a request's first step includes the prefill of its uncached prompt.
 *
 * @module
 */

import { answerTokens } from "./answer.js";
import type { PrefixCache } from "./prefixCache.js";

export interface BatchOptions {
    /** Duration of a step with a single request. */
    stepMs: number;
    /** Increase of the step duration for each further request, as a share of `stepMs`. */
    stepGrowth: number;
    /** Prefill speed in prompt characters per millisecond. */
    prefillCharsPerMs: number;
    capacity: number;
    /** The number of first tokens after which the engine counts as warm. */
    warmAfter: number;
    /** The maximum number of requests without a first token that a cold engine survives. */
    coldCapacity: number;
    /** A prompt that contains this text crashes the engine; empty for none. */
    crashOn: string;
}

export interface BatchRequest {
    readonly id: string;
    readonly prompt: string;
    readonly maxTokens: number;
    /** Tokens already produced by another engine; generation continues after them. */
    readonly skipTokens: number;
    /** A lower value starts earlier. */
    readonly priority: number;
    onToken(text: string, index: number): void;
    onEnd(reason: "length" | "cancelled"): void;
}

export interface BatchState {
    readonly running: number;
    readonly queued: number;
    readonly cold: boolean;
    readonly stepLatencyMs: number;
    readonly startsUnproven: number;
}

export interface Batch {
    submit(request: BatchRequest): void;
    /** Cancels a queued or running request; returns false if the id is unknown. */
    cancel(id: string): boolean;
    turnCold(): void;
    stallFor(durationMs: number): void;
    readonly state: BatchState;
}

export interface BatchFaults {
    /** Called when a cold engine has more than `coldCapacity` requests without a first token. */
    onColdOverload(): void;
    onCrash(): void;
}

interface Job {
    readonly request: BatchRequest;
    readonly tokens: readonly string[];
    nextToken: number;
    prefillMs: number;
    hasFirstToken: boolean;
}

/** Creates the batch; changes to `options` take effect while it runs. */
export function createBatch(options: BatchOptions, cache: PrefixCache, faults: BatchFaults): Batch {
    let queued: Job[] = [];
    let running: Job[] = [];
    let firstTokens = 0;
    let stepLatencyMs = options.stepMs;
    let stalledUntilMs = 0;
    let isStepping = false;

    const isCold = () => firstTokens < options.warmAfter;
    const countAwaitingFirstToken = () => [...queued, ...running].filter(job => !job.hasFirstToken).length;

    function admitQueued() {
        while (running.length < options.capacity && queued.length > 0) {
            const job = queued.shift()!;
            const uncachedChars = job.request.prompt.length - cache.matchAndInsert(job.request.prompt);
            job.prefillMs = uncachedChars / options.prefillCharsPerMs;
            running.push(job);
        }
    }

    function advance(job: Job) {
        if (!job.hasFirstToken) {
            job.hasFirstToken = true;
            firstTokens++;
        }
        if (job.nextToken < job.tokens.length) {
            job.request.onToken(job.tokens[job.nextToken]!, job.nextToken);
            job.nextToken++;
        }
        if (job.nextToken >= job.tokens.length) {
            running = running.filter(other => other !== job);
            job.request.onEnd("length");
        }
    }

    function stepDurationMs(): number {
        const decodeMs = options.stepMs * (1 + options.stepGrowth * Math.max(0, running.length - 1));
        return decodeMs + running.reduce((sum, job) => sum + (job.hasFirstToken ? 0 : job.prefillMs), 0);
    }

    function endStep() {
        if (Date.now() < stalledUntilMs) {
            setTimeout(endStep, stalledUntilMs - Date.now());
            return;
        }
        if (running.some(job => options.crashOn !== "" && job.request.prompt.includes(options.crashOn))) {
            faults.onCrash();
            return;
        }
        [...running].forEach(advance);
        startStep();
    }

    function startStep() {
        admitQueued();
        isStepping = running.length > 0;
        if (!isStepping) {
            return;
        }
        stepLatencyMs = stepDurationMs();
        setTimeout(endStep, stepLatencyMs);
    }

    function enqueue(request: BatchRequest) {
        const tokens = answerTokens(request.prompt, request.maxTokens);
        const job: Job = { request, tokens, nextToken: Math.min(request.skipTokens, tokens.length), prefillMs: 0, hasFirstToken: false };
        const insertionIndex = queued.findIndex(other => other.request.priority > request.priority);
        queued.splice(insertionIndex < 0 ? queued.length : insertionIndex, 0, job);
    }

    return {
        submit(request) {
            enqueue(request);
            if (isCold() && countAwaitingFirstToken() > options.coldCapacity) {
                faults.onColdOverload();
            }
            if (!isStepping) {
                startStep();
            }
        },
        cancel(id) {
            const job = [...queued, ...running].find(other => other.request.id === id);
            if (job === undefined) {
                return false;
            }
            queued = queued.filter(other => other !== job);
            running = running.filter(other => other !== job);
            job.request.onEnd("cancelled");
            return true;
        },
        turnCold() {
            firstTokens = 0;
            cache.clear();
        },
        stallFor(durationMs) {
            stalledUntilMs = Date.now() + durationMs;
        },
        get state() {
            return {
                running: running.length,
                queued: queued.length,
                cold: isCold(),
                stepLatencyMs,
                startsUnproven: countAwaitingFirstToken(),
            };
        },
    };
}
