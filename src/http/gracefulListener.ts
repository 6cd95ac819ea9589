/**
 * An HTTP/1.1 server for fastify that closes gracefully: each connection closes after its current response, and connections without a
 * request do not delay the close.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { createHttpConnections } from "./connections.js";

/** Options of a graceful listener. */
export interface GracefulListenerOptions {
    readonly http?: ServerOptions;
    readonly tls?: { readonly cert: string; readonly key: string };
    /** How long callers may take to close their side of an ended connection. A close waits for them, as slow readers need this time. */
    readonly closeLingerMs?: number;
}

/** A listener that drains before it closes. */
export interface GracefulListener {
    /** Creates the HTTP server, for fastify's `serverFactory` option. */
    serverFactory(handler: (request: IncomingMessage, response: ServerResponse) => void): Server;
    /** For fastify's option of this name: the listener itself handles what is no request. */
    clientErrorHandler(): void;
    /** Starts draining: from now on, every connection closes after its current response. */
    drain(): void;
    /** Resolves once the listener is closed and all accepted requests are answered. Callers may not yet have closed their connections. */
    settled(): Promise<void>;
    /** Closes all connections, including those with requests in progress. */
    abortConnections(): void;
}

/** Longer than the idle timeout of common load balancers, so that the listener is not the side that closes idle connections. */
const keepAliveTimeoutMs = 72_000;
/** Limits TLS handshakes, because one that hangs would delay the shutdown. */
const handshakeTimeoutMs = 5_000;
const defaultCloseLingerMs = 1_000;

/** Creates a graceful listener. */
export function createGracefulListener(options: GracefulListenerOptions): GracefulListener {
    const { http = {}, tls, closeLingerMs = defaultCloseLingerMs } = options;
    const connections = createHttpConnections(closeLingerMs);
    let server: Server | undefined;

    /** Wraps `writeHead` so that the last response on a connection announces the close, whichever code writes it. */
    function announceClose(response: ServerResponse, isLastResponse: () => boolean) {
        const writeHead = response.writeHead.bind(response) as (...args: unknown[]) => ServerResponse;
        response.writeHead = (...args: unknown[]) => {
            if (isLastResponse()) {
                response.setHeader("connection", "close");
            }
            return writeHead(...args);
        };
    }

    return {
        serverFactory(handler) {
            const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
                const position = connections.registerRequest(request, response);
                if (position === undefined) {
                    request.resume();
                    return;
                }
                announceClose(response, position.announcesClose);
                handler(request, response);
            };
            server = tls === undefined
                ? createServer(http, handleRequest)
                : createSecureServer({ ...http, ...tls, handshakeTimeout: handshakeTimeoutMs }, handleRequest);
            server.keepAliveTimeout = keepAliveTimeoutMs;
            server.requestTimeout = 0;
            connections.watch(server);
            // Fastify reports an address that can't be bound. Later errors are connections that can't be accepted.
            server.on("error", () => undefined);
            return server;
        },
        clientErrorHandler: () => undefined,
        drain: () => connections.drain(),
        settled: () => connections.settled(),
        abortConnections() {
            server?.closeAllConnections();
        },
    };
}
