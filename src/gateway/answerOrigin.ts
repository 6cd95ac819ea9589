/**
 * Tells from the head of an answer whether it is the answer to a request and comes from the upstream that the request was sent to, and how
 * its end is known.
 *
 * @module
 */

import { maxStatus } from "../http/index.js";
import { type HeaderNames, headerValue } from "./headers.js";

const plainCodings: ReadonlySet<string> = new Set(["chunked", "identity"]);

export interface AnswerHead {
    readonly status: number;
    /** Names and values in turn. */
    readonly rawHeaders: readonly string[];
}

/** Returns why an answer can't be the upstream's answer to the request with `attemptId`, or undefined. */
export function foreignReason({ status, rawHeaders }: AnswerHead, attemptId: string, names: HeaderNames): string | undefined {
    if (status > maxStatus) {
        return `the answer has status ${status}, which HTTP doesn't have`;
    }
    if (headerValue(rawHeaders, names.attemptId) !== attemptId) {
        return "the answer bears another request's id";
    }
    if (status < 300 && headerValue(rawHeaders, names.signature) === undefined) {
        return "the success bears no mark of the upstream";
    }
    return isEncoded(rawHeaders) ? "the answer is encoded" : undefined;
}

/** Whether the bytes that come are not the body itself. Nothing here decodes more than chunks. */
function isEncoded(rawHeaders: readonly string[]): boolean {
    const codings = headerValue(rawHeaders, "transfer-encoding")?.toLowerCase().split(",").map(coding => coding.trim()) ?? [];
    return headerValue(rawHeaders, "content-encoding") !== undefined || codings.some(coding => !plainCodings.has(coding));
}

/** Whether an answer comes from another upstream, which has taken over the address. */
export function isFromOtherUpstream({ status, rawHeaders }: AnswerHead, upstreamId: string, names: HeaderNames): boolean {
    return status === 421 && headerValue(rawHeaders, names.faultyUpstreamId) === undefined &&
        headerValue(rawHeaders, names.servedBy) !== upstreamId;
}

/** Whether the answer to a request other than HEAD has a body whose end only the end of its connection tells. */
export function endsWithConnection({ status, rawHeaders }: AnswerHead): boolean {
    return status !== 204 && headerValue(rawHeaders, "content-length") === undefined &&
        !/\bchunked\b/i.test(headerValue(rawHeaders, "transfer-encoding") ?? "");
}
