/**
 * Connections to upstreams: one request at a time on each, kept for a moment between requests.
 *
 * What must not happen: a request written on a connection that has died in silence or is about to be closed may have run and brings no
 * answer. So a request that may run once gets a new connection, and others reuse one only shortly after its last answer.
 *
 * @module
 */

import { connect as connectTcp, type Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { splitAddress } from "../rpc/index.js";
import { startAnswerTimeout } from "../runtime/index.js";

/** A new connection takes one round trip, some ms; a lost opening packet is sent again after a second, too late for most requests. */
const connectTimeoutMs = 250;
/** A connection idle for longer is not used again: well below the idle timeouts seen, and most requests come within it. */
const reuseMs = 1_000;

export interface Exchange {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Asks for a connection that has carried nothing yet. */
    readonly isFresh: boolean;
}

/** What happens in an exchange, in order: at most one `head`, then data, then `end` or `failed`. */
export interface ExchangeEvents {
    head(status: number, rawHeaders: string[]): void;
    data(chunk: Buffer): void;
    end(): void;
    /** `isSent` false: no byte of the request can have left. */
    failed(error: Error, isSent: boolean): void;
}

export interface RunningExchange {
    /** Ends it and its connection; no event follows. */
    abort(): void;
    pause(): void;
    resume(): void;
}

interface Connection {
    readonly client: Client;
    usedAtMs: number;
    isBusy: boolean;
    wasReset: boolean;
}

export interface Connections {
    start(address: string, exchange: Exchange, events: ExchangeEvents): RunningExchange;
    /** Whether the next exchange with `address` finds a connection open, unless it asks for a fresh one. */
    hasIdle(address: string): boolean;
    /** Closes idle connections of upstreams that are gone and those that will not be used again. */
    sweep(addresses: ReadonlySet<string>): void;
    readonly open: number;
    close(): void;
}

/** What the library's callback wants in the place of the argument that there isn't. */
// eslint-disable-next-line no-restricted-syntax -- its type asks for this value
const nothing = null;
const noSocket = nothing as never;
const noError = nothing;

/** Creates an empty pool. */
export function createConnections(): Connections {
    const held = new Map<string, Connection[]>();

    function drop(address: string, connection: Connection) {
        const others = (held.get(address) ?? []).filter(other => other !== connection);
        if (others.length === 0) {
            held.delete(address);
        }
        else {
            held.set(address, others);
        }
        // What is destroyed here is either idle or reported by its exchange.
        connection.client.destroy().catch(() => undefined);
    }

    function open(address: string): Connection {
        const { host, port } = splitAddress(address);
        const connection: Connection = { usedAtMs: 0, isBusy: false, wasReset: false, client: undefined as unknown as Client };
        const client = new Client(`http://${address}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: 2 * reuseMs,
            keepAliveMaxTimeout: 2 * reuseMs,
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
                    // The library takes a reset after an answer without a length for its proper end: the flag tells them apart.
                    socket.on("error", () => {
                        connection.wasReset = true;
                    });
                    // A reset that comes together with the last bytes is reported as the stream's end. A connection that was reset has
                    // no other end any more; one that was closed in order still has.
                    socket.on("end", () => {
                        connection.wasReset ||= socket.remoteAddress === undefined;
                    });
                    callback(noError, socket);
                });
            },
        });
        client.on("disconnect", () => !connection.isBusy && drop(address, connection));
        Object.assign(connection, { client });
        held.set(address, [...held.get(address) ?? [], connection]);
        return connection;
    }

    function idleAt(address: string): Connection | undefined {
        const sinceMs = performance.now() - reuseMs;
        return held.get(address)?.findLast(connection => !connection.isBusy && connection.usedAtMs > sinceMs);
    }

    function take(address: string, isFresh: boolean): Connection {
        return (isFresh ? undefined : idleAt(address)) ?? open(address);
    }

    function start(address: string, exchange: Exchange, events: ExchangeEvents): RunningExchange {
        const connection = take(address, exchange.isFresh);
        let controller: Dispatcher.DispatchController | undefined;
        let isOver = false;
        let isSent = false;
        connection.isBusy = true;

        function finish(keep: boolean) {
            isOver = true;
            connection.isBusy = false;
            connection.usedAtMs = performance.now();
            if (!keep) {
                drop(address, connection);
            }
        }

        function fail(error: Error) {
            if (!isOver) {
                finish(false);
                events.failed(error, isSent);
            }
        }

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(given) {
                controller = given;
                isSent = true;
                if (isOver) {
                    given.abort(new Error("aborted"));
                }
            },
            onResponseStart(given, status) {
                if (isOver || status < 200) {
                    return;
                }
                const raw = (given.rawHeaders ?? []) as (Buffer | string)[];
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
                if (connection.wasReset) {
                    fail(new Error("the connection was reset before the answer's end"));
                    return;
                }
                finish(true);
                events.end();
            },
            onResponseError(_given, error) {
                fail(error);
            },
        };
        try {
            connection.client.dispatch({
                origin: `http://${address}`, path: exchange.path, method: exchange.method as Dispatcher.HttpMethod,
                headers: exchange.headers, ...exchange.body === undefined ? {} : { body: exchange.body },
            }, handler);
        }
        catch (error) {
            queueMicrotask(() => fail(error as Error));
        }
        return {
            abort() {
                if (!isOver) {
                    finish(false);
                    controller?.abort(new Error("aborted"));
                }
            },
            pause: () => controller?.pause(),
            resume: () => controller?.resume(),
        };
    }

    return {
        start,
        hasIdle: address => idleAt(address) !== undefined,
        sweep(addresses) {
            const sinceMs = performance.now() - reuseMs;
            for (const [address, connections] of [...held]) {
                connections
                    .filter(connection => !connection.isBusy && (connection.usedAtMs < sinceMs || !addresses.has(address)))
                    .forEach(connection => drop(address, connection));
            }
        },
        get open() {
            return [...held.values()].reduce((sum, connections) => sum + connections.length, 0);
        },
        close() {
            [...held].forEach(([address, connections]) => connections.forEach(connection => drop(address, connection)));
        },
    };
}
