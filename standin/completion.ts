/**
 * The engine stand-in's completion routes, with streamed and non-streamed answers.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { z } from "zod";
import { countTokens, promptOf } from "./answer.js";
import type { Batch } from "./batch.js";

const completionSchema = z.object({
    model: z.string().optional(),
    prompt: z.string().optional(),
    messages: z.array(z.object({ role: z.string(), content: z.string() })).optional(),
    max_tokens: z.number().int().min(1).max(100_000).default(16),
    stream: z.boolean().default(false),
    priority: z.number().int().default(0),
    /** Text already produced by another engine; the answer continues after it. */
    continue_text: z.string().default(""),
});
type Completion = z.infer<typeof completionSchema>;

interface Answer {
    readonly id: string;
    readonly isChat: boolean;
    readonly model: string;
}

/** Creates the payload of one event of a stream; `finishReason` is set on the last event. */
function createChunk(answer: Answer, text: string, finishReason: string | undefined) {
    const choice = answer.isChat ? { delta: { content: text } } : { text };
    return {
        id: answer.id,
        object: answer.isChat ? "chat.completion.chunk" : "text_completion",
        model: answer.model,
        choices: [{ index: 0, ...choice, ...(finishReason === undefined ? {} : { finish_reason: finishReason }) }],
    };
}

function createCompletion(answer: Answer, text: string, tokens: number) {
    const choice = answer.isChat ? { message: { role: "assistant", content: text } } : { text };
    return {
        id: answer.id,
        object: answer.isChat ? "chat.completion" : "text_completion",
        model: answer.model,
        choices: [{ index: 0, ...choice, finish_reason: "length" }],
        usage: { completion_tokens: tokens },
    };
}

function streamAnswer(batch: Batch, answer: Answer, completion: Completion, reply: FastifyReply) {
    reply.hijack();
    const response = reply.raw;
    response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": answer.id });
    response.flushHeaders();
    response.on("close", () => batch.cancel(answer.id));
    batch.submit({
        id: answer.id,
        prompt: promptOf(completion),
        maxTokens: completion.max_tokens,
        skipTokens: countTokens(completion.continue_text),
        priority: completion.priority,
        onToken: text => response.write(`data: ${JSON.stringify(createChunk(answer, text, undefined))}\n\n`),
        onEnd(reason) {
            if (reason === "length") {
                response.write(`data: ${JSON.stringify(createChunk(answer, "", reason))}\n\ndata: [DONE]\n\n`);
            }
            response.end();
        },
    });
}

function sendWholeAnswer(batch: Batch, answer: Answer, completion: Completion, reply: FastifyReply): Promise<unknown> {
    return new Promise(resolve => {
        const tokens: string[] = [];
        reply.raw.on("close", () => batch.cancel(answer.id));
        batch.submit({
            id: answer.id,
            prompt: promptOf(completion),
            maxTokens: completion.max_tokens,
            skipTokens: countTokens(completion.continue_text),
            priority: completion.priority,
            onToken: text => tokens.push(text),
            onEnd(reason) {
                if (reason === "cancelled") {
                    resolve(reply.code(499).send({ error: { message: "cancelled" } }));
                    return;
                }
                resolve(reply.send(createCompletion(answer, tokens.join(""), tokens.length)));
            },
        });
    });
}

/** Adds the completion routes and the cancel route; a model that is not in `models()` is answered with 404. */
export function addCompletionRoutes(server: FastifyInstance, batch: Batch, models: () => readonly string[]): void {
    function createHandler(isChat: boolean) {
        return (request: FastifyRequest, reply: FastifyReply) => {
            const parsed = completionSchema.safeParse(request.body);
            if (!parsed.success) {
                return reply.code(400).send({ error: { message: z.prettifyError(parsed.error) } });
            }
            const model = parsed.data.model ?? models()[0] ?? "";
            if (!models().includes(model)) {
                return reply.code(404).send({ error: { message: `model ${model} is not loaded` } });
            }
            const id = String(request.headers["x-request-id"] ?? randomUUID());
            const answer: Answer = { id, isChat, model };
            reply.header("x-request-id", id);
            if (parsed.data.stream) {
                streamAnswer(batch, answer, parsed.data, reply);
                return reply;
            }
            return sendWholeAnswer(batch, answer, parsed.data, reply);
        };
    }

    server.post("/v1/chat/completions", createHandler(true));
    server.post("/v1/completions", createHandler(false));
    server.post("/cancel", request => ({ cancelled: batch.cancel((request.body as { id: string }).id) }));
}
