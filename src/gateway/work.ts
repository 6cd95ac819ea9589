/**
 * Estimates the work of a request for a group of engines, and limits the requests queued at a group.
 *
 * Designed for VMs that are lost all day, so that for seconds at a time a model gets more requests than its groups can serve. With a single
 * long queue every request would be late then. So the queue is bounded by the time within which a first event is on time. Behind it a few
 * more requests wait at a lower priority for capacity left over; they are served late, but sooner than after a refusal and a retry. All
 * others are refused at once with a Retry-After.
 *
 * @module
 */

import type { EngineSpec } from "../site/index.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { Candidate } from "./siteView.js";

/**
 * Maximum queueing time, as a part of the time within which the first event is on time. In a full group, reading prompts between the steps
 * takes about 0.2 s of these 0.3 to 0.5 s. With half of the time spent in the queue, half of the first events were late.
 */
const maxWaitShare = 0.3;
/** Maximum work in the late queue, in time of the group, as a part of the time after which callers abandon a stream without an event. */
const maxLateQueueShare = 0.25;
/** Maximum queued requests for each slot of a plain service. Its answers take about 40 ms, and deadlines allow for several of them. */
const plainQueuePerSlot = 3;

/** Estimates the time in ms that a request takes of a fully loaded group of `modelName`, and of all its VMs together. */
export function estimateWork(
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

/** Returns the expected length of an answer in tokens. Answers are shorter than their bound, so the usual length is used if it is known. */
export function expectedAnswerTokens(engine: EngineSpec, request: ParsedRequest): number {
    return Math.min(request.answerTokens || engine.usualAnswerTokens, engine.usualAnswerTokens || request.answerTokens);
}

/** Limits on the requests at an upstream, beyond which further requests are refused. */
export interface QueueLimits {
    /** The number of running and queued requests below which one more can still be on time. */
    readonly onTime: number;
    /** The number of further requests that may wait in the late queue. */
    readonly late: number;
}

/** Returns the queue limits of an upstream for a request like this one. */
export function queueLimitsFor(candidate: Candidate, request: ParsedRequest): QueueLimits {
    const engine = request.table.service(candidate.upstream.service)?.engine;
    if (engine === undefined || candidate.model === undefined) {
        return { onTime: Math.max(1, candidate.upstream.slots) * (1 + plainQueuePerSlot), late: 0 };
    }
    const { groupMs } = estimateWork(engine, candidate.model, engine.usualPromptTokens, engine.usualAnswerTokens);
    const perRequestMs = Math.max(1, groupMs);
    const maxWaitMs = (request.route.latenessMs ?? request.route.timeoutMs) * maxWaitShare;
    const maxLateMs = request.route.patienceMs * maxLateQueueShare;
    return { onTime: engine.slots + maxWaitMs / perRequestMs, late: maxLateMs / perRequestMs };
}
