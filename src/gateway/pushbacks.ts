/**
 * The upstreams that want no requests from this entry for a while, as they have stated when they turned a request away.
 *
 * @module
 */

import { pushbackLeftMs, type PushbackState, recordPushback, type Upstream } from "../fleet/index.js";
import type { Logger } from "../telemetry/index.js";

export interface Pushbacks {
    /** Records that the upstream wants no requests for `forMs`. */
    record(upstream: Upstream, forMs: number): void;
    /** How much longer the upstream wants no requests, in ms; 0 if it accepts them. */
    leftMs(upstream: Upstream): number;
    /** The number of upstreams that currently want no requests. */
    readonly count: number;
}

/** Creates pushbacks without any records. */
export function createPushbacks(logger: Logger, nowMs: () => number): Pushbacks {
    let state: PushbackState = new Map();
    return {
        record(upstream, forMs) {
            const leftMs = pushbackLeftMs(state, upstream.id, nowMs());
            state = recordPushback(state, upstream.id, forMs, nowMs());
            if (leftMs === 0) {
                logger.info("upstream wants no requests", { upstream: upstream.id, forMs });
            }
        },
        leftMs: upstream => pushbackLeftMs(state, upstream.id, nowMs()),
        get count() {
            return [...state.values()].filter(untilMs => untilMs > nowMs()).length;
        },
    };
}
