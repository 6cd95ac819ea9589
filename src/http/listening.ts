/**
 * Starts a listener that outlives connections which it can't accept.
 *
 * @module
 */

import type { ListenOptions, Server } from "node:net";

/**
 * Binds `server` and resolves once it listens; rejects if it can't be bound. Afterwards, a connection that can't be accepted, as without a
 * free file descriptor, is reported to `onAcceptError`, and its caller tries again; without a listener, Node.js would end the process.
 */
export function startListening(
    server: Server, options: ListenOptions, onAcceptError: (error: Error) => void = () => undefined,
): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(options, () => {
            server.off("error", reject).on("error", onAcceptError);
            resolve();
        });
    });
}
