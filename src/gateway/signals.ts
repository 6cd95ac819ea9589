/**
 * Reads what an answer states about the upstream that sent it from the answer's headers.
 *
 * @module
 */

import type { UpstreamSignals } from "../fleet/index.js";
import { parseAmount, parseRetryAfterMs } from "../http/index.js";
import { headerValue, type HeaderNames } from "./headers.js";

const leavingMark = "1";

function parseLoad(text: string | undefined): UpstreamSignals["load"] {
    const [running, waiting] = (text ?? "").split(",").map(parseAmount);
    return running === undefined || waiting === undefined ? undefined : { running, waiting };
}

/** Reads the signals of an answer. Values that can't be read are ignored, like those that are absent. */
export function readSignals(status: number, rawHeaders: readonly string[], names: HeaderNames): UpstreamSignals {
    return {
        load: parseLoad(headerValue(rawHeaders, names.load)),
        limitPerSecond: parseAmount(headerValue(rawHeaders, names.limit)),
        pushbackMs: parseRetryAfterMs(status, name => headerValue(rawHeaders, name)),
        coldForMs: parseAmount(headerValue(rawHeaders, names.coldForMs)),
        isLeaving: headerValue(rawHeaders, names.leaving)?.trim() === leavingMark,
    };
}
