/**
 * The entry's HTTP listener for callers. It uses Node's HTTP server directly, because a framework's body handling depends on method and
 * content type, while bodies must reach upstreams unchanged.
 *
 * @module
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createHttpConnections, type RequestPosition, startListening, waitForPendingReads } from "../http/index.js";
import { splitAddress } from "../rpc/index.js";
import { createContainment } from "../runtime/index.js";
import { type CallerAnswer, createCallerAnswer } from "./answer.js";
import { createCallerConnection } from "./callerConnection.js";
import type { Holder, Memory } from "./memory/index.js";
import {
    hasContent, headersSize, isRepeatable, type ParsedRequest, messageHeader, readBody, readHead, type Refusal, whenBodyRead,
} from "./parsedRequest.js";
import { startRequest } from "./request.js";
import type { RequestDependencies, RunningRequest } from "./requestTypes.js";
import { retryAfterMs } from "./retryAfter.js";
import type { StartHold } from "./startHold.js";
import { createStopRecord, type StopLabels } from "./stopRecord.js";

/** The HTTP parser refuses larger headers. Sites set lower limits. */
const parserMaxHeaderBytes = 65_536;
/** How often the server checks for connections that have exceeded their timeouts. */
const connectionCheckIntervalMs = 500;
/** Retry-After while the site is not known yet: a start takes about a second. */
const unknownSiteRetryMs = 1_000;
/** Time allowed for sending an answer after the request's deadline. */
const answerFlushMs = 200;
/** Maximum difference between this clock and the platform's on when a request was sent. */
const maxClockSkewMs = 200;
/** Refuses a request that may not be finished before the shutdown. Other entries serve it, so the caller may retry at once. */
const stopRefusal: Refusal = { status: 503, reason: "this entry is stopping", retryAfterMs: 0 };

/** The schedule of a shutdown. */
export interface StopTimes {
    /**
     * When the listener is to close. Requests that are read later are accepted only if they are certain to be finished in time, even if the
     * timer that closes the listener is late.
     */
    readonly listenerClosesAtMs: number;
    /** When requests without a final answer may be cut off. */
    readonly cutOffAtMs: number;
}

export interface GatewayServer {
    /** Starts the shutdown: from now on connections are closed after the answers that they carry. */
    drain(times: StopTimes): void;
    /**
     * Closes the listener and idle connections. From now on only requests that are certain to be finished in time are accepted. Resolves to
     * the number of connections closed.
     */
    closeListener(): Promise<number>;
    /** Ends the requests that are still running. */
    endRunning(): void;
    /** Ends the requests that must not be sent to upstreams any more, where none has begun to answer. */
    endBarred(): void;
    readonly running: number;
    readonly connections: { readonly open: number; readonly unused: number };
    /** The number of log lines dropped during the shutdown. */
    readonly droppedLogLines: number;
    close(): void;
}

export interface ServerDependencies extends RequestDependencies {
    /** Holds callers while the entry starts; without it they are refused at once. */
    readonly startHold?: StartHold;
    readonly memory: Memory;
    /** Resolves to whether the caller has left although its request has just been read; its connection is closed then. */
    hasLeft?(message: IncomingMessage): Promise<boolean>;
    /** Whether a new connection is accepted. One that isn't is closed unread, so that its caller knows that its request has not run. */
    acceptsConnection?(): boolean;
    /** Counts a request that was refused before an upstream was chosen. */
    countEarlyRefusal(status: number): void;
    /** Counts a request that was read completely, before an upstream is chosen. */
    recordArrival(request: ParsedRequest): void;
    /** Counts a request that arrived or was cut off during the shutdown. */
    countWhileStopping(labels: StopLabels): void;
}

/** A request whose answer is not finished. */
interface ServedRequest {
    readonly attemptId: string | undefined;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly place: RequestPosition;
    readonly answer: CallerAnswer;
    readonly holder: Holder;
    /** Undefined until the request has been read completely. */
    runningRequest: RunningRequest | undefined;
    /** When its answer is final at the latest. 0 until its head has been read. */
    giveUpAtMs: number;
    /** Undefined until its head has been read. */
    route: ParsedRequest["route"] | undefined;
    isClosed: boolean;
}

