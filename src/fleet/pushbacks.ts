/**
 * Server pushback: an upstream that turns a request away may state for how long it wants no requests from this VM. It concerns every
 * process on the VM and every kind of request, so processes that share a VM tell each other.
 *
 * @module
 */

import { z } from "zod";
import { maxStatedMs } from "./signals.js";
import { upstreamIdSchema } from "./types.js";

/** A pushback in the form that is relayed to the other processes on the same VM. */
export const relayedPushbackSchema = z.strictObject({ upstreamId: upstreamIdSchema, leftMs: z.number().min(0).max(maxStatedMs) });
export type RelayedPushback = z.infer<typeof relayedPushbackSchema>;

/**
 * The pushbacks that this VM has received, by upstream id. A restart of the upstream under the same id doesn't end one: an answer doesn't
 * say which incarnation has sent it.
 */
export interface Pushbacks {
    /** Records that an upstream wants no requests for `forMs`. This never shortens an earlier pushback that lasts longer. */
    record(upstreamId: string, forMs: number): void;
    /** Records pushbacks that another process on this VM has received. */
    merge(relayed: readonly RelayedPushback[]): void;
    /** How much longer an upstream wants no requests, in ms; 0 if it accepts them. */
    leftMs(upstreamId: string): number;
    /** The pushbacks in force. */
    relayed(): RelayedPushback[];
}

/** Creates pushbacks without any records. Calls `onStarted` when an upstream begins to push back, not when it extends the time. */
export function createPushbacks(nowMs: () => number, onStarted: (upstreamId: string, forMs: number) => void): Pushbacks {
    const endsAtMs = new Map<string, number>();

    function leftMs(upstreamId: string): number {
        return Math.max(0, (endsAtMs.get(upstreamId) ?? 0) - nowMs());
    }

    function record(upstreamId: string, forMs: number) {
        const before = leftMs(upstreamId);
        if (forMs <= before) {
            return;
        }
        endsAtMs.set(upstreamId, nowMs() + forMs);
        if (before === 0) {
            onStarted(upstreamId, forMs);
        }
    }

    return {
        record,
        merge: relayed => relayed.forEach(pushback => record(pushback.upstreamId, pushback.leftMs)),
        leftMs,
        relayed() {
            [...endsAtMs.keys()].filter(id => leftMs(id) === 0).forEach(id => endsAtMs.delete(id));
            return [...endsAtMs.keys()].map(upstreamId => ({ upstreamId, leftMs: Math.round(leftMs(upstreamId)) }));
        },
    };
}
