/**
 * Changes of who votes, one at a time. A wiped voter is taken back in two changes, first without its lost disk, then with its
 * new one: each pair of neighbouring memberships has overlapping majorities, also if the lost disk should come back one day.
 *
 * @module
 */

import { lastIndexOf } from "./entries.js";
import type { Identity, Membership, Voter } from "./messages.js";
import { becomeFollower } from "./roles.js";
import { freshProgress, replicate, withProgress } from "./replication.js";
import type { Answer, ConsensusState, ConsensusStep, LeaderRole, Progress } from "./state.js";
import { appendOwn, chain, isVoter, set, withRole } from "./steps.js";

/** Whether the leader may write a change of membership: it stays, the last one is committed, and so is an entry of its own term. */
function mayChange(state: ConsensusState): boolean {
    return state.role.kind === "leader" && !state.role.transferring && state.commitIndex >= state.membershipIndex && state.commitIndex >= state.role.termStartIndex;
}

function writeMembership(state: ConsensusState, membership: Membership, line: string): ConsensusStep {
    return chain(
        state,
        next => ({ state: next, effects: [{ kind: "log", line }] }),
        next => appendOwn(next, [{ kind: "membership", membership }]),
        next => ({ state: adjustProgress(next), effects: [] }),
        replicate,
    );
}

/** Follows up a change of membership: progress for every voter and every new disk of one, none for those that were voted out. */
function adjustProgress(state: ConsensusState): ConsensusState {
    const role = state.role as LeaderRole;
    const membership = state.membership!;
    const kept = Object.values(role.progress).filter(item =>
        membership.voters.some(voter => voter.voterId === item.voter.voterId) ||
        membership.admitting?.voterId === item.voter.voterId);
    const progress: Record<string, Progress> = Object.fromEntries(kept.map(item => [item.voter.diskId, item]));
    for (const voter of membership.voters) {
        if (voter.diskId !== state.options.self.diskId) {
            progress[voter.diskId] ??= freshProgress(state, voter);
        }
    }
    return withRole(state, { progress });
}

/** A disk without a vote that has on disk all that is committed, and answers. */
function caughtUpLearner(state: ConsensusState, fits: (voter: Voter) => boolean): Voter | undefined {
    const role = state.role as LeaderRole;
    const voting = new Set(state.membership!.voters.map(voter => voter.diskId));
    return Object.values(role.progress).find(item =>
        !voting.has(item.voter.diskId) &&
        fits(item.voter) &&
        item.matchIndex >= state.commitIndex &&
        state.nowMs - item.lastContactMs < state.options.timings.electionTimeoutMinMs)?.voter;
}

/** The next change that the leader makes by itself, if any. */
export function maintainMembership(state: ConsensusState): ConsensusStep {
    const { membership } = state;
    if (membership === undefined || !mayChange(state)) {
        return { state, effects: [] };
    }
    if (!isVoter(state)) {
        return becomeFollower(state, state.term, undefined);
    }
    if (!membership.formed) {
        return writeMembership(state, { ...membership, formed: true }, "consensus: every voter holds the first entry; the cluster has formed");
    }
    const { admitting } = membership;
    if (admitting !== undefined) {
        if (state.options.isOpen && hasGivenUp(state, admitting.voterId)) {
            const { clusterId, formed, voters } = membership;
            return writeMembership(state, { clusterId, formed, voters }, `consensus: ${admitting.voterId} has fallen silent before it could vote`);
        }
        const learner = caughtUpLearner(state, voter => voter.voterId === admitting.voterId);
        return learner === undefined ? { state, effects: [] } : replaceSilentOrAdmit(state, membership, learner);
    }
    const wiped = caughtUpLearner(state, voter => membership.voters.some(other => other.voterId === voter.voterId));
    if (wiped === undefined || membership.voters.length === 1) {
        const step = voteOutSilent(state, membership);
        return step.effects.length === 0 ? inviteWaiting(state) : step;
    }
    const voters = membership.voters.filter(voter => voter.voterId !== wiped.voterId);
    const line = `consensus: ${wiped.voterId} came back with a new disk and has caught up; its lost disk votes no more`;
    return writeMembership(state, { ...membership, voters, admitting: { voterId: wiped.voterId, address: wiped.address } }, line);
}

