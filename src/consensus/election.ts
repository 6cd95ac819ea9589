/**
 * Elections: pre-vote, vote, taking and giving up leadership. One vote a term, on disk before it is told; a voter that hears a
 * leader grants none, so a voter that only lost its own incoming link disturbs nobody and a leader's lease can be relied on.
 *
 * @module
 */

import { lastIndexOf, lastTermOf } from "./entries.js";
import type { Identity, MessageOf } from "./messages.js";
import { broadcast, freshProgress } from "./replication.js";
import { becomeFollower, nextElectionDeadline, transferWhenCaughtUp } from "./roles.js";
import type { ConsensusState, ConsensusStep, LeaderRole, Progress } from "./state.js";
import { andThen, appendOwn, chain, isQuorum, mayCampaign, persistVote, send, sendWhenDurable, set } from "./steps.js";

/** Whether this voter has reason to think that a leader is at work: then it helps nobody to replace it. */
function hearsLeader(state: ConsensusState): boolean {
    return state.role.kind === "leader" ||
        state.nowMs - state.lastLeaderContactMs < state.options.timings.electionTimeoutMinMs;
}

function isUpToDate(state: ConsensusState, lastIndex: number, lastTerm: number): boolean {
    const ownTerm = lastTermOf(state.log);
    return lastTerm > ownTerm || (lastTerm === ownTerm && lastIndex >= lastIndexOf(state.log));
}

function otherVoters(state: ConsensusState): readonly Identity[] {
    return (state.membership?.voters ?? [])
        .filter(voter => voter.diskId !== state.options.self.diskId)
        .map(({ voterId, diskId }) => ({ voterId, diskId }));
}

/**
 * Asks the others whether an election could be won. It changes no term, so a voter that comes back after a cut stops no leader, and it
 * may be asked again soon: one that heard the last leader a moment longer would refuse, and callers wait for each further round.
 */
export function startPreVote(state: ConsensusState, random: number): ConsensusStep {
    const electionDeadlineMs = state.nowMs + state.options.timings.preVoteMs * (1 + random);
    const membership = state.membership;
    if (membership === undefined || !mayCampaign(state) || state.storageFault !== undefined) {
        return set(state, { electionDeadlineMs });
    }
    const granted = [state.options.self.diskId];
    const next: ConsensusState = { ...state, electionDeadlineMs, leader: undefined, role: { kind: "pre-candidate", granted } };
    if (isQuorum(membership, new Set(granted))) {
        return startElection(next, false, random);
    }
    const message = {
        kind: "pre-vote" as const,
        clusterId: membership.clusterId,
        term: state.term + 1,
        lastIndex: lastIndexOf(state.log),
        lastTerm: lastTermOf(state.log),
    };
    return { state: next, effects: otherVoters(state).map(to => send(to, message)) };
}

/** Campaigns in the next term. The requests wait for the vote for oneself to be on disk. */
export function startElection(state: ConsensusState, transfer: boolean, random: number): ConsensusStep {
    const membership = state.membership!;
    const term = state.term + 1;
    const { self } = state.options;
    const campaigning: ConsensusState = {
        ...state, term, votedFor: self.diskId, leader: undefined, role: { kind: "candidate", granted: [] },
        electionDeadlineMs: nextElectionDeadline(state, random),
    };
    const vote = {
        kind: "vote" as const,
        clusterId: membership.clusterId,
        term,
        lastIndex: lastIndexOf(state.log),
        lastTerm: lastTermOf(state.log),
        transfer,
    };
    return chain(
        campaigning,
        persistVote,
        next => sendWhenDurable(next, self, { kind: "vote-response", term, granted: true }),
        ...otherVoters(state).map(to => (next: ConsensusState) => sendWhenDurable(next, to, vote)),
    );
}

export function onPreVote(state: ConsensusState, from: Identity, message: MessageOf<"pre-vote">): ConsensusStep {
    const granted = message.term > state.term && !hearsLeader(state) && isUpToDate(state, message.lastIndex, message.lastTerm);
    return { state, effects: [send(from, { kind: "pre-vote-response", term: state.term, forTerm: message.term, granted })] };
}

