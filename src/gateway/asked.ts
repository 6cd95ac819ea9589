/**
 * One request as a caller has sent it, read and checked: what every later decision is made from.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Route, SiteTable } from "../site/index.js";
import type { HeaderNames } from "./headers.js";

/** A request that may be served. */
export interface Asked {
    readonly attemptId: string;
    readonly method: string;
    /** Path and query as sent. */
    readonly path: string;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly table: SiteTable;
    readonly organisation: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly model: string | undefined;
    readonly promptTokens: number;
    /** Tokens of the answer, at most. */
    readonly answerTokens: number;
    readonly arrivedAtMs: number;
    /** When the caller stops waiting. */
    readonly deadlineAtMs: number;
    /** When the answer must be final: the caller's deadline or the route's timeout, whichever is sooner. */
    readonly giveUpAtMs: number;
}

/** A request that is refused before any upstream is chosen. */
export interface Refused {
    readonly status: 400 | 401 | 404 | 413 | 431 | 503;
    readonly reason: string;
    readonly retryAfterMs?: number;
}

export function headerOf(message: IncomingMessage, name: string): string | undefined {
    const value = message.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

/** A whole number of at least 0; undefined for anything else. */
function readCount(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,12}(?:\.\d+)?$/.test(text.trim()) ? Number(text) : undefined;
}

function headerBytes(raw: readonly string[]): number {
    return raw.reduce((sum, part) => sum + part.length + 2, 0);
}

/** Chooses route and organisation; the body is read afterwards. */
export function readHead(
    message: IncomingMessage, names: HeaderNames, table: SiteTable, nowMs: number,
): { readonly refused: Refused } | { readonly asked: Omit<Asked, "body"> } {
    const refuse = (status: Refused["status"], reason: string) => ({ refused: { status, reason } });
    if (headerBytes(message.rawHeaders) > table.site.limits.maxHeaderBytes) {
        return refuse(431, "the headers are too large");
    }
    const host = message.headers.host;
    const target = message.url ?? "/";
    const query = target.indexOf("?");
    const route = host === undefined ? undefined : table.route(host, query < 0 ? target : target.slice(0, query));
    if (route === undefined) {
        return refuse(404, "no route has this host and path");
    }
    const key = headerOf(message, names.key);
    const holder = key === undefined ? undefined : table.holder(key);
    if (table.asksForKey(route) && holder === undefined) {
        return refuse(401, key === undefined ? "a key is needed" : "no organisation holds this key");
    }
    const attemptId = headerOf(message, names.attemptId);
    if (attemptId === undefined) {
        return refuse(400, `the header ${names.attemptId} is missing`);
    }
    const deadlineMs = readCount(headerOf(message, names.deadlineMs)) ?? route.timeoutMs;
    const [prompt, answer] = (headerOf(message, names.tokens) ?? "").split(",");
    return {
        asked: {
            attemptId,
            method: message.method ?? "GET",
            path: target,
            rawHeaders: message.rawHeaders,
            route,
            table,
            organisation: holder?.organisation,
            priority: holder?.priority ?? route.priority,
            model: headerOf(message, names.model),
            promptTokens: readCount(prompt) ?? 0,
            answerTokens: readCount(answer) ?? 0,
            arrivedAtMs: nowMs,
            deadlineAtMs: nowMs + deadlineMs,
            giveUpAtMs: nowMs + Math.min(deadlineMs, route.timeoutMs),
        },
    };
}

/** Reads the body whole; undefined when it is larger than `maxBytes`. Rejects when the caller breaks off. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        function take(chunk: Buffer) {
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > maxBytes) {
                // Not an iterator: left early it destroys the message, and nothing more is read on its connection.
                message.off("data", take);
                resolve(undefined);
            }
        }
        message.on("data", take);
        message.once("end", () => resolve(Buffer.concat(chunks)));
        message.once("error", reject);
        message.once("close", () => reject(new Error("the caller broke off")));
    });
}