/** Listens for callers. */
export async function listenForCallers(address: string, dependencies: ServerDependencies): Promise<GatewayServer> {
    /** When the shutdown may cut off requests without a final answer. */
    let cutOffAtMs = Infinity;
    /** From then on only requests that are certain to be finished in time are accepted. */
    let strictAdmissionFromMs = Infinity;
    const running = new Set<ServedRequest>();
    /** The running requests of each connection, in order of arrival. */
    const runningBySocket = new Map<Socket, Set<ServedRequest>>();
    const connections = createHttpConnections();
    const contained = createContainment(error => dependencies.recordException(error, {}));
    const stopRecord = createStopRecord({ logger: dependencies.logger, nowMs: dependencies.nowMs, count: dependencies.countWhileStopping });

    /** Returns when an answer can be sent at the latest. Pipelined requests before it on the connection are answered first. */
    function latestSendAtMs(served: ServedRequest): number {
        const onSameConnection = [...runningBySocket.get(served.message.socket) ?? []];
        return Math.max(...onSameConnection.slice(0, onSameConnection.indexOf(served) + 1).map(({ giveUpAtMs }) => giveUpAtMs));
    }

    /** Whether the shutdown leaves a request its time. One that may run only once is taken only if its answer is certain to be sent. */
    function canFinishInTime(served: ServedRequest, route: ParsedRequest["route"]): boolean {
        const isStrict = dependencies.nowMs() >= strictAdmissionFromMs || !isRepeatable(route);
        return !isStrict || latestSendAtMs(served) + answerFlushMs <= cutOffAtMs;
    }

    function finish(served: ServedRequest) {
        if (!running.delete(served)) {
            return;
        }
        runningBySocket.get(served.message.socket)?.delete(served);
        served.isClosed = true;
        if (!served.response.writableFinished) {
            served.runningRequest?.callerLeft();
        }
        served.holder.callerClosed();
    }

    function refuseEarly({ attemptId, answer }: ServedRequest, refusal: Refusal) {
        dependencies.countEarlyRefusal(refusal.status);
        dependencies.logger.info("request refused", { request: attemptId, ...refusal, version: dependencies.view.table?.site.version });
        answer.sendOwn(refusal.status, refusal.reason, refusal.retryAfterMs);
    }

    function refuseStopping(served: ServedRequest) {
        stopRecord.requestTaken({ attemptId: served.attemptId, carried: served.place.precedingRequests, outcome: "refused" });
        refuseEarly(served, stopRefusal);
    }

    /** Refuses a request with a body because of what is held already. */
    function refuseBody(served: ServedRequest, reason: string, deadlineAtMs: number) {
        dependencies.memory.countRefusal();
        const leftMs = Math.max(0, deadlineAtMs - dependencies.nowMs());
        const returnInMs = retryAfterMs({ leftMs, acceptedInMs: 0, random: dependencies.random() });
        refuseEarly(served, { status: 503, reason, retryAfterMs: returnInMs });
    }

    async function serve(message: IncomingMessage, served: ServedRequest) {
        const { attemptId, answer, place } = served;
        const arrivedAtMs = dependencies.nowMs();
        const caller = { onceGone: (callback: () => void) => void served.response.once("close", callback) };
        const logHold = (awaited: string, isThere: boolean) => dependencies.logger.info("caller held", {
            request: attemptId, awaited, isThere, forMs: Math.round(dependencies.nowMs() - arrivedAtMs),
        });
        const siteHold = dependencies.view.table === undefined ? dependencies.startHold?.untilSite(arrivedAtMs, caller) : undefined;
        if (siteHold !== undefined) {
            await siteHold;
            logHold("site", dependencies.view.table !== undefined);
            if (served.isClosed || answer.isOver) {
                return;
            }
        }
        const { table } = dependencies.view;
        if (table === undefined && cutOffAtMs < Infinity) {
            refuseStopping(served);
            return;
        }
        if (table === undefined) {
            answer.sendOwn(503, "the site is not known here yet", unknownSiteRetryMs);
            return;
        }
        const head = readHead(message, dependencies.names, table, arrivedAtMs);
        if ("refused" in head) {
            refuseEarly(served, head.refused);
            return;
        }
        const { route, model } = head.request;
        served.giveUpAtMs = head.request.giveUpAtMs;
        served.route = route;
        if (!canFinishInTime(served, route)) {
            refuseStopping(served);
            return;
        }
        const hold = dependencies.startHold?.untilUpstreams(route, model, arrivedAtMs, caller);
        if (hold !== undefined) {
            await hold;
            logHold("upstreams", route.targets.some(({ service }) => dependencies.view.candidates(service, model).length > 0));
            if (served.isClosed || answer.isOver) {
                return;
            }
        }
        if (dependencies.memory.refusesBodies && hasContent(message)) {
            refuseBody(served, "too much is held for other requests", head.request.deadlineAtMs);
            return;
        }
        const body = await readBody(message, {
            maxBytes: table.site.limits.maxBodyBytes, holder: served.holder,
            giveUpInMs: dependencies.memory.isBounded ? Math.max(0, served.giveUpAtMs - dependencies.nowMs()) : Infinity,
        });
        if (body === "too-large") {
            answer.sendOwn(413, "the body is too large");
            return;
        }
        if (body === "too-late") {
            refuseBody(served, "its body could not be read in time", head.request.deadlineAtMs);
            return;
        }
        if (await dependencies.hasLeft?.(message) || served.isClosed || answer.isOver) {
            return;
        }
        // Reading the body may have taken long.
        if (!canFinishInTime(served, route)) {
            refuseStopping(served);
            return;
        }
        stopRecord.requestTaken({ attemptId, carried: place.precedingRequests, outcome: "served" });
        const hasBody = body.length > 0 || message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined;
        const parsed: ParsedRequest = { ...head.request, body: hasBody ? body : undefined };
        dependencies.recordArrival(parsed);
        served.runningRequest = startRequest(parsed, answer, served.holder, dependencies);
    }

    function accept(message: IncomingMessage, response: ServerResponse, place: RequestPosition): ServedRequest {
        const attemptId = messageHeader(message, dependencies.names.attemptId);
        const answer = createCallerAnswer(response, {
            announcesClose: place.announcesClose,
            whenBodyRead: callback => whenBodyRead(message, callback),
            ownHeaders: attemptId === undefined ? [] : [dependencies.names.attemptId, attemptId],
            onDrain: () => served.runningRequest?.resume(),
            onWritten: dependencies.memory.isBounded ? contained(() => holder.hold("caller", response.writableLength)) : undefined,
        });
        const holder = dependencies.memory.open(createCallerConnection(response, answer, attemptId, () =>
            served.route?.kind === "stream" && served.route.isResumable));
        holder.hold("head", headersSize(message.rawHeaders));
        const served: ServedRequest = {
            attemptId, message, response, place, answer, holder,
            runningRequest: undefined, giveUpAtMs: 0, route: undefined, isClosed: false,
        };
        running.add(served);
        runningBySocket.get(message.socket)?.add(served);
        response.once("close", contained(() => finish(served)));
        return served;
    }

    const server = createServer({
        maxHeaderSize: parserMaxHeaderBytes, connectionsCheckingInterval: connectionCheckIntervalMs, keepAlive: true, noDelay: true,
        requestTimeout: 0,
    }, (message, response) => {
        const onThrown = (error: unknown) => {
            dependencies.recordException(error, { request: messageHeader(message, dependencies.names.attemptId) });
            response.destroy();
        };
        createContainment(onThrown)(() => take(message, response))();
    });

    function take(message: IncomingMessage, response: ServerResponse) {
        const place = connections.registerRequest(message, response);
        if (place === undefined) {
            message.resume();
            return;
        }
        const served = accept(message, response, place);
        const { limits } = dependencies.view.table?.site ?? {};
        if (limits !== undefined) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
        }
        serve(message, served).catch(contained((error: Error) => abortUnsent(served, error)));
    }

    /** Ends a request that has not been sent to an upstream, because its caller has left or an exception has been thrown. */
    function abortUnsent(served: ServedRequest, error: Error) {
        const { attemptId, answer, message, response } = served;
        if (served.isClosed || message.socket.destroyed) {
            dependencies.logger.info("request aborted", { request: attemptId, error: error.message });
            response.destroy();
            return;
        }
        dependencies.recordException(error, { request: attemptId });
        answer.sendOwn(503, "the entry could not handle it", 0);
    }
    // Must come before the listener that reads.
    server.prependListener("connection", socket => {
        if (dependencies.acceptsConnection?.() === false) {
            socket.resetAndDestroy();
        }
    });
    connections.watch(server);
    server.on("connection", socket => {
        const servedOnSocket = new Set<ServedRequest>();
        runningBySocket.set(socket, servedOnSocket);
        socket.once("close", () => {
            // A response that is queued behind others has never been assigned the socket and emits no event when it closes.
            servedOnSocket.forEach(contained(finish));
            runningBySocket.delete(socket);
        });
    });
    server.headersTimeout = 3_000;
    server.keepAliveTimeout = 15_000;
    await startListening(server, { ...splitAddress(address), backlog: 1024 }, error => dependencies.recordException(error, {}));
    return {
        drain(times) {
            cutOffAtMs = times.cutOffAtMs;
            strictAdmissionFromMs = times.listenerClosesAtMs - maxClockSkewMs;
            dependencies.startHold?.end();
            connections.drain();
            stopRecord.stopStarted();
        },
        async closeListener() {
            strictAdmissionFromMs = -Infinity;
            stopRecord.listenerClosed();
            // Closing the server would reset connections that are still waiting to be accepted.
            await waitForPendingReads();
            server.close();
            return connections.closeInactive();
        },
        endRunning() {
            const isUnanswered = ({ answer }: ServedRequest) => !answer.isOver || answer.hasUnsentBytes;
            [...running].filter(isUnanswered).forEach(({ attemptId, place, answer, runningRequest: request }) => {
                stopRecord.requestCutOff({ attemptId, carried: place.precedingRequests, upstream: request?.upstreamId });
                if (request === undefined) {
                    answer.sendOwn(stopRefusal.status, stopRefusal.reason, stopRefusal.retryAfterMs);
                }
                else {
                    request.endNow("the entry has stopped");
                }
            });
        },
        endBarred: () => [...running].forEach(({ runningRequest }) => runningRequest?.endIfBarred()),
        get running() {
            return running.size;
        },
        connections,
        get droppedLogLines() {
            return stopRecord.droppedLogLines;
        },
        close() {
            server.closeAllConnections();
        },
    };
}
