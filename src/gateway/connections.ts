/**
 * A pool of HTTP/1.1 connections to upstreams. Each carries one request at a time and is kept open briefly between requests.
 *
 * A request written to a connection that is dead or about to be closed gets no answer, although it may have run. So non-idempotent requests
 * always use a new connection, and others reuse one only shortly after its last answer.
 *
 * @module
 */

import { connect as connectTcp, type Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { createReadGate, maxInformationalAnswers, type ReadGate } from "../http/index.js";
import { splitAddress } from "../rpc/index.js";
import { startAnswerTimeout } from "../runtime/index.js";

/**
 * Opening a connection takes one round trip of some ms. A lost SYN packet is retransmitted only after a second, which is too late for most
 * requests.
 */
const connectTimeoutMs = 250;
/** Connections idle for longer aren't reused. This is well below the idle timeouts of upstreams, and most requests come sooner. */
const maxReuseIdleMs = 1_000;

export interface ExchangeRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Whether the request must use a connection that has carried no other request. */
    readonly needsNewConnection: boolean;
}

/** Callbacks of an exchange, in this order: at most one `head`, then `data`, then `end` or `failed`. */
export interface ExchangeEvents {
    head(status: number, rawHeaders: string[]): void;
    data(chunk: Buffer): void;
    end(): void;
    /** `isSent` false: no byte of the request can have been sent. */
    failed(error: Error, isSent: boolean): void;
}

export interface RunningExchange {
    /** Ends the exchange and closes its connection; no callback follows. */
    abort(): void;
    /** Stops reading from the connection; a part of the answer that has been read still comes. */
    pause(): void;
    resume(): void;
}

interface Connection {
    readonly client: Client;
    /** Undefined until the connection is open. */
    readGate: ReadGate | undefined;
    lastUsedAtMs: number;
    isBusy: boolean;
    wasReset: boolean;
}

export interface Connections {
    /** Starts an exchange. Doesn't throw, and calls back only after it has returned, also if no connection can be made to `address`. */
    start(address: string, exchange: ExchangeRequest, events: ExchangeEvents): RunningExchange;
    /** Whether an idle connection to `address` can be reused now. */
    hasIdle(address: string): boolean;
    /** Closes idle connections to addresses that are not in `addresses` and those idle for too long to be reused. */
    sweep(addresses: ReadonlySet<string>): void;
    readonly open: number;
    close(): void;
}

/** Passed to the library's connect callback for an absent error or socket. */
// eslint-disable-next-line no-restricted-syntax -- its type asks for this value
const nothing = null;
const noSocket = nothing as never;
const noError = nothing;

