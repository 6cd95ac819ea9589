/**
 * Tells which requests can be written as HTTP/1.1. The parser of callers' requests accepts more than the client to upstreams writes, and an
 * upstream must not be blamed for what was never sent to it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { HeaderNames } from "./headers.js";

const targetPattern = /^\/[\x21-\x7e\x80-\xff]*$/;
const headerNamePattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const headerValuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Returns why a request with this target and raw header list can't be sent; undefined if it can. */
export function unsendableReason(target: string, headers: readonly string[]): string | undefined {
    if (!targetPattern.test(target)) {
        return "the path contains characters that can't be sent";
    }
    const isUnsendable = (part: string, index: number) => !(index % 2 === 0 ? headerNamePattern : headerValuePattern).test(part);
    return headers.some(isUnsendable) ? "a header can't be sent" : undefined;
}

/** Returns why a caller's request is malformed although the parser has accepted it; undefined if it is well-formed. */
export function malformedReason({ url, rawHeaders }: Pick<IncomingMessage, "url" | "rawHeaders">, names: HeaderNames): string | undefined {
    const countOf = (name: string) => rawHeaders.filter((part, index) => index % 2 === 0 && part.toLowerCase() === name).length;
    const repeated = ["host", names.attemptId].find(name => countOf(name) > 1);
    // Other forms of targets have no route.
    const isPath = url?.startsWith("/") === true;
    return repeated === undefined ? unsendableReason(isPath ? url! : "/", rawHeaders) : `the header ${repeated} occurs more than once`;
}

/** Returns `text` in the form in which a header carries it: UTF-8, with a question mark for each control character. */
export function toHeaderValue(text: string): string {
    return Buffer.from(text).toString("latin1").replace(/[^\x20-\x7e\x80-\xff]/g, "?").trim();
}
