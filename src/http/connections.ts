/**
 * The open connections of an HTTP/1.1 listener: what each has carried, and when it ends while the listener stops.
 *
 * Invariant: once it drains, a request is taken only on a connection that will carry its answer. One that crosses the end of its
 * connection is dropped, and has not run; its caller sees only that the connection ends.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Server as SecureServer } from "node:tls";

/** A request's place on its connection. */
export interface ConnectionPlace {
    /** Requests that the connection had carried before. */
    readonly carried: number;
    /** Whether the answer, whose head is being written, has to announce the end of the connection. */
    announcesClose(): boolean;
}

export interface HttpConnections {
    /** Accounts for the connections of `server`; its close ends them by this account and not by its own guess at what is idle. */
    watch(server: Server): void;
    /** Notes a request that has come; undefined: its connection carries no further answer, and the request must not be taken. */
    took(message: IncomingMessage, response: ServerResponse): ConnectionPlace | undefined;
    /** From now on every connection ends with the answer that it carries. */
    drain(): void;
    /**
     * Drains, reads what has arrived, and ends the connections that carry nothing, after a moment also those on which a head is begun.
     * Resolves to how many it ended at once. To be called with the close of the listener.
     */
    endQuiet(): Promise<number>;
    /** Resolves once `endQuiet` is done, no request comes or runs and no answer is on its way. */
    settled(): Promise<void>;
    readonly open: number;
    /** Open connections that have carried no request yet. */
    readonly unused: number;
}

interface Connection {
    readonly socket: Socket;
    carried: number;
    /** Requests that are not read whole and answers that are not sent whole. */
    pending: number;
    /** What had been received when the last request was read whole: anything beyond is the beginning of another. */
    readBytes: number;
    /** No later request is taken. */
    isLast: boolean;
}

/** What a caller may take for the rest of a head once the listener is closed. */
const headLingerMs = 1_000;

/** Two turns of the event loop: in each it reads what has arrived, and a turn that has begun may have done so already. */
export function arrivedRead(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

/** Creates the account of one listener. Callers may take `closeLingerMs` to close a connection that has been ended. */
export function createHttpConnections(closeLingerMs = Infinity): HttpConnections {
    const connections = new Map<Socket, Connection>();
    let isDraining = false;
    let pending = 0;
    let isQuietEnded = false;
    let whenSettled: (() => void)[] = [];
    let quietEnded: Promise<number> | undefined;

    const open = () => [...connections.values()].filter(({ socket, isLast, pending }) => !socket.destroyed && (!isLast || pending > 0));

    /** Whether no request is read whole or comes with its body, and no answer is on its way. */
    function isQuiet({ pending, isLast, socket }: Connection): boolean {
        return pending === 0 && !isLast && !socket.destroyed;
    }

    /**
     * Whether no head is begun either. What Node counts as idle differs: it leaves out connections that have carried nothing, and takes in
     * those whose answers are written but not sent.
     */
    function isIdle(connection: Connection): boolean {
        return isQuiet(connection) && connection.socket.bytesRead <= connection.readBytes;
    }

    function close(connection: Connection) {
        const { socket } = connection;
        connection.isLast = true;
        // Destroyed, it would be reset by bytes that cross, and the caller could lose the end of an answer that it reads slowly.
        socket.end();
        if (closeLingerMs < Infinity) {
            const timer = setTimeout(() => socket.destroy(), closeLingerMs);
            socket.once("close", () => clearTimeout(timer));
        }
    }

    /** Closes a connection on which nothing is; one on which a head is begun gets a moment for the rest of it. */
    function closeQuiet(connection: Connection) {
        if (isIdle(connection)) {
            close(connection);
            return;
        }
        setTimeout(() => isQuiet(connection) && close(connection), headLingerMs).unref();
    }

    function isSettled(): boolean {
        return isQuietEnded && pending === 0;
    }

    function noteSettled() {
        if (isSettled()) {
            whenSettled.forEach(resolve => resolve());
            whenSettled = [];
        }
    }

    function settle(connection: Connection) {
        pending--;
        connection.pending--;
        noteSettled();
        if (isDraining && isQuiet(connection)) {
            closeQuiet(connection);
        }
    }

    function opened(socket: Socket) {
        connections.set(socket, { socket, carried: 0, pending: 0, readBytes: 0, isLast: false });
        socket.once("close", () => connections.delete(socket));
    }

    async function endQuiet(): Promise<number> {
        isDraining = true;
        // Whole requests may wait to be read: dropped, their callers would get no answer.
        await arrivedRead();
        const quiet = [...connections.values()].filter(isQuiet);
        quiet.forEach(closeQuiet);
        isQuietEnded = true;
        noteSettled();
        return quiet.filter(({ isLast }) => isLast).length;
    }

    return {
        watch(server) {
            server.on(server instanceof SecureServer ? "secureConnection" : "connection", opened);
            // Its own leaves out connections that have carried nothing, for which a close then waits, and cuts off unsent answers.
            server.closeIdleConnections = () => void (quietEnded ??= endQuiet());
        },
        took(message, response) {
            const connection = connections.get(message.socket);
            if (connection === undefined || connection.isLast) {
                return undefined;
            }
            const carried = connection.carried++;
            // One for the request, which may still be read when its answer has been sent, and one for the answer.
            connection.pending += 2;
            pending += 2;
            message.once("end", () => {
                connection.readBytes = message.socket.bytesRead;
            });
            message.once("close", () => settle(connection));
            response.once("close", () => settle(connection));
            return {
                carried,
                announcesClose() {
                    // Announced on any but the newest, it would end the connection before the answers to those behind it.
                    const closes = isDraining && connection.carried === carried + 1;
                    connection.isLast ||= closes;
                    return closes;
                },
            };
        },
        drain() {
            isDraining = true;
        },
        endQuiet() {
            return quietEnded ??= endQuiet();
        },
        settled: () => isSettled() ? Promise.resolve() : new Promise(resolve => whenSettled.push(resolve)),
        get open() {
            return open().length;
        },
        get unused() {
            return open().filter(({ carried }) => carried === 0).length;
        },
    };
}
