/**
 * Standard output as a log writes to it. Writing to a pipe whose reader has stopped blocks the process, and a full disk behind it loses
 * lines anyway: so lines wait in a bounded buffer, are written in batches beside the event loop, and are left out, counted, when it is
 * full. A line that tells how many were left out follows as soon as the reader goes on.
 *
 * @module
 */

import { write } from "node:fs";
import { Writable } from "node:stream";

/** Some seconds of lines at the busiest entry (100 requests a second, 300 bytes a line), and little against its memory. */
const mostWaitingBytes = 1_048_576;

export interface BoundedOutput {
    readonly stream: Writable;
    /** Lines left out since the start. */
    readonly leftOut: number;
    /** Resolves once all that waits is written, or after `withinMs`. */
    flush(withinMs: number): Promise<void>;
}

/** Writes to the file descriptor `fd`. `onLeftOut` gives the line that is written after lines were left out. */
export function createBoundedOutput(fd: number, onLeftOut: (count: number) => string, mostBytes = mostWaitingBytes): BoundedOutput {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let isWriting = false;
    let leftOut = 0;
    let untold = 0;

    function pump() {
        if (isWriting || waiting.length === 0) {
            return;
        }
        if (untold > 0) {
            waiting.push(onLeftOut(untold));
            untold = 0;
        }
        const bytes = Buffer.from(waiting.join(""));
        waiting = [];
        waitingBytes = 0;
        isWriting = true;
        put(bytes, 0);
    }

    function put(bytes: Buffer, from: number) {
        write(fd, bytes, from, bytes.length - from, undefined, (error, written) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => put(bytes, from), 50);
                return;
            }
            // With no one to read them there is nowhere to report that lines can't be written.
            const done = error ? bytes.length : from + written;
            if (done < bytes.length) {
                put(bytes, done);
                return;
            }
            isWriting = false;
            pump();
        });
    }

    const stream = new Writable({
        decodeStrings: false,
        write(chunk: Buffer | string, _encoding, done) {
            const line = chunk.toString();
            if (waitingBytes + line.length > mostBytes) {
                leftOut++;
                untold++;
            }
            else {
                waiting.push(line);
                waitingBytes += line.length;
                setImmediate(pump);
            }
            done();
        },
    });

    return {
        stream,
        get leftOut() {
            return leftOut;
        },
        async flush(withinMs) {
            const untilMs = performance.now() + withinMs;
            while ((isWriting || waiting.length > 0) && performance.now() < untilMs) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        },
    };
}
