/**
 * The `Retry-After` header of an answer that turned a request away.
 *
 * @module
 */

const msPerSecond = 1_000;
/** A sender that names a longer time is tried again after this one, so that one odd answer doesn't take it out. */
const maxRetryAfterMs = 3_600_000;
/** The statuses for which RFC 9110 and RFC 6585 define `Retry-After` as the time for which no further request is wanted. */
const refusalStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Parses a number that is at least 0; undefined if the text is none. */
export function parseAmount(text: string | undefined): number | undefined {
    const amount = text === undefined || text.trim() === "" ? Number.NaN : Number(text);
    return Number.isFinite(amount) && amount >= 0 ? amount : undefined;
}

/**
 * Returns for how long an answer asks for no further requests, in ms and an hour at most; undefined if it doesn't, or its value can't be
 * read. A date is compared with the answer's own `Date`, because clocks of VMs differ. `header` returns the value of a header by its name
 * in lower case.
 */
export function parseRetryAfterMs(status: number, header: (name: string) => string | undefined): number | undefined {
    if (!refusalStatuses.has(status)) {
        return undefined;
    }
    const text = header("retry-after");
    const seconds = parseAmount(text);
    if (seconds !== undefined) {
        return Math.min(seconds * msPerSecond, maxRetryAfterMs);
    }
    const untilMs = Date.parse(text ?? "") - Date.parse(header("date") ?? "");
    return Number.isFinite(untilMs) && untilMs >= 0 ? Math.min(untilMs, maxRetryAfterMs) : undefined;
}
