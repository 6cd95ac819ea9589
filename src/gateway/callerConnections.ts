/**
 * The callers' open connections: what each has carried, and when it ends while the entry stops.
 *
 * Invariant: once the entry drains, a request is taken only on a connection that will carry its answer. A caller that sends one on a
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

export interface CallerConnections {
    /** Notes a new connection. */
    opened(socket: Socket): void;
    /** Notes a request that has come; undefined: its connection carries no further answer, and the request must not be taken. */
    took(message: IncomingMessage, response: ServerResponse): ConnectionPlace | undefined;
    /** From now on every connection ends with the answer that it carries. */
    drain(): void;
    /** Ends the connections that carry nothing now; returns how many. */
    endIdle(): number;
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

/** Creates the account of one listener. */
export function createCallerConnections(): CallerConnections {
    const connections = new Map<Socket, Connection>();
    let isDraining = false;

    const open = () => [...connections.values()].filter(({ socket, isLast, pending }) => !socket.destroyed && (!isLast || pending > 0));

    /**
     * Whether nothing is on it: no request that comes or runs, no answer that isn't sent. What Node counts as idle differs: it leaves out
     * connections that have carried nothing, and takes in those whose answers are written but not sent.
     */
    function isIdle({ socket, pending, readBytes, isLast }: Connection): boolean {
        return pending === 0 && socket.bytesRead <= readBytes && !isLast && !socket.destroyed;
    }

    function end(connection: Connection) {
        connection.isLast = true;
        // Not destroyed: bytes that cross would reset it, and the caller could lose the end of an answer.
        connection.socket.end();
    }

    function settled(connection: Connection) {
        connection.pending--;
        if (isDraining && isIdle(connection)) {
            end(connection);
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
            message.once("end", () => {
                connection.readBytes = message.socket.bytesRead;
            });
            message.once("close", () => settled(connection));
            response.once("close", () => settled(connection));
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
        endIdle() {
            const idle = [...connections.values()].filter(isIdle);
            idle.forEach(end);
            return idle.length;
        },
        get open() {
            return open().length;
        },
        get unused() {
            return open().filter(({ carried }) => carried === 0).length;
        },
    };
}