function isSilent(state: ConsensusState, progress: Progress | undefined): boolean {
    return progress !== undefined && state.nowMs - progress.lastContactMs > state.options.timings.silentMs;
}

/** Whether it shows by now which voters answer: each has answered lately, or has been silent for so long that it loses its vote. */
function isSettled(state: ConsensusState, membership: Membership): boolean {
    const role = state.role as LeaderRole;
    const lately = 2 * state.options.timings.heartbeatMs;
    return membership.voters.every(voter => {
        const progress = role.progress[voter.diskId];
        return progress === undefined || isSilent(state, progress) ||
            (state.nowMs - progress.lastContactMs <= lately && Number.isFinite(progress.confirmedSentMs));
    });
}

/**
 * Admits a process that has caught up, in the place of a silent voter if there is one. Added beside voters that never come back, each
 * successor would let the quorum grow, until the losses that the site states leave no majority.
 */
function replaceSilentOrAdmit(state: ConsensusState, membership: Membership, learner: Voter): ConsensusStep {
    const isBack = membership.voters.some(voter => voter.voterId === learner.voterId);
    if (!state.options.isOpen || isBack) {
        return admit(state, membership, learner);
    }
    if (!isSettled(state, membership)) {
        return { state, effects: [] };
    }
    const step = voteOutSilent(state, membership);
    return step.effects.length > 0 ? step : admit(state, membership, learner);
}

/** Whether whoever is to be admitted has not been heard since long before now. */
function hasGivenUp(state: ConsensusState, voterId: string): boolean {
    const role = state.role as LeaderRole;
    const learner = Object.values(role.progress).find(item =>
        item.voter.voterId === voterId && !state.membership!.voters.some(voter => voter.diskId === item.voter.diskId));
    const sinceMs = Math.max(role.sinceMs, learner?.lastContactMs ?? 0, state.invitedAtMs);
    return state.nowMs - sinceMs > state.options.timings.admissionMs;
}

/**
 * Votes out a silent voter of an even quorum, or one whose successor has caught up. A VM that was replaced never comes back, and its vote
 * would count against every majority for good; an even quorum bears no more losses with it than without it. A voter that does come back
 * asks to be taken in again.
 */
function voteOutSilent(state: ConsensusState, membership: Membership): ConsensusStep {
    const role = state.role as LeaderRole;
    const mayShrink = membership.voters.length % 2 === 0 || membership.admitting !== undefined;
    const silent = membership.voters.find(voter => isSilent(state, role.progress[voter.diskId]));
    if (!state.options.isOpen || !mayShrink || silent === undefined) {
        return { state, effects: [] };
    }
    const voters = membership.voters.filter(voter => voter.diskId !== silent.diskId);
    if (refusedRemoval(state, voters) !== undefined) {
        return { state, effects: [] };
    }
    return writeMembership(state, { ...membership, voters }, `consensus: ${silent.voterId} has been silent for long; it votes no more`);
}

/** Takes in a process that announced itself: it is caught up if it may vote, or is to be admitted where nobody else decides that. */
export function welcome(state: ConsensusState, from: Identity, address: string): ConsensusStep {
    return chain(
        state,
        next => invite(next, from, address),
        next => ({ state: takeInLearner(next, from, address), effects: [] }),
    );
}

function invite(state: ConsensusState, from: Identity, address: string): ConsensusStep {
    const { membership } = state;
    const isKnown = membership?.voters.some(voter => voter.voterId === from.voterId) ?? true;
    if (!state.options.isOpen || isKnown || state.role.kind !== "leader") {
        return { state, effects: [] };
    }
    const others = state.waiting.filter(voter => voter.voterId !== from.voterId);
    if (!mayChange(state) || !membership!.formed || membership!.admitting !== undefined) {
        return set(state, { waiting: [...others, { ...from, address, heardAtMs: state.nowMs }] });
    }
    const invited = { ...state, invitedAtMs: state.nowMs, waiting: others };
    return writeMembership(invited, { ...membership!, admitting: { voterId: from.voterId, address } }, `consensus: ${from.voterId} announced itself; it votes once it has caught up`);
}

