/**
 * The HTTP listener for callers.
 *
 * @module
 */

import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import type { Server } from "node:tls";
import type { Organisation, Service } from "../cluster/index.js";
import { createGracefulListener } from "../http/index.js";
import { splitAddress } from "../rpc/index.js";
import type { Session } from "../session/index.js";
import { authenticate, resolveClass } from "./caller.js";
import { type Completion, joinParts, parseCompletion, promptOf, sharedPartsOf } from "./completion.js";
import { badRequest, problemDocument, ProblemError, unavailable } from "./problem.js";
import type { Answer } from "./answer.js";
import type { CallerRequest } from "./callerRequest.js";
import type { Runner } from "./runner.js";

const maxHeaderBytes = 16_384;
/**
 * A connection whose caller has not sent its headers within this time is closed, since slow or stalled callers would otherwise exhaust the
 * file descriptors. Well-behaved callers send their headers within milliseconds.
 */
const defaultHeaderTimeoutMs = 5_000;
/** The number of checks for header timeouts per timeout period. */
const headerChecksPerTimeout = 5;
/** How long a caller may take to read its last answer before its connection is closed. */
const closeLingerMs = 5_000;
/** Carries the request id in answers, for `zinnia trace`. */
const requestIdHeader = "zinnialanding-request-id";
const maxEchoedChars = 200;
const forwardedHeaders = new Set(["content-type", "accept", "accept-language"]);
/** Callers' headers with this prefix are forwarded to the upstream. */
const customHeaderPrefix = "x-";

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
    reloadCertificate(tls: { readonly cert: string; readonly key: string }): void;
    /** From now on closes each connection after its current answer. */
    drain(): void;
    /** Stops accepting requests and resolves once the running ones are answered. */
    stop(): Promise<void>;
}

function header(request: FastifyRequest, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function organisationOf(options: EntryHttpOptions, request: FastifyRequest): Organisation {
    return authenticate(options.session().view.configuration, request.headers.authorization);
}

function toCallerRequest(
    options: EntryHttpOptions, request: FastifyRequest, organisation: Organisation, serves: (service: Service) => boolean,
): Omit<CallerRequest, "method" | "path" | "body"> {
    const { configuration } = options.session().view;
    const { serviceClass, service } = resolveClass(configuration, header(request, "service-class"), serves);
    const headers = Object.entries(request.headers)
        .filter(([name, value]) => (forwardedHeaders.has(name) || name.startsWith(customHeaderPrefix)) && typeof value === "string")
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

/** Sends a buffered answer with the upstream's own status and headers. */
async function sendBuffered(reply: FastifyReply, answer: Answer) {
    const body = Buffer.concat(await collect(answer.chunks));
    answer.headers.forEach(({ name, value }) => void reply.header(name, value));
    return reply.code(answer.status).header(requestIdHeader, answer.requestId).send(body);
}

/** Throws a 404 problem if no service offers the model. */
function checkModel(services: readonly Service[], model: string, serves: (service: Service) => boolean) {
    if (!services.some(serves)) {
        const known = services.flatMap(service => service.model ?? []).join(", ");
        throw badRequest("unknown-model", `No service has the model "${model.slice(0, maxEchoedChars)}"`, `model: one of ${known}`, 404);
    }
}

async function handleCompletion(options: EntryHttpOptions, request: FastifyRequest, reply: FastifyReply, isChat: boolean) {
    const organisation = organisationOf(options, request);
    const completion: Completion = parseCompletion(request.body, isChat);
    const serves = (service: Service) => service.kind === "model" && (service.model === undefined || service.model === completion.model);
    checkModel(options.session().view.configuration.services, completion.model, serves);
    const callerRequest = toCallerRequest(options, request, organisation, serves);
    const body = Buffer.from(JSON.stringify({ ...completion, stream: true }));
    const path = isChat ? "/v1/chat/completions" : "/v1/completions";
    const modelFields = {
        model: completion.model, prompt: promptOf(completion), sharedParts: sharedPartsOf(completion), eventStream: completion.stream,
        ...maxTokensOf(completion),
    };
    const answer = await options.runner.run({ ...callerRequest, ...modelFields, method: "POST", path, body }, closeSignal(reply));
    if (answer.status >= 400) {
        return sendBuffered(reply, answer);
    }
    if (completion.stream) {
        return sendStream(reply, answer);
    }
    const parts = await collect(answer.chunks);
    return reply.header(requestIdHeader, answer.requestId).send(joinParts(parts.map(part => part.toString()), isChat));
}

async function handleServiceCall(
    options: EntryHttpOptions, request: FastifyRequest<{ Params: { name: string; "*": string } }>, reply: FastifyReply,
) {
    const organisation = organisationOf(options, request);
    const callerRequest = toCallerRequest(
        options, request, organisation, service => service.kind === "plain" && service.name === request.params.name,
    );
    const body = request.body === undefined ? Buffer.alloc(0) : request.body as Buffer;
    const query = request.url.includes("?") ? request.url.slice(request.url.indexOf("?")) : "";
    const path = `/${request.params["*"]}${query}`;
    const answer = await options.runner.run({ ...callerRequest, method: request.method, path, body }, closeSignal(reply));
    return sendBuffered(reply, answer);
}

function closeSignal(reply: FastifyReply): AbortSignal {
    const abortController = new AbortController();
    reply.raw.once("close", () => {
        if (!reply.raw.writableFinished) {
            abortController.abort();
        }
    });
    return abortController.signal;
}

function sendError(error: unknown, reply: FastifyReply) {
    const problemError = error instanceof ProblemError
        ? error
        : asProblem(error as { statusCode?: number; code?: string; message: string });
    const { headers, body } = problemDocument(problemError.problem);
    return reply.code(problemError.problem.status).headers(headers).send(body);
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
    const http = { maxHeaderSize: maxHeaderBytes, headersTimeout, connectionsCheckingInterval: headersTimeout / headerChecksPerTimeout };
    let isStopping = false;
    const listener = createGracefulListener({ http, tls: options.tls, closeLingerMs });
    const app = fastify({
        bodyLimit: options.maxBodyBytes, serverFactory: listener.serverFactory, return503OnClosing: false,
        clientErrorHandler: listener.clientErrorHandler,
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
    app.post("/v1/chat/completions", (request, reply) => handleCompletion(options, request, reply, true));
    app.post("/v1/completions", (request, reply) => handleCompletion(options, request, reply, false));
    await app.register(async services => {
        services.removeAllContentTypeParsers();
        services.addContentTypeParser("*", { parseAs: "buffer" }, async (_request: FastifyRequest, body: Buffer) => body);
        services.all<{ Params: { name: string; "*": string } }>("/v1/services/:name/*", (request, reply) => handleServiceCall(options, request, reply));
    });
    const { host, port } = splitAddress(options.listen);
    const url = await app.listen({ host, port });
    return {
        address: url.replace(/^https?:\/\//, ""),
        reloadCertificate: ({ cert, key }) => (app.server as unknown as Partial<Server>).setSecureContext?.({ cert, key }),
        drain: () => listener.drain(),
        async stop() {
            isStopping = true;
            listener.drain();
            await Promise.race([app.close(), listener.settled()]);
        },
    };
}
