/**
 * Replication: what the leader sends, how a follower takes it in, and what the leader counts as committed. An entry counts only
 * where it is on disk, and only entries of the leader's own term are counted; older ones commit with them.
 *
 * @module
 */

import { becomeFollower, nextElectionDeadline, transferWhenCaughtUp } from "./roles.js";
import { entriesFrom, lastIndexOf, lastTermOf, newestMembership, termAt, withEntries } from "./entries.js";
import type { Entry, Identity, MessageOf, Voter } from "./messages.js";
import type { ConsensusState, ConsensusStep, LeaderRole, Progress } from "./state.js";
import { andThen, chain, isSelf, persist, quorumValue, send, sendWhenDurable, set, withRole } from "./steps.js";

/** A follower broke a promise: the log may not be gone on with. */
export class LogInvariantError extends Error {
    override name = "LogInvariantError";
}

export function freshProgress(state: ConsensusState, voter: Voter): Progress {
    return {
        voter,
        nextIndex: lastIndexOf(state.log) + 1,
        matchIndex: 0,
        probing: true,
        snapshotSentAtMs: undefined,
        lastContactMs: state.nowMs,
        confirmedRound: 0,
        confirmedSentMs: Number.NEGATIVE_INFINITY,
    };
}

export function withProgress(state: ConsensusState, progress: Progress): ConsensusState {
    if (state.role.kind !== "leader") {
        return state;
    }
    return withRole(state, { progress: { ...state.role.progress, [progress.voter.diskId]: progress } });
}

function appendMessage(state: ConsensusState, role: LeaderRole, prevIndex: number, entries: readonly Entry[]) {
    return {
        kind: "append" as const,
        clusterId: state.membership!.clusterId,
        term: state.term,
        prevIndex,
        prevTerm: termAt(state.log, prevIndex) ?? 0,
        entries: [...entries],
        commitIndex: state.commitIndex,
        round: role.round,
        sentAtMs: state.nowMs,
    };
}

function sendSnapshot(state: ConsensusState, role: LeaderRole, progress: Progress): ConsensusStep {
    const recently = progress.snapshotSentAtMs !== undefined &&
        state.nowMs - progress.snapshotSentAtMs < state.options.timings.snapshotRetryMs;
    const { snapshot } = state;
    if (recently || snapshot === undefined) {
        return { state, effects: [] };
    }
    const message = {
        kind: "snapshot" as const, clusterId: state.membership!.clusterId, term: state.term, snapshot, round: role.round, sentAtMs: state.nowMs,
    };
    return {
        state: withProgress(state, { ...progress, probing: true, snapshotSentAtMs: state.nowMs }),
        effects: [send(progress.voter, message)],
    };
}

/** Sends one follower what it lacks, as far as the window allows. */
export function sendEntries(state: ConsensusState, diskId: string): ConsensusStep {
    const { role } = state;
    const progress = role.kind === "leader" ? role.progress[diskId] : undefined;
    if (role.kind !== "leader" || progress === undefined) {
        return { state, effects: [] };
    }
    if (progress.nextIndex <= state.log.baseIndex) {
        return sendSnapshot(state, role, progress);
    }
    const { messageEntries, windowEntries } = state.options.limits;
    const room = progress.probing ? messageEntries : progress.matchIndex + windowEntries - progress.nextIndex + 1;
    const entries = entriesFrom(state.log, progress.nextIndex, Math.min(messageEntries, room));
    if (entries.length === 0) {
        return { state, effects: [] };
    }
    const sent = andThen(
        { state, effects: [send(progress.voter, appendMessage(state, role, progress.nextIndex - 1, entries))] },
        next => set(withProgress(next, progress.probing ? progress : { ...progress, nextIndex: progress.nextIndex + entries.length }), {}),
    );
    return progress.probing || entries.length < messageEntries ? sent : andThen(sent, next => sendEntries(next, diskId));
}

/** Sends new entries to every follower that is in step. */
export function replicate(state: ConsensusState): ConsensusStep {
    if (state.role.kind !== "leader") {
        return { state, effects: [] };
    }
    const inStep = Object.values(state.role.progress).filter(progress => !progress.probing);
    return chain(state, ...inStep.map(progress => (next: ConsensusState) => sendEntries(next, progress.voter.diskId)));
}

/** A heartbeat to every follower: opens a new round, which confirms leadership once a quorum has echoed it. */
export function broadcast(state: ConsensusState): ConsensusStep {
    if (state.role.kind !== "leader") {
        return { state, effects: [] };
    }
    const heartbeatDueMs = state.nowMs + state.options.timings.heartbeatMs;
    const opened = withRole(state, { round: state.role.round + 1, heartbeatDueMs });
    return chain(opened, ...Object.keys(state.role.progress).map(diskId => (next: ConsensusState) => sendHeartbeat(next, diskId)));
}

