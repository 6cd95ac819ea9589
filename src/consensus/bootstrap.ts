/**
 * How a process without a vote comes to one: it announces itself, and either the cluster forms, or a leader takes it in. A cluster
 * forms only when every process of the settings answers that it knows of none; the lowest id with a disk writes the first entry.
 *
 * @module
 */

import { chooseFirstVoter, learnVoters } from "./diskless.js";
import { startPreVote } from "./election.js";
import type { Identity, Membership, Message, MessageOf, Voter } from "./messages.js";
import { lastIndexOf, withEntries } from "./entries.js";
import { welcome } from "./membership.js";
import type { ConsensusState, ConsensusStep, Effect, PeerAnswer, SettingsPeer } from "./state.js";
import { chain, isVoter, otherPeers, persist, send, set, settingsIds } from "./steps.js";

/** Whether this process knows of no cluster: nothing is on its disk, or, without a disk, it has heard of no voters. */
function isEmpty(state: ConsensusState): boolean {
    return state.options.diskless ? state.knownVoters.length === 0 : lastIndexOf(state.log) === 0;
}

/** Whether this process asks to be taken in. One whose disk refuses writes can't vote: invited, it would keep others from their vote. */
function saysHello(state: ConsensusState): boolean {
    return state.storageFault === undefined && (!isVoter(state) || isForgotten(state));
}

/** The processes of the settings that don't vote: nobody else tells them who does. */
function strangers(state: ConsensusState): readonly SettingsPeer[] {
    const speaks = isVoter(state) && state.storageFault === undefined;
    const named = [...otherPeers(state), ...state.seeds];
    return speaks ? named.filter(peer => !state.membership!.voters.some(voter => voter.voterId === peer.id)) : [];
}

/** Whether this process has something to say each time a greeting is due. */
export function speaksAtHello(state: ConsensusState): boolean {
    return state.storageFault === undefined && (!isVoter(state) || strangers(state).length > 0);
}

/** Announces this process: to the processes of the settings for as long as its disk has no vote, and as a voter to those that have none. */
export function sayHello(state: ConsensusState, random: number): ConsensusStep {
    if (state.nowMs < state.helloDueMs || !(saysHello(state) || speaksAtHello(state))) {
        return { state, effects: [] };
    }
    const asked: ConsensusState = { ...state, helloDueMs: state.nowMs + state.options.timings.helloMs };
    return chain(asked, tellVoters, next => saysHello(next) ? greet(next, random) : { state: next, effects: [] });
}

/**
 * Processes without a disk forget the voters when they restart, and may be all that the settings of others name. Were they not told
 * again, entries and disks that start from them would look for the voters in vain.
 */
function tellVoters(state: ConsensusState): ConsensusStep {
    const message = helloResponse(state);
    return { state, effects: strangers(state).map(peer => ({ kind: "announce", toVoterId: peer.id, message })) };
}

function greet(state: ConsensusState, random: number): ConsensusStep {
    const { diskless, mayForm, isOpen, address } = state.options;
    const hello: Message = {
        kind: "hello", empty: isEmpty(state), address, voterIds: settingsIds(state),
        ...diskless ? { diskless: true } : {}, ...mayForm && isOpen ? { mayForm: true } : {},
    };
    // Without a disk there is nobody to be admitted by: only who votes is asked for. A disk that has lost its vote still names the voters
    // of its time, and only the leader among them can take it in again.
    const named = diskless ? state.knownVoters : [...state.namedPeers, ...votersNamed(state.membership)];
    const audience = [...otherPeers(state), ...state.seeds, ...named];
    const ids = new Set(audience.map(peer => peer.id).filter(id => id !== state.options.self.voterId));
    const effects = [...ids].map((toVoterId): Effect => ({ kind: "announce", toVoterId, message: hello }));
    return chain(state, next => ({ state: next, effects }), noteAwaited, next => formIfAllEmpty(next, random));
}

/** Whether this voter has heard no leader for so long that the others may count it out. */
function isForgotten(state: ConsensusState): boolean {
    const { isOpen, timings } = state.options;
    return isOpen && state.role.kind !== "leader" && state.nowMs - state.lastLeaderContactMs > timings.forgottenMs;
}

