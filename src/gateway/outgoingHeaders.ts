/**
 * The headers of a request to an upstream: those of the caller, and those that the entry sets itself.
 *
 * @module
 */

import { type HeaderNames, forwardedHeaders, headerValue } from "./headers.js";
import type { ParsedRequest } from "./parsedRequest.js";
import { toHeaderValue } from "./sendable.js";

/** The numerically highest and so least urgent priority that engines support. */
const lowestPriority = 9;
/** Added to the priority value of requests in the late queue, which puts them behind every priority that routes use. */
const latePriorityPenalty = 5;

export interface OutgoingHeaderOptions {
    readonly upstreamId: string;
    /** The time left until the request is given up. */
    readonly leftMs: number;
    /** The last event forwarded to the caller; undefined if none has been. */
    readonly lastEventId: string | undefined;
    /** Whether the upstream is an engine, which supports priorities. */
    readonly hasEngine: boolean;
    /** Whether the request joins the late queue. */
    readonly isLate: boolean;
}

/** Returns the raw header list of a request to an upstream. */
export function outgoingHeaders(request: ParsedRequest, names: HeaderNames, options: OutgoingHeaderOptions): string[] {
    const overridden = new Set([
        names.key, names.deadlineMs, names.organisation, names.upstreamId, names.priority, names.lastEventId, "content-length",
    ]);
    const headers = forwardedHeaders(request.rawHeaders, overridden);
    headers.push(names.deadlineMs, String(Math.max(1, Math.floor(options.leftMs))), names.upstreamId, options.upstreamId);
    if (request.organisation !== undefined) {
        headers.push(names.organisation, toHeaderValue(request.organisation));
    }
    const lastEventId = options.lastEventId ?? headerValue(request.rawHeaders, names.lastEventId);
    if (lastEventId !== undefined) {
        headers.push(names.lastEventId, lastEventId);
    }
    if (options.hasEngine) {
        headers.push(names.priority, String(Math.min(lowestPriority, request.priority + (options.isLate ? latePriorityPenalty : 0))));
    }
    return headers;
}