function sendHeartbeat(state: ConsensusState, diskId: string): ConsensusStep {
    const role = state.role as LeaderRole;
    const progress = role.progress[diskId]!;
    if (progress.probing && progress.nextIndex <= lastIndexOf(state.log) && progress.nextIndex > state.log.baseIndex) {
        return sendEntries(state, diskId);
    }
    const needsSnapshot = progress.nextIndex <= state.log.baseIndex;
    // While a snapshot is on its way the place after it would be refused each time; an empty place is never refused.
    const prevIndex = needsSnapshot ? 0 : progress.nextIndex - 1;
    const heartbeat = send(progress.voter, appendMessage(state, role, prevIndex, []));
    return andThen({ state, effects: [heartbeat] }, next => needsSnapshot ? sendEntries(next, diskId) : { state: next, effects: [] });
}

function respond(state: ConsensusState, to: Identity, asked: MessageOf<"append"> | MessageOf<"snapshot">, outcome: {
    success: boolean; matchIndex: number; prevIndex: number; hintIndex: number;
}): ConsensusStep {
    const { round, sentAtMs } = asked;
    return sendWhenDurable(state, to, { kind: "append-response", term: state.term, ...outcome, round, sentAtMs });
}

/** Notes that the leader of `term` was heard. */
function hearLeader(state: ConsensusState, from: Identity, term: number, random: number): ConsensusStep {
    const heard: ConsensusState = { ...state, lastLeaderContactMs: state.nowMs, electionDeadlineMs: nextElectionDeadline(state, random) };
    const known = state.term === term && state.role.kind === "follower" && state.leader?.diskId === from.diskId;
    return known ? { state: heard, effects: [] } : becomeFollower(heard, term, from);
}

export function onAppend(state: ConsensusState, from: Identity, message: MessageOf<"append">, random: number): ConsensusStep {
    if (message.term < state.term) {
        return respond(state, from, message, { success: false, matchIndex: 0, prevIndex: message.prevIndex, hintIndex: 0 });
    }
    return andThen(hearLeader(state, from, message.term, random), next => takeIn(next, from, message));
}

function takeIn(state: ConsensusState, from: Identity, message: MessageOf<"append">): ConsensusStep {
    const { prevIndex, prevTerm } = message;
    const { log } = state;
    if (prevIndex > log.baseIndex && termAt(log, prevIndex) !== prevTerm) {
        let hintIndex = Math.min(lastIndexOf(log), prevIndex - 1);
        const other = termAt(log, prevIndex);
        while (other !== undefined && hintIndex > state.commitIndex && termAt(log, hintIndex) === other) {
            hintIndex--;
        }
        return respond(state, from, message, { success: false, matchIndex: 0, prevIndex, hintIndex });
    }
    const matchIndex = Math.max(prevIndex + message.entries.length, prevIndex);
    const fresh = message.entries.filter(entry => entry.index > log.baseIndex);
    const differing = fresh.findIndex(entry => termAt(log, entry.index) !== entry.term);
    const added = differing < 0 ? [] : fresh.slice(differing);
    if (added.length > 0 && added[0]!.index <= state.commitIndex) {
        throw new LogInvariantError(`entry ${added[0]!.index} is committed and may not be replaced`);
    }
    return chain(
        state,
        next => added.length === 0 ? { state: next, effects: [] } : replaceTail(next, added),
        next => set(next, { commitIndex: Math.max(next.commitIndex, Math.min(message.commitIndex, matchIndex)) }),
        next => respond(next, from, message, { success: true, matchIndex, prevIndex, hintIndex: 0 }),
    );
}

function replaceTail(state: ConsensusState, entries: readonly Entry[]): ConsensusStep {
    const log = withEntries(state.log, entries);
    const cut = entries[0]!.index <= lastIndexOf(state.log);
    const changed = cut || entries.some(entry => entry.payload.kind === "membership");
    const newest = changed ? newestMembership(log) : { membership: state.membership, index: state.membershipIndex };
    return persist({ ...state, log, membership: newest.membership, membershipIndex: newest.index }, { entries });
}

/** Takes in the state of the leader in place of the entries that it no longer holds. */
export function onSnapshot(state: ConsensusState, from: Identity, message: MessageOf<"snapshot">, random: number): ConsensusStep {
    const { snapshot } = message;
    if (message.term < state.term) {
        return respond(state, from, message, { success: false, matchIndex: 0, prevIndex: snapshot.index, hintIndex: 0 });
    }
    return andThen(hearLeader(state, from, message.term, random), next => {
        const installed = snapshot.index <= next.commitIndex ? { state: next, effects: [] } : install(next, snapshot);
        return andThen(installed, done => respond(done, from, message, {
            success: true, matchIndex: snapshot.index, prevIndex: snapshot.index, hintIndex: 0,
        }));
    });
}

