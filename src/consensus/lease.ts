/**
 * The leader's lease, reads confirmed by a quorum, and stepping down after losing the quorum.
 *
 * @module
 */

import { becomeFollower } from "./roles.js";
import type { Identity, MessageOf } from "./messages.js";
import { broadcast } from "./replication.js";
import type { ConsensusState, ConsensusStep, Effect, LeaderRole } from "./state.js";
import { andThen, chain, isQuorum, quorumValue, send, updateState, withLeaderRole } from "./steps.js";

/** Whether a quorum confirmed this leader so recently, by the leader's own clock, that no other can have been elected. */
export function holdsLease(state: ConsensusState, nowMs: number): boolean {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined || role.transferring) {
        return false;
    }
    const confirmedAtMs = quorumValue(membership, diskId => diskId === state.options.self.diskId
        ? nowMs
        : role.progress[diskId]?.confirmedSentAtMs ?? Number.NEGATIVE_INFINITY);
    return nowMs - confirmedAtMs < state.options.timings.leaseMs;
}

/**
 * Steps down when no quorum has responded for an election timeout; uncommitted proposals are answered as unknown. Otherwise a leader
 * that was silently partitioned would stay leader indefinitely, and its operators would wait or see stale state.
 */
export function checkQuorum(state: ConsensusState): ConsensusStep {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined) {
        return { state, effects: [] };
    }
    const earliestContactMs = state.nowMs - state.options.timings.electionTimeoutMinMs;
    const respondingDiskIds = Object.values(role.progress)
        .filter(item => item.lastContactAtMs >= earliestContactMs)
        .map(item => item.voter.diskId);
    // The transfer target has not taken over. The request to campaign may still arrive and would break a lease, so this leader steps down.
    const hasTransferTimedOut = role.transferring && role.transferStartedAtMs < earliestContactMs;
    if (!hasTransferTimedOut && isQuorum(membership, new Set([...respondingDiskIds, state.options.self.diskId]))) {
        return { state, effects: [] };
    }
    const silent = membership.voters.filter(voter =>
        voter.diskId !== state.options.self.diskId && !respondingDiskIds.includes(voter.diskId));
    const line = hasTransferTimedOut
        ? "consensus: no voter took over, stepping down"
        : `consensus: lost the quorum, stepping down; silent: ${silent.map(voter => voter.voterId).join(", ")}; voters in total: ${membership.voters.length}`;
    return andThen({ state, effects: [{ kind: "log", line }] }, next => becomeFollower(next, next.term, undefined));
}

/** Accepts reads: each is answered once a quorum has echoed a round that started after the read arrived. Followers forward them. */
export function onRead(state: ConsensusState, readIds: readonly string[]): ConsensusStep {
    if (state.role.kind === "leader") {
        return addReads(state, readIds, undefined);
    }
    const { leader } = state;
    if (leader === undefined) {
        return { state, effects: readIds.map(readId => ({ kind: "answer-read", readId, confirmed: false })) };
    }
    const forwardedReads = { ...state.forwardedReads };
    for (const readId of readIds) {
        forwardedReads[readId] = { requestedAtMs: state.nowMs, index: undefined };
    }
    return { state: { ...state, forwardedReads }, effects: readIds.map(readId => send(leader, { kind: "read-index", readId })) };
}

function addReads(state: ConsensusState, readIds: readonly string[], from: Identity | undefined): ConsensusStep {
    const role = state.role as LeaderRole;
    // Until an entry of its own term is committed, a new leader may not know of all committed entries.
    const index = Math.max(state.commitIndex, role.termStartIndex);
    const addedReads = readIds.map(readId => ({ readId, round: role.round + 1, index, from }));
    return broadcast(withLeaderRole(state, { pendingReads: [...role.pendingReads, ...addedReads] }));
}

export function onReadIndex(state: ConsensusState, from: Identity, message: MessageOf<"read-index">): ConsensusStep {
    return state.role.kind === "leader" ? addReads(state, [message.readId], from) : { state, effects: [] };
}

export function onReadIndexResponse(state: ConsensusState, message: MessageOf<"read-index-response">): ConsensusStep {
    const read = state.forwardedReads[message.readId];
    if (read === undefined) {
        return { state, effects: [] };
    }
    const forwardedReads = { ...state.forwardedReads, [message.readId]: { ...read, index: message.index } };
    return updateState(state, { forwardedReads });
}

/** Answers the reads that are confirmed and whose index is applied at this voter. */
export function answerReads(state: ConsensusState): ConsensusStep {
    return chain(state, answerLeaderReads, answerForwardedReads);
}

function answerLeaderReads(state: ConsensusState): ConsensusStep {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined || role.pendingReads.length === 0) {
        return { state, effects: [] };
    }
    const confirmedRound = quorumValue(membership, diskId => diskId === state.options.self.diskId
        ? Number.POSITIVE_INFINITY
        : role.progress[diskId]?.confirmedRound ?? 0);
    const ready = role.pendingReads.filter(read => read.round <= confirmedRound && read.index <= state.appliedIndex);
    if (ready.length === 0) {
        return { state, effects: [] };
    }
    const effects = ready.map((read): Effect => read.from === undefined
        ? { kind: "answer-read", readId: read.readId, confirmed: true }
        : send(read.from, { kind: "read-index-response", readId: read.readId, index: read.index }));
    return { state: withLeaderRole(state, { pendingReads: role.pendingReads.filter(read => !ready.includes(read)) }), effects };
}

function answerForwardedReads(state: ConsensusState): ConsensusStep {
    const timeoutMs = state.options.timings.readTimeoutMs;
    const effects: Effect[] = [];
    const remaining: Record<string, ConsensusState["forwardedReads"][string]> = {};
    for (const [readId, read] of Object.entries(state.forwardedReads)) {
        const isReady = read.index !== undefined && read.index <= state.appliedIndex;
        if (isReady || state.nowMs - read.requestedAtMs > timeoutMs) {
            effects.push({ kind: "answer-read", readId, confirmed: isReady });
            continue;
        }
        remaining[readId] = read;
    }
    return effects.length === 0 ? { state, effects } : { state: { ...state, forwardedReads: remaining }, effects };
}
