/**
 * The entry's listener for callers. The plain HTTP server of the platform is used, since a framework's body handling depends on method
 * and content type, and bodies must reach upstreams unchanged whatever they are.
 *
 * @module
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { arrivedRead, type ConnectionPlace, createHttpConnections } from "../http/index.js";
import { splitAddress } from "../rpc/index.js";
import { type CallerAnswer, createAnswer } from "./answer.js";
import { type Asked, headerOf, readBody, readHead, type Refused } from "./asked.js";
import { type RequestParts, type RunningRequest, startRequest } from "./request.js";
import { createStopRecord, type StopLabels } from "./stopRecord.js";

/** Headers larger than this are refused by the parser; sites set lower limits. */
const mostHeaderBytes = 65_536;
/** How often the server looks for callers that are too slow. */
const checkIntervalMs = 500;
/** Retry-After before anything is known of the site: a start takes about a second. */
const unknownSiteRetryMs = 1_000;
/** How long an answer that was given before its request's body was read waits for the rest of the body. */
const lingerMs = 1_000;
/** What sending an answer may take after the request's time is up. */
const lastAnswerMs = 200;
/** The platform's clock and this one may differ by so much about when a request was sent. */
const clockMarginMs = 200;
/** The refusal of what can't surely be finished any more: other entries take it, so its caller need not wait. */
const stopRefusal: Refused = { status: 503, reason: "this entry is stopping", retryAfterMs: 0 };

/** The times of a stop. */
export interface StopTimes {
    /** When the listener is to close. What is read later must be sure to be final in time, even if the timer that closes it is late. */
    readonly closesAtMs: number;
    /** When what isn't final may be cut off. */
    readonly untilMs: number;
}

export interface GatewayServer {
    /** From now on connections end with the answers that they carry. */
    drain(times: StopTimes): void;
    /** Takes no new connection, ends quiet ones and from now takes only what is sure to be final in time; resolves to how many it ended. */
    closeListener(): Promise<number>;
    /** Ends what still runs. */
    endRunning(): void;
    readonly running: number;
    readonly connections: { readonly open: number; readonly unused: number };
    /** Log lines of the stop that were left out. */
    readonly linesLeftOut: number;
    close(): void;
}

export interface ServerParts extends RequestParts {
    /** A request was refused before an upstream was chosen. */
    refusedEarly(status: number): void;
    /** A request came, or was cut off, while the entry stops. */
    whileStopping(labels: StopLabels): void;
}

/** A request that is not over. */
interface Served {
    readonly attemptId: string | undefined;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly place: ConnectionPlace;
    readonly answer: CallerAnswer;
    /** Undefined until the request has been read whole. */
    request: RunningRequest | undefined;
    /** When its answer is final at the latest; 0 until its head has been read. */
    giveUpAtMs: number;
    hasLeft: boolean;
}

