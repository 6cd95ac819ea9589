/**
 * The state of the replicated log that a frame shows, so that a watcher can tell which of two states is the later one and how old its own
 * is.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { type LogPosition as WireLogPosition, LogPositionSchema } from "../rpc/index.js";

export interface LogPosition {
    /** Differs for a log that was formed anew, whose indexes start again. */
    readonly clusterId: string;
    readonly term: number;
    /** The index up to which the sender has applied the log. */
    readonly index: number;
    /** Address of the leader; undefined if the sender knows none, so that its state may be old. */
    readonly leader: string | undefined;
}

export function encodeLogPosition({ clusterId, term, index, leader }: LogPosition): WireLogPosition {
    return create(LogPositionSchema, { clusterId, term: BigInt(term), index: BigInt(index), leader: leader ?? "" });
}

export function decodeLogPosition({ clusterId, term, index, leader }: WireLogPosition): LogPosition {
    return { clusterId, term: Number(term), index: Number(index), leader: leader === "" ? undefined : leader };
}
