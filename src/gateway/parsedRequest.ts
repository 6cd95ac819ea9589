/**
 * Parses and checks a caller's request: its route, organisation, deadline and body.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Route, SiteTable } from "../site/index.js";
import type { HeaderNames } from "./headers.js";
import type { BodyReading, Holder } from "./memory/index.js";
import { malformedReason } from "./sendable.js";
import { parseSharedParts } from "./sharedParts.js";

/** A request that has passed all checks. */
export interface ParsedRequest {
    readonly attemptId: string;
    readonly method: string;
    /** Path and query, unchanged. */
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
    /** Ids of the parts of the prompt that other requests may have too, each once. */
    readonly sharedParts: readonly string[];
    /** Maximum number of tokens of the answer. */
    readonly answerTokens: number;
    readonly arrivedAtMs: number;
    /** When the caller stops waiting. */
    readonly deadlineAtMs: number;
    /** When the answer must be final: at the caller's deadline or the route's timeout, whichever is sooner. */
    readonly giveUpAtMs: number;
}

/** Whether a request on `route` may be sent again although it may have run. */
export function isRepeatable(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}

/** How long an answer that was sent before the end of its request's body waits for the rest of the body. */
const lingerMs = 1_000;

/** The refusal of a request before an upstream is chosen. */
export interface Refusal {
    readonly status: 400 | 401 | 404 | 413 | 431 | 503;
    readonly reason: string;
    readonly retryAfterMs?: number;
}

export function messageHeader(message: IncomingMessage, name: string): string | undefined {
    const value = message.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

/** Parses a non-negative decimal number. Returns undefined for anything else. */
function parseNumber(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,12}(?:\.\d+)?$/.test(text.trim()) ? Number(text) : undefined;
}

/** Returns the size of a head's headers in bytes. */
export function headersSize(raw: readonly string[]): number {
    return raw.reduce((sum, part) => sum + part.length + 2, 0);
}

/** Parses the head of a request and determines its route and organisation. The body is read separately. */
export function readHead(
    message: IncomingMessage, names: HeaderNames, table: SiteTable, nowMs: number,
): { readonly refused: Refusal } | { readonly request: Omit<ParsedRequest, "body"> } {
    const refuse = (status: Refusal["status"], reason: string) => ({ refused: { status, reason } });
    if (headersSize(message.rawHeaders) > table.site.limits.maxHeaderBytes) {
        return refuse(431, "the headers are too large");
    }
    const malformed = malformedReason(message, names);
    if (malformed !== undefined) {
        return refuse(400, malformed);
    }
    const host = message.headers.host;
    const target = message.url ?? "/";
    const query = target.indexOf("?");
    const route = host === undefined ? undefined : table.route(host, query < 0 ? target : target.slice(0, query));
    if (route === undefined) {
        return refuse(404, "no route has this host and path");
    }
    const key = messageHeader(message, names.key);
    const holder = key === undefined ? undefined : table.keyHolder(key);
    if (table.requiresKey(route) && holder === undefined) {
        return refuse(401, key === undefined ? "a key is needed" : "no organisation holds this key");
    }
    const attemptId = messageHeader(message, names.attemptId);
    if (attemptId === undefined) {
        return refuse(400, `the header ${names.attemptId} is missing`);
    }
    const deadlineMs = parseNumber(messageHeader(message, names.deadlineMs)) ?? route.timeoutMs;
    const [prompt, answer] = (messageHeader(message, names.tokens) ?? "").split(",");
    return {
        request: {
            attemptId,
            method: message.method ?? "GET",
            path: target,
            rawHeaders: message.rawHeaders,
            route,
            table,
            organisation: holder?.organisation,
            priority: holder?.priority ?? route.priority,
            model: messageHeader(message, names.model),
            promptTokens: parseNumber(prompt) ?? 0,
            sharedParts: parseSharedParts(messageHeader(message, names.promptParts)),
            answerTokens: parseNumber(answer) ?? 0,
            arrivedAtMs: nowMs,
            deadlineAtMs: nowMs + deadlineMs,
            giveUpAtMs: nowMs + Math.min(deadlineMs, route.timeoutMs),
        },
    };
}

/** Whether the request has a body that is not empty. */
export function hasContent({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}

export interface BodyOptions {
    readonly maxBytes: number;
    readonly holder: Holder;
    /** A body that is not complete by then is given up. Infinity: it is waited for as long as the caller stays. */
    readonly giveUpInMs: number;
}

/**
 * Reads the complete body; rejects if the caller disconnects. `too-late`: a paused connection doesn't show that its caller has left, so the
 * time is bounded.
 */
export function readBody(message: IncomingMessage, { maxBytes, holder, giveUpInMs }: BodyOptions): Promise<Buffer | "too-large" | "too-late"> {
    return new Promise((resolve, reject) => {
        let chunks: Buffer[] = [];
        let bytes = 0;
        const timer = giveUpInMs < Infinity ? setTimeout(() => drop("too-late"), giveUpInMs) : undefined;
        function drop(result: "too-large" | "too-late" | Error) {
            clearTimeout(timer);
            // An async iterator can't be used: leaving it early destroys the message, and nothing more is read on its connection.
            message.off("data", onData);
            chunks = [];
            reading.dropped();
            if (result instanceof Error) {
                reject(result);
            }
            else {
                resolve(result);
            }
        }
        function onData(chunk: Buffer) {
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > maxBytes) {
                drop("too-large");
                return;
            }
            reading.received(chunk.length);
        }
        message.on("data", onData);
        const expectedBytes = hasContent(message) ? Math.min(maxBytes, Number(message.headers["content-length"] ?? maxBytes)) : 0;
        const reading: BodyReading = holder.readBody({ pause: () => message.pause(), resume: () => message.resume() }, expectedBytes);
        message.once("end", () => {
            clearTimeout(timer);
            reading.completed();
            resolve(Buffer.concat(chunks));
        });
        message.once("error", drop);
        message.once("close", () => drop(new Error("the caller disconnected before the end of the body")));
    });
}

/** Calls back once `message` has been read completely, its caller has disconnected, or the wait for the rest has timed out. */
export function whenBodyRead(message: IncomingMessage, callback: () => void) {
    if (message.complete || message.destroyed) {
        callback();
        return;
    }
    const timer = setTimeout(onDone, lingerMs);
    function onDone() {
        clearTimeout(timer);
        message.off("end", onDone).off("close", onDone);
        callback();
    }
    message.once("end", onDone).once("close", onDone);
    message.resume();
}
