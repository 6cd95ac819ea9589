/**
 * An HTTP/1.1 server for fastify that closes gracefully: each connection ends with the answer that it carries, and none is waited for that
 * carries nothing.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { createHttpConnections } from "./connections.js";

export interface GracefulListenerOptions {
    readonly http?: ServerOptions;
    readonly tls?: { readonly cert: string; readonly key: string };
    /** What callers may take to close a connection that has been ended: a close waits for them, and those that read slowly need it. */
    readonly closeLingerMs?: number;
}

export interface GracefulListener {
    /** For fastify's `serverFactory`. */
    serverFactory(handler: (request: IncomingMessage, response: ServerResponse) => void): Server;
    /** From now on connections end with the answers that they carry. */
    drain(): void;
    /** Resolves once the listener is closed and what it has taken is answered; connections may still wait for their other side to close. */
    settled(): Promise<void>;
    /** Cuts off what still runs. */
    cutOff(): void;
}

/** Longer than a usual balancer keeps its idle connections: the listener should not be the one to close them. */
const keepAliveTimeoutMs = 72_000;
/** A handshake that hangs would hold up a stop. */
const handshakeTimeoutMs = 5_000;
const defaultCloseLingerMs = 1_000;

/** Creates the listener's server. */
export function createGracefulListener(options: GracefulListenerOptions): GracefulListener {
    const { http = {}, tls, closeLingerMs = defaultCloseLingerMs } = options;
    const connections = createHttpConnections(closeLingerMs);
    let server: Server | undefined;

    /** Has the head of a response announce the end of its connection, whoever writes it. */
    function announceClose(response: ServerResponse, closes: () => boolean) {
        const writeHead = response.writeHead.bind(response) as (...parts: unknown[]) => ServerResponse;
        response.writeHead = (...parts: unknown[]) => {
            if (closes()) {
                response.setHeader("connection", "close");
            }
            return writeHead(...parts);
        };
    }

    return {
        serverFactory(handler) {
            const take = (request: IncomingMessage, response: ServerResponse) => {
                const place = connections.took(request, response);
                if (place === undefined) {
                    request.resume();
                    return;
                }
                announceClose(response, place.announcesClose);
                handler(request, response);
            };
            server = tls === undefined
                ? createServer(http, take)
                : createSecureServer({ ...http, ...tls, handshakeTimeout: handshakeTimeoutMs }, take);
            server.keepAliveTimeout = keepAliveTimeoutMs;
            server.requestTimeout = 0;
            connections.watch(server);
            return server;
        },
        drain: () => connections.drain(),
        settled: () => connections.settled(),
        cutOff() {
            server?.closeAllConnections();
        },
    };
}
