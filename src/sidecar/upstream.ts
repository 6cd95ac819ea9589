/**
 * Runs one request at the upstream and converts its answer into events: the head, then a chunk for each server-sent event of a model or
 * for each part of a plain body.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import { maxInformationalAnswers, maxStatus } from "../http/index.js";
import type { Header, RunRequest } from "../rpc/index.js";
import type { Engine } from "./engine.js";
import { createBlockSplitter } from "./eventBlocks.js";

/** An event of the upstream's answer. */
export type UpstreamEvent =
    | { readonly kind: "started"; readonly status: number; readonly headers: readonly { readonly name: string; readonly value: string }[] }
    | { readonly kind: "chunk"; readonly data: Uint8Array };

/** The upstream was unreachable or broke the answer off. `mayHaveReached`: whether any byte of the request may have arrived there. */
export class UpstreamError extends Error {
    override readonly name = "UpstreamError";
    constructor(readonly mayHaveReached: boolean, cause: unknown) {
        super(cause instanceof Error ? cause.message : "the upstream broke off", { cause });
    }
}

const hopByHopHeaders = new Set(["connection", "keep-alive", "transfer-encoding", "content-length", "host", "upgrade", "te", "trailer"]);
const connectFailureCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);
const doneMarker = "[DONE]";
/** An event of this size is taken for one without end. It is far above what engines put into an event. */
const maxEventChars = 1_048_576;

function forwardedHeaders(headers: readonly Header[]): Record<string, string> {
    return Object.fromEntries(headers.filter(header => !hopByHopHeaders.has(header.name)).map(({ name, value }) => [name, value]));
}

function answerHeaders(answer: Dispatcher.ResponseData): { name: string; value: string }[] {
    return Object.entries(answer.headers)
        .filter(([name]) => !hopByHopHeaders.has(name))
        .flatMap(([name, value]) => value === undefined ? [] : [{ name, value: Array.isArray(value) ? value.join(", ") : value }]);
}

/** Yields the data of each server-sent event up to the `[DONE]` marker; throws if the body ends without it. */
async function* serverSentData(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
    const decoder = new TextDecoder();
    const encoder = new TextEncoder();
    const splitter = createBlockSplitter();
    for await (const part of body) {
        const blocks = splitter.push(decoder.decode(part, { stream: true }));
        if (splitter.partialChars > maxEventChars) {
            throw new Error("an event is too large");
        }
        for (const block of blocks) {
            if (!block.startsWith("data:")) {
                continue;
            }
            const data = block.slice("data:".length).trim();
            if (data === doneMarker) {
                return;
            }
            yield encoder.encode(data);
        }
    }
    throw new Error("the stream ended without its closing mark");
}

/** Returns the body, extended by the text to continue from if another engine has already produced part of the answer. */
function requestBody(run: RunRequest): Uint8Array | string | undefined {
    if (run.continueText !== "") {
        const body = JSON.parse(new TextDecoder().decode(run.body)) as Record<string, unknown>;
        return JSON.stringify({ ...body, continue_text: run.continueText });
    }
    return run.body.length === 0 ? undefined : run.body;
}

/** Whether only the end of the connection tells the end of an answer. */
function endsWithConnection({ headers }: Dispatcher.ResponseData): boolean {
    return headers["content-length"] === undefined && !/\bchunked\b/i.test(String(headers["transfer-encoding"]));
}

/** Runs the request; throws `UpstreamError` if the answer cannot be completed. It reads no faster than its events are taken. */
export async function* runUpstream(engine: Engine, run: RunRequest, signal: AbortSignal): AsyncGenerator<UpstreamEvent> {
    const connection = engine.connect();
    let hasResponse = false;
    let informationalAnswers = 0;
    try {
        const answer = await connection.client.request({
            path: run.path,
            method: run.method as Dispatcher.HttpMethod,
            headers: { ...forwardedHeaders(run.headers), "x-request-id": run.attemptId, ...(run.traceparent === "" ? {} : { traceparent: run.traceparent }) },
            body: requestBody(run),
            signal,
            onInfo() {
                informationalAnswers++;
                if (informationalAnswers > maxInformationalAnswers) {
                    throw new Error("too many informational answers");
                }
            },
            highWaterMark: Number.MAX_SAFE_INTEGER,
        });
        hasResponse = true;
        if (answer.statusCode > maxStatus) {
            throw new Error(`the upstream answered with status ${answer.statusCode}, which HTTP doesn't have`);
        }
        connection.pause();
        yield { kind: "started", status: answer.statusCode, headers: answerHeaders(answer) };
        connection.resume();
        const isEventStream = String(answer.headers["content-type"]).startsWith("text/event-stream");
        const parts = isEventStream ? serverSentData(answer.body) : answer.body as AsyncIterable<Uint8Array>;
        for await (const data of parts) {
            connection.pause();
            yield { kind: "chunk", data };
            connection.resume();
        }
        if (endsWithConnection(answer) && connection.wasReset) {
            throw new Error("the connection to the upstream was reset before the answer's end");
        }
    }
    catch (error) {
        const code = (error as { code?: string }).code ?? "";
        throw new UpstreamError(hasResponse || !connectFailureCodes.has(code), error);
    }
    finally {
        connection.close();
    }
}