/** Creates an empty connection pool. */
export function createConnections(): Connections {
    const pool = new Map<string, Connection[]>();

    function remove(address: string, connection: Connection) {
        const others = (pool.get(address) ?? []).filter(other => other !== connection);
        if (others.length === 0) {
            pool.delete(address);
        }
        else {
            pool.set(address, others);
        }
        // The connection is idle, or its exchange was aborted or reports the error itself.
        connection.client.destroy().catch(() => undefined);
    }

    function openConnection(address: string): Connection {
        const { host, port } = splitAddress(address);
        const connection: Connection = {
            lastUsedAtMs: 0, isBusy: false, wasReset: false, readGate: undefined, client: undefined as unknown as Client,
        };
        const client = new Client(`http://${address}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: 2 * maxReuseIdleMs,
            keepAliveMaxTimeout: 2 * maxReuseIdleMs,
            connect(_options, callback) {
                const socket: Socket = connectTcp({ host, port, noDelay: true });
                const cancelTimeout = startAnswerTimeout(connectTimeoutMs, () =>
                    socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`)));
                const onFailed = (error: Error) => {
                    cancelTimeout();
                    callback(error, noSocket);
                };
                socket.once("error", onFailed);
                socket.once("connect", () => {
                    cancelTimeout();
                    socket.off("error", onFailed);
                    // The library reports a reset during an answer without a length as its regular end; the flag distinguishes the two.
                    socket.on("error", () => {
                        connection.wasReset = true;
                    });
                    // A reset that arrives together with the last bytes is reported as the end of the stream. A socket that was reset has
                    // no remote address any more; one that was closed in order still has.
                    socket.on("end", () => {
                        connection.wasReset ||= socket.remoteAddress === undefined;
                    });
                    connection.readGate = createReadGate(socket);
                    callback(noError, socket);
                });
            },
        });
        client.on("disconnect", () => !connection.isBusy && remove(address, connection));
        Object.assign(connection, { client });
        pool.set(address, [...pool.get(address) ?? [], connection]);
        return connection;
    }

    function findIdle(address: string): Connection | undefined {
        const usedSinceMs = performance.now() - maxReuseIdleMs;
        return pool.get(address)?.findLast(connection => !connection.isBusy && connection.lastUsedAtMs > usedSinceMs);
    }

    function acquire(address: string, needsNew: boolean): Connection {
        return (needsNew ? undefined : findIdle(address)) ?? openConnection(address);
    }

    function start(address: string, request: ExchangeRequest, events: ExchangeEvents): RunningExchange {
        let connection: Connection | undefined;
        let controller: Dispatcher.DispatchController | undefined;
        let isStarting = true;
        let isOver = false;
        let isSent = false;
        let informationalAnswers = 0;

        function release(isReusable: boolean) {
            isOver = true;
            if (connection === undefined) {
                return;
            }
            connection.isBusy = false;
            connection.readGate?.resume();
            connection.lastUsedAtMs = performance.now();
            if (!isReusable) {
                remove(address, connection);
            }
        }

        function fail(error: Error) {
            if (isStarting) {
                queueMicrotask(() => fail(error));
                return;
            }
            if (!isOver) {
                release(false);
                events.failed(error, isSent);
            }
        }

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(requestController) {
                controller = requestController;
                isSent = true;
                if (isOver) {
                    requestController.abort(new Error("aborted"));
                }
            },
            onResponseStart(responseController, status) {
                if (isOver) {
                    return;
                }
                if (status < 200) {
                    informationalAnswers++;
                    if (informationalAnswers > maxInformationalAnswers) {
                        responseController.abort(new Error("too many informational answers"));
                    }
                    return;
                }
                const raw = (responseController.rawHeaders ?? []) as (Buffer | string)[];
                events.head(status, raw.map(item => typeof item === "string" ? item : item.toString("latin1")));
            },
            onResponseData(_given, chunk) {
                if (!isOver) {
                    events.data(chunk);
                }
            },
            onResponseEnd() {
                if (isOver) {
                    return;
                }
                if (connection?.wasReset) {
                    fail(new Error("the connection was reset before the answer's end"));
                    return;
                }
                release(true);
                events.end();
            },
            onResponseError(_given, error) {
                fail(error);
            },
        };
        try {
            connection = acquire(address, request.needsNewConnection);
            connection.isBusy = true;
            connection.client.dispatch({
                origin: `http://${address}`, path: request.path, method: request.method as Dispatcher.HttpMethod,
                headers: request.headers, ...request.body === undefined ? {} : { body: request.body },
            }, handler);
        }
        catch (error) {
            fail(error as Error);
        }
        isStarting = false;
        return {
            abort() {
                if (!isOver) {
                    release(false);
                    controller?.abort(new Error("aborted"));
                }
            },
            pause: () => !isOver && connection?.readGate?.pause(),
            resume: () => !isOver && connection?.readGate?.resume(),
        };
    }

    return {
        start,
        hasIdle: address => findIdle(address) !== undefined,
        sweep(addresses) {
            const usedSinceMs = performance.now() - maxReuseIdleMs;
            for (const [address, connections] of [...pool]) {
                connections
                    .filter(connection => !connection.isBusy && (connection.lastUsedAtMs < usedSinceMs || !addresses.has(address)))
                    .forEach(connection => remove(address, connection));
            }
        },
        get open() {
            return [...pool.values()].reduce((sum, connections) => sum + connections.length, 0);
        },
        close() {
            [...pool].forEach(([address, connections]) => connections.forEach(connection => remove(address, connection)));
        },
    };
}
