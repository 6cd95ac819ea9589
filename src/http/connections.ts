/**
 * The open connections of an HTTP/1.1 listener: what each has carried, and when it ends while the listener stops.
 *
 * Invariant: once it drains, a request is taken only on a connection that will carry its answer. A caller that sends one on a
 * connection that has been ended knows that it was not read.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request's place on its connection. */
export interface ConnectionPlace {
    /** Requests that the connection had carried before. */
    readonly carried: number;
    /** Whether the answer, whose head is being written, has to announce the end of the connection. */
    announcesClose(): boolean;
}

export interface HttpConnections {
    /** Notes a new connection. */
    opened(socket: Socket): void;
    /** Notes a request that has come; undefined: its connection carries no further answer, and the request must not be taken. */
    took(message: IncomingMessage, response: ServerResponse): ConnectionPlace | undefined;
    /** From now on every connection ends with the answer that it carries. */
    drain(): void;
    /** Ends the connections that carry nothing, and after a moment those on which a head is begun; returns how many it ended at once. */
    endQuiet(): number;
    /** Resolves once no request comes or runs and no answer is on its way. */
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

/** What a caller may take for the rest of a head once the listener is closed, and for closing a connection that has been ended. */
const lingerMs = 1_000;

/** Creates the account of one listener. */
export function createHttpConnections(): HttpConnections {
    const connections = new Map<Socket, Connection>();
    let isDraining = false;
    let pending = 0;
    let whenSettled: (() => void)[] = [];

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
        // Not destroyed at once: bytes that cross would reset it, and the caller could lose the end of an answer.
        socket.end();
        const timer = setTimeout(() => socket.destroy(), lingerMs);
        socket.once("close", () => clearTimeout(timer));
    }

    /** Closes a connection on which nothing is; one on which a head is begun gets a moment for the rest of it. */
    function closeQuiet(connection: Connection) {
        if (isIdle(connection)) {
            close(connection);
            return;
        }
        setTimeout(() => isQuiet(connection) && close(connection), lingerMs).unref();
    }

    function settle(connection: Connection) {
        pending--;
        connection.pending--;
        if (pending === 0) {
            whenSettled.forEach(resolve => resolve());
            whenSettled = [];
        }
        if (isDraining && isQuiet(connection)) {
            closeQuiet(connection);
        }
    }

    return {
        opened(socket) {
            connections.set(socket, { socket, carried: 0, pending: 0, readBytes: 0, isLast: false });
            socket.once("close", () => connections.delete(socket));
        },
        took(message, response) {
            const connection = connections.get(message.socket);
            if (connection === undefined || connection.isLast) {
                return undefined;
            }
            const carried = connection.carried++;
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
            const quiet = [...connections.values()].filter(isQuiet);
            quiet.forEach(closeQuiet);
            return quiet.filter(({ isLast }) => isLast).length;
        },
        settled: () => pending === 0 ? Promise.resolve() : new Promise(resolve => whenSettled.push(resolve)),
        get open() {
            return open().length;
        },
        get unused() {
            return open().filter(({ carried }) => carried === 0).length;
        },
    };
}
