/**
 * What simulated engines answer about themselves: their state of some time ago.
 *
 * @module
 */

import type { EngineState } from "../../src/groups/index.js";

export interface LaggingStates {
    /** Records an engine's state if it has changed. */
    record(id: string, state: EngineState): void;
    /** Returns what a process answers; undefined before its first state. */
    read(id: string, bornMs: number): EngineState | undefined;
}

export function createLaggingStates(lagMs: number, nowMs: () => number): LaggingStates {
    const statesById = new Map<string, (EngineState & { readonly atMs: number })[]>();

    return {
        record(id, { bornMs, group, revision }) {
            const states = statesById.get(id) ?? [];
            const last = states.at(-1);
            if (last?.bornMs !== bornMs || last.revision !== revision || last.group?.name !== group?.name) {
                statesById.set(id, [...states, { atMs: nowMs(), bornMs, group, revision }]);
            }
        },
        read(id, bornMs) {
            const states = (statesById.get(id) ?? []).filter(state => state.bornMs === bornMs);
            return states.filter(({ atMs }) => atMs <= nowMs() - lagMs).at(-1) ?? states[0];
        },
    };
}
