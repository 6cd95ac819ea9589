/**
 * Callers and operators of the platform, in small: they send, read and keep on record what came back.
 *
 * @module
 */

import { request } from "node:http";

export interface CallerAnswer {
    readonly id: string;
    /** Undefined: the connection broke before an answer began. */
    readonly status: number | undefined;
    readonly body: string;
    /** False: the answer broke off. */
    readonly isWhole: boolean;
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
export function send(address: string, asked: CallerRequest): Promise<CallerAnswer> {
    const [host, port] = address.split(":");
    const startedAtMs = performance.now();
    const deadlineMs = asked.deadlineMs ?? 4_000;
    return new Promise(resolve => {
        let status: number | undefined;
        let body = "";
        const done = (isWhole: boolean) => resolve({ id: asked.id, status, body, isWhole, tookMs: performance.now() - startedAtMs });
        const message = request({
            host, port, method: asked.method, path: asked.path, agent: false, timeout: deadlineMs + 1_000,
            headers: {
                host: "shop.example", "api-key": "key-1", "zinnialanding-attempt-id": asked.id, "zinnialanding-deadline-ms": String(deadlineMs),
                ...asked.body === undefined ? {} : { "content-length": Buffer.byteLength(asked.body) }, ...asked.headers,
            },
        }, response => {
            status = response.statusCode;
            response.on("data", chunk => {
                body += String(chunk);
            });
            response.on("end", () => done(response.complete));
            response.on("error", () => done(false));
            response.on("aborted", () => done(false));
        });
        message.on("timeout", () => message.destroy(new Error("no answer")));
        message.on("error", () => done(false));
        message.end(asked.body);
    });
}

/** The ids of the events in a stream's body, in order. */
export function eventIds(body: string): number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

/** A configuration of the platform with one plain service and one pool of engines with one model of `size`. */
export function configurationText(version: number, change: { readonly size?: number; readonly routes?: readonly object[] } = {}): string {
    const route = { host: "shop.example", timeoutMs: 4_000, targetLatencyMs: 400, priority: 1, maxAttempts: 2 };
    const engine = {
        slots: 8, models: [{ name: "lm", size: change.size ?? 2, share: 1, pace: 1, loadS: 1, warmS: 0.3 }], step_ms: 5, read_per_s: 10_000,
        usual: { prompt: 50, answer: 30 }, loadsPerS: 3, loads_at_once: 4, formMs: 100,
    };
    return JSON.stringify({
        version,
        routes: [
            { ...route, name: "charge", pathPrefix: "/charge/", kind: "non_idempotent", service: "orders" },
            { ...route, name: "read", pathPrefix: "/read/", kind: "idempotent", service: "orders" },
            { ...route, name: "caption", pathPrefix: "/caption/", kind: "streaming", service: "pool", resumeStreams: true, targetGapMs: 300 },
            ...change.routes ?? [],
        ],
        services: [{ name: "orders", maxConns: 50 }, { name: "pool", maxConns: 50, engine }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "studio", apiKeys: ["key-1"], priority: 1 }],
    });
}

/** Calls a control daemon; resolves to the status, or undefined where no answer came. */
export async function operate(address: string, method: "GET" | "POST", path: string, body?: string): Promise<{ status: number | undefined; text: string }> {
    const answer = await fetch(`http://${address}${path}`, {
        method, signal: AbortSignal.timeout(1_500), ...body === undefined ? {} : { body, headers: { "content-type": "application/json" } },
    }).catch(() => undefined);
    return { status: answer?.status, text: await answer?.text().catch(() => "") ?? "" };
}
