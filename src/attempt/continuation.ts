/**
 * What an engine needs to continue an answer that another engine began: the text that has already been sent to the caller.
 *
 * @module
 */

import { type ChunkList, chunksOf } from "./chunks.js";

/** The parts of a streamed completion event that are used here. */
interface CompletionChunk {
    readonly choices?: readonly {
        readonly text?: string;
        readonly delta?: { readonly content?: string };
        readonly finish_reason?: string;
    }[];
}

export interface Continuation {
    readonly text: string;
    /** Whether the last chunk has a finish reason. Then only the end event was lost, and a continuation would finish the answer twice. */
    readonly finished: boolean;
}

function parse(data: Uint8Array): CompletionChunk {
    return JSON.parse(Buffer.from(data).toString()) as CompletionChunk;
}

/** Extracts the text of the chunks. Returns undefined unless they are a completion with a single choice; others can't be continued. */
export function continuationOf(sent: ChunkList): Continuation | undefined {
    try {
        const choices = chunksOf(sent).map(data => parse(data).choices ?? []);
        if (choices.some(list => list.length > 1)) {
            return undefined;
        }
        const text = choices.map(([choice]) => choice?.text ?? choice?.delta?.content ?? "").join("");
        return { text, finished: (choices.at(-1)?.[0]?.finish_reason ?? undefined) !== undefined };
    }
    catch {
        return undefined;
    }
}
