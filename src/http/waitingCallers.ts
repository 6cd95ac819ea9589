/**
 * Tells whether the caller of a request still waits for its answer. A process that stood still, or a connection that was cut for a while,
 * delivers requests whose callers have given up and called another daemon; what they ask for may have been withdrawn there since.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { createLeaseClock, createLoopTicks } from "../runtime/index.js";
import { waitForPendingReads } from "./connections.js";

/** A caller whose request is being carried out. */
export interface WaitingCaller {
    /** Resolves to whether the caller was waiting at some time after the call of this function. */
    isWaiting(): Promise<boolean>;
}

export interface WaitingCallers {
    of(message: IncomingMessage): WaitingCaller;
    /** Whether this process may just have read requests that have long been waiting for it. */
    readonly hasJustPaused: boolean;
    stop(): void;
}

/** A pause of this length is half of what callers wait for an answer. */
const minPauseMs = 500;
const tickIntervalMs = 100;
/** After a pause, requests that waited for this process are read within this time. */
const readAfterPauseMs = 1_000;
/** The end of a connection may come in a segment of its own, a round trip after the request. */
const closeDelayMs = 20;

/** Creates the callers of a listener; watches for pauses of the process until `stop`. */
export function createWaitingCallers(nowMs: () => number = createLeaseClock().nowMs): WaitingCallers {
    const loopTicks = createLoopTicks(nowMs, minPauseMs);
    const timer = setInterval(loopTicks.tick, tickIntervalMs).unref();

    const hasJustPaused = () => loopTicks.hasBlockedSince(nowMs() - readAfterPauseMs);

    async function isWaiting({ socket }: IncomingMessage): Promise<boolean> {
        const isOpen = () => !socket.destroyed && !socket.readableEnded && !hasJustPaused();
        if (!isOpen()) {
            return false;
        }
        await new Promise(resolve => setTimeout(resolve, closeDelayMs));
        await waitForPendingReads();
        return isOpen();
    }

    return {
        of: message => ({ isWaiting: () => isWaiting(message) }),
        get hasJustPaused() {
            return hasJustPaused();
        },
        stop: () => clearInterval(timer),
    };
}
