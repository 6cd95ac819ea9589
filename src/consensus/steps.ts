/**
 * Helpers shared by the parts of the consensus reducer: chaining steps, requesting durable writes, sending, computing quorums.
 *
 * @module
 */

import { newestMembership, withEntries } from "./entries.js";
import type { Entry, Identity, Membership, Message, Payload } from "./messages.js";
import type { ConsensusState, ConsensusStep, Effect, LeaderRole, PersistEffect } from "./state.js";

/** Applies `next` to the state of `earlier`; the effects of both are kept in order. */
export function andThen(earlier: ConsensusStep, next: (state: ConsensusState) => ConsensusStep): ConsensusStep {
    const later = next(earlier.state);
    return later.effects.length === 0
        ? { state: later.state, effects: earlier.effects }
        : { state: later.state, effects: [...earlier.effects, ...later.effects] };
}

/** Applies `steps` one after the other, collecting their effects. */
export function chain(state: ConsensusState, ...steps: ((state: ConsensusState) => ConsensusStep)[]): ConsensusStep {
    return steps.reduce<ConsensusStep>(andThen, { state, effects: [] });
}

/** Changes the state without any effect. */
export function updateState(state: ConsensusState, change: Partial<ConsensusState>): ConsensusStep {
    return { state: { ...state, ...change }, effects: [] };
}

/** Changes fields of the leader's role; any other role is left as it is. */
export function withLeaderRole(state: ConsensusState, change: Partial<LeaderRole>): ConsensusState {
    return state.role.kind === "leader" ? { ...state, role: { ...state.role, ...change } } : state;
}

/** Requests a durable write. */
export function persist(state: ConsensusState, write: Omit<PersistEffect, "kind" | "syncId">): ConsensusStep {
    const syncId = state.requestedSyncId + 1;
    const { commitIndex, recordedCommitIndex } = state;
    const record = commitIndex > recordedCommitIndex ? { commitIndex } : {};
    const requested: ConsensusState = {
        ...state, requestedSyncId: syncId,
        recordedCommitIndex: Math.max(commitIndex, recordedCommitIndex), unrecordedCommitSinceMs: undefined,
    };
    return { state: requested, effects: [{ kind: "persist", syncId, ...write, ...record }] };
}

export function persistVote(state: ConsensusState): ConsensusStep {
    return persist(state, { vote: { term: state.term, votedFor: state.votedFor } });
}

export function send(to: Identity, message: Message): Effect {
    return { kind: "send", to, message };
}

/**
 * Sends a message that promises durability, once every write requested before it is on disk. Sent earlier, a crash right after it
 * would revoke a vote or an acknowledged entry, and a committed change would be lost.
 */
export function sendWhenDurable(state: ConsensusState, to: Identity, message: Message): ConsensusStep {
    if (state.completedSyncId === state.requestedSyncId && to.diskId !== state.options.self.diskId) {
        return { state, effects: [send(to, message)] };
    }
    const held = [...state.heldMessages, { afterSyncId: state.requestedSyncId, to, message }];
    return { state: { ...state, heldMessages: held }, effects: [] };
}

export function isSelf(state: ConsensusState, identity: Identity): boolean {
    return identity.diskId === state.options.self.diskId;
}

export function configuredPeerIds(state: ConsensusState): string[] {
    return state.options.peers.map(peer => peer.id).sort();
}

export function otherPeers(state: ConsensusState): ConsensusState["options"]["peers"] {
    return state.options.peers.filter(peer => peer.id !== state.options.self.voterId);
}

/** Whether this process, with its current disk, is a voter in the newest membership it knows. */
export function isVoter(state: ConsensusState): boolean {
    return state.membership?.voters.some(voter => voter.diskId === state.options.self.diskId) ?? false;
}

/**
 * Whether this voter may campaign. A voter that the newest membership removes still may while that membership is not known to be
 * committed: it may be the only one that holds the change, and without it no leader could be elected.
 */
export function mayCampaign(state: ConsensusState): boolean {
    const previousMembership = state.membershipIndex > state.commitIndex
        ? newestMembership(state.log, state.membershipIndex).membership
        : undefined;
    return isVoter(state) || (previousMembership?.voters.some(voter => voter.diskId === state.options.self.diskId) ?? false);
}

/** Whether the disks in `diskIds` are a majority of the voters. */
export function isQuorum(membership: Membership, diskIds: ReadonlySet<string>): boolean {
    const count = membership.voters.filter(voter => diskIds.has(voter.diskId)).length;
    return count * 2 > membership.voters.length;
}

/** Returns the highest value that a majority of the voters has reached. */
export function quorumValue(membership: Membership, valueOf: (diskId: string) => number): number {
    const values = membership.voters.map(voter => valueOf(voter.diskId)).sort((a, b) => b - a);
    return values[Math.floor(membership.voters.length / 2)]!;
}

/** Appends entries at the leader, in memory and on disk; the leader counts itself as holding them only once they are on its disk. */
export function appendAsLeader(state: ConsensusState, payloads: readonly Payload[]): ConsensusStep {
    const first = state.log.baseIndex + state.log.entries.length + 1;
    const entries: Entry[] = payloads.map((payload, offset) => ({ index: first + offset, term: state.term, payload }));
    const membershipEntry = entries.findLast(entry => entry.payload.kind === "membership");
    const matchIndex = first + entries.length - 1;
    return chain(
        { ...state, log: withEntries(state.log, entries) },
        next => membershipEntry?.payload.kind === "membership"
            ? updateState(next, { membership: membershipEntry.payload.membership, membershipIndex: membershipEntry.index })
            : { state: next, effects: [] },
        next => persist(next, { entries }),
        next => sendWhenDurable(next, next.options.self, {
            kind: "append-response", term: next.term, success: true, matchIndex, prevIndex: 0, hintIndex: 0, round: 0, sentAtMs: 0,
        }),
    );
}

/** Returns the address of a process, from the newest membership, the settings or the reports of peers. */
export function addressOf(state: ConsensusState, voterId: string): string | undefined {
    return state.membership?.voters.find(voter => voter.voterId === voterId)?.address ??
        state.options.peers.find(peer => peer.id === voterId)?.address ??
        state.knownVoters.find(peer => peer.id === voterId)?.address ??
        state.namedPeers.find(peer => peer.id === voterId)?.address;
}
