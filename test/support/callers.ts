/**
 * Sends requests to a site's entries on behalf of callers, for tests.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { request } from "undici";
import type { Site } from "../../bench/site.js";
import { expectedAnswer } from "../../standin/index.js";

/** The final result of a caller's request. */
export interface CallResult {
    readonly status: number;
    readonly code: string | undefined;
    readonly execution: string | undefined;
    readonly retryAfterMs: number | undefined;
    /** Text of the completion, or the raw response body. */
    readonly text: string;
    /** True if the stream ended with `[DONE]` or the body arrived completely. */
    readonly done: boolean;
}

interface StreamPart {
    readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
    readonly error?: { readonly code: string; readonly execution: string; readonly retryAfterMs?: number };
}

export interface CompletionOptions {
    readonly entry?: number;
    readonly maxTokens?: number;
    /** A system message before the prompt. */
    readonly system?: string;
    readonly signal?: AbortSignal;
    /** Called after each token with the number of tokens so far. */
    readonly onToken?: (count: number) => void;
}

/** Returns the complete text that the stand-in engine generates for a prompt. */
export function expectedText(prompt: string, maxTokens: number): string {
    return expectedAnswer(`user: ${prompt}`, maxTokens);
}

function callerHeaders(site: Site): Record<string, string> {
    return { authorization: `Bearer ${site.callerKeys["studio-norte"]}`, "content-type": "application/json" };
}

function parseRefusal(status: number, body: string): CallResult {
    const { code, execution, retryAfterMs } = JSON.parse(body) as CallResult;
    return { status, code, execution, retryAfterMs, text: body, done: false };
}

/** Sends a streaming chat completion request and reads the stream to its end. */
export async function sendCompletion(site: Site, prompt: string, options: CompletionOptions = {}): Promise<CallResult> {
    const { entry = 0, maxTokens = 40, system, signal, onToken } = options;
    const messages = [...system === undefined ? [] : [{ role: "system", content: system }], { role: "user", content: prompt }];
    const response = await request(`http://${site.entries[entry]!.callers}/v1/chat/completions`, {
        method: "POST",
        headers: callerHeaders(site),
        body: JSON.stringify({ model: "standin", stream: true, max_tokens: maxTokens, messages }),
        signal,
    });
    if (response.statusCode !== 200) {
        return parseRefusal(response.statusCode, await response.body.text());
    }
    let text = "";
    let tokens = 0;
    let buffered = "";
    let done = false;
    let error: StreamPart["error"];
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        buffered += chunk.toString();
        const blocks = buffered.split("\n\n");
        buffered = blocks.pop()!;
        for (const block of blocks) {
            const payload = block.slice(block.indexOf("data: ") + "data: ".length);
            done ||= payload === "[DONE]";
            const part = payload === "[DONE]" ? {} : JSON.parse(payload) as StreamPart;
            error ??= part.error;
            const content = part.choices?.[0]?.delta?.content ?? "";
            text += content;
            if (content !== "") {
                onToken?.(++tokens);
            }
        }
    }
    return { status: 200, code: error?.code, execution: error?.execution, retryAfterMs: error?.retryAfterMs, text, done };
}

export interface OrderOptions {
    readonly entry?: number;
    /** The caller's idempotency key; no header is sent if undefined. */
    readonly key?: string;
    readonly body?: string;
    readonly delayMs?: number;
    readonly signal?: AbortSignal;
}

/** Sends an order to the plain service, which counts its runs under `runKey`. */
export async function sendOrder(site: Site, runKey: string, options: OrderOptions = {}): Promise<CallResult> {
    const { entry = 0, key, delayMs = 0, signal } = options;
    const response = await request(`http://${site.entries[entry]!.callers}/v1/services/orders/orders`, {
        method: "POST",
        headers: {
            ...callerHeaders(site),
            "service-class": "print-order",
            "x-run-key": runKey,
            "x-delay-ms": String(delayMs),
            ...(key === undefined ? {} : { "idempotency-key": key }),
        },
        body: options.body ?? JSON.stringify({ marker: runKey }),
        signal,
    });
    const body = await response.body.text();
    return response.statusCode < 300
        ? { status: response.statusCode, code: undefined, execution: "ran", retryAfterMs: undefined, text: body, done: true }
        : parseRefusal(response.statusCode, body);
}

/** Fetches the number of runs per run key from one plain upstream. */
export async function fetchRunCounts(address: string): Promise<Record<string, number>> {
    const response = await request(`http://${address}/counts`);
    return (await response.body.json() as { byKey: Record<string, number> }).byKey;
}

/** Creates an idempotency key: a version 7 UUID with the given timestamp. */
export function newIdempotencyKey(timeMs = Date.now()): string {
    const time = timeMs.toString(16).padStart(12, "0");
    const random = randomBytes(9).toString("hex");
    return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-8${random.slice(3, 6)}-${random.slice(6, 18)}`;
}