/** Logs whom this process waits for, once for each change. */
function noteAwaited(state: ConsensusState): ConsensusStep {
    if (state.options.diskless) {
        return { state, effects: [] };
    }
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

/** The processes of the settings that have a disk, once all of them have answered that they know of no cluster. */
function emptyPeers(state: ConsensusState): readonly Voter[] | undefined {
    const { self, peers } = state.options;
    const voters: Voter[] = [];
    for (const peer of peers) {
        const answer = state.peerAnswers[peer.id];
        if (peer.id === self.voterId) {
            voters.push({ ...self, address: peer.address });
        }
        else if (!answer?.empty || !answer.sameVoters) {
            return undefined;
        }
        else if (!answer.diskless) {
            voters.push({ voterId: peer.id, address: peer.address, diskId: answer.diskId });
        }
    }
    return voters;
}

/**
 * A majority whose disks were wiped looks like a new region to itself. Were it to form a cluster, everything accepted before
 * would be gone while another voter still holds it. So one voter that holds anything, or does not answer, stops the forming, as
 * does a process without a disk that knows of voters. The lowest id alone writes the first entry, or two entries would meet.
 *
 * Where no process of the settings has a disk, a disk that is not among them forms the cluster alone, if the lowest of them has
 * chosen it and no other: two that took it on themselves would form two clusters.
 */
function formIfAllEmpty(state: ConsensusState, random: number): ConsensusStep {
    const { self, diskless, mayForm, address } = state.options;
    const withDisks = diskless || !mayForm || !isEmpty(state) || state.membershipIndex > 0 ? undefined : emptyPeers(state);
    const lowest = state.peerAnswers[settingsIds(state)[0]!];
    const isChosen = withDisks?.length === 0 && lowest?.firstDiskId === self.diskId;
    const voters = isChosen ? [{ ...self, address }] : withDisks;
    const first = voters?.map(voter => voter.voterId).sort()[0];
    if (voters === undefined || first !== self.voterId) {
        return { state, effects: [] };
    }
    const membership: Membership = {
        clusterId: `${self.diskId.slice(0, 8)}-${Math.floor(random * 0x1_0000_0000).toString(16)}`, formed: false, voters: [...voters],
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

/** The voters of a membership as processes to be greeted. */
function votersNamed(membership: Membership | undefined): SettingsPeer[] {
    return membership?.voters.map(({ voterId, address }) => ({ id: voterId, address })) ?? [];
}

/** What this process knows of the cluster. */
function helloResponse(state: ConsensusState): MessageOf<"hello-response"> {
    const { diskless } = state.options;
    const voters = diskless
        ? state.knownVoters.map(({ id, address }) => ({ id, address }))
        : state.membership === undefined ? undefined : votersNamed(state.membership);
    return {
        kind: "hello-response", empty: isEmpty(state), voterIds: settingsIds(state), ...voters === undefined ? {} : { voters },
        ...diskless ? { diskless: true } : {}, ...state.firstDiskId === undefined ? {} : { firstDiskId: state.firstDiskId },
    };
}

export function onHello(state: ConsensusState, from: Identity, message: MessageOf<"hello">): ConsensusStep {
    const answered = { ...state, namedPeers: withPeer(state, { id: from.voterId, address: message.address }) };
    return chain(
        answered,
        next => chooseFirstVoter(next, from, message),
        next => ({ state: next, effects: [send(from, helloResponse(next))] }),
        // A process without a disk would forget what it acknowledged.
        next => message.diskless ? { state: next, effects: [] } : welcome(next, from, message.address),
    );
}

/** Greets the processes that the settings name by now: those named at the start may all be gone. */
export function onSeedsChanged(state: ConsensusState, seeds: readonly SettingsPeer[]): ConsensusStep {
    return set(state, { namedPeers: withPeers(state, seeds), seeds });
}

/** How many processes without a vote are remembered, so that they can be answered. */
const mostNamedPeers = 64;

function withPeer(state: ConsensusState, peer: { readonly id: string; readonly address: string }): ConsensusState["namedPeers"] {
    const isKnown = state.options.peers.some(other => other.id === peer.id) || state.namedPeers.some(other => other.id === peer.id);
    return isKnown || peer.id === state.options.self.voterId ? state.namedPeers : [...state.namedPeers, peer].slice(-mostNamedPeers);
}

export function onHelloResponse(state: ConsensusState, from: Identity, message: MessageOf<"hello-response">, random: number): ConsensusStep {
    if (isVoter(state)) {
        // The leader may be none of the voters that this disk still names.
        return set(state, { namedPeers: withPeers(state, message.voters ?? []) });
    }
    const sameVoters = message.voterIds.join("\n") === settingsIds(state).join("\n");
    const answer: PeerAnswer = {
        diskId: from.diskId, empty: message.empty, sameVoters, diskless: message.diskless ?? false, firstDiskId: message.firstDiskId,
    };
    return chain(
        state,
        next => set(next, { peerAnswers: { ...next.peerAnswers, [from.voterId]: answer } }),
        next => next.options.diskless
            ? learnVoters(next, from, message.voters)
            : set(next, { namedPeers: withPeers(next, message.voters ?? []) }),
        noteAwaited,
        next => formIfAllEmpty(next, random),
    );
}

function withPeers(state: ConsensusState, peers: readonly SettingsPeer[]): ConsensusState["namedPeers"] {
    return peers.reduce((next, peer) => ({ ...next, namedPeers: withPeer(next, peer) }), state).namedPeers;
}
