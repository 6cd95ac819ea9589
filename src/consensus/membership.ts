/**
 * Membership changes, one voter at a time, so that the majorities of any two consecutive memberships overlap. A wiped voter is readmitted
 * in two changes, since its lost disk may come back later: one removes the lost disk, the other adds the new one.
 *
 * To lose nothing with `d` disks, an entry must be on `d + 1` before it is acknowledged, and what is left must still elect a leader. So the
 * leader of an open cluster never goes below `2d + 1` voters because of silence, and below them by one only while it replaces a lost disk.
 *
 * @module
 */

import { lastIndexOf } from "./entries.js";
import type { Identity, Membership, Voter } from "./messages.js";
import { becomeFollower } from "./roles.js";
import { createProgress, replicate, withProgress } from "./replication.js";
import type { ProposalAnswer, ConsensusState, ConsensusStep, LeaderRole, Progress } from "./state.js";
import { appendAsLeader, chain, isVoter, updateState, withLeaderRole } from "./steps.js";

/** Whether the leader may change the membership: no transfer runs, and the last change and an entry of its own term are committed. */
function mayChangeMembership(state: ConsensusState): boolean {
    return state.role.kind === "leader" && !state.role.transferring &&
        state.commitIndex >= state.membershipIndex &&
        state.commitIndex >= state.role.termStartIndex;
}

function writeMembership(state: ConsensusState, membership: Membership, logLine: string): ConsensusStep {
    return chain(
        state,
        next => ({ state: next, effects: [{ kind: "log", line: logLine }] }),
        next => appendAsLeader(next, [{ kind: "membership", membership }]),
        next => ({ state: updateProgress(next), effects: [] }),
        replicate,
    );
}

/**
 * Drops the learners whose process has come back with another disk since. Their silence would count against the new disk, and the leader
 * would go on sending them entries.
 */
function withoutSupersededDisks(progress: readonly Progress[], voters: readonly Voter[]): readonly Progress[] {
    const isVoting = ({ voter }: Progress) => voters.some(other => other.diskId === voter.diskId);
    return progress.filter(item => isVoting(item) || !progress.some(other =>
        other !== item && other.voter.voterId === item.voter.voterId && !isVoting(other) && other.lastContactAtMs > item.lastContactAtMs));
}

/** Updates the progress after a membership change: adds new voters, keeps learners of known voters, drops removed voters. */
function updateProgress(state: ConsensusState): ConsensusState {
    const role = state.role as LeaderRole;
    const membership = state.membership!;
    const kept = Object.values(role.progress).filter(item =>
        membership.voters.some(voter => voter.voterId === item.voter.voterId) ||
        membership.admitting?.voterId === item.voter.voterId);
    const progress: Record<string, Progress> =
        Object.fromEntries(withoutSupersededDisks(kept, membership.voters).map(item => [item.voter.diskId, item]));
    for (const voter of membership.voters) {
        if (voter.diskId !== state.options.self.diskId) {
            progress[voter.diskId] ??= createProgress(state, voter);
        }
    }
    return withLeaderRole(state, { progress });
}

/** Finds a responding learner that has every committed entry on disk. */
function findCaughtUpLearner(state: ConsensusState, matches: (voter: Voter) => boolean): Voter | undefined {
    const role = state.role as LeaderRole;
    const voting = new Set(state.membership!.voters.map(voter => voter.diskId));
    return Object.values(role.progress).find(item =>
        !voting.has(item.voter.diskId) &&
        matches(item.voter) &&
        item.matchIndex >= state.commitIndex &&
        state.nowMs - item.lastContactAtMs < state.options.timings.electionTimeoutMinMs)?.voter;
}

/** Performs the next membership change that the leader makes by itself, if one is due. */
export function maintainMembership(state: ConsensusState): ConsensusStep {
    const { membership } = state;
    if (membership === undefined || !mayChangeMembership(state)) {
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
        if (state.options.isOpen && hasAdmissionTimedOut(state, admitting.voterId)) {
            const { clusterId, formed, voters } = membership;
            return writeMembership(state, { clusterId, formed, voters }, `consensus: ${admitting.voterId} stopped responding before it could be admitted`);
        }
        const learner = findCaughtUpLearner(state, voter => voter.voterId === admitting.voterId);
        return learner === undefined ? { state, effects: [] } : admitOnceSettled(state, membership, learner);
    }
    const wiped = findCaughtUpLearner(state, voter => membership.voters.some(other => other.voterId === voter.voterId));
    if (wiped === undefined || membership.voters.length === 1) {
        const step = removeSilentVoter(state, membership);
        return step.effects.length === 0 ? startNextAdmission(state) : step;
    }
    if (state.options.isOpen && !mayRemoveLostDiskFirst(state, membership)) {
        return admit(state, membership, wiped);
    }
    const voters = membership.voters.filter(voter => voter.voterId !== wiped.voterId);
    const line = `consensus: ${wiped.voterId} came back with a new disk and has caught up; its lost disk no longer votes`;
    return writeMembership(state, { ...membership, voters, admitting: { voterId: wiped.voterId, address: wiped.address } }, line);
}

