/**
 * Converts the events of an attempt to protocol messages.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import type { LoggedEvent } from "../attempt/index.js";
import { type RunEvent, RunEventSchema } from "../rpc/index.js";

/** The load that is sent with an end event. */
interface Load {
    readonly running: number;
    readonly limit: number;
}

/** Builds the message for one event. */
export function toRunEvent(sequence: number, event: LoggedEvent, load: Load): RunEvent {
    return create(RunEventSchema, { sequence: BigInt(sequence), event: payloadOf(event, load) });
}

function payloadOf(event: LoggedEvent, load: Load) {
    switch (event.kind) {
        case "started":
            return { case: "started" as const, value: { status: event.head.status, headers: [...event.head.headers] } };
        case "chunk":
            return { case: "chunk" as const, value: { data: event.data } };
        case "end":
            return {
                case: "end" as const,
                value: { chunks: BigInt(event.chunks), bytes: BigInt(event.bytes), running: load.running, capacity: load.limit },
            };
        case "failure": {
            const { code, execution, retryAfterMs, detail } = event;
            return { case: "failure" as const, value: { code, execution, retryAfterMs, detail } };
        }
    }
}
