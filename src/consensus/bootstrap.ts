/**
 * How a process without a vote comes to one: it announces itself, and either the cluster forms, or a leader takes it in. A cluster
 * forms only when every voter of the settings answers that it is empty; the lowest id writes the first entry.
 *
 * @module
 */

import { startPreVote } from "./election.js";
import type { Identity, Membership, MessageOf } from "./messages.js";
import { lastIndexOf, withEntries } from "./entries.js";
import { invite } from "./membership.js";
import { freshProgress, withProgress } from "./replication.js";
import type { ConsensusState, ConsensusStep, Effect } from "./state.js";
import { chain, isVoter, persist, send, set } from "./steps.js";

export function isEmpty(state: ConsensusState): boolean {
    return lastIndexOf(state.log) === 0;
}

function settingsIds(state: ConsensusState): string[] {
    return state.options.peers.map(peer => peer.id).sort();
}

function otherPeers(state: ConsensusState) {
    return state.options.peers.filter(peer => peer.id !== state.options.self.voterId);
}

/** Announces this process to the voters of the settings for as long as its disk has no vote. */
export function sayHello(state: ConsensusState, random: number): ConsensusStep {
    if ((isVoter(state) && !isForgotten(state)) || state.nowMs < state.helloDueMs) {
        return { state, effects: [] };
    }
    const voterIds = settingsIds(state);
    const hello = { kind: "hello" as const, empty: isEmpty(state), address: state.options.address, voterIds };
    const effects: Effect[] = [...otherPeers(state), ...state.namedPeers].map(peer => ({ kind: "announce", toVoterId: peer.id, message: hello }));
    const asked: ConsensusState = { ...state, helloDueMs: state.nowMs + state.options.timings.helloMs };
    return chain(asked, next => ({ state: next, effects }), noteAwaited, next => formIfAllEmpty(next, random));
}

/** Whether this voter has heard no leader for so long that the others may count it out. */
function isForgotten(state: ConsensusState): boolean {
    const { isOpen, timings } = state.options;
    return isOpen && state.role.kind !== "leader" && state.nowMs - state.lastLeaderContactMs > timings.forgottenMs;
}

/** Logs whom this process waits for, once for each change. */
function noteAwaited(state: ConsensusState): ConsensusStep {
    const silent = otherPeers(state).filter(peer => state.peerAnswers[peer.id] === undefined).map(peer => peer.id);
    const differing = otherPeers(state).filter(peer => state.peerAnswers[peer.id]?.sameVoters === false).map(peer => peer.id);
    const holding = otherPeers(state).filter(peer => state.peerAnswers[peer.id]?.empty === false).map(peer => peer.id);
    const line = holding.length > 0
        ? `consensus: this disk has no vote; ${holding.join(", ")} hold the region's state; awaiting to be caught up and admitted`
        : differing.length > 0
            ? `consensus: cannot form: the settings of ${differing.join(", ")} name other voters`
            : silent.length > 0
                ? `consensus: cannot form yet: awaiting an answer of ${silent.join(", ")}`
                : "consensus: every voter is empty; awaiting the first entry";
    if (line === state.awaited) {
        return { state, effects: [] };
    }
    return { state: { ...state, awaited: line }, effects: [{ kind: "log", line }] };
}

/**
 * A majority whose disks were wiped looks like a new region to itself. Were it to form a cluster, everything accepted before
 * would be gone while the third voter still holds it. So one voter that holds anything, or does not answer, stops the forming.
 */
function formIfAllEmpty(state: ConsensusState, random: number): ConsensusStep {
    const { self, mayForm, peers } = state.options;
    if (!mayForm || !peers.some(peer => peer.id === self.voterId)) {
        return { state, effects: [] };
    }
    const lowest = settingsIds(state)[0] === self.voterId;
    const ready = otherPeers(state).every(peer => state.peerAnswers[peer.id]?.empty && state.peerAnswers[peer.id]?.sameVoters);
    if (!lowest || !ready || !isEmpty(state) || state.membershipIndex > 0) {
        return { state, effects: [] };
    }
    const membership: Membership = {
        clusterId: `${self.diskId.slice(0, 8)}-${Math.floor(random * 0x1_0000_0000).toString(16)}`,
        formed: false,
        voters: state.options.peers.map(peer => ({
            voterId: peer.id,
            address: peer.address,
            diskId: peer.id === self.voterId ? self.diskId : state.peerAnswers[peer.id]!.diskId,
        })),
    };
    const term = Math.max(1, state.term);
    const entry = { index: 1, term, payload: { kind: "membership" as const, membership } };
    const formed: ConsensusState = { ...state, term, log: withEntries(state.log, [entry]), membership, membershipIndex: 1 };
    return chain(
        formed,
        next => persist(next, { vote: { term, votedFor: next.votedFor }, entries: [entry] }),
        next => ({ state: next, effects: [{ kind: "log", line: "consensus: every voter is empty; forming the cluster" }] }),
        next => startPreVote(next, random),
    );
}

export function onHello(state: ConsensusState, from: Identity, message: MessageOf<"hello">): ConsensusStep {
    const voterIds = settingsIds(state);
    const voters = state.membership?.voters.map(voter => ({ id: voter.voterId, address: voter.address }));
    const answered = { ...state, namedPeers: withPeer(state, { id: from.voterId, address: message.address }) };
    const response = send(from, { kind: "hello-response", empty: isEmpty(state), voterIds, ...voters === undefined ? {} : { voters } });
    return chain(
        answered,
        next => ({ state: next, effects: [response] }),
        next => invite(next, from, message.address),
        next => ({ state: takeInLearner(next, from, message.address), effects: [] }),
    );
}

/** How many processes without a vote are remembered, so that they can be answered. */
const mostNamedPeers = 64;

function withPeer(state: ConsensusState, peer: { readonly id: string; readonly address: string }): ConsensusState["namedPeers"] {
    const isKnown = state.options.peers.some(other => other.id === peer.id) || state.namedPeers.some(other => other.id === peer.id);
    return isKnown || peer.id === state.options.self.voterId ? state.namedPeers : [...state.namedPeers, peer].slice(-mostNamedPeers);
}

/** Lets the leader replicate to a disk that stands for a known voter or for one that is to be added. */
function takeInLearner(state: ConsensusState, from: Identity, address: string): ConsensusState {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined || role.progress[from.diskId] !== undefined) {
        return state;
    }
    const expected = membership.admitting?.voterId === from.voterId || membership.voters.some(voter => voter.voterId === from.voterId);
    if (!expected || from.diskId === state.options.self.diskId) {
        return state;
    }
    return withProgress(state, { ...freshProgress(state, { ...from, address }), nextIndex: 1 });
}

export function onHelloResponse(state: ConsensusState, from: Identity, message: MessageOf<"hello-response">, random: number): ConsensusStep {
    if (isVoter(state)) {
        return { state, effects: [] };
    }
    const sameVoters = message.voterIds.join("\n") === settingsIds(state).join("\n");
    const answer = { diskId: from.diskId, empty: message.empty, sameVoters };
    const named = (message.voters ?? []).reduce((next, peer) => ({ ...next, namedPeers: withPeer(next, peer) }), state);
    return chain(
        named,
        next => set(next, { peerAnswers: { ...next.peerAnswers, [from.voterId]: answer } }),
        noteAwaited,
        next => formIfAllEmpty(next, random),
    );
}