function isSilent(state: ConsensusState, progress: Progress | undefined): boolean {
    return progress !== undefined && state.nowMs - progress.lastContactAtMs > state.options.timings.voterSilenceTimeoutMs;
}

/** Whether each voter has either responded recently or been silent for so long that it may be removed. */
function hasSettledReachability(state: ConsensusState, membership: Membership): boolean {
    const role = state.role as LeaderRole;
    const recentContactMs = 2 * state.options.timings.heartbeatMs;
    return membership.voters.every(voter => {
        const progress = role.progress[voter.diskId];
        return progress === undefined || isSilent(state, progress) ||
            (state.nowMs - progress.lastContactAtMs <= recentContactMs && Number.isFinite(progress.confirmedSentAtMs));
    });
}

/**
 * Whether the lost disk of a wiped voter may be removed before the new one is added. That order needs the fewest voters meanwhile, but it
 * leaves one disk fewer that acknowledges. Without a stated tolerance, an even number of voters may already be one too few.
 */
function mayRemoveLostDiskFirst({ options }: ConsensusState, { voters }: Membership): boolean {
    const { toleratedDiskLosses } = options;
    return toleratedDiskLosses === undefined ? voters.length % 2 === 1 : voters.length > 2 * toleratedDiskLosses;
}

/**
 * Admits a process that has caught up, once it is known which voters are silent: one of them is removed before the admission or right after
 * it, whichever leaves enough voters. If successors were added beside voters that never come back, the quorum would grow until the number
 * of losses that the site must tolerate leaves no majority.
 */
function admitOnceSettled(state: ConsensusState, membership: Membership, learner: Voter): ConsensusStep {
    if (!state.options.isOpen) {
        return admit(state, membership, learner);
    }
    if (!hasSettledReachability(state, membership)) {
        return { state, effects: [] };
    }
    const step = removeSilentVoter(state, membership);
    return step.effects.length > 0 ? step : admit(state, membership, learner);
}

/** Whether the process being admitted has not responded within the admission timeout. */
function hasAdmissionTimedOut(state: ConsensusState, voterId: string): boolean {
    const role = state.role as LeaderRole;
    const learners = Object.values(role.progress).filter(item =>
        item.voter.voterId === voterId && !state.membership!.voters.some(voter => voter.diskId === item.voter.diskId));
    const lastProgressAtMs = Math.max(role.electedAtMs, state.admissionStartedAtMs, ...learners.map(item => item.lastContactAtMs));
    return state.nowMs - lastProgressAtMs > state.options.timings.admissionTimeoutMs;
}

/**
 * Removes a silent voter if the number of voters is even and above what the tolerated losses need, or if the voter has another disk since
 * that votes. A VM that was replaced never comes back, and its vote would count against every majority forever; an even number of voters
 * tolerates no more losses than one fewer. A voter that does come back asks to be admitted again.
 */
function removeSilentVoter(state: ConsensusState, membership: Membership): ConsensusStep {
    const role = state.role as LeaderRole;
    const { voters: current } = membership;
    const mayShrink = current.length % 2 === 0 && current.length > 2 * (state.options.toleratedDiskLosses ?? 0) + 1;
    const isSuperseded = (voter: Voter) => current.some(other => other !== voter && other.voterId === voter.voterId);
    const silentVoters = current.filter(voter => isSilent(state, role.progress[voter.diskId]));
    const silent = silentVoters.find(isSuperseded) ?? (mayShrink ? silentVoters[0] : undefined);
    if (!state.options.isOpen || silent === undefined) {
        return { state, effects: [] };
    }
    const voters = current.filter(voter => voter.diskId !== silent.diskId);
    if (removalRefusal(state, voters) !== undefined) {
        return { state, effects: [] };
    }
    return writeMembership(state, { ...membership, voters }, `consensus: ${silent.voterId} has been silent for long; it votes no more`);
}

/** Handles an announcement: starts to replicate to the process if it may vote; in an open cluster also starts its admission. */
export function onAnnouncement(state: ConsensusState, from: Identity, address: string): ConsensusStep {
    return chain(
        state,
        next => startAdmission(next, from, address),
        next => ({ state: addLearner(next, from, address), effects: [] }),
    );
}

