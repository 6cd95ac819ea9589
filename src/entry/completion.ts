/**
 * OpenAI-compatible completion bodies: validates requests and assembles an unstreamed answer from a streamed one.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { z } from "zod";
import { badRequest } from "./problem.js";

const maxTokensLimit = 131_072;
const maxReportedIssues = 20;
const partIdChars = 16;
/** Later messages of a long conversation are rarely shared, and each one makes crash reports larger. */
const maxSharedParts = 16;

const messageSchema = z.looseObject({ role: z.string(), content: z.union([z.string(), z.array(z.looseObject({ type: z.string() }))]) });

const completionSchema = z.looseObject({
    model: z.string().min(1),
    stream: z.boolean().default(false),
    max_tokens: z.number().int().min(1).max(maxTokensLimit).optional(),
    messages: z.array(messageSchema).min(1).optional(),
    prompt: z.string().optional(),
});
export type Completion = z.infer<typeof completionSchema>;

/** Parses a completion body; throws a 400 problem that lists each invalid field. */
export function parseCompletion(body: unknown, isChat: boolean): Completion {
    const parsed = completionSchema.safeParse(body);
    if (!parsed.success) {
        const detail = parsed.error.issues.slice(0, maxReportedIssues).map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ");
        throw badRequest("malformed-body", "The body is not a completion request", detail);
    }
    const missing = isChat ? parsed.data.messages === undefined : parsed.data.prompt === undefined;
    if (missing) {
        throw badRequest("malformed-body", "The body is not a completion request", isChat ? "messages: required" : "prompt: required");
    }
    return parsed.data;
}

/** Returns the prompt of a completion as text. Message content that is not a string is serialised as JSON. */
export function promptOf(completion: Completion): string {
    const contents = completion.messages?.map(({ content }) => typeof content === "string" ? content : JSON.stringify(content));
    return completion.prompt ?? contents?.join("\n") ?? "";
}

/**
 * Returns an id for each part of the prompt that other requests may have too: the messages of a chat but the last, which belongs to the
 * request itself.
 */
export function sharedPartsOf({ messages = [] }: Completion): string[] {
    const idOf = ({ role, content }: NonNullable<Completion["messages"]>[number]) =>
        createHash("sha256").update(JSON.stringify([role, content])).digest("hex").slice(0, partIdChars);
    return [...new Set(messages.slice(0, -1).slice(0, maxSharedParts).map(idOf))];
}

interface StreamedChoice {
    readonly delta?: { readonly content?: string };
    readonly text?: string;
    readonly finish_reason?: string;
}

interface StreamedPart {
    readonly id?: string;
    readonly created?: number;
    readonly model?: string;
    readonly choices?: readonly StreamedChoice[];
    readonly usage?: unknown;
}

/** Assembles the parts of a streamed answer into the body of an unstreamed one. */
export function joinParts(data: readonly string[], isChat: boolean): unknown {
    const parts = data.map(part => JSON.parse(part) as StreamedPart);
    const choices = parts.flatMap(part => part.choices ?? []);
    const text = choices.map(choice => choice.delta?.content ?? choice.text ?? "").join("");
    const finishReason = choices.findLast(choice => choice.finish_reason !== undefined)?.finish_reason ?? "stop";
    const choice = isChat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    const usage = parts.findLast(part => part.usage !== undefined)?.usage;
    return {
        id: parts[0]?.id,
        object: isChat ? "chat.completion" : "text_completion",
        created: parts[0]?.created,
        model: parts[0]?.model,
        choices: [choice],
        ...(usage === undefined ? {} : { usage }),
    };
}
