/**
 * A non-blocking log output. Writing to a pipe whose reader has stopped would block the process, and a full disk behind the pipe loses
 * lines anyway. So lines are kept in a bounded buffer and written asynchronously in batches; when the buffer is full, lines are dropped
 * and counted. Once the reader continues, a line reports how many were dropped.
 *
 * @module
 */

import { write } from "node:fs";
import { Writable } from "node:stream";

/** Holds several seconds of lines at the busiest entry (100 requests a second, 300 bytes a line), and is small compared to its memory. */
const defaultMaxBufferedBytes = 1_048_576;

export interface BoundedOutput {
    readonly stream: Writable;
    /** The number of lines dropped since the start. */
    readonly droppedLines: number;
    /** Resolves once all buffered lines are written, or after `timeoutMs`. */
    flush(timeoutMs: number): Promise<void>;
}

/** Creates an output to the file descriptor `fd`. `formatDropNotice` returns the line that reports how many lines were dropped. */
export function createBoundedOutput(
    fd: number, formatDropNotice: (count: number) => string, maxBufferedBytes = defaultMaxBufferedBytes,
): BoundedOutput {
    let bufferedLines: string[] = [];
    let bufferedBytes = 0;
    let isWriting = false;
    let droppedLines = 0;
    let unreportedDrops = 0;

    function writeNextBatch() {
        if (isWriting || bufferedLines.length === 0) {
            return;
        }
        if (unreportedDrops > 0) {
            bufferedLines.push(formatDropNotice(unreportedDrops));
            unreportedDrops = 0;
        }
        const bytes = Buffer.from(bufferedLines.join(""));
        bufferedLines = [];
        bufferedBytes = 0;
        isWriting = true;
        writeFrom(bytes, 0);
    }

    function writeFrom(bytes: Buffer, offset: number) {
        write(fd, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => writeFrom(bytes, offset), 50);
                return;
            }
            // Any other error discards the batch: without a reader there is nowhere to report it.
            const nextOffset = error ? bytes.length : offset + written;
            if (nextOffset < bytes.length) {
                writeFrom(bytes, nextOffset);
                return;
            }
            isWriting = false;
            writeNextBatch();
        });
    }

    const stream = new Writable({
        decodeStrings: false,
        write(chunk: Buffer | string, _encoding, callback) {
            const line = chunk.toString();
            if (bufferedBytes + line.length > maxBufferedBytes) {
                droppedLines++;
                unreportedDrops++;
            }
            else {
                bufferedLines.push(line);
                bufferedBytes += line.length;
                setImmediate(writeNextBatch);
            }
            callback();
        },
    });

    return {
        stream,
        get droppedLines() {
            return droppedLines;
        },
        async flush(timeoutMs) {
            const deadlineMs = performance.now() + timeoutMs;
            while ((isWriting || bufferedLines.length > 0) && performance.now() < deadlineMs) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        },
    };
}
