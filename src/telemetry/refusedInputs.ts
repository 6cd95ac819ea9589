/**
 * Reports what has come from outside and can't be used: it is dropped, and everything else goes on.
 *
 * @module
 */

import type { Logger } from "./logger.js";

/**
 * An announcement of an upstream, an announcement for a service that the site doesn't have, an upstream or other item that another daemon
 * relays, or a whole frame of another daemon.
 */
export type InputKind = "announcement" | "unknown-service" | "relayed-item" | "frame";

export interface RefusedInputs {
    /** Counts `count` inputs that were dropped, and writes a line with `fields`. */
    record(kind: InputKind, fields: object, count?: number): void;
}

export interface RefusedInputsOptions {
    readonly logger: Pick<Logger, "warn">;
    countInputs(kind: InputKind, count: number): void;
    nowMs(): number;
}

/** A writer whose inputs are odd mostly goes on for as long as it runs. */
const lineIntervalMs = 10_000;

/** Creates a log of dropped inputs. It writes at most one line of each kind in ten seconds, which tells how many were left out before. */
export function createRefusedInputs({ logger, countInputs, nowMs }: RefusedInputsOptions): RefusedInputs {
    const states = new Map<InputKind, { nextLineAtMs: number; leftOut: number }>();
    return {
        record(kind, fields, count = 1) {
            countInputs(kind, count);
            const state = states.get(kind) ?? { nextLineAtMs: -Infinity, leftOut: 0 };
            states.set(kind, state);
            if (nowMs() < state.nextLineAtMs) {
                state.leftOut += count;
                return;
            }
            logger.warn("input refused", { kind, count, leftOut: state.leftOut, ...fields });
            Object.assign(state, { nextLineAtMs: nowMs() + lineIntervalMs, leftOut: 0 });
        },
    };
}