function install(state: ConsensusState, snapshot: MessageOf<"snapshot">["snapshot"]): ConsensusStep {
    const matches = termAt(state.log, snapshot.index) === snapshot.term;
    const after = matches ? entriesFrom(state.log, snapshot.index + 1, Number.MAX_SAFE_INTEGER) : [];
    const log = { baseIndex: snapshot.index, baseTerm: snapshot.term, baseMembership: snapshot.membership, entries: after };
    const newest = newestMembership(log);
    const installed: ConsensusState = {
        ...state,
        log,
        snapshot,
        membership: newest.membership,
        membershipIndex: newest.index,
        commitIndex: snapshot.index,
        appliedIndex: snapshot.index,
        appliedMembership: snapshot.membership,
        machine: snapshot.data,
    };
    return andThen(
        persist(installed, { snapshot: { snapshot, after } }),
        next => ({ state: next, effects: [{ kind: "log", line: `consensus: took in a snapshot up to ${snapshot.index}` }] }),
    );
}

export function onAppendResponse(state: ConsensusState, from: Identity, message: MessageOf<"append-response">): ConsensusStep {
    if (message.term > state.term) {
        return becomeFollower(state, message.term, undefined);
    }
    if (state.role.kind !== "leader" || message.term !== state.term) {
        return { state, effects: [] };
    }
    if (isSelf(state, from)) {
        return set(withRole(state, { ownMatchIndex: Math.max(state.role.ownMatchIndex, message.matchIndex) }), {});
    }
    const earlier = state.role.progress[from.diskId];
    if (earlier === undefined) {
        return { state, effects: [] };
    }
    const progress: Progress = {
        ...earlier,
        lastContactMs: state.nowMs,
        confirmedRound: Math.max(earlier.confirmedRound, message.round),
        confirmedSentMs: Math.max(earlier.confirmedSentMs, message.sentAtMs),
    };
    return message.success ? onMatched(state, progress, message.matchIndex) : onRefused(state, progress, message);
}

function onMatched(state: ConsensusState, earlier: Progress, matched: number): ConsensusStep {
    const matchIndex = Math.max(earlier.matchIndex, matched);
    const needsSnapshot = earlier.nextIndex <= state.log.baseIndex && matched < earlier.nextIndex;
    const nextIndex = Math.max(earlier.nextIndex, matchIndex + 1);
    const probing = needsSnapshot || (earlier.probing && matched + 1 < earlier.nextIndex);
    const progress: Progress = {
        ...earlier, matchIndex, nextIndex, probing, snapshotSentAtMs: needsSnapshot ? earlier.snapshotSentAtMs : undefined,
    };
    const next = withProgress(state, progress);
    return chain(next, later => probing ? { state: later, effects: [] } : sendEntries(later, progress.voter.diskId), transferWhenCaughtUp);
}

function onRefused(state: ConsensusState, earlier: Progress, message: MessageOf<"append-response">): ConsensusStep {
    const stale = message.prevIndex <= earlier.matchIndex || (earlier.probing && message.prevIndex !== earlier.nextIndex - 1);
    if (stale) {
        return { state: withProgress(state, earlier), effects: [] };
    }
    const nextIndex = Math.max(earlier.matchIndex + 1, Math.min(message.prevIndex, message.hintIndex + 1));
    const next = withProgress(state, { ...earlier, nextIndex, probing: true });
    return sendEntries(next, earlier.voter.diskId);
}

/** Moves the leader's commit index to what a quorum has on disk. */
export function advanceCommit(state: ConsensusState): ConsensusState {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined) {
        return state;
    }
    const matchOf = (diskId: string) =>
        diskId === state.options.self.diskId ? role.ownMatchIndex : role.progress[diskId]?.matchIndex ?? 0;
    // While the cluster forms, all first voters must hold its first entry. Otherwise two of three could form it, both lose
    // their disks, and a third that never heard of it would help to form a second, empty cluster: all accepted would be gone.
    const reached = membership.formed
        ? quorumValue(membership, matchOf)
        : Math.min(...membership.voters.map(voter => matchOf(voter.diskId)));
    const ownTerm = termAt(state.log, reached) === state.term && lastTermOf(state.log) === state.term;
    return reached > state.commitIndex && ownTerm ? { ...state, commitIndex: reached } : state;
}
