/**
 * A minimal client for the platform's callers and operators: sends requests and records the answers.
 *
 * @module
 */

import { request } from "node:http";

export interface CallerAnswer {
    readonly id: string;
    /** Undefined when the connection broke before the answer began. */
    readonly status: number | undefined;
    readonly body: string;
    /** False when the answer was cut off. */
    readonly isComplete: boolean;
    readonly tookMs: number;
}

export interface CallerRequest {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly body?: string;
    readonly headers?: Record<string, string>;
    readonly deadlineMs?: number;
}

/** Sends one request on a new connection. */
export function send(address: string, callerRequest: CallerRequest): Promise<CallerAnswer> {
    const [host, port] = address.split(":");
    const startedAtMs = performance.now();
    const deadlineMs = callerRequest.deadlineMs ?? 4_000;
    return new Promise(resolve => {
        let status: number | undefined;
        let body = "";
        const finish = (isComplete: boolean) =>
            resolve({ id: callerRequest.id, status, body, isComplete, tookMs: performance.now() - startedAtMs });
        const clientRequest = request({
            host, port, method: callerRequest.method, path: callerRequest.path, agent: false, timeout: deadlineMs + 1_000,
            headers: {
                host: "shop.example", "api-key": "key-1", "zinnialanding-attempt-id": callerRequest.id, "zinnialanding-deadline-ms": String(deadlineMs),
                ...callerRequest.body === undefined ? {} : { "content-length": Buffer.byteLength(callerRequest.body) }, ...callerRequest.headers,
            },
        }, response => {
            status = response.statusCode;
            response.on("data", chunk => {
                body += String(chunk);
            });
            response.on("end", () => finish(response.complete));
            response.on("error", () => finish(false));
            response.on("aborted", () => finish(false));
        });
        clientRequest.on("timeout", () => clientRequest.destroy(new Error("request timed out")));
        clientRequest.on("error", () => finish(false));
        clientRequest.end(callerRequest.body);
    });
}

/** Returns the ids of the events in a stream's body, in order. */
export function eventIds(body: string): number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

/** A platform configuration with one plain service and one pool of engines that serves one model of `size`. */
export function configurationText(
    version: number,
    overrides: {
        readonly size?: number; readonly slots?: number; readonly routes?: readonly object[];
        /** Keys of the only organisation. */
        readonly keys?: readonly string[];
        /** Requests per second that a cold upstream bears; no limit by default. */
        readonly coldPerSecond?: number;
        /** Organisations beside the usual one. */
        readonly tenants?: readonly object[];
    } = {},
): string {
    const { keys = ["key-1"], coldPerSecond } = overrides;
    const cold = coldPerSecond === undefined ? {} : { coldStartS: 3, coldPerS: coldPerSecond };
    const route = { host: "shop.example", timeoutMs: 4_000, targetLatencyMs: 400, priority: 1, maxAttempts: 2 };
    const engine = {
        slots: overrides.slots ?? 8, models: [{ name: "lm", size: overrides.size ?? 2, share: 1, pace: 1, loadS: 1, warmS: 0.3 }], step_ms: 5, read_per_s: 10_000,
        usual: { prompt: 50, answer: 30 }, loadsPerS: 3, loads_at_once: 4, formMs: 100,
    };
    return JSON.stringify({
        version,
        routes: [
            { ...route, name: "charge", pathPrefix: "/charge/", kind: "non_idempotent", service: "orders" },
            { ...route, name: "read", pathPrefix: "/read/", kind: "idempotent", service: "orders" },
            { ...route, name: "caption", pathPrefix: "/caption/", kind: "streaming", service: "pool", resumeStreams: true, targetGapMs: 300 },
            ...overrides.routes ?? [],
        ],
        services: [{ name: "orders", maxConns: 50, ...cold }, { name: "pool", maxConns: 50, engine, ...cold }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "studio", apiKeys: keys, priority: 1 }, ...overrides.tenants ?? []],
    });
}

/** Calls a control daemon's HTTP API; the status is undefined when no answer arrived. */
export async function callControlDaemon(address: string, method: "GET" | "POST", path: string, body?: string | Buffer): Promise<{ status: number | undefined; text: string }> {
    const answer = await fetch(`http://${address}${path}`, {
        method, signal: AbortSignal.timeout(1_500), ...body === undefined ? {} : { body, headers: { "content-type": "application/json" } },
    }).catch(() => undefined);
    return { status: answer?.status, text: await answer?.text().catch(() => "") ?? "" };
}
