/**
 * Passes the answer of a request to the caller's connection: a promise of its head, then a stream of its chunks.
 *
 * @module
 */

import type { AnswerHead } from "../attempt/index.js";
import { createAsyncQueue } from "../runtime/index.js";
import { type Problem, ProblemError } from "./problem.js";

/** An answer whose head has arrived. `chunks` throws a `ProblemError` when the rest cannot be delivered. */
export interface Answer {
    /** Identifies the request in traces. */
    readonly requestId: string;
    readonly status: number;
    readonly headers: readonly { readonly name: string; readonly value: string }[];
    readonly chunks: AsyncIterable<Uint8Array>;
}

/** Receives the answer from the request's effects. */
export interface AnswerSink {
    /** Rejects with a `ProblemError` if the request fails before the head arrives. */
    readonly answer: Promise<Answer>;
    writeHead(head: AnswerHead): void;
    writeChunk(data: Uint8Array): void;
    end(): void;
    /** Fails the answer, either in place of the head or after the chunks so far. */
    fail(problem: Problem): void;
}

/** Creates the sink of one request. */
export function createAnswerSink(requestId: string): AnswerSink {
    const queue = createAsyncQueue<Uint8Array>();
    let finalProblem: Problem | undefined;
    let resolveAnswer: (answer: Answer) => void;
    let rejectAnswer: (error: ProblemError) => void;
    const answer = new Promise<Answer>((resolve, reject) => {
        resolveAnswer = resolve;
        rejectAnswer = reject;
    });

    async function* chunks() {
        yield* queue;
        if (finalProblem !== undefined) {
            throw new ProblemError(finalProblem);
        }
    }

    return {
        answer,
        writeHead: ({ status, headers }) => resolveAnswer({ requestId, status, headers, chunks: chunks() }),
        writeChunk: data => queue.push(data),
        end: () => queue.end(),
        fail(problem) {
            finalProblem = problem;
            rejectAnswer(new ProblemError(problem));
            queue.end();
        },
    };
}
