/**
 * Steps between roles that elections and replication share: following a leader, the time of the next election, and the end of a handover.
 *
 * @module
 */

import { lastIndexOf } from "./entries.js";
import type { Identity } from "./messages.js";
import type { ConsensusState, ConsensusStep, Effect } from "./state.js";
import { andThen, persistVote, send } from "./steps.js";

/** When a follower that hears nothing campaigns; spread by `random`, uniform in [0, 1). */
export function nextElectionDeadline(state: ConsensusState, random: number): number {
    const { electionTimeoutMinMs, electionTimeoutMaxMs } = state.options.timings;
    return state.nowMs + electionTimeoutMinMs + random * (electionTimeoutMaxMs - electionTimeoutMinMs);
}

/** Ends leadership and candidacy here. What was proposed here may yet commit, so its fate is answered as unknown. */
export function becomeFollower(state: ConsensusState, term: number, leader: Identity | undefined): ConsensusStep {
    const effects: Effect[] = [];
    if (state.role.kind === "leader") {
        for (const proposalId of state.role.proposals.values()) {
            effects.push({ kind: "answer", proposalId, answer: { outcome: "unknown" } });
        }
        for (const read of state.role.reads.filter(item => item.from === undefined)) {
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
 * Tells the chosen voter to campaign, once it holds the whole log. It is chosen once: two that are told would split the votes,
 * and the region would wait for an election timeout in the midst of a planned stop.
 */
export function transferWhenCaughtUp(state: ConsensusState): ConsensusStep {
    const target = state.role.kind === "leader" ? state.role.progress[state.role.transferTo ?? ""] : undefined;
    if (target?.matchIndex !== lastIndexOf(state.log)) {
        return { state, effects: [] };
    }
    return { state, effects: [send(target.voter, { kind: "timeout-now", term: state.term })] };
}
