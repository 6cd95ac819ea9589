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
import { type RequestParts, startRequest } from "./request.js";

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
    close(): void;
}

export interface ServerParts extends RequestParts {
    /** A request was refused before an upstream was chosen. */
    refusedEarly(status: number): void;
}

/** Listens for callers. */
export async function listenForCallers(address: string, parts: ServerParts): Promise<GatewayServer> {
    let isDraining = false;
    let running = 0;

    async function serve(message: IncomingMessage, response: ServerResponse) {
        const attemptId = headerOf(message, parts.names.attemptId);
        const state: { request: ReturnType<typeof startRequest> | undefined; hasLeft: boolean } = { request: undefined, hasLeft: false };
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
        running++;
        response.once("close", () => running--);
        const { limits } = parts.view.table?.site ?? {};
        if (limits !== undefined) {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
        }
        serve(message, response).catch((error: Error) => {
            parts.logger.info("request broke off", { request: headerOf(message, parts.names.attemptId), error: error.message });
            response.destroy();
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
        drain() {
            isDraining = true;
        },
        closeListener() {
            server.close();
            server.closeIdleConnections();
        },
        get running() {
            return running;
        },
        close() {
            server.closeAllConnections();
        },
    };
}
