/**
 * Error responses to callers: RFC 9457 problem documents with a code, the known state of the execution, and the retry delay.
 *
 * @module
 */

import type { Execution } from "../attempt/index.js";

export interface Problem {
    readonly status: number;
    readonly code: string;
    readonly title: string;
    readonly execution: Execution;
    readonly detail?: string;
    readonly retryAfterMs?: number;
}

/** An error that is sent to the caller as a problem document. */
export class ProblemError extends Error {
    override readonly name = "ProblemError";
    constructor(readonly problem: Problem) {
        super(problem.title);
    }
}

/** Creates the error for an invalid request, which has reached no upstream. */
export function badRequest(code: string, title: string, detail?: string, status = 400): ProblemError {
    return new ProblemError({ status, code, title, execution: "not-run", ...(detail === undefined ? {} : { detail }) });
}

/** Creates the error for a request that is refused temporarily and has reached no upstream. */
export function unavailable(code: string, title: string, retryAfterMs: number, status = 503): ProblemError {
    return new ProblemError({ status, code, title, execution: "not-run", retryAfterMs });
}

const msPerSecond = 1_000;

/** Builds the headers and the body of a problem document. */
export function problemDocument(problem: Problem): { headers: Record<string, string>; body: string } {
    const headers: Record<string, string> = { "content-type": "application/problem+json" };
    if (problem.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(problem.retryAfterMs / msPerSecond));
    }
    const body = JSON.stringify({ type: `urn:zinnialanding:problem:${problem.code}`, ...problem });
    return { headers, body };
}
