/**
 * The answer to one caller. It is started and ended at most once, whichever of the events that can end a request comes first.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

export interface CallerAnswer {
    readonly isStarted: boolean;
    readonly isOver: boolean;
    /** Whether written bytes have not been sent yet, because the caller reads slowly. */
    readonly hasUnsentBytes: boolean;
    /** Sends the head of an answer whose body follows in chunks. */
    start(status: number, headers: string[]): void;
    /** Sends a chunk of the body. False: the caller reads too slowly; `onDrain` is called once it has caught up. */
    write(chunk: Buffer): boolean;
    end(): void;
    /** Sends a complete answer. */
    sendWhole(status: number, headers: string[], body: Buffer): void;
    /** Sends an answer that this entry generates itself. */
    sendOwn(status: number, reason: string, retryAfterMs?: number): void;
    /** Destroys the connection, so that an answer that was started and can't be completed doesn't look complete. */
    abort(): void;
}

export interface AnswerOptions {
    /** Whether the answer whose head is being written has to carry `Connection: close`. */
    announcesClose(): boolean;
    /** Calls back once the request's body has been read or the wait for it has timed out. */
    whenBodyRead(callback: () => void): void;
    /** Headers of every answer that the entry generates itself. */
    readonly ownHeaders: string[];
    onDrain(): void;
    /** Called after bytes have been written and again once they have been handed to the kernel; absent if nobody counts them. */
    onWritten?(): void;
}

/** Creates the answer that is written to `response`. */
export function createCallerAnswer(response: ServerResponse, options: AnswerOptions): CallerAnswer {
    let isStarted = false;
    let isOver = false;

    /** Throws if a header or the status can't be written; the answer has not begun then. */
    function writeHead(status: number, headers: string[]) {
        const allHeaders = options.announcesClose() ? [...headers, "Connection", "close"] : headers;
        response.writeHead(status, allHeaders);
        isStarted = true;
    }

    response.on("drain", () => {
        options.onWritten?.();
        options.onDrain();
    });

    return {
        get isStarted() {
            return isStarted;
        },
        get isOver() {
            return isOver;
        },
        get hasUnsentBytes() {
            return response.writableLength > 0;
        },
        start(status, headers) {
            if (!isStarted && !isOver) {
                writeHead(status, headers);
                response.flushHeaders();
            }
        },
        write(chunk) {
            if (isOver || chunk.length === 0) {
                return true;
            }
            const isTaken = response.write(chunk, options.onWritten);
            options.onWritten?.();
            return isTaken;
        },
        end() {
            if (!isOver) {
                isOver = true;
                response.end();
            }
        },
        sendWhole(status, headers, body) {
            if (!isStarted && !isOver) {
                const withoutLength = headers.filter((_, index) => headers[index - index % 2]!.toLowerCase() !== "content-length");
                writeHead(status, [...withoutLength, "Content-Length", String(body.length)]);
                isOver = true;
                response.end(body);
                options.onWritten?.();
            }
        },
        sendOwn(status, reason, retryAfterMs) {
            if (isStarted || isOver) {
                return;
            }
            const body = Buffer.from(JSON.stringify({ status, reason }));
            // Rounded up, so that no caller returns before the time.
            const retryAfter = retryAfterMs === undefined ? [] : ["Retry-After", (Math.ceil(retryAfterMs / 10) / 100).toFixed(2)];
            writeHead(status, [...options.ownHeaders, ...retryAfter, "Content-Type", "application/json", "Content-Length", String(body.length)]);
            isOver = true;
            response.write(body, options.onWritten);
            options.onWritten?.();
            // Ending the connection while bytes of the request are unread resets it, and the caller could lose this answer.
            options.whenBodyRead(() => response.end());
        },
        abort() {
            if (!isOver) {
                isOver = true;
                response.destroy();
            }
        },
    };
}
