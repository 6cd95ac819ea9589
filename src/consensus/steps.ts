/**
 * Small steps that the parts of the consensus reducer share: chaining, asking for durable writes, sending, counting quorums.
 *
 * @module
 */

import { newestMembership, withEntries } from "./entries.js";
import type { Entry, Identity, Membership, Message, Payload } from "./messages.js";
import type { ConsensusState, ConsensusStep, Effect, LeaderRole, PersistEffect } from "./state.js";

/** Goes on from `earlier` with `next`, keeping the effects in order. */
export function andThen(earlier: ConsensusStep, next: (state: ConsensusState) => ConsensusStep): ConsensusStep {
    const later = next(earlier.state);
    return later.effects.length === 0
        ? { state: later.state, effects: earlier.effects }
        : { state: later.state, effects: [...earlier.effects, ...later.effects] };
}

/** Goes on with each of `nexts` in turn. */
export function chain(state: ConsensusState, ...nexts: ((state: ConsensusState) => ConsensusStep)[]): ConsensusStep {
    return nexts.reduce<ConsensusStep>(andThen, { state, effects: [] });
}

/** Changes the state alone. */
export function set(state: ConsensusState, change: Partial<ConsensusState>): ConsensusStep {
    return { state: { ...state, ...change }, effects: [] };
}

export function withRole(state: ConsensusState, change: Partial<LeaderRole>): ConsensusState {
    return state.role.kind === "leader" ? { ...state, role: { ...state.role, ...change } } : state;
}

/** Asks for a durable write. */
export function persist(state: ConsensusState, write: Omit<PersistEffect, "kind" | "syncId">): ConsensusStep {
    const syncId = state.requestedSyncId + 1;
    return { state: { ...state, requestedSyncId: syncId }, effects: [{ kind: "persist", syncId, ...write }] };
}

export function persistVote(state: ConsensusState): ConsensusStep {
    return persist(state, { vote: { term: state.term, votedFor: state.votedFor } });
}

export function send(to: Identity, message: Message): Effect {
    return { kind: "send", to, message };
}

/**
 * Sends a message that promises durability. Were it to leave before the write is on disk, a crash right after would take back
 * a vote or an acknowledged entry, and a committed change would be lost. So it waits for every write asked for before it.
 */
export function sendWhenDurable(state: ConsensusState, to: Identity, message: Message): ConsensusStep {
    if (state.completedSyncId === state.requestedSyncId && to.diskId !== state.options.self.diskId) {
        return { state, effects: [send(to, message)] };
    }
    const held = [...state.held, { afterSyncId: state.requestedSyncId, to, message }];
    return { state: { ...state, held }, effects: [] };
}

export function isSelf(state: ConsensusState, identity: Identity): boolean {
    return identity.diskId === state.options.self.diskId;
}

export function settingsIds(state: ConsensusState): string[] {
    return state.options.peers.map(peer => peer.id).sort();
}

export function otherPeers(state: ConsensusState): ConsensusState["options"]["peers"] {
    return state.options.peers.filter(peer => peer.id !== state.options.self.voterId);
}

/** Whether this very disk is a voter by the newest membership it knows. */
export function isVoter(state: ConsensusState): boolean {
    return state.membership?.voters.some(voter => voter.diskId === state.options.self.diskId) ?? false;
}

/**
 * Whether this voter may campaign: also one that the newest membership leaves out, as long as that membership may not be committed.
 * It may be the only one that holds the change; if it stood aside, nobody could be elected, and the region would stand still.
 */
export function mayCampaign(state: ConsensusState): boolean {
    const earlier = state.membershipIndex > state.commitIndex ? newestMembership(state.log, state.membershipIndex).membership : undefined;
    return isVoter(state) || (earlier?.voters.some(voter => voter.diskId === state.options.self.diskId) ?? false);
}

/** Whether the disks in `diskIds` are enough to decide: a majority, and all of them while the cluster forms. */
export function isQuorum(membership: Membership, diskIds: ReadonlySet<string>): boolean {
    const count = membership.voters.filter(voter => diskIds.has(voter.diskId)).length;
    return count * 2 > membership.voters.length;
}

/** The highest value that a majority of the voters has reached. */
export function quorumValue(membership: Membership, valueOf: (diskId: string) => number): number {
    const values = membership.voters.map(voter => valueOf(voter.diskId)).sort((a, b) => b - a);
    return values[Math.floor(membership.voters.length / 2)]!;
}

/** Appends entries at the leader: into memory and towards the disk; they count here once they are on it. */
export function appendOwn(state: ConsensusState, payloads: readonly Payload[]): ConsensusStep {
    const first = state.log.baseIndex + state.log.entries.length + 1;
    const entries: Entry[] = payloads.map((payload, place) => ({ index: first + place, term: state.term, payload }));
    const membershipEntry = entries.findLast(entry => entry.payload.kind === "membership");
    const matchIndex = first + entries.length - 1;
    return chain(
        { ...state, log: withEntries(state.log, entries) },
        next => membershipEntry?.payload.kind === "membership"
            ? set(next, { membership: membershipEntry.payload.membership, membershipIndex: membershipEntry.index })
            : { state: next, effects: [] },
        next => persist(next, { entries }),
        next => sendWhenDurable(next, next.options.self, {
            kind: "append-response", term: next.term, success: true, matchIndex, prevIndex: 0, hintIndex: 0, round: 0, sentAtMs: 0,
        }),
    );
}

/** The address of an identity's voter, from the newest membership, the settings or what others have told. */
export function addressOf(state: ConsensusState, voterId: string): string | undefined {
    return state.membership?.voters.find(voter => voter.voterId === voterId)?.address ??
        state.options.peers.find(peer => peer.id === voterId)?.address ??
        state.knownVoters.find(peer => peer.id === voterId)?.address ??
        state.namedPeers.find(peer => peer.id === voterId)?.address;
}
