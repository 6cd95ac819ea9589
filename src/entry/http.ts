/**
 * The callers' HTTP listener.
 *
 * @module
 */

import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import type { Server } from "node:tls";
import type { Organisation, Service } from "../cluster/index.js";
import { createGracefulListener } from "../http/index.js";
import { splitAddress } from "../rpc/index.js";
import type { Session } from "../session/index.js";
import { authenticate, classOf } from "./caller.js";
import { type Completion, joinParts, parseCompletion, promptOf } from "./completion.js";
import { badRequest, problemDocument, ProblemError, unavailable } from "./problem.js";
import type { Answer } from "./answer.js";
import type { Ask } from "./ask.js";
import type { Runner } from "./runner.js";

const maxHeaderBytes = 16_384;
/** A caller that has not sent its headers by then is cut off: held open, slow connections use up descriptors. Callers need some ms. */
const defaultHeaderTimeoutMs = 5_000;
/** How often the server looks for such callers, in parts of the timeout. */
const headerChecks = 5;
/** What a caller may take to read its last answer before its connection is cut off. */
const closeLingerMs = 5_000;
/** Answers name the request by it, for `zinnia trace`. */
const requestIdHeader = "zinnialanding-request-id";
const passedHeaders = new Set(["content-type", "accept", "accept-language"]);
/** Callers' own headers go to the upstream. */
const ownHeaderPrefix = "x-";

export interface EntryHttpOptions {
    readonly listen: string;
    readonly maxBodyBytes: number;
    readonly session: () => Session;
    readonly runner: Runner;
    readonly ready: () => boolean;
    /** Bounds how long a caller may take to send its headers. */
    readonly headerTimeoutMs?: number;
    readonly tls?: { readonly cert: string; readonly key: string };
}

export interface EntryHttp {
    readonly address: string;
    /** Replaces the certificate for new connections. */
    reload(tls: { readonly cert: string; readonly key: string }): void;
    /** From now on connections end with the answers that they carry. */
    drain(): void;
    /** Takes no new work and resolves when what runs is answered. */
    stop(): Promise<void>;
}

