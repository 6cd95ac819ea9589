/**
 * Predicts the time to the first event of a request from the costs that its engine states. A group works in passes: each reads a piece of
 * the waiting prompts, does some decoding steps for all running requests, and sends their events.
 *
 * @module
 */

import type { EngineSpec } from "../site/index.js";

/** The costs of one model, multiplied by its pace. Times are in ms. */
export interface ModelCosts {
    readonly slots: number;
    /** The part of a pass that doesn't depend on the load. */
    readonly passBaseMs: number;
    /** The part of a pass for each running request, with the usual length of its context. */
    readonly passPerRequestMs: number;
    readonly readMsPerToken: number;
    /** Added to the reading time of a prompt of n tokens: n * n times this. */
    readonly readMsPerSquaredToken: number;
    /** Infinity if the engine states no limit. */
    readonly promptTokensPerPass: number;
    readonly usualPromptTokens: number;
    /** Prompt tokens read in a pass for each running request, while as many requests start as end. */
    readonly readTokensPerRequest: number;
    /** The time between two ends of requests in a full group: what each queued request adds to the wait. */
    readonly queuedRequestMs: number;
}

/**
 * Derives the costs of a model. `queuedRequestMs` is the time that a full group takes for a usual request. Returns undefined if the engine
 * doesn't state the model, the time of a step, or the usual lengths of prompts and answers.
 */
export function createModelCosts(engine: EngineSpec, modelName: string, queuedRequestMs: number): ModelCosts | undefined {
    const model = engine.models.find(({ name }) => name === modelName);
    const { stepsPerPass, usualPromptTokens, usualAnswerTokens } = engine;
    if (model === undefined || engine.stepMs <= 0 || usualPromptTokens <= 0 || usualAnswerTokens <= 0) {
        return undefined;
    }
    const contextTokens = usualPromptTokens + usualAnswerTokens / 2;
    const stepPerRequestMs = engine.stepPerRequestMs + engine.stepPerThousandTokensMs * contextTokens / 1_000;
    return {
        slots: engine.slots,
        passBaseMs: model.pace * stepsPerPass * engine.stepMs,
        passPerRequestMs: model.pace * stepsPerPass * stepPerRequestMs,
        readMsPerToken: model.pace * 1_000 / engine.promptTokensPerSecond,
        // A prompt of n tokens has n * n / 2 pairs.
        readMsPerSquaredToken: model.pace * engine.millionPairsMs / 2_000_000,
        promptTokensPerPass: engine.promptTokensPerPass ?? Infinity,
        usualPromptTokens,
        readTokensPerRequest: usualPromptTokens / Math.max(1, usualAnswerTokens / stepsPerPass),
        queuedRequestMs,
    };
}

/** The time of the decoding steps of a pass. */
export function decodeMs(costs: ModelCosts, requests: number): number {
    return costs.passBaseMs + Math.min(requests, costs.slots) * costs.passPerRequestMs;
}

/** The prompt tokens that a pass reads while as many requests start as end. */
export function steadyReadTokens(costs: ModelCosts, requests: number): number {
    return Math.min(costs.promptTokensPerPass, Math.min(requests, costs.slots) * costs.readTokensPerRequest);
}

/** The expected time of a pass, which is also the expected pause between two events of a stream. */
export function passMs(costs: ModelCosts, requests: number): number {
    return decodeMs(costs, requests) + steadyReadTokens(costs, requests) * costs.readMsPerToken;
}

/**
 * The expected prompt tokens that are unread on arrival at a group that runs `requests` requests: those of the requests that came during
 * the first half of the running pass.
 */
export function usualUnreadTokens(costs: ModelCosts, requests: number): number {
    return steadyReadTokens(costs, requests) / 2;
}

/**
 * Predicts the time to the first event, without the network, of a request that arrives at a group with `requests` requests, of whose
 * prompts `unreadTokens` tokens are not read yet.
 */
export function predictFirstEventMs(costs: ModelCosts, requests: number, promptTokens: number, unreadTokens: number): number {
    const pass = passMs(costs, requests);
    const tokens = unreadTokens + promptTokens;
    const passes = Math.max(1, Math.ceil(tokens / costs.promptTokensPerPass));
    const readMs = tokens * costs.readMsPerToken + promptTokens * promptTokens * costs.readMsPerSquaredToken;
    const waitMs = Math.max(0, requests - costs.slots) * costs.queuedRequestMs;
    return waitMs + pass / 2 + passes * decodeMs(costs, requests) + readMs + pass;
}
