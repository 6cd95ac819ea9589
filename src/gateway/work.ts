/**
 * How much work a request is for a group of engines, and how many requests a group may have before more are turned away.
 *
 * The pattern it answers: VMs are lost all day, and for seconds at a time more is asked of a model than its groups can do. In one queue
 * every request would be late then. So the queue is bounded by the time in which a first event is on time; behind it, at a lower priority,
 * some more wait for what is left over, and are served late where a refusal would make them come back later still. Beyond that
 * callers learn at once when to come back.
 *
 * @module
 */

import type { EngineSpec } from "../site/index.js";
import type { Asked } from "./asked.js";
import type { Candidate } from "./siteView.js";

/**
 * The wait for a place, as a part of the time to a first event that is on time. Reading prompts between the steps of a full group takes
 * some 0.2 s of the 0.3 to 0.5 s; with half of the time spent on the wait, half of the first events came late.
 */
const waitShare = 0.3;
/** Work that may wait behind what is on time, in ms of the group: a quarter of the two seconds after which callers leave. */
const lateWaitMs = 500;
/** Requests waiting at a plain service for each of its places: its answers take some 40 ms, and deadlines allow for several. */
const plainQueue = 3;

/** Milliseconds of a group, and of its VMs together, that a request takes of a group of `modelName` that is full. */
export function workOf(
    engine: EngineSpec, modelName: string, promptTokens: number, answerTokens: number,
): { readonly vmMs: number; readonly groupMs: number } {
    const model = engine.models.find(candidate => candidate.name === modelName);
    if (model === undefined) {
        return { vmMs: 0, groupMs: 0 };
    }
    const stepMs = (engine.stepMs + engine.slots * engine.stepPerRequestMs) / engine.slots;
    const groupMs = model.pace * (promptTokens / engine.promptTokensPerSecond * 1_000 + answerTokens * stepMs);
    return { groupMs, vmMs: groupMs * model.size };
}

/** Answers are shorter than their bound: the usual length is taken where it is known. */
export function usualAnswer(engine: EngineSpec, asked: Asked): number {
    return Math.min(asked.answerTokens || engine.usualAnswerTokens, engine.usualAnswerTokens || asked.answerTokens);
}

/** How much an upstream may be given before one more request is turned away. */
export interface Room {
    /** Requests, running and waiting, up to which one more can still be on time. */
    readonly onTime: number;
    /** Requests beyond those that may wait behind them, to be served late. */
    readonly late: number;
}

/** The room that an upstream has for a request like this one. */
export function roomAt(candidate: Candidate, asked: Asked): Room {
    const engine = asked.table.service(candidate.upstream.service)?.engine;
    if (engine === undefined || candidate.model === undefined) {
        return { onTime: Math.max(1, candidate.upstream.slots) * (1 + plainQueue), late: 0 };
    }
    const { groupMs } = workOf(engine, candidate.model, engine.usualPromptTokens, engine.usualAnswerTokens);
    const perRequestMs = Math.max(1, groupMs);
    const mostWaitMs = (asked.route.latenessMs ?? asked.route.timeoutMs) * waitShare;
    return { onTime: engine.slots + mostWaitMs / perRequestMs, late: lateWaitMs / perRequestMs };
}
