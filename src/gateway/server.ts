/**
 * The entry's listener for callers. The plain HTTP server of the platform is used, since a framework's body handling depends on method
 * and content type, and bodies must reach upstreams unchanged whatever they are.
 *
 * @module
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { splitAddress } from "../rpc/index.js";
import { createAnswer } from "./answer.js";
import { type Asked, headerOf, readBody, readHead } from "./asked.js";
import { createCallerConnections } from "./callerConnections.js";
import { type RequestParts, type RunningRequest, startRequest } from "./request.js";
import { createStopRecord, type StopLabels } from "./stopRecord.js";

/** Headers larger than this are refused by the parser; sites set lower limits. */
const mostHeaderBytes = 65_536;
/** How often the server looks for callers that are too slow. */
const checkIntervalMs = 500;
/** Retry-After before anything is known of the site: a start takes about a second. */
const unknownSiteRetryMs = 1_000;

export interface GatewayServer {
    /** Answers from now on ask callers to close their connections. */
    drain(): void;
    /** Takes no new connection and closes idle ones. */
    closeListener(): void;
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
    /** Requests that its connection had carried before. */
    readonly carried: number;
    /** Undefined until the request has been read whole. */
    request: RunningRequest | undefined;
    hasLeft: boolean;
}

/** Listens for callers. */
export async function listenForCallers(address: string, parts: ServerParts): Promise<GatewayServer> {
    let isDraining = false;
    const running = new Set<Served>();
    const connections = createCallerConnections();
    const record = createStopRecord({ logger: parts.logger, nowMs: parts.nowMs, count: parts.whileStopping });

    async function serve(message: IncomingMessage, response: ServerResponse, state: Served) {
        const { attemptId } = state;
        const answer = createAnswer(response, {
            closes: () => isDraining,
            headers: attemptId === undefined ? [] : [parts.names.attemptId, attemptId],
            drained: () => state.request?.drained(),
        });
        response.on("close", () => {
            state.hasLeft = true;
            if (!response.writableFinished) {
                state.request?.callerLeft();
            }
        });
        const { table } = parts.view;
        if (table === undefined) {
            answer.own(503, "the site is not known here yet", unknownSiteRetryMs);
            return;
        }
        const head = readHead(message, parts.names, table, parts.nowMs());
        if ("refused" in head) {
            parts.refusedEarly(head.refused.status);
            parts.logger.info("request refused", { request: attemptId, ...head.refused, version: table.site.version });
            answer.own(head.refused.status, head.refused.reason);
            message.resume();
            return;
        }
        record.taken({ attemptId, carried: state.carried, outcome: "served" });
        const body = await readBody(message, table.site.limits.maxBodyBytes);
        if (body === undefined) {
            answer.own(413, "the body is too large");
            response.once("finish", () => message.destroy());
            return;
        }
        if (state.hasLeft) {
            return;
        }
        const hasBody = body.length > 0 || message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined;
        const asked: Asked = { ...head.asked, body: hasBody ? body : undefined };
        state.request = startRequest(asked, answer, parts);
    }

    const server = createServer({
        maxHeaderSize: mostHeaderBytes, connectionsCheckingInterval: checkIntervalMs, keepAlive: true, noDelay: true, requestTimeout: 0,
    }, (message, response) => {
        const carried = connections.took(message.socket);
        const state: Served = { attemptId: headerOf(message, parts.names.attemptId), carried, request: undefined, hasLeft: false };
        running.add(state);
        response.once("close", () => running.delete(state));
        const { limits } = parts.view.table?.site ?? {};
        if (limits !== undefined) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
        }
        serve(message, response, state).catch((error: Error) => {
            parts.logger.info("request broke off", { request: state.attemptId, error: error.message });
            response.destroy();
        });
    });
    server.on("connection", connections.opened);
    server.headersTimeout = 3_000;
    server.keepAliveTimeout = 15_000;
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, resolve);
    });
    return {
        drain() {
            isDraining = true;
            record.begun();
        },
        closeListener() {
            record.listenerClosed();
            server.close();
            server.closeIdleConnections();
        },
        get running() {
            return running.size;
        },
        connections,
        get linesLeftOut() {
            return record.linesLeftOut;
        },
        close() {
            running.forEach(({ attemptId, carried, request }) => record.cutOff({ attemptId, carried, upstream: request?.upstreamId }));
            server.closeAllConnections();
        },
    };
}
