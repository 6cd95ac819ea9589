/**
 * Tracks the open connections of an HTTP/1.1 listener and closes each of them at the right time while the listener drains.
 *
 * Invariant: while draining, a request is accepted only on a connection that will carry its response. A request that crosses with the
 * close of its connection is dropped without being executed. Its caller only sees the connection close.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Server as SecureServer } from "node:tls";
import { closeBrokenConnections } from "./brokenRequests.js";

/** The position of a request on its connection. */
export interface RequestPosition {
    /** The number of earlier requests on the connection. */
    readonly precedingRequests: number;
    /** Returns whether the response, whose head is being written, must announce the close, and if so marks the connection as closing. */
    announcesClose(): boolean;
}

/** The connections of one listener. */
export interface HttpConnections {
    /**
     * Tracks the connections of `server`, replaces Node's detection of idle connections when the server closes, and handles connections on
     * which no whole request comes.
     */
    watch(server: Server): void;
    /** Registers a received request. Returns undefined if its connection is closing, in which case it must not be processed. */
    registerRequest(message: IncomingMessage, response: ServerResponse): RequestPosition | undefined;
    /** Starts draining: from now on, every connection closes after its current response. */
    drain(): void;
    /**
     * Starts draining, reads data that has arrived, and closes inactive connections. Those that have received part of a request head are
     * closed after a grace period. Resolves to the number of connections closed immediately. Must be called when the listener is closed.
     */
    closeInactive(): Promise<number>;
    /** Resolves once inactive connections have been closed and no request or response is in progress. */
    settled(): Promise<void>;
    readonly open: number;
    /** The number of open connections that have not received a request yet. */
    readonly unused: number;
}

interface Connection {
    readonly socket: Socket;
    requestCount: number;
    /** The number of requests not fully read plus the number of responses not fully sent. */
    pending: number;
    /** The number of bytes received when the last request was fully read. Any bytes beyond it belong to another request. */
    consumedBytes: number;
    /** No further requests are accepted. */
    isClosing: boolean;
    /** The connection is to be closed after the responses to the requests so far. */
    ignoresFurther: boolean;
    unanswered: { readonly message: IncomingMessage; readonly response: ServerResponse }[];
}

/** How long a caller may take to send the rest of a partial request head once the listener is closed. */
const partialHeadGraceMs = 1_000;

/**
 * Waits until data that has already arrived has been read. This takes two iterations of the event loop, because the current one may be past
 * its poll phase.
 */
export function waitForPendingReads(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

/** Creates a tracker for one listener. Callers have `closeLingerMs` to close their side of a connection that has been ended. */
export function createHttpConnections(closeLingerMs = Infinity): HttpConnections {
    const connections = new Map<Socket, Connection>();
    let isDraining = false;
    let pending = 0;
    let isInactiveClosed = false;
    let settledCallbacks: (() => void)[] = [];
    let closingInactive: Promise<number> | undefined;

    const openConnections = () => [...connections.values()]
        .filter(({ socket, isClosing, pending }) => !socket.destroyed && (!isClosing || pending > 0));

    /** Whether no request body is being received, no request is running and no response is being sent. */
    function isInactive({ pending, isClosing, socket }: Connection): boolean {
        return pending === 0 && !isClosing && !socket.destroyed;
    }

    /**
     * Whether the connection is inactive and has received no part of a request head. Node's definition of idle differs: it excludes
     * connections that have not received a request, and includes those whose responses are written but not sent.
     */
    function isIdle(connection: Connection): boolean {
        return isInactive(connection) && connection.socket.bytesRead <= connection.consumedBytes;
    }

    function close(connection: Connection) {
        const { socket } = connection;
        connection.isClosing = true;
        // If the socket were destroyed, bytes received later would trigger a reset, and a slow caller could lose the end of a response.
        socket.end();
        if (closeLingerMs < Infinity) {
            const timer = setTimeout(() => socket.destroy(), closeLingerMs);
            socket.once("close", () => clearTimeout(timer));
        }
    }

    /** Closes an inactive connection. If part of a request head has arrived, the caller gets a grace period to send the rest. */
    function closeInactiveConnection(connection: Connection) {
        if (isIdle(connection)) {
            close(connection);
            return;
        }
        setTimeout(() => isInactive(connection) && close(connection), partialHeadGraceMs).unref();
    }

    function isSettled(): boolean {
        return isInactiveClosed && pending === 0;
    }

    function resolveIfSettled() {
        if (isSettled()) {
            settledCallbacks.forEach(resolve => resolve());
            settledCallbacks = [];
        }
    }

    function completePart(connection: Connection) {
        pending--;
        connection.pending--;
        resolveIfSettled();
        if (isDraining && isInactive(connection)) {
            closeInactiveConnection(connection);
        }
    }

    function addConnection(socket: Socket) {
        connections.set(socket, {
            socket, requestCount: 0, pending: 0, consumedBytes: 0, isClosing: false, ignoresFurther: false, unanswered: [],
        });
        socket.once("close", () => connections.delete(socket));
    }

    async function closeInactive(): Promise<number> {
        isDraining = true;
        // Complete requests may be waiting in socket buffers. Closing their connections now would leave them without a response.
        await waitForPendingReads();
        const inactiveConnections = [...connections.values()].filter(isInactive);
        inactiveConnections.forEach(closeInactiveConnection);
        isInactiveClosed = true;
        resolveIfSettled();
        return inactiveConnections.filter(({ isClosing }) => isClosing).length;
    }

    return {
        watch(server) {
            server.on(server instanceof SecureServer ? "secureConnection" : "connection", addConnection);
            // Node's implementation skips connections without a request, which then delay the close, and drops unsent responses.
            server.closeIdleConnections = () => void (closingInactive ??= closeInactive());
            closeBrokenConnections(server, {
                unanswered: socket => connections.get(socket)?.unanswered ?? [],
                ignoreFurther(socket) {
                    connections.get(socket)!.ignoresFurther = true;
                },
            });
        },
        registerRequest(message, response) {
            const connection = connections.get(message.socket);
            if (connection === undefined || connection.isClosing || connection.ignoresFurther) {
                return undefined;
            }
            const precedingRequests = connection.requestCount++;
            // One for the request, which may still be being read when its response has been sent, and one for the response.
            connection.pending += 2;
            pending += 2;
            message.once("end", () => {
                connection.consumedBytes = message.socket.bytesRead;
            });
            message.once("close", () => completePart(connection));
            connection.unanswered.push({ message, response });
            response.once("close", () => {
                connection.unanswered = connection.unanswered.filter(({ response: other }) => other !== response);
                completePart(connection);
            });
            return {
                precedingRequests,
                announcesClose() {
                    // Only the response to the newest request may announce the close: the connection closes before any later response.
                    const isLastResponse = (isDraining || connection.ignoresFurther) && connection.requestCount === precedingRequests + 1;
                    connection.isClosing ||= isLastResponse;
                    return isLastResponse;
                },
            };
        },
        drain() {
            isDraining = true;
        },
        closeInactive() {
            return closingInactive ??= closeInactive();
        },
        settled: () => isSettled() ? Promise.resolve() : new Promise(resolve => settledCallbacks.push(resolve)),
        get open() {
            return openConnections().length;
        },
        get unused() {
            return openConnections().filter(({ requestCount }) => requestCount === 0).length;
        },
    };
}
