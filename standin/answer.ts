/**
 * The text that the engine stand-in answers with. It depends on the prompt alone, so that a test can compute the complete answer and detect
 * a lost, duplicated or misrouted token. Every token is one word and a space, so that a text can be split back into tokens.
 *
 * @module
 */

import { createHash } from "node:crypto";

const syllables = ["ra", "to", "mi", "ke", "su", "no", "li", "va", "po", "de", "gu", "sha", "fe", "zo", "ni", "bu"];

/** Returns the first `count` tokens of the answer to `prompt`. */
export function answerTokens(prompt: string, count: number): string[] {
    const tokens: string[] = [];
    for (let block = 0; tokens.length < count; block++) {
        const digest = createHash("sha256").update(`${block}:${prompt}`).digest();
        for (let offset = 0; offset < digest.length && tokens.length < count; offset += 2) {
            const word = [digest[offset]! >> 4, digest[offset]! & 15, digest[offset + 1]! >> 4].map(index => syllables[index]).join("");
            tokens.push(`${word} `);
        }
    }
    return tokens;
}

/** Returns the complete text of an answer of `maxTokens` tokens. */
export function expectedAnswer(prompt: string, maxTokens: number): string {
    return answerTokens(prompt, maxTokens).join("");
}

/** Returns the number of tokens in a text that consists of whole tokens. */
export function countTokens(text: string): number {
    return text.split(" ").length - 1;
}

/** The part of a completion request's body that determines the answer. */
export interface PromptBody {
    readonly prompt?: string | undefined;
    readonly messages?: readonly { role: string; content: string }[] | undefined;
}

/** Extracts the prompt from the body of a text or chat completion request. */
export function promptOf(body: PromptBody): string {
    if (body.prompt !== undefined) {
        return body.prompt;
    }
    return (body.messages ?? []).map(message => `${message.role}: ${message.content}`).join("\n");
}