function header(request: FastifyRequest, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function organisationOf(options: EntryHttpOptions, request: FastifyRequest): Organisation {
    return authenticate(options.session().view.configuration, request.headers.authorization);
}

function askOf(
    options: EntryHttpOptions, request: FastifyRequest, organisation: Organisation, serves: (service: Service) => boolean,
): Omit<Ask, "method" | "path" | "body"> {
    const { configuration } = options.session().view;
    const { serviceClass, service } = classOf(configuration, header(request, "service-class"), serves);
    const headers = Object.entries(request.headers)
        .filter(([name, value]) => (passedHeaders.has(name) || name.startsWith(ownHeaderPrefix)) && typeof value === "string")
        .map(([name, value]) => ({ name, value: value as string }));
    return {
        organisation,
        serviceClass,
        service,
        headers,
        idempotencyKey: header(request, "idempotency-key"),
        idempotent: header(request, "idempotent"),
        traceparent: header(request, "traceparent"),
    };
}

async function sendStream(reply: FastifyReply, answer: Answer) {
    reply.hijack();
    const { raw } = reply;
    raw.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache", [requestIdHeader]: answer.requestId });
    const decoder = new TextDecoder();
    try {
        for await (const data of answer.chunks) {
            raw.write(`data: ${decoder.decode(data)}\n\n`);
        }
        raw.end("data: [DONE]\n\n");
    }
    catch (error) {
        const problem = error instanceof ProblemError ? error.problem : { code: "internal", execution: "unknown" };
        raw.end(`event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`);
    }
}

async function collect(chunks: AsyncIterable<Uint8Array>): Promise<Buffer[]> {
    const parts: Buffer[] = [];
    for await (const chunk of chunks) {
        parts.push(Buffer.from(chunk));
    }
    return parts;
}

function maxTokensOf({ max_tokens: maxTokens }: Completion): { maxTokens?: number } {
    return maxTokens === undefined ? {} : { maxTokens };
}

/** The engine's own refusal, passed on as it is. */
async function sendWhole(reply: FastifyReply, answer: Answer) {
    const whole = Buffer.concat(await collect(answer.chunks));
    answer.headers.forEach(({ name, value }) => void reply.header(name, value));
    return reply.code(answer.status).header(requestIdHeader, answer.requestId).send(whole);
}

/** Throws a 404 problem for a model that no service has. */
function checkModel(services: readonly Service[], model: string, serves: (service: Service) => boolean) {
    if (!services.some(serves)) {
        const known = services.flatMap(service => service.model ?? []).join(", ");
        throw badRequest("unknown-model", `No service has the model "${model}"`, `model: one of ${known}`, 404);
    }
}

async function complete(options: EntryHttpOptions, request: FastifyRequest, reply: FastifyReply, isChat: boolean) {
    const organisation = organisationOf(options, request);
    const completion: Completion = parseCompletion(request.body, isChat);
    const serves = (service: Service) => service.kind === "model" && (service.model === undefined || service.model === completion.model);
    checkModel(options.session().view.configuration.services, completion.model, serves);
    const ask = askOf(options, request, organisation, serves);
    const body = Buffer.from(JSON.stringify({ ...completion, stream: true }));
    const path = isChat ? "/v1/chat/completions" : "/v1/completions";
    const work = { model: completion.model, prompt: promptOf(completion), eventStream: completion.stream, ...maxTokensOf(completion) };
    const answer = await options.runner.run({ ...ask, ...work, method: "POST", path, body }, closeSignal(reply));
    if (answer.status >= 400) {
        return sendWhole(reply, answer);
    }
    if (completion.stream) {
        return sendStream(reply, answer);
    }
    const parts = await collect(answer.chunks);
    return reply.header(requestIdHeader, answer.requestId).send(joinParts(parts.map(part => part.toString()), isChat));
}

async function callService(options: EntryHttpOptions, request: FastifyRequest<{ Params: { name: string; "*": string } }>, reply: FastifyReply) {
    const organisation = organisationOf(options, request);
    const ask = askOf(options, request, organisation, service => service.kind === "plain" && service.name === request.params.name);
    const body = request.body === undefined ? Buffer.alloc(0) : request.body as Buffer;
    const query = request.url.includes("?") ? request.url.slice(request.url.indexOf("?")) : "";
    const path = `/${request.params["*"]}${query}`;
    const answer = await options.runner.run({ ...ask, method: request.method, path, body }, closeSignal(reply));
    return sendWhole(reply, answer);
}

function closeSignal(reply: FastifyReply): AbortSignal {
    const abort = new AbortController();
    reply.raw.once("close", () => {
        if (!reply.raw.writableFinished) {
            abort.abort();
        }
    });
    return abort.signal;
}

function sendError(error: unknown, reply: FastifyReply) {
    const known = error instanceof ProblemError ? error : asProblem(error as { statusCode?: number; code?: string; message: string });
    const { headers, body } = problemDocument(known.problem);
    return reply.code(known.problem.status).headers(headers).send(body);
}

function asProblem(error: { statusCode?: number; code?: string; message: string }): ProblemError {
    const status = error.statusCode ?? 500;
    if (status >= 500) {
        return new ProblemError({ status, code: "internal", title: "The entry failed", execution: "unknown" });
    }
    return badRequest(status === 413 ? "body-too-large" : "malformed-body", error.message, undefined, status);
}

/** Starts the listener. */
export async function createEntryHttp(options: EntryHttpOptions): Promise<EntryHttp> {
    const headersTimeout = options.headerTimeoutMs ?? defaultHeaderTimeoutMs;
    const http = { maxHeaderSize: maxHeaderBytes, headersTimeout, connectionsCheckingInterval: headersTimeout / headerChecks };
    let isStopping = false;
    const listener = createGracefulListener({ http, tls: options.tls, closeLingerMs });
    const app = fastify({
        bodyLimit: options.maxBodyBytes, serverFactory: listener.serverFactory, return503OnClosing: false,
    }) as FastifyInstance;
    app.addHook("onRequest", async () => {
        if (isStopping) {
            throw unavailable("stopping", "This entry is stopping", 0);
        }
    });
    app.setErrorHandler((error, _request, reply) => sendError(error, reply));
    app.setNotFoundHandler((_request, reply) => sendError(badRequest("unknown-path", "No such path", undefined, 404), reply));
    app.get("/healthz", () => ({ ok: true }));
    app.get("/readyz", (_request, reply) => reply.code(options.ready() ? 200 : 503).send({ ready: options.ready() }));
    app.get("/v1/models", request => {
        const { configuration } = options.session().view;
        organisationOf(options, request);
        const models = new Set(configuration.services.flatMap(service => service.model ?? []));
        return { object: "list", data: [...models].map(id => ({ id, object: "model" })) };
    });
    app.post("/v1/chat/completions", (request, reply) => complete(options, request, reply, true));
    app.post("/v1/completions", (request, reply) => complete(options, request, reply, false));
    await app.register(async services => {
        services.removeAllContentTypeParsers();
        services.addContentTypeParser("*", { parseAs: "buffer" }, async (_request: FastifyRequest, body: Buffer) => body);
        services.all<{ Params: { name: string; "*": string } }>("/v1/services/:name/*", (request, reply) => callService(options, request, reply));
    });
    const { host, port } = splitAddress(options.listen);
    const url = await app.listen({ host, port });
    return {
        address: url.replace(/^https?:\/\//, ""),
        reload: ({ cert, key }) => (app.server as unknown as Partial<Server>).setSecureContext?.({ cert, key }),
        drain: () => listener.drain(),
        async stop() {
            isStopping = true;
            listener.drain();
            await Promise.race([app.close(), listener.settled()]);
        },
    };
}