/** Listens for callers. */
export async function listenForCallers(address: string, parts: ServerParts): Promise<GatewayServer> {
    /** When a stop may cut off what isn't final. */
    let untilMs = Infinity;
    /** From then on only what is sure to be final in time is taken. */
    let onlySureFromMs = Infinity;
    const running = new Set<Served>();
    /** What runs on each connection, in the order in which it came. */
    const runningOn = new Map<Socket, Set<Served>>();
    const connections = createHttpConnections();
    const record = createStopRecord({ logger: parts.logger, nowMs: parts.nowMs, count: parts.whileStopping });

    /** When an answer can be sent at the latest: those to the requests before it on its connection go first. */
    function sentAtMs(served: Served): number {
        const onIts = [...runningOn.get(served.message.socket) ?? []];
        return Math.max(...onIts.slice(0, onIts.indexOf(served) + 1).map(({ giveUpAtMs }) => giveUpAtMs));
    }

    /** Whether a request's answer is sure to be sent before a stop may cut it off. */
    function isFinalInTime(served: Served): boolean {
        return parts.nowMs() < onlySureFromMs || sentAtMs(served) + lastAnswerMs <= untilMs;
    }

    function over(served: Served) {
        if (!running.delete(served)) {
            return;
        }
        runningOn.get(served.message.socket)?.delete(served);
        served.hasLeft = true;
        if (!served.response.writableFinished) {
            served.request?.callerLeft();
        }
    }

    function refuseEarly({ attemptId, answer }: Served, refused: Refused) {
        parts.refusedEarly(refused.status);
        parts.logger.info("request refused", { request: attemptId, ...refused, version: parts.view.table?.site.version });
        answer.own(refused.status, refused.reason, refused.retryAfterMs);
    }

    function refuseStopping(served: Served) {
        record.taken({ attemptId: served.attemptId, carried: served.place.carried, outcome: "refused" });
        refuseEarly(served, stopRefusal);
    }

    async function serve(message: IncomingMessage, served: Served) {
        const { attemptId, answer, place } = served;
        const { table } = parts.view;
        if (table === undefined) {
            answer.own(503, "the site is not known here yet", unknownSiteRetryMs);
            return;
        }
        const head = readHead(message, parts.names, table, parts.nowMs());
        if ("refused" in head) {
            refuseEarly(served, head.refused);
            return;
        }
        served.giveUpAtMs = head.asked.giveUpAtMs;
        if (!isFinalInTime(served)) {
            refuseStopping(served);
            return;
        }
        const body = await readBody(message, table.site.limits.maxBodyBytes);
        if (body === undefined) {
            answer.own(413, "the body is too large");
            return;
        }
        if (served.hasLeft || answer.isOver) {
            return;
        }
        // The body may have come late.
        if (!isFinalInTime(served)) {
            refuseStopping(served);
            return;
        }
        record.taken({ attemptId, carried: place.carried, outcome: "served" });
        const hasBody = body.length > 0 || message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined;
        const asked: Asked = { ...head.asked, body: hasBody ? body : undefined };
        served.request = startRequest(asked, answer, parts);
    }

    function take(message: IncomingMessage, response: ServerResponse, place: ConnectionPlace): Served {
        const attemptId = headerOf(message, parts.names.attemptId);
        const answer = createAnswer(response, {
            announcesClose: place.announcesClose,
            whenRead: then => whenRead(message, then),
            headers: attemptId === undefined ? [] : [parts.names.attemptId, attemptId],
            drained: () => served.request?.drained(),
        });
        const served: Served = { attemptId, message, response, place, answer, request: undefined, giveUpAtMs: 0, hasLeft: false };
        running.add(served);
        runningOn.get(message.socket)?.add(served);
        response.once("close", () => over(served));
        return served;
    }

    const server = createServer({
        maxHeaderSize: mostHeaderBytes, connectionsCheckingInterval: checkIntervalMs, keepAlive: true, noDelay: true, requestTimeout: 0,
    }, (message, response) => {
        const place = connections.took(message, response);
        if (place === undefined) {
            message.resume();
            return;
        }
        const served = take(message, response, place);
        const { limits } = parts.view.table?.site ?? {};
        if (limits !== undefined) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
        }
        serve(message, served).catch((error: Error) => {
            parts.logger.info("request broke off", { request: served.attemptId, error: error.message });
            response.destroy();
        });
    });
    connections.watch(server);
    server.on("connection", socket => {
        const onIt = new Set<Served>();
        runningOn.set(socket, onIt);
        socket.once("close", () => {
            // A response that waits behind others has never had the socket, and tells nothing of its end.
            onIt.forEach(over);
            runningOn.delete(socket);
        });
    });
    server.headersTimeout = 3_000;
    server.keepAliveTimeout = 15_000;
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, resolve);
    });
    return {
        drain(times) {
            untilMs = times.untilMs;
            onlySureFromMs = times.closesAtMs - clockMarginMs;
            connections.drain();
            record.begun();
        },
        async closeListener() {
            onlySureFromMs = -Infinity;
            record.listenerClosed();
            // Connections that wait to be accepted would be reset.
            await arrivedRead();
            server.close();
            return connections.endQuiet();
        },
        endRunning() {
            const isUnanswered = ({ answer }: Served) => !answer.isOver || answer.isUnsent;
            [...running].filter(isUnanswered).forEach(({ attemptId, place, answer, request }) => {
                record.cutOff({ attemptId, carried: place.carried, upstream: request?.upstreamId });
                if (request === undefined) {
                    answer.own(stopRefusal.status, stopRefusal.reason, stopRefusal.retryAfterMs);
                }
                else {
                    request.endNow("the entry has stopped");
                }
            });
        },
        get running() {
            return running.size;
        },
        connections,
        get linesLeftOut() {
            return record.linesLeftOut;
        },
        close() {
            server.closeAllConnections();
        },
    };
}

/** Calls back once `message` has been read whole, its caller has gone, or the rest has not come for a while. */
function whenRead(message: IncomingMessage, then: () => void) {
    if (message.complete || message.destroyed) {
        then();
        return;
    }
    const timer = setTimeout(done, lingerMs);
    function done() {
        clearTimeout(timer);
        message.off("end", done).off("close", done);
        then();
    }
    message.once("end", done).once("close", done);
    message.resume();
}
