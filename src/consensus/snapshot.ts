/**
 * Applying committed entries, and periodically replacing old entries by a snapshot of the state, so that neither a restarted nor a
 * wiped voter has to replay the whole history.
 *
 * @module
 */

import { bytesBetween, compactedExcept, entriesFrom, termAt } from "./entries.js";
import type { Snapshot } from "./messages.js";
import type { ConsensusState, ConsensusStep, Effect, StateMachine } from "./state.js";
import { andThen, persist, withLeaderRole } from "./steps.js";

/** Applies the committed entries and answers the proposals among them. */
export function applyCommitted(state: ConsensusState, machine: StateMachine): ConsensusStep {
    if (state.commitIndex <= state.appliedIndex) {
        return { state, effects: [] };
    }
    const effects: Effect[] = [];
    const proposals = state.role.kind === "leader" ? new Map(state.role.pendingProposals) : undefined;
    let { machine: machineState, appliedMembership } = state;
    for (const entry of entriesFrom(state.log, state.appliedIndex + 1, state.commitIndex - state.appliedIndex)) {
        let result: unknown;
        if (entry.payload.kind === "command") {
            const applied = machine.apply(machineState, entry.payload.command);
            machineState = applied.state;
            result = applied.result;
        }
        else if (entry.payload.kind === "membership") {
            appliedMembership = entry.payload.membership;
        }
        const proposalId = proposals?.get(entry.index);
        if (proposalId !== undefined) {
            proposals!.delete(entry.index);
            effects.push({ kind: "answer", proposalId, answer: { outcome: "applied", index: entry.index, result } });
        }
    }
    const applied: ConsensusState = { ...state, appliedIndex: state.commitIndex, machine: machineState, appliedMembership };
    return { state: proposals === undefined ? applied : withLeaderRole(applied, { pendingProposals: proposals }), effects };
}

/**
 * Returns the size of the entries until the next snapshot: twice that of the last one. With a fixed size, a voter with a large state would
 * under load do little else than write snapshots.
 */
export function bytesUntilSnapshot(minBytes: number, snapshotBytes: number): number {
    return Math.max(minBytes, 2 * snapshotBytes);
}

/** Takes a snapshot once entries of enough bytes have been applied since the last one. */
export function takeSnapshotIfDue(state: ConsensusState): ConsensusStep {
    const bytesSinceSnapshot = bytesBetween(state.log, state.snapshot?.index ?? 0, state.appliedIndex);
    if (bytesSinceSnapshot < state.snapshotAfterBytes || state.appliedMembership === undefined || state.storageFault !== undefined) {
        return { state, effects: [] };
    }
    const snapshot: Snapshot = {
        index: state.appliedIndex,
        term: termAt(state.log, state.appliedIndex)!,
        membership: state.appliedMembership,
        data: state.machine,
    };
    const after = entriesFrom(state.log, snapshot.index + 1, Number.MAX_SAFE_INTEGER);
    const log = compactedExcept(state.log, snapshot.index, state.options.limits.trailingBytes);
    return andThen({ state: { ...state, snapshot, log }, effects: [] }, next => persist(next, { snapshot: { snapshot, after } }));
}