export function onPreVoteResponse(
    state: ConsensusState, from: Identity, message: MessageOf<"pre-vote-response">, random: number,
): ConsensusStep {
    if (message.term > state.term && !message.granted) {
        return becomeFollower(state, message.term, undefined);
    }
    if (state.role.kind !== "pre-candidate" || !message.granted || message.forTerm !== state.term + 1) {
        return { state, effects: [] };
    }
    const granted = [...new Set([...state.role.granted, from.diskId])];
    const next: ConsensusState = { ...state, role: { kind: "pre-candidate", granted } };
    return isQuorum(state.membership!, new Set(granted)) ? startElection(next, false, random) : { state: next, effects: [] };
}

export function onVote(state: ConsensusState, from: Identity, message: MessageOf<"vote">, random: number): ConsensusStep {
    // While a leader is heard the request does not even raise the term: otherwise each lost heartbeat would unseat it.
    if (message.term < state.term || (!message.transfer && hearsLeader(state))) {
        return { state, effects: [send(from, { kind: "vote-response", term: state.term, granted: false })] };
    }
    const current = message.term > state.term ? becomeFollower(state, message.term, undefined) : { state, effects: [] };
    return andThen(current, next => {
        const free = next.votedFor === undefined || next.votedFor === from.diskId;
        if (!free || !isUpToDate(next, message.lastIndex, message.lastTerm)) {
            return sendWhenDurable(next, from, { kind: "vote-response", term: next.term, granted: false });
        }
        return chain(
            { ...next, votedFor: from.diskId, electionDeadlineMs: nextElectionDeadline(next, random) },
            persistVote,
            voted => sendWhenDurable(voted, from, { kind: "vote-response", term: voted.term, granted: true }),
        );
    });
}

export function onVoteResponse(state: ConsensusState, from: Identity, message: MessageOf<"vote-response">): ConsensusStep {
    if (message.term > state.term) {
        return becomeFollower(state, message.term, undefined);
    }
    if (state.role.kind !== "candidate" || message.term !== state.term || !message.granted) {
        return { state, effects: [] };
    }
    const granted = [...new Set([...state.role.granted, from.diskId])];
    const next: ConsensusState = { ...state, role: { kind: "candidate", granted } };
    return isQuorum(state.membership!, new Set(granted)) ? becomeLeader(next) : { state: next, effects: [] };
}

function becomeLeader(state: ConsensusState): ConsensusStep {
    const others = state.membership!.voters.filter(voter => voter.diskId !== state.options.self.diskId);
    const progress: Record<string, Progress> = {};
    for (const voter of others) {
        progress[voter.diskId] = freshProgress(state, voter);
    }
    const role: LeaderRole = {
        kind: "leader",
        progress,
        ownMatchIndex: 0,
        termStartIndex: lastIndexOf(state.log) + 1,
        round: 0,
        heartbeatDueMs: state.nowMs,
        sinceMs: state.nowMs,
        proposals: new Map(),
        reads: [],
        transferring: false,
        transferTo: undefined,
        transferSinceMs: 0,
    };
    const line = `consensus: leader of term ${state.term}, voters ${state.membership!.voters.map(voter => voter.voterId).join(", ")}`;
    return chain(
        { ...state, role, leader: state.options.self },
        next => ({ state: next, effects: [{ kind: "log", line }] }),
        next => appendOwn(next, [{ kind: "no-op" }]),
        broadcast,
    );
}

/** Hands leadership to the voter that is furthest; proposals are refused until it has taken over. */
export function startTransfer(state: ConsensusState): ConsensusStep {
    if (state.role.kind !== "leader" || state.role.transferring) {
        return { state, effects: [] };
    }
    const sinceMs = state.nowMs - state.options.timings.electionTimeoutMinMs;
    const [target] = Object.values(state.role.progress)
        .filter(item => item.lastContactMs > sinceMs && state.membership!.voters.some(voter => voter.diskId === item.voter.diskId))
        .sort((a, b) => b.matchIndex - a.matchIndex);
    const role: LeaderRole = { ...state.role, transferring: true, transferTo: target?.voter.diskId, transferSinceMs: state.nowMs };
    return transferWhenCaughtUp({ ...state, role });
}

export function onTimeoutNow(state: ConsensusState, message: MessageOf<"timeout-now">, random: number): ConsensusStep {
    if (message.term !== state.term || state.role.kind === "leader" || !mayCampaign(state) || state.storageFault !== undefined) {
        return { state, effects: [] };
    }
    return startElection(state, true, random);
}
