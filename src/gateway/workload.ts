/**
 * The work that callers ask this entry for, by model, as the control leader divides VMs by it.
 *
 * The pattern it answers: a caller that is refused or gets no answer comes back, once in most cases, so that more seems to be asked of a
 * model that is short of VMs than is. Nothing in an attempt tells which one of its caller it is, and callers of one route wait for
 * different times; so an attempt that its caller may repeat counts half.
 *
 * @module
 */

import type { EngineSpec } from "../site/index.js";
import type { Asked } from "./asked.js";
import type { Outcome } from "./request.js";
import { usualAnswer, workOf } from "./work.js";

/** What an attempt without an answer counts: that of its caller which follows counts the rest. */
const repeatedShare = 0.5;

/** Work in ms of a VM, by model. */
export type WorkByModel = Record<string, number>;

export interface Workload {
    /** Takes in an attempt that has ended. */
    ended(engine: EngineSpec, asked: Asked, outcome: Outcome): void;
    /** Gives what has come together since the last time. */
    take(): WorkByModel;
}

/** Creates a workload without any work. */
export function createWorkload(): Workload {
    let work: WorkByModel = {};
    return {
        ended(engine, asked, outcome) {
            if (asked.model === undefined) {
                return;
            }
            const { vmMs } = workOf(engine, asked.model, asked.promptTokens, usualAnswer(engine, asked));
            work[asked.model] = (work[asked.model] ?? 0) + vmMs * (outcome === "delivered" ? 1 : repeatedShare);
        },
        take() {
            const taken = work;
            work = {};
            return taken;
        },
    };
}
