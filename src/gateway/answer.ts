/**
 * The answer to one caller: written once, final once, whichever of the several things that may end a request comes first.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

export interface CallerAnswer {
    readonly isStarted: boolean;
    readonly isOver: boolean;
    /** Bytes of it wait for their caller to read. */
    readonly isUnsent: boolean;
    /** Starts an answer whose body follows in pieces. */
    start(status: number, headers: string[]): void;
    /** False: the caller reads too slowly, `drained` is called when it has caught up. */
    write(chunk: Buffer): boolean;
    end(): void;
    /** The whole answer at once. */
    whole(status: number, headers: string[], body: Buffer): void;
    /** An answer of this entry's own. */
    own(status: number, reason: string, retryAfterMs?: number): void;
    /** Ends an answer that was started and can't be completed, so that it does not look complete. */
    breakOff(): void;
}

export interface AnswerOptions {
    /** Whether the answer, whose head is being written, has to announce the end of the connection. */
    announcesClose(): boolean;
    /** Calls back once the request's body has been read or is not worth waiting for. */
    whenRead(then: () => void): void;
    /** Headers of every own answer. */
    readonly headers: string[];
    drained(): void;
}

/** Wraps the response of one request. */
export function createAnswer(response: ServerResponse, options: AnswerOptions): CallerAnswer {
    let isStarted = false;
    let isOver = false;

    function begin(status: number, headers: string[]) {
        isStarted = true;
        const list = options.announcesClose() ? [...headers, "Connection", "close"] : headers;
        response.writeHead(status, list);
    }

    response.on("drain", () => options.drained());

    return {
        get isStarted() {
            return isStarted;
        },
        get isOver() {
            return isOver;
        },
        get isUnsent() {
            return response.writableLength > 0;
        },
        start(status, headers) {
            if (!isStarted && !isOver) {
                begin(status, headers);
                response.flushHeaders();
            }
        },
        write(chunk) {
            return isOver || chunk.length === 0 ? true : response.write(chunk);
        },
        end() {
            if (!isOver) {
                isOver = true;
                response.end();
            }
        },
        whole(status, headers, body) {
            if (!isStarted && !isOver) {
                isOver = true;
                const withoutLength = headers.filter((_, at) => headers[at - at % 2]!.toLowerCase() !== "content-length");
                begin(status, [...withoutLength, "Content-Length", String(body.length)]);
                response.end(body);
            }
        },
        own(status, reason, retryAfterMs) {
            if (isStarted || isOver) {
                return;
            }
            isOver = true;
            const body = Buffer.from(JSON.stringify({ status, reason }));
            const retry = retryAfterMs === undefined ? [] : ["Retry-After", (retryAfterMs / 1_000).toFixed(2)];
            begin(status, [...options.headers, ...retry, "Content-Type", "application/json", "Content-Length", String(body.length)]);
            response.write(body);
            // Ended with bytes of the request unread, the connection is reset, and the caller could lose this answer.
            options.whenRead(() => response.end());
        },
        breakOff() {
            if (!isOver) {
                isOver = true;
                response.destroy();
            }
        },
    };
}
