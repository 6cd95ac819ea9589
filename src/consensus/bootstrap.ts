/**
 * How a process without a vote becomes a voter: it announces itself, and either a new cluster forms or a leader admits it. A cluster
 * forms only when every process named in the settings answers that it knows of none; the process with the lowest id among those with
 * a disk writes the first entry.
 *
 * @module
 */

import { chooseFirstVoter, updateKnownVoters } from "./diskless.js";
import { startPreVote } from "./election.js";
import type { Identity, Membership, Message, MessageOf, Voter } from "./messages.js";
import { lastIndexOf, withEntries } from "./entries.js";
import { onAnnouncement } from "./membership.js";
import type { ConsensusState, ConsensusStep, Effect, PeerAnswer, SettingsPeer } from "./state.js";
import { chain, isVoter, otherPeers, persist, send, updateState, configuredPeerIds } from "./steps.js";

/** Whether this process knows of no cluster: its disk is empty or, without a disk, it knows of no voters. */
function isEmpty(state: ConsensusState): boolean {
    return state.options.diskless ? state.knownVoters.length === 0 : lastIndexOf(state.log) === 0;
}

/** Whether this process asks to be admitted. If its disk refuses writes it can't vote, and its admission would block others. */
function seeksAdmission(state: ConsensusState): boolean {
    return state.storageFault === undefined && (!isVoter(state) || mayHaveLostVote(state));
}

/** Processes named in the settings that are not voters: they may have no other way to learn who the voters are. */
function nonVotingPeers(state: ConsensusState): readonly SettingsPeer[] {
    const isActiveVoter = isVoter(state) && state.storageFault === undefined;
    const peers = [...otherPeers(state), ...state.seeds];
    return isActiveVoter ? peers.filter(peer => !state.membership!.voters.some(voter => voter.voterId === peer.id)) : [];
}

/** Whether this process has an announcement to send at each hello interval. */
export function needsHelloTimer(state: ConsensusState): boolean {
    return state.storageFault === undefined && (!isVoter(state) || nonVotingPeers(state).length > 0);
}

/** Once per hello interval: tells processes without a vote who the voters are, and, without a vote itself, asks to be admitted. */
export function announceIfDue(state: ConsensusState, random: number): ConsensusStep {
    if (state.nowMs < state.helloDueMs || !(seeksAdmission(state) || needsHelloTimer(state))) {
        return { state, effects: [] };
    }
    const rescheduled: ConsensusState = { ...state, helloDueMs: state.nowMs + state.options.timings.helloMs };
    return chain(rescheduled, announceVoters, next => seeksAdmission(next) ? announceSelf(next, random) : { state: next, effects: [] });
}

/**
 * Sends the voters to processes without a vote. Those without a disk forget the voters when they restart, and may be the only ones
 * that the settings of others name. If the voters did not announce themselves again, entries and disks that start from those processes
 * could not find them.
 */
function announceVoters(state: ConsensusState): ConsensusStep {
    const message = helloResponse(state);
    return { state, effects: nonVotingPeers(state).map(peer => ({ kind: "announce", toVoterId: peer.id, message })) };
}

/** Sends a hello to every known process, and forms a cluster if all of them are known to be empty. */
function announceSelf(state: ConsensusState, random: number): ConsensusStep {
    const { diskless, mayForm, isOpen, address } = state.options;
    const hello: Message = {
        kind: "hello", empty: isEmpty(state), address, voterIds: configuredPeerIds(state),
        ...diskless ? { diskless: true } : {}, ...mayForm && isOpen ? { mayForm: true } : {},
    };
    // A process without a disk can't be admitted and only asks for the voters. A disk that has lost its vote also asks the voters of its
    // last membership, since only the leader can admit it again.
    const knownPeers = diskless ? state.knownVoters : [...state.namedPeers, ...votersAsPeers(state.membership)];
    const recipients = [...otherPeers(state), ...state.seeds, ...knownPeers];
    const ids = new Set(recipients.map(peer => peer.id).filter(id => id !== state.options.self.voterId));
    const effects = [...ids].map((toVoterId): Effect => ({ kind: "announce", toVoterId, message: hello }));
    return chain(state, next => ({ state: next, effects }), logWaitReason, next => formIfAllEmpty(next, random));
}

/** Whether this voter has had no contact with a leader for so long that the others may have removed it. */
function mayHaveLostVote(state: ConsensusState): boolean {
    const { isOpen, timings } = state.options;
    return isOpen && state.role.kind !== "leader" && state.nowMs - state.lastLeaderContactAtMs > timings.rejoinAfterMs;
}

/** Logs which processes this one waits for, whenever that changes. */
function logWaitReason(state: ConsensusState): ConsensusStep {
    if (state.options.diskless) {
        return { state, effects: [] };
    }
    const silent = otherPeers(state).filter(peer => state.peerAnswers[peer.id] === undefined).map(peer => peer.id);
    const differing = otherPeers(state).filter(peer => state.peerAnswers[peer.id]?.sameVoters === false).map(peer => peer.id);
    const nonEmpty = otherPeers(state).filter(peer => state.peerAnswers[peer.id]?.empty === false).map(peer => peer.id);
    const line = nonEmpty.length > 0
        ? `consensus: this disk has no vote; ${nonEmpty.join(", ")} hold the region's state; waiting to catch up and be admitted`
        : differing.length > 0
            ? `consensus: cannot form: the settings of ${differing.join(", ")} name other voters`
            : silent.length > 0
                ? `consensus: cannot form yet: waiting for an answer from ${silent.join(", ")}`
                : "consensus: every voter is empty; waiting for the first entry";
    if (line === state.lastWaitLine) {
        return { state, effects: [] };
    }
    return { state: { ...state, lastWaitLine: line }, effects: [{ kind: "log", line }] };
}

