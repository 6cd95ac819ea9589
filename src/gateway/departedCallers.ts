/**
 * Tells requests whose callers have left before they were read. A process that stood still or is overloaded reads them with the end of
 * their connection right behind, and would send work to upstreams that nobody waits for.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { waitForPendingReads } from "../http/index.js";
import type { Logger } from "../telemetry/index.js";

export interface DepartedCallersOptions {
    readonly logger: Pick<Logger, "info">;
    /** Whether what is read now may have waited: the event loop was blocked a short time ago. */
    mayHaveWaited(): boolean;
    /** The id that a request states. */
    idOf(message: IncomingMessage): string | undefined;
}

/** Returns a function that resolves to whether the caller of a request that has just been read has left, whose connection it closes. */
export function createDepartureCheck({ logger, mayHaveWaited, idOf }: DepartedCallersOptions) {
    return async (message: IncomingMessage): Promise<boolean> => {
        if (!mayHaveWaited()) {
            return false;
        }
        // The end of the connection is read after the request.
        await waitForPendingReads();
        const { socket } = message;
        const hasLeft = socket.destroyed || socket.readableEnded;
        if (hasLeft) {
            socket.destroy();
            logger.info("caller left before its request was read", { request: idOf(message) });
        }
        return hasLeft;
    };
}
