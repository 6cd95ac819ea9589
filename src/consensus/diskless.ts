/**
 * The role of a process without a disk: it never votes, learns who the voters are and passes that on to others. If no process of
 * the settings has a disk, the one with the lowest id chooses the disk that forms the cluster.
 *
 * @module
 */

import type { Identity, MessageOf } from "./messages.js";
import type { ConsensusState, ConsensusStep, KnownVoter } from "./state.js";
import { otherPeers, configuredPeerIds } from "./steps.js";

/** Number of hello intervals without an answer after which a voter is considered unreachable. */
const maxMissedHellos = 3;

/** Whether a voter has answered recently. */
export function isAnswering(state: ConsensusState, voter: KnownVoter): boolean {
    return state.nowMs - voter.heardAtMs < maxMissedHellos * state.options.timings.helloMs;
}

/**
 * Updates the known voters. A list sent by a voter replaces the known one. Another process without a disk may send an outdated list,
 * and two of them could keep it alive between them, so their lists are used only while no voter answers.
 */
export function updateKnownVoters(state: ConsensusState, from: Identity, voters: MessageOf<"hello-response">["voters"]): ConsensusStep {
    const isFromVoter = voters?.some(voter => voter.id === from.voterId) ?? false;
    const hasAnsweringVoter = state.knownVoters.some(voter => isAnswering(state, voter));
    if (voters === undefined || voters.length === 0 || (!isFromVoter && hasAnsweringVoter)) {
        return { state, effects: [] };
    }
    const heardAtMs = (id: string) => id === from.voterId
        ? state.nowMs
        : state.knownVoters.find(voter => voter.id === id)?.heardAtMs ?? Number.NEGATIVE_INFINITY;
    const knownVoters = voters.map(voter => ({ ...voter, heardAtMs: heardAtMs(voter.id) }));
    const joinIds = (known: readonly KnownVoter[]) => known.map(voter => voter.id).join(", ");
    const hasChanged = joinIds(knownVoters) !== joinIds(state.knownVoters);
    const line = `consensus: no disk here; the voters are ${joinIds(knownVoters)}`;
    return { state: { ...state, knownVoters }, effects: hasChanged ? [{ kind: "log", line }] : [] };
}

/**
 * Chooses the sender of a hello to form the cluster, if no process of the settings has a disk. It is not chosen in the following
 * cases, because each could lead to two clusters:
 *
 * - This process does not have the lowest id: two processes would choose two disks.
 * - A disk was chosen before: it may have formed a cluster unnoticed.
 * - This or another process of the settings knows of voters, or one does not answer: a cluster may exist.
 * - A process of the settings has a disk: the processes with disks form the cluster.
 * - Less than a hello interval has passed since startup: existing voters may not have announced themselves yet.
 * - The settings of this process or of the sender forbid it: the site has existed before.
 */
export function chooseFirstVoter(state: ConsensusState, from: Identity, message: MessageOf<"hello">): ConsensusStep {
    const { options } = state;
    const mayChoose = options.diskless && options.mayForm && configuredPeerIds(state)[0] === options.self.voterId;
    const isEligible = message.mayForm === true && message.empty && message.diskless === undefined;
    const hasWaited = state.nowMs - state.startedAtMs >= options.timings.helloMs;
    const knowsNoCluster = state.knownVoters.length === 0 && state.firstDiskId === undefined;
    const peersKnowNoCluster = otherPeers(state).every(peer => {
        const answer = state.peerAnswers[peer.id];
        return answer !== undefined && answer.diskless && answer.empty && answer.sameVoters;
    });
    if (!mayChoose || !isEligible || !hasWaited || !knowsNoCluster || !peersKnowNoCluster) {
        return { state, effects: [] };
    }
    const line = `consensus: no configured process has a disk; ${from.voterId} forms the cluster`;
    return { state: { ...state, firstDiskId: from.diskId }, effects: [{ kind: "log", line }] };
}
