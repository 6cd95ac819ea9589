/**
 * Role changes shared by elections and replication: becoming a follower, the election deadline, and completing a leadership transfer.
 *
 * @module
 */

import { lastIndexOf } from "./entries.js";
import type { Identity } from "./messages.js";
import type { ConsensusState, ConsensusStep, Effect } from "./state.js";
import { andThen, persistVote, send } from "./steps.js";

/** Returns when a follower without contact to a leader campaigns; randomised by `random`, uniform in [0, 1). */
export function nextElectionDeadline(state: ConsensusState, random: number): number {
    const { electionTimeoutMinMs, electionTimeoutMaxMs } = state.options.timings;
    return state.nowMs + electionTimeoutMinMs + random * (electionTimeoutMaxMs - electionTimeoutMinMs);
}

/** Ends leadership or candidacy. Pending proposals may still commit, so they are answered as unknown. */
export function becomeFollower(state: ConsensusState, term: number, leader: Identity | undefined): ConsensusStep {
    const effects: Effect[] = [];
    if (state.role.kind === "leader") {
        for (const proposalId of state.role.pendingProposals.values()) {
            effects.push({ kind: "answer", proposalId, answer: { outcome: "unknown" } });
        }
        for (const read of state.role.pendingReads.filter(item => item.from === undefined)) {
            effects.push({ kind: "answer-read", readId: read.readId, confirmed: false });
        }
        effects.push({ kind: "log", line: `consensus: no longer leader of term ${state.term}` });
    }
    if (leader !== undefined && leader.diskId !== state.leader?.diskId) {
        effects.push({ kind: "log", line: `consensus: ${leader.voterId} leads term ${term}` });
    }
    const next: ConsensusState = { ...state, role: { kind: "follower" }, leader };
    if (term === state.term) {
        return { state: next, effects };
    }
    return andThen({ state: { ...next, term, votedFor: undefined }, effects }, persistVote);
}

/**
 * Tells the target of a leadership transfer to campaign once it holds the whole log. There is only one target per transfer: two
 * would split the votes, and a planned stop would leave the region without a leader for an election timeout.
 */
export function transferWhenCaughtUp(state: ConsensusState): ConsensusStep {
    const target = state.role.kind === "leader" ? state.role.progress[state.role.transferTo ?? ""] : undefined;
    if (target?.matchIndex !== lastIndexOf(state.log)) {
        return { state, effects: [] };
    }
    return { state, effects: [send(target.voter, { kind: "timeout-now", term: state.term })] };
}
