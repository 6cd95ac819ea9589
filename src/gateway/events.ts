/**
 * Splits a stream of server-sent events into complete events. A stream may break off anywhere; only complete events are forwarded, so that
 * another upstream can continue after the last of them without a gap or a duplicate.
 *
 * @module
 */

export interface EventSplitter {
    /** Adds a chunk and returns the bytes of the events that it completes; empty if there are none. */
    push(chunk: Buffer): Buffer;
    /** The id of the last complete event that had one, or undefined. */
    readonly lastId: string | undefined;
    /** Whether no incomplete event is buffered. */
    readonly isAtBoundary: boolean;
    /** The size of the incomplete event. */
    readonly partialBytes: number;
    /** Drops an incomplete event. */
    discardPartial(): void;
}

const newline = 0x0a;
const carriageReturn = 0x0d;

/** Returns the offset after the last blank line in `bytes`, or 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
    for (let index = bytes.length - 1; index > 0; index--) {
        if (bytes[index] !== newline) {
            continue;
        }
        const previous = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
        if (previous >= 0 && bytes[previous] === newline) {
            return index + 1;
        }
    }
    return 0;
}

/** Counts the events in bytes that consist of complete events. */
export function countEvents(bytes: Buffer): number {
    let count = 0;
    let previous = -1;
    // An event ends with a blank line: two line breaks that only a carriage return may separate.
    for (let index = bytes.indexOf(newline); index >= 0; index = bytes.indexOf(newline, index + 1)) {
        const isBlank = index - previous === 1 || (index - previous === 2 && bytes[index - 1] === carriageReturn);
        count += isBlank ? 1 : 0;
        previous = index;
    }
    return count;
}

function lastIdIn(events: string): string | undefined {
    return [...events.matchAll(/(?:^|\n)id:[ ]?([^\r\n]*)/g)].at(-1)?.[1];
}

const noBytes: Buffer = Buffer.alloc(0);
/** The bytes of an event's end that may come before the chunk with its last byte. */
const maxEndBytes = 2;

/** Adds a chunk and joins those at the end that are no larger than the next: there are few parts then, however small the chunks are. */
function addPart(parts: Buffer[], chunk: Buffer) {
    parts.push(chunk);
    while (parts.length > 1 && parts.at(-2)!.length <= parts.at(-1)!.length) {
        parts.push(Buffer.concat(parts.splice(-2)));
    }
}

/** Creates a splitter for a new stream. The work for a chunk hardly depends on the size of the incomplete event. */
export function createEventSplitter(): EventSplitter {
    let partial: Buffer[] = [];
    let partialBytes = 0;
    /** The last bytes of the incomplete event. */
    let partialEnd: Buffer = noBytes;
    let lastId: string | undefined;

    function restart(rest: Buffer) {
        partial = rest.length === 0 ? [] : [rest];
        partialBytes = rest.length;
        partialEnd = rest.subarray(-maxEndBytes);
    }

    return {
        push(chunk) {
            const searched = partialEnd.length === 0 ? chunk : Buffer.concat([partialEnd, chunk]);
            const end = endOfLastEvent(searched);
            if (end === 0) {
                addPart(partial, chunk);
                partialBytes += chunk.length;
                partialEnd = searched.subarray(-maxEndBytes);
                return noBytes;
            }
            const rest = searched.subarray(end);
            const last = chunk.subarray(0, chunk.length - rest.length);
            const complete = partial.length === 0 ? last : Buffer.concat([...partial, last]);
            restart(rest);
            lastId = lastIdIn(complete.toString("latin1")) ?? lastId;
            return complete;
        },
        get lastId() {
            return lastId;
        },
        get isAtBoundary() {
            return partialBytes === 0;
        },
        get partialBytes() {
            return partialBytes;
        },
        discardPartial() {
            restart(noBytes);
        },
    };
}