function startAdmission(state: ConsensusState, from: Identity, address: string): ConsensusStep {
    const { membership } = state;
    const isKnown = membership?.voters.some(voter => voter.voterId === from.voterId) ?? true;
    if (!state.options.isOpen || isKnown || state.role.kind !== "leader") {
        return { state, effects: [] };
    }
    const others = state.admissionQueue.filter(voter => voter.voterId !== from.voterId);
    if (!mayChangeMembership(state) || !membership!.formed || membership!.admitting !== undefined) {
        return updateState(state, { admissionQueue: [...others, { ...from, address, heardAtMs: state.nowMs }] });
    }
    const withAdmission = { ...state, admissionStartedAtMs: state.nowMs, admissionQueue: others };
    return writeMembership(
        withAdmission,
        { ...membership!, admitting: { voterId: from.voterId, address } },
        `consensus: ${from.voterId} announced itself; it votes once it has caught up`,
    );
}

/** Starts the next queued admission without a delay: until all processes vote, acknowledged entries are on few disks only. */
function startNextAdmission(state: ConsensusState): ConsensusStep {
    const [next, ...remaining] = state.admissionQueue.filter(voter => state.nowMs - voter.heardAtMs < 2 * state.options.timings.helloMs);
    if (next === undefined) {
        return { state, effects: [] };
    }
    const { voterId, diskId, address } = next;
    return onAnnouncement({ ...state, admissionQueue: remaining }, { voterId, diskId }, address);
}

/** Starts replication to a disk of a known voter or of the process being admitted. */
function addLearner(state: ConsensusState, from: Identity, address: string): ConsensusState {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined || role.progress[from.diskId] !== undefined) {
        return state;
    }
    const isExpected = membership.admitting?.voterId === from.voterId || membership.voters.some(voter => voter.voterId === from.voterId);
    if (!isExpected || from.diskId === state.options.self.diskId) {
        return state;
    }
    return withProgress(state, { ...createProgress(state, { ...from, address }), nextIndex: 1 });
}

function admit(state: ConsensusState, membership: Membership, learner: Voter): ConsensusStep {
    const voters = [...membership.voters, learner].sort((a, b) => a.voterId < b.voterId ? -1 : 1);
    const { clusterId, formed } = membership;
    return writeMembership(state, { clusterId, formed, voters }, `consensus: ${learner.voterId} has caught up and votes from now on`);
}

function answerProposal(state: ConsensusState, proposalId: string, proposalAnswer: ProposalAnswer): ConsensusStep {
    return { state, effects: [{ kind: "answer", proposalId, answer: proposalAnswer }] };
}

function applyOperatorChange(
    state: ConsensusState, proposalId: string, change: (membership: Membership) => Membership | string, logLine: string,
): ConsensusStep {
    if (state.role.kind !== "leader" || state.role.transferring) {
        return answerProposal(state, proposalId, { outcome: "not-leader" });
    }
    if (!mayChangeMembership(state) || !state.membership!.formed) {
        return answerProposal(state, proposalId, { outcome: "refused", reason: "another change of the voters is under way" });
    }
    const changed = change(state.membership!);
    if (typeof changed === "string") {
        return answerProposal(state, proposalId, { outcome: "refused", reason: changed });
    }
    const proposals = new Map(state.role.pendingProposals).set(lastIndexOf(state.log) + 1, proposalId);
    return writeMembership(withLeaderRole(state, { pendingProposals: proposals }), changed, logLine);
}

/** Starts the admission of a voter; it votes once it has caught up. */
export function onAddVoter(state: ConsensusState, proposalId: string, voterId: string, address: string): ConsensusStep {
    return applyOperatorChange(state, proposalId, membership => {
        if (membership.voters.some(voter => voter.voterId === voterId)) {
            return `${voterId} votes already`;
        }
        if (membership.admitting !== undefined && membership.admitting.voterId !== voterId) {
            return `${membership.admitting.voterId} is being admitted`;
        }
        return { ...membership, admitting: { voterId, address } };
    }, `consensus: ${voterId} will be admitted once it has caught up`);
}

/**
 * Returns why a removal must be refused, or undefined if the remaining voters have a quorum. Without this check, removing a healthy
 * voter while another is lost would leave a membership that can never commit anything, and the region would be stuck.
 */
function removalRefusal(state: ConsensusState, remaining: readonly Voter[]): string | undefined {
    const { progress } = state.role as LeaderRole;
    const earliestContactMs = state.nowMs - state.options.timings.electionTimeoutMinMs;
    const silent = remaining.filter(voter =>
        voter.diskId !== state.options.self.diskId && !((progress[voter.diskId]?.lastContactAtMs ?? 0) > earliestContactMs));
    const hasQuorum = (remaining.length - silent.length) * 2 > remaining.length;
    return hasQuorum ? undefined : `the remaining voters have no quorum: ${silent.map(voter => voter.voterId).join(", ")} do not answer`;
}

/** Removes a voter, or cancels its admission. */
export function onRemoveVoter(state: ConsensusState, proposalId: string, voterId: string): ConsensusStep {
    return applyOperatorChange(state, proposalId, membership => {
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
        return removalRefusal(state, voters) ?? { clusterId, formed, voters };
    }, `consensus: removing ${voterId}`);
}
