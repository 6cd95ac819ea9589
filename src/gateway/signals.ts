/**
 * Reads what an answer states about the upstream that sent it from the answer's headers.
 *
 * @module
 */

import type { UpstreamSignals } from "../fleet/index.js";
import { headerValue, type HeaderNames } from "./headers.js";

const leavingMark = "1";
const msPerSecond = 1_000;
/** The statuses of a request that was turned away, of which RFC 9110 and RFC 6585 define `Retry-After` as a pushback. */
const pushbackStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Parses a number that is at least 0. */
function parseAmount(text: string | undefined): number | undefined {
    const amount = text === undefined || text.trim() === "" ? Number.NaN : Number(text);
    return Number.isFinite(amount) && amount >= 0 ? amount : undefined;
}

function parseLoad(text: string | undefined): UpstreamSignals["load"] {
    const [running, waiting] = (text ?? "").split(",").map(parseAmount);
    return running === undefined || waiting === undefined ? undefined : { running, waiting };
}

/** Parses `Retry-After`: seconds, or a date, which is compared with the answer's own date because clocks of VMs differ. */
function parseRetryAfterMs(rawHeaders: readonly string[]): number | undefined {
    const text = headerValue(rawHeaders, "retry-after");
    const seconds = parseAmount(text);
    if (seconds !== undefined) {
        return seconds * msPerSecond;
    }
    const untilMs = Date.parse(text ?? "") - Date.parse(headerValue(rawHeaders, "date") ?? "");
    return Number.isFinite(untilMs) && untilMs >= 0 ? untilMs : undefined;
}

/** Reads the signals of an answer. Values that can't be read are ignored, like those that are absent. */
export function readSignals(status: number, rawHeaders: readonly string[], names: HeaderNames): UpstreamSignals {
    return {
        load: parseLoad(headerValue(rawHeaders, names.load)),
        limitPerSecond: parseAmount(headerValue(rawHeaders, names.limit)),
        pushbackMs: pushbackStatuses.has(status) ? parseRetryAfterMs(rawHeaders) : undefined,
        isLeaving: headerValue(rawHeaders, names.leaving)?.trim() === leavingMark,
    };
}
