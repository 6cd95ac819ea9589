/**
 * What a leader may rely on: its lease, reads confirmed by a quorum, and stepping down once it has lost its quorum.
 *
 * @module
 */

import { becomeFollower } from "./roles.js";
import type { Identity, MessageOf } from "./messages.js";
import { broadcast } from "./replication.js";
import type { ConsensusState, ConsensusStep, Effect, LeaderRole } from "./state.js";
import { andThen, chain, isQuorum, quorumValue, send, set, withRole } from "./steps.js";

/** Whether a quorum has confirmed this leader so lately that no other can have been elected, on the leader's own clock. */
export function holdsLease(state: ConsensusState, nowMs: number): boolean {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined || role.transferring) {
        return false;
    }
    const confirmedMs = quorumValue(membership, diskId => diskId === state.options.self.diskId
        ? nowMs
        : role.progress[diskId]?.confirmedSentMs ?? Number.NEGATIVE_INFINITY);
    return nowMs - confirmedMs < state.options.timings.leaseMs;
}

/**
 * A leader cut off in silence would otherwise believe in itself for good: its operators would wait, or be told old state. Once no
 * quorum has answered for an election timeout it steps down, and what it could not commit is answered as unknown.
 */
export function checkQuorum(state: ConsensusState): ConsensusStep {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined) {
        return { state, effects: [] };
    }
    const sinceMs = state.nowMs - state.options.timings.electionTimeoutMinMs;
    const heard = Object.values(role.progress).filter(item => item.lastContactMs >= sinceMs).map(item => item.voter.diskId);
    // A hand-over that nobody took up: the word to campaign may still be under way and would break a lease, so this term is given up.
    const handingOver = role.transferring && role.transferSinceMs < sinceMs;
    if (!handingOver && isQuorum(membership, new Set([...heard, state.options.self.diskId]))) {
        return { state, effects: [] };
    }
    const silent = membership.voters.filter(voter => voter.diskId !== state.options.self.diskId && !heard.includes(voter.diskId));
    const line = handingOver
        ? "consensus: no voter took over, stepping down"
        : `consensus: lost the quorum, stepping down; silent: ${silent.map(voter => voter.voterId).join(", ")}; of ${membership.voters.length} voters`;
    return andThen({ state, effects: [{ kind: "log", line }] }, next => becomeFollower(next, next.term, undefined));
}

/** Takes reads in: each is answered once a quorum has echoed a round opened after it was asked. */
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
        forwardedReads[readId] = { askedAtMs: state.nowMs, index: undefined };
    }
    return { state: { ...state, forwardedReads }, effects: readIds.map(readId => send(leader, { kind: "read-index", readId })) };
}

function addReads(state: ConsensusState, readIds: readonly string[], from: Identity | undefined): ConsensusStep {
    const role = state.role as LeaderRole;
    // Before an entry of its own term is committed, a new leader may not know of everything that was.
    const index = Math.max(state.commitIndex, role.termStartIndex);
    const reads = readIds.map(readId => ({ readId, round: role.round + 1, index, from }));
    return broadcast(withRole(state, { reads: [...role.reads, ...reads] }));
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
    return set(state, { forwardedReads });
}

/** Answers the reads that are confirmed and whose state is applied here. */
export function answerReads(state: ConsensusState): ConsensusStep {
    return chain(state, answerLeaderReads, answerForwardedReads);
}

function answerLeaderReads(state: ConsensusState): ConsensusStep {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined || role.reads.length === 0) {
        return { state, effects: [] };
    }
    const confirmed = quorumValue(membership, diskId => diskId === state.options.self.diskId
        ? Number.POSITIVE_INFINITY
        : role.progress[diskId]?.confirmedRound ?? 0);
    const ready = role.reads.filter(read => read.round <= confirmed && read.index <= state.appliedIndex);
    if (ready.length === 0) {
        return { state, effects: [] };
    }
    const effects = ready.map((read): Effect => read.from === undefined
        ? { kind: "answer-read", readId: read.readId, confirmed: true }
        : send(read.from, { kind: "read-index-response", readId: read.readId, index: read.index }));
    return { state: withRole(state, { reads: role.reads.filter(read => !ready.includes(read)) }), effects };
}

function answerForwardedReads(state: ConsensusState): ConsensusStep {
    const waitMs = state.options.timings.readMs;
    const effects: Effect[] = [];
    const left: Record<string, ConsensusState["forwardedReads"][string]> = {};
    for (const [readId, read] of Object.entries(state.forwardedReads)) {
        const ready = read.index !== undefined && read.index <= state.appliedIndex;
        if (ready || state.nowMs - read.askedAtMs > waitMs) {
            effects.push({ kind: "answer-read", readId, confirmed: ready });
            continue;
        }
        left[readId] = read;
    }
    return effects.length === 0 ? { state, effects } : { state: { ...state, forwardedReads: left }, effects };
}
