/**
 * The connection of a caller as the account of held bytes sees it.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { CallerAnswer } from "./answer.js";
import type { CallerConnection } from "./memory/index.js";

/**
 * Returns the bytes of a socket that the kernel has not accepted. `writableLength` falls only once a whole write has been accepted, which
 * may be a megabyte that its caller takes slowly. Node's own socket timeout reads the same field.
 */
function kernelQueueBytes(socket: ServerResponse["socket"]): number {
    return (socket as { _handle?: { writeQueueSize?: number } } | undefined)?._handle?.writeQueueSize ?? 0;
}

/** Describes the connection that `answer` is sent on. `isResumable`: whether another request can continue the answer. */
export function createCallerConnection(
    response: ServerResponse, answer: CallerAnswer, attemptId: string | undefined, isResumable: () => boolean,
): CallerConnection {
    return {
        attemptId,
        get unsentBytes() {
            return response.writableLength;
        },
        get queuedBytes() {
            return kernelQueueBytes(response.socket);
        },
        get isSending() {
            return Boolean(response.socket);
        },
        get isComplete() {
            return answer.isOver;
        },
        get isResumable() {
            return isResumable();
        },
        disconnect: () => response.destroy(),
    };
}
