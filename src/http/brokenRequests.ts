/**
 * Handles bytes on a caller's connection that are no whole request: a head that is malformed, too long, too late or cut.
 *
 * Node's own handler answers them at once, also while requests before them are unanswered. Their callers would take that for their answer,
 * although the requests run on, and a 408 promises that they don't.
 *
 * @module
 */

import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

const statusByCode: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, ERR_HTTP_REQUEST_TIMEOUT: 408,
};
/** Codes of connections whose caller has left. */
const leftCodes: ReadonlySet<string | undefined> = new Set(["HPE_INVALID_EOF_STATE", "ECONNRESET", "EPIPE"]);
/** How long a caller has to close its side, so that it can read the end of the last answer first. */
const closeLingerMs = 1_000;

export interface OpenRequests {
    /** The requests of a connection whose responses are not finished, in order. */
    unanswered(socket: Socket): readonly { readonly message: IncomingMessage; readonly response: ServerResponse }[];
    /** Ignores further requests on a connection. */
    ignoreFurther(socket: Socket): void;
}

/** Closes each connection on which no whole request comes, once the requests before it have their answers, or with one that tells why. */
export function closeBrokenConnections(server: Server, requests: OpenRequests) {
    const closing = new WeakSet<Socket>();

    function closeAfter(socket: Socket, last: ServerResponse) {
        // Each further byte is reported again.
        if (closing.has(socket)) {
            return;
        }
        closing.add(socket);
        requests.ignoreFurther(socket);
        last.once("close", () => {
            socket.end();
            const timer = setTimeout(() => socket.destroy(), closeLingerMs);
            socket.once("close", () => clearTimeout(timer));
        });
    }

    server.on("clientError", (error: NodeJS.ErrnoException, connection) => {
        const socket = connection as Socket;
        // The last one may be the broken request itself, without the end of its body.
        const last = requests.unanswered(socket).findLast(({ message }) => message.complete)?.response;
        if (last !== undefined && !leftCodes.has(error.code)) {
            closeAfter(socket, last);
            return;
        }
        if (last === undefined && socket.writable) {
            const status = statusByCode[error.code ?? ""] ?? 400;
            socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
        }
        socket.destroy(error);
    });
}