/** Invites the next of those that announced themselves while another was admitted: acknowledgements rest on few disks until all vote. */
function inviteWaiting(state: ConsensusState): ConsensusStep {
    const [next, ...waiting] = state.waiting.filter(voter => state.nowMs - voter.heardAtMs < 2 * state.options.timings.helloMs);
    if (next === undefined) {
        return { state, effects: [] };
    }
    const { voterId, diskId, address } = next;
    return welcome({ ...state, waiting }, { voterId, diskId }, address);
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

function admit(state: ConsensusState, membership: Membership, learner: Voter): ConsensusStep {
    const voters = [...membership.voters, learner].sort((a, b) => a.voterId < b.voterId ? -1 : 1);
    const { clusterId, formed } = membership;
    return writeMembership(state, { clusterId, formed, voters }, `consensus: ${learner.voterId} has caught up and votes from now on`);
}

function answer(state: ConsensusState, proposalId: string, given: Answer): ConsensusStep {
    return { state, effects: [{ kind: "answer", proposalId, answer: given }] };
}

function changeByOperator(
    state: ConsensusState, proposalId: string, change: (membership: Membership) => Membership | string, line: string,
): ConsensusStep {
    if (state.role.kind !== "leader" || state.role.transferring) {
        return answer(state, proposalId, { outcome: "not-leader" });
    }
    if (!mayChange(state) || !state.membership!.formed) {
        return answer(state, proposalId, { outcome: "refused", reason: "another change of the voters is under way" });
    }
    const changed = change(state.membership!);
    if (typeof changed === "string") {
        return answer(state, proposalId, { outcome: "refused", reason: changed });
    }
    const proposals = new Map(state.role.proposals).set(lastIndexOf(state.log) + 1, proposalId);
    return writeMembership(withRole(state, { proposals }), changed, line);
}

/** Writes down that a voter is to be added; it votes once it has caught up. */
export function onAddVoter(state: ConsensusState, proposalId: string, voterId: string, address: string): ConsensusStep {
    return changeByOperator(state, proposalId, membership => {
        if (membership.voters.some(voter => voter.voterId === voterId)) {
            return `${voterId} votes already`;
        }
        if (membership.admitting !== undefined && membership.admitting.voterId !== voterId) {
            return `${membership.admitting.voterId} is being admitted`;
        }
        return { ...membership, admitting: { voterId, address } };
    }, `consensus: ${voterId} is to be admitted`);
}

/**
 * Why the remaining voters could not go on by themselves. Without this check, removing a healthy voter while another is lost
 * would leave a membership that no quorum can ever commit, and the region would stand still for good.
 */
function refusedRemoval(state: ConsensusState, remaining: readonly Voter[]): string | undefined {
    const { progress } = state.role as LeaderRole;
    const sinceMs = state.nowMs - state.options.timings.electionTimeoutMinMs;
    const silent = remaining.filter(voter =>
        voter.diskId !== state.options.self.diskId && !((progress[voter.diskId]?.lastContactMs ?? 0) > sinceMs));
    const enough = (remaining.length - silent.length) * 2 > remaining.length;
    return enough ? undefined : `the remaining voters have no quorum: ${silent.map(voter => voter.voterId).join(", ")} do not answer`;
}

/** Takes a voter's vote away, or calls off its admission. */
export function onRemoveVoter(state: ConsensusState, proposalId: string, voterId: string): ConsensusStep {
    return changeByOperator(state, proposalId, membership => {
        const { clusterId, formed } = membership;
        if (membership.admitting?.voterId === voterId) {
            return { clusterId, formed, voters: membership.voters };
        }
        if (membership.admitting !== undefined) {
            return `${membership.admitting.voterId} is being admitted`;
        }
        const voters = membership.voters.filter(voter => voter.voterId !== voterId);
        if (voters.length === membership.voters.length) {
            return `${voterId} does not vote; voters: ${voters.map(voter => voter.voterId).join(", ")}`;
        }
        if (voters.length === 0) {
            return "the last voter cannot be removed";
        }
        return refusedRemoval(state, voters) ?? { clusterId, formed, voters };
    }, `consensus: ${voterId} is to be removed`);
}
