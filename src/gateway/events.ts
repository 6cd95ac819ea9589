/**
 * Splits an event stream into whole events. A stream may break off anywhere; only whole events are passed on, so that another upstream
 * can go on after the last of them without a gap or a repeat.
 *
 * @module
 */

export interface EventSplitter {
    /** The whole events that `chunk` completes, as they came; empty while none is complete. */
    take(chunk: Buffer): Buffer;
    /** The id of the last whole event; undefined before the first that has one. */
    readonly lastId: string | undefined;
    /** True when the stream stands between two events. */
    readonly isWhole: boolean;
    /** Drops the beginning of an event that will not be completed. */
    restart(): void;
}

const newline = 0x0a;
const carriageReturn = 0x0d;

/** The place after the last blank line in `bytes`; 0 when there is none. */
function endOfLastEvent(bytes: Buffer): number {
    for (let at = bytes.length - 1; at > 0; at--) {
        if (bytes[at] !== newline) {
            continue;
        }
        const before = bytes[at - 1] === carriageReturn ? at - 2 : at - 1;
        if (before >= 0 && bytes[before] === newline) {
            return at + 1;
        }
    }
    return 0;
}

function lastIdIn(events: string): string | undefined {
    return [...events.matchAll(/(?:^|\n)id:[ ]?([^\r\n]*)/g)].at(-1)?.[1];
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
    let rest: Buffer = Buffer.alloc(0);
    let lastId: string | undefined;
    return {
        take(chunk) {
            const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const end = endOfLastEvent(bytes);
            rest = bytes.subarray(end);
            const whole = bytes.subarray(0, end);
            lastId = end === 0 ? lastId : lastIdIn(whole.toString("latin1")) ?? lastId;
            return whole;
        },
        get lastId() {
            return lastId;
        },
        get isWhole() {
            return rest.length === 0;
        },
        restart() {
            rest = Buffer.alloc(0);
        },
    };
}
