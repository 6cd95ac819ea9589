/**
 * The part of a process without a disk: it never votes, learns from the voters who votes, and tells that to whoever asks. Where no
 * process of the settings has a disk, the one with the lowest id chooses the disk that forms the cluster.
 *
 * @module
 */

import type { Identity, MessageOf } from "./messages.js";
import type { ConsensusState, ConsensusStep, KnownVoter } from "./state.js";
import { otherPeers, settingsIds } from "./steps.js";

/** Rounds of greetings after which a voter that has not answered is taken to be out of reach. */
const answeringRounds = 3;

/** Whether a voter has answered lately. */
export function isAnswering(state: ConsensusState, voter: KnownVoter): boolean {
    return state.nowMs - voter.heardAtMs < answeringRounds * state.options.timings.helloMs;
}

/**
 * Takes in who votes. What a voter says replaces what was known. Another process without a disk may repeat an old list, and two of
 * them would keep it alive between them, so theirs counts only while no voter answers.
 */
export function learnVoters(state: ConsensusState, from: Identity, voters: MessageOf<"hello-response">["voters"]): ConsensusStep {
    const isToldByVoter = voters?.some(voter => voter.id === from.voterId) ?? false;
    const isInTouch = state.knownVoters.some(voter => isAnswering(state, voter));
    if (voters === undefined || voters.length === 0 || (!isToldByVoter && isInTouch)) {
        return { state, effects: [] };
    }
    const heardAtMs = (id: string) => id === from.voterId
        ? state.nowMs
        : state.knownVoters.find(voter => voter.id === id)?.heardAtMs ?? Number.NEGATIVE_INFINITY;
    const knownVoters = voters.map(voter => ({ ...voter, heardAtMs: heardAtMs(voter.id) }));
    const names = (known: readonly KnownVoter[]) => known.map(voter => voter.id).join(", ");
    const isNews = names(knownVoters) !== names(state.knownVoters);
    const line = `consensus: no disk here; the voters are ${names(knownVoters)}`;
    return { state: { ...state, knownVoters }, effects: isNews ? [{ kind: "log", line }] : [] };
}

/**
 * Chooses the sender of a greeting to form the cluster, where no process of the settings has a disk. Each condition answers one way
 * in which two clusters could come about:
 *
 * - Not the lowest id: two processes would choose two disks.
 * - A disk was chosen before: it may have formed, unheard.
 * - Voters are known here or to any other process of the settings, or one of these does not answer: a cluster may exist.
 * - One of them has a disk: those with disks form.
 * - No round of greetings has passed since the start: voters announce themselves once a round, and may not have been heard yet.
 * - The settings here or there forbid it: the site has existed.
 */
export function chooseFirstVoter(state: ConsensusState, from: Identity, message: MessageOf<"hello">): ConsensusStep {
    const { options } = state;
    const isMine = options.diskless && options.mayForm && settingsIds(state)[0] === options.self.voterId;
    const isFit = message.mayForm === true && message.empty && message.diskless === undefined;
    const hasWaited = state.nowMs - state.startedAtMs >= options.timings.helloMs;
    const noneKnown = state.knownVoters.length === 0 && state.firstDiskId === undefined;
    const noneElsewhere = otherPeers(state).every(peer => {
        const answer = state.peerAnswers[peer.id];
        return answer !== undefined && answer.diskless && answer.empty && answer.sameVoters;
    });
    if (!isMine || !isFit || !hasWaited || !noneKnown || !noneElsewhere) {
        return { state, effects: [] };
    }
    const line = `consensus: no process of the settings has a disk; ${from.voterId} forms the cluster`;
    return { state: { ...state, firstDiskId: from.diskId }, effects: [{ kind: "log", line }] };
}
