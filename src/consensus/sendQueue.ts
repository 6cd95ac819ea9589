/**
 * The messages that wait for the stream of a link. What a slow peer doesn't read is bounded here; the reducer tolerates lost messages.
 *
 * @module
 */

import type { ConsensusEnvelope } from "../rpc/gen/zinnialanding/v1/consensus_pb.js";

export interface SendQueueLimits {
    /** Maximum number of messages queued for one link; further ones are dropped. */
    readonly maxQueuedMessages: number;
    /** Further messages are dropped while the queued ones are larger than this together. */
    readonly maxQueuedBytes: number;
}

/** Creates the queue from which a stream reads; closing it ends the stream. */
export function createSendQueue({ maxQueuedMessages, maxQueuedBytes }: SendQueueLimits) {
    const queue: ConsensusEnvelope[] = [];
    let queuedBytes = 0;
    let wake: (() => void) | undefined;
    let closed = false;
    /** Since when messages have been queued without one being read. */
    let stalledSinceMs: number | undefined;
    return {
        push(envelope: ConsensusEnvelope) {
            if (queue.length < maxQueuedMessages && queuedBytes <= maxQueuedBytes) {
                queue.push(envelope);
                queuedBytes += envelope.message.byteLength;
            }
            stalledSinceMs ??= performance.now();
            wake?.();
        },
        /** How long messages have been queued without one being read, in ms. */
        get stalledMs() {
            return queue.length === 0 || stalledSinceMs === undefined ? 0 : performance.now() - stalledSinceMs;
        },
        close() {
            closed = true;
            wake?.();
        },
        async* read(): AsyncGenerator<ConsensusEnvelope> {
            while (!closed) {
                const next = queue.shift();
                stalledSinceMs = queue.length === 0 ? undefined : performance.now();
                if (next !== undefined) {
                    queuedBytes -= next.message.byteLength;
                    yield next;
                    continue;
                }
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
                wake = undefined;
            }
        },
    };
}