/** Returns the processes of the settings that have a disk, once all of the others have answered that they know of no cluster. */
function findFirstVoters(state: ConsensusState): readonly Voter[] | undefined {
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
 * Forms a cluster if every process of the settings is empty. To a majority whose disks were wiped, the region looks new; if it formed
 * a cluster, everything accepted before would be lost although another voter still holds it. So a voter that holds any state or does
 * not answer prevents forming, as does a process without a disk that knows of voters. Only the lowest id writes the first entry, so
 * that there are no two conflicting ones.
 *
 * If no process of the settings has a disk, a disk that is not among them forms the cluster alone, provided that the process with the
 * lowest id has chosen it: two disks that each decided for themselves would form two clusters.
 */
function formIfAllEmpty(state: ConsensusState, random: number): ConsensusStep {
    const { self, diskless, mayForm, address } = state.options;
    const firstVoters = diskless || !mayForm || !isEmpty(state) || state.membershipIndex > 0 ? undefined : findFirstVoters(state);
    const lowestPeerAnswer = state.peerAnswers[configuredPeerIds(state)[0]!];
    const isChosen = firstVoters?.length === 0 && lowestPeerAnswer?.firstDiskId === self.diskId;
    const voters = isChosen ? [{ ...self, address }] : firstVoters;
    const lowestVoterId = voters?.map(voter => voter.voterId).sort()[0];
    if (voters === undefined || lowestVoterId !== self.voterId) {
        return { state, effects: [] };
    }
    const membership: Membership = {
        clusterId: `${self.diskId.slice(0, 8)}-${Math.floor(random * 0x1_0000_0000).toString(16)}`, formed: false, voters: [...voters],
    };
    const term = Math.max(1, state.term);
    const entry = { index: 1, term, payload: { kind: "membership" as const, membership } };
    const forming: ConsensusState = { ...state, term, log: withEntries(state.log, [entry]), membership, membershipIndex: 1 };
    return chain(
        forming,
        next => persist(next, { vote: { term, votedFor: next.votedFor }, entries: [entry] }),
        next => ({ state: next, effects: [{ kind: "log", line: "consensus: every voter is empty; forming the cluster" }] }),
        next => startPreVote(next, random),
    );
}

/** Returns the voters of a membership as recipients of a hello. */
function votersAsPeers(membership: Membership | undefined): SettingsPeer[] {
    return membership?.voters.map(({ voterId, address }) => ({ id: voterId, address })) ?? [];
}

/** Builds a response with what this process knows of the cluster. */
function helloResponse(state: ConsensusState): MessageOf<"hello-response"> {
    const { diskless } = state.options;
    const voters = diskless
        ? state.knownVoters.map(({ id, address }) => ({ id, address }))
        : state.membership === undefined ? undefined : votersAsPeers(state.membership);
    return {
        kind: "hello-response", empty: isEmpty(state), voterIds: configuredPeerIds(state), ...voters === undefined ? {} : { voters },
        ...diskless ? { diskless: true } : {}, ...state.firstDiskId === undefined ? {} : { firstDiskId: state.firstDiskId },
    };
}

export function onHello(state: ConsensusState, from: Identity, message: MessageOf<"hello">): ConsensusStep {
    const withSender = { ...state, namedPeers: withNamedPeer(state, { id: from.voterId, address: message.address }) };
    return chain(
        withSender,
        next => chooseFirstVoter(next, from, message),
        next => ({ state: next, effects: [send(from, helloResponse(next))] }),
        // A process without a disk would lose the entries it acknowledged, so it is not admitted.
        next => message.diskless ? { state: next, effects: [] } : onAnnouncement(next, from, message.address),
    );
}

/** Records the processes that changed settings name, so that hellos reach them: those named at startup may all be gone. */
export function onSeedsChanged(state: ConsensusState, seeds: readonly SettingsPeer[]): ConsensusStep {
    return updateState(state, { namedPeers: withNamedPeers(state, seeds), seeds });
}

/** Maximum number of processes remembered, with their addresses, so that they can be answered although the settings don't name them. */
const maxNamedPeers = 64;

function withNamedPeer(state: ConsensusState, peer: { readonly id: string; readonly address: string }): ConsensusState["namedPeers"] {
    const isKnown = state.options.peers.some(other => other.id === peer.id) ||
        state.namedPeers.some(other => other.id === peer.id);
    return isKnown || peer.id === state.options.self.voterId
        ? state.namedPeers
        : [...state.namedPeers, peer].slice(-maxNamedPeers);
}

export function onHelloResponse(state: ConsensusState, from: Identity, message: MessageOf<"hello-response">, random: number): ConsensusStep {
    if (isVoter(state)) {
        // The current leader may not be among the voters of this disk's last membership.
        return updateState(state, { namedPeers: withNamedPeers(state, message.voters ?? []) });
    }
    const sameVoters = message.voterIds.join("\n") === configuredPeerIds(state).join("\n");
    const answer: PeerAnswer = {
        diskId: from.diskId, empty: message.empty, sameVoters, diskless: message.diskless ?? false, firstDiskId: message.firstDiskId,
    };
    return chain(
        state,
        next => updateState(next, { peerAnswers: { ...next.peerAnswers, [from.voterId]: answer } }),
        next => next.options.diskless
            ? updateKnownVoters(next, from, message.voters)
            : updateState(next, { namedPeers: withNamedPeers(next, message.voters ?? []) }),
        logWaitReason,
        next => formIfAllEmpty(next, random),
    );
}

function withNamedPeers(state: ConsensusState, peers: readonly SettingsPeer[]): ConsensusState["namedPeers"] {
    return peers.reduce((next, peer) => ({ ...next, namedPeers: withNamedPeer(next, peer) }), state).namedPeers;
}
