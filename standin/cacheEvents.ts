/**
 * A feed of cache events that behaves like the platform's: events are delayed, and lost events leave gaps in the sequence numbers.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    readonly prefixHash: string;
}

export interface CacheEventFeed {
    publish(kind: CacheEvent["kind"], prefixHash: string): void;
    subscribe(response: ServerResponse): void;
}

/** Creates a feed that delays each event by `delayMs` and drops every `loseEvery`th; 0 drops none. */
export function createCacheEventFeed(delayMs: number, loseEvery: number): CacheEventFeed {
    const subscribers = new Set<ServerResponse>();
    let sequence = 0;
    return {
        publish(kind, prefixHash) {
            sequence++;
            if (loseEvery > 0 && sequence % loseEvery === 0) {
                return;
            }
            const event: CacheEvent = { sequence, kind, prefixHash };
            setTimeout(() => subscribers.forEach(response => response.write(`data: ${JSON.stringify(event)}\n\n`)), delayMs).unref();
        },
        subscribe(response) {
            response.writeHead(200, { "content-type": "text/event-stream" });
            response.flushHeaders();
            subscribers.add(response);
            response.on("close", () => subscribers.delete(response));
        },
    };
}
