/**
 * Reads what an answer states about the upstream that sent it from the answer's headers.
 *
 * @module
 */

import { maxAmount, maxStatedMs, type UpstreamSignals } from "../fleet/index.js";
import { parseAmount, parseRetryAfterMs } from "../http/index.js";
import { headerValue, type HeaderNames } from "./headers.js";

const leavingMark = "1";

/** Parses a number that is at least 0; a larger one than `max` counts as `max`. */
function parseBounded(text: string | undefined, max: number): number | undefined {
    const amount = parseAmount(text);
    return amount === undefined ? undefined : Math.min(amount, max);
}

function parseLoad(text: string | undefined): UpstreamSignals["load"] {
    const [running, waiting] = (text ?? "").split(",", 2).map(part => parseBounded(part, maxAmount));
    return running === undefined || waiting === undefined ? undefined : { running, waiting };
}

/** Reads the signals of an answer. Values that can't be read are ignored, like those that are absent. */
export function readSignals(status: number, rawHeaders: readonly string[], names: HeaderNames): UpstreamSignals {
    return {
        load: parseLoad(headerValue(rawHeaders, names.load)),
        limitPerSecond: parseBounded(headerValue(rawHeaders, names.limit), maxAmount),
        pushbackMs: parseRetryAfterMs(status, name => headerValue(rawHeaders, name)),
        coldForMs: parseBounded(headerValue(rawHeaders, names.coldForMs), maxStatedMs),
        isLeaving: headerValue(rawHeaders, names.leaving)?.trim() === leavingMark,
    };
}
