/**
 * Measures the demand of this entry's callers by model. The control leader divides VMs among models by it.
 *
 * A caller that is refused or gets no answer usually retries once, so the demand for a model that is short of VMs appears higher than it
 * is. Nothing in an attempt shows whether it is a retry, and callers of one route have different deadlines. Therefore an attempt that its
 * caller may retry counts half.
 *
 * @module
 */

import type { EngineSpec } from "../site/index.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { Outcome } from "./requestTypes.js";
import { expectedAnswerTokens, estimateWork } from "./work.js";

/** Weight of an attempt that brought no answer. The caller's retry counts for the rest. */
const failedAttemptShare = 0.5;

/** Work in ms of VM time, by model. */
export type WorkByModel = Record<string, number>;

export interface Workload {
    /** Adds the work of an attempt that has ended. */
    attemptEnded(engine: EngineSpec, request: ParsedRequest, outcome: Outcome): void;
    /** Returns the work since the last call and resets it. */
    drain(): WorkByModel;
}

/** Creates an empty workload. */
export function createWorkload(): Workload {
    let work: WorkByModel = {};
    return {
        attemptEnded(engine, request, outcome) {
            const model = engine.models.find(({ name }) => name === request.model);
            // Callers may name any model, and any number of tokens: no request takes more of a group than all of it until it is given up.
            if (model === undefined) {
                return;
            }
            const maxVmMs = model.size * (request.giveUpAtMs - request.arrivedAtMs);
            const { vmMs } = estimateWork(engine, model.name, request.promptTokens, expectedAnswerTokens(engine, request));
            work[model.name] = (work[model.name] ?? 0) + Math.min(vmMs, maxVmMs) * (outcome === "delivered" ? 1 : failedAttemptShare);
        },
        drain() {
            const drained = work;
            work = {};
            return drained;
        },
    };
}
