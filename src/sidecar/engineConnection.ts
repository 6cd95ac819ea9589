/**
 * A connection to the engine or plain service that carries one request.
 *
 * @module
 */

import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import { createReadGate, type ReadGate } from "../http/index.js";

export interface EngineConnection {
    readonly client: Client;
    /** Whether the connection was reset. The library reports this during an answer without a length as its regular end. */
    readonly wasReset: boolean;
    /** Stops reading; a part of the answer that has been read still comes. The library's own pause may end the process. */
    pause(): void;
    resume(): void;
    close(): void;
}

/** Creates the connection, which is opened by its request. Streams are unbounded, and there is no timeout between tokens. */
export function createEngineConnection(address: string, onClosed: (connection: EngineConnection) => void): EngineConnection {
    const connect = buildConnector({});
    let readGate: ReadGate | undefined;
    let wasReset = false;

    function watch(socket: Socket) {
        // The library's own error for a connection that was closed in order has another code.
        socket.on("error", (error: NodeJS.ErrnoException) => {
            wasReset ||= error.code === "ECONNRESET";
        });
        // A reset that comes together with the last bytes is reported as the end of the stream, and leaves no remote address.
        socket.on("end", () => {
            wasReset ||= socket.remoteAddress === undefined;
        });
        readGate = createReadGate(socket);
    }

    const client = new Client(`http://${address}`, {
        pipelining: 0,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, callback) => connect(options, (...[error, socket]) => {
            if (socket === null) { // eslint-disable-line no-restricted-syntax -- the library passes it for an absent socket
                callback(error!, socket);
                return;
            }
            watch(socket);
            callback(error as never, socket);
        }),
    });
    const connection: EngineConnection = {
        client,
        get wasReset() {
            return wasReset;
        },
        pause: () => readGate?.pause(),
        resume: () => readGate?.resume(),
        close() {
            client.destroy().catch(() => undefined);
            onClosed(connection);
        },
    };
    return connection;
}
