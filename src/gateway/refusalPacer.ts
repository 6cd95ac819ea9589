/**
 * The Retry-After of requests refused for want of room at the groups of one model.
 *
 * @module
 */

import type { RoomRates } from "../admission/index.js";
import type { ParsedRequest } from "./parsedRequest.js";
import { overloadRetryMs, retryAfterMs, retryAfterWaitMs } from "./retryAfter.js";

/** Refusals of about the last second compete for the room that a refused caller is told to come back for. */
const decayMs = 1_000;

export interface Refusal {
    readonly request: ParsedRequest;
    readonly work: number;
    /** How long a new request like it would wait. */
    readonly waitMs: number;
    /** The time for which every upstream has pushed back. */
    readonly acceptedInMs: number;
    readonly rates: RoomRates;
}

export interface RefusalPacer {
    /** Counts a refusal and returns its delay in ms. */
    delayMs(refusal: Refusal): number;
}

export function createRefusalPacer(nowMs: () => number, random: () => number): RefusalPacer {
    let refusedWork = 0;
    let refusedAtMs = 0;
    return {
        delayMs({ request, work, waitMs, acceptedInMs, rates: { freed, arriving } }) {
            refusedWork = refusedWork * Math.exp((refusedAtMs - nowMs()) / decayMs) + work;
            refusedAtMs = nowMs();
            const leftMs = Math.max(0, request.deadlineAtMs - nowMs());
            if (freed === undefined) {
                return retryAfterMs({ leftMs, acceptedInMs, random: random() });
            }
            // Those who come back share the room with as many new requests as arrive now.
            const competing = arriving.reduce((sum, rate) => sum + rate, 0) / freed;
            if (competing > 1) {
                return overloadRetryMs({ leftMs, acceptedInMs, random: random() });
            }
            return retryAfterWaitMs({ leftMs, acceptedInMs, waitMs, spreadMs: refusedWork / freed, random: random() });
        },
    };
}
