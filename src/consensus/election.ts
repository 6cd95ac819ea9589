/**
 * Elections: pre-vote, vote, and gaining and transferring leadership. A voter votes once per term, and its vote is on disk before it
 * is sent. It grants no vote while it has contact with a leader, so a voter that only lost its incoming links cannot disrupt the
 * cluster, and the leader's lease stays valid.
 *
 * @module
 */

import { lastIndexOf, lastTermOf } from "./entries.js";
import type { Identity, MessageOf } from "./messages.js";
import { broadcast, createProgress } from "./replication.js";
import { becomeFollower, nextElectionDeadline, transferWhenCaughtUp } from "./roles.js";
import type { ConsensusState, ConsensusStep, LeaderRole, Progress } from "./state.js";
import { andThen, appendAsLeader, chain, isQuorum, mayCampaign, persistVote, send, sendWhenDurable, updateState } from "./steps.js";

/** Whether this voter leads or has had contact with a leader within the election timeout; it then supports no other candidate. */
function hasRecentLeaderContact(state: ConsensusState): boolean {
    return state.role.kind === "leader" ||
        state.nowMs - state.lastLeaderContactAtMs < state.options.timings.electionTimeoutMinMs;
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
 * Asks the other voters whether they would vote for this one. A pre-vote changes no term, so a voter that returns after a partition
 * does not depose the leader. It is repeated after a short delay, because voters that had contact with the last leader for slightly
 * longer refuse the first one, and callers wait until there is a leader.
 */
export function startPreVote(state: ConsensusState, random: number): ConsensusStep {
    const electionDeadlineMs = state.nowMs + state.options.timings.preVoteMs * (1 + random);
    const membership = state.membership;
    if (membership === undefined || !mayCampaign(state) || state.storageFault !== undefined) {
        return updateState(state, { electionDeadlineMs });
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

/** Campaigns in the next term. Vote requests are sent once the candidate's vote for itself is on disk. */
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
    const granted = message.term > state.term && !hasRecentLeaderContact(state) && isUpToDate(state, message.lastIndex, message.lastTerm);
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
    // With recent contact to a leader, not even the term is raised: otherwise a few lost heartbeats could depose the leader.
    if (message.term < state.term || (!message.transfer && hasRecentLeaderContact(state))) {
        return { state, effects: [send(from, { kind: "vote-response", term: state.term, granted: false })] };
    }
    const current = message.term > state.term ? becomeFollower(state, message.term, undefined) : { state, effects: [] };
    return andThen(current, next => {
        const isVoteFree = next.votedFor === undefined || next.votedFor === from.diskId;
        if (!isVoteFree || !isUpToDate(next, message.lastIndex, message.lastTerm)) {
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
        progress[voter.diskId] = createProgress(state, voter);
    }
    const role: LeaderRole = {
        kind: "leader",
        progress,
        ownMatchIndex: 0,
        termStartIndex: lastIndexOf(state.log) + 1,
        round: 0,
        heartbeatDueMs: state.nowMs,
        electedAtMs: state.nowMs,
        pendingProposals: new Map(),
        pendingReads: [],
        transferring: false,
        transferTo: undefined,
        transferStartedAtMs: 0,
    };
    const line = `consensus: leader of term ${state.term}, voters ${state.membership!.voters.map(voter => voter.voterId).join(", ")}`;
    return chain(
        { ...state, role, leader: state.options.self },
        next => ({ state: next, effects: [{ kind: "log", line }] }),
        next => appendAsLeader(next, [{ kind: "no-op" }]),
        broadcast,
    );
}

/** Starts to transfer leadership to the most up-to-date reachable voter; proposals are refused from then on. */
export function startTransfer(state: ConsensusState): ConsensusStep {
    if (state.role.kind !== "leader" || state.role.transferring) {
        return { state, effects: [] };
    }
    const earliestContactMs = state.nowMs - state.options.timings.electionTimeoutMinMs;
    const [target] = Object.values(state.role.progress)
        .filter(item => item.lastContactAtMs > earliestContactMs &&
            state.membership!.voters.some(voter => voter.diskId === item.voter.diskId))
        .sort((a, b) => b.matchIndex - a.matchIndex);
    const role: LeaderRole = { ...state.role, transferring: true, transferTo: target?.voter.diskId, transferStartedAtMs: state.nowMs };
    return transferWhenCaughtUp({ ...state, role });
}

export function onTimeoutNow(state: ConsensusState, message: MessageOf<"timeout-now">, random: number): ConsensusStep {
    if (message.term !== state.term || state.role.kind === "leader" || !mayCampaign(state) || state.storageFault !== undefined) {
        return { state, effects: [] };
    }
    return startElection(state, true, random);
}
