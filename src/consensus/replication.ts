/**
 * Log replication: what the leader sends, how followers append it, and when the leader commits. A voter counts for an entry only once
 * the entry is on its disk. Only entries of the leader's own term are committed by counting; older ones commit with them.
 *
 * @module
 */

import { becomeFollower, nextElectionDeadline, transferWhenCaughtUp } from "./roles.js";
import { bytesBetween, createLog, entriesFrom, entriesWithin, lastIndexOf, lastTermOf, newestMembership, termAt, withEntries } from "./entries.js";
import type { Entry, Identity, MessageOf, Voter } from "./messages.js";
import type { ConsensusState, ConsensusStep, LeaderRole, Progress } from "./state.js";
import { andThen, chain, isSelf, persist, quorumValue, send, sendWhenDurable, updateState, withLeaderRole } from "./steps.js";

/** Thrown when a leader tries to replace a committed entry: the log is inconsistent and must not be used any further. */
export class LogInvariantError extends Error {
    override name = "LogInvariantError";
}

export function createProgress(state: ConsensusState, voter: Voter): Progress {
    return {
        voter,
        nextIndex: lastIndexOf(state.log) + 1,
        matchIndex: 0,
        probing: true,
        probedInRound: undefined,
        lastContactAtMs: state.nowMs,
        confirmedRound: 0,
        confirmedSentAtMs: Number.NEGATIVE_INFINITY,
    };
}

export function withProgress(state: ConsensusState, progress: Progress): ConsensusState {
    if (state.role.kind !== "leader") {
        return state;
    }
    return withLeaderRole(state, { progress: { ...state.role.progress, [progress.voter.diskId]: progress } });
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
    const { snapshot } = state;
    if (snapshot === undefined) {
        return { state, effects: [] };
    }
    const message = {
        kind: "snapshot" as const, clusterId: state.membership!.clusterId, term: state.term, snapshot, round: role.round, sentAtMs: state.nowMs,
    };
    return {
        state: withProgress(state, { ...progress, probing: true, probedInRound: role.round }),
        effects: [send(progress.voter, message)],
    };
}

/** Sends a follower the entries that it lacks, up to the in-flight limit, or a snapshot if they are no longer in the log. */
export function sendEntries(state: ConsensusState, diskId: string): ConsensusStep {
    const { role } = state;
    const progress = role.kind === "leader" ? role.progress[diskId] : undefined;
    if (role.kind !== "leader" || progress === undefined) {
        return { state, effects: [] };
    }
    if (progress.nextIndex <= state.log.baseIndex) {
        return sendSnapshot(state, role, progress);
    }
    const { messageBytes, windowBytes } = state.options.limits;
    const inFlightBytes = progress.probing ? 0 : bytesBetween(state.log, progress.matchIndex, progress.nextIndex - 1);
    if (progress.nextIndex > lastIndexOf(state.log) || inFlightBytes >= windowBytes) {
        return { state, effects: [] };
    }
    const entries = entriesWithin(state.log, progress.nextIndex, Math.min(messageBytes, windowBytes - inFlightBytes));
    const message = send(progress.voter, appendMessage(state, role, progress.nextIndex - 1, entries));
    if (progress.probing) {
        return { state: withProgress(state, { ...progress, probedInRound: role.round }), effects: [message] };
    }
    const sent = { state: withProgress(state, { ...progress, nextIndex: progress.nextIndex + entries.length }), effects: [message] };
    return andThen(sent, next => sendEntries(next, diskId));
}

/** Sends new entries to every follower that is not being probed. */
export function replicate(state: ConsensusState): ConsensusStep {
    if (state.role.kind !== "leader") {
        return { state, effects: [] };
    }
    const replicating = Object.values(state.role.progress).filter(progress => !progress.probing);
    return chain(state, ...replicating.map(progress => (next: ConsensusState) => sendEntries(next, progress.voter.diskId)));
}

/** Starts a new round with a heartbeat to every follower; leadership is confirmed once a quorum has echoed the round. */
export function broadcast(state: ConsensusState): ConsensusStep {
    if (state.role.kind !== "leader") {
        return { state, effects: [] };
    }
    const heartbeatDueMs = state.nowMs + state.options.timings.heartbeatMs;
    const opened = withLeaderRole(state, { round: state.role.round + 1, heartbeatDueMs });
    return chain(opened, ...Object.keys(state.role.progress).map(diskId => (next: ConsensusState) => sendHeartbeat(next, diskId)));
}

function sendHeartbeat(state: ConsensusState, diskId: string): ConsensusStep {
    const role = state.role as LeaderRole;
    const progress = role.progress[diskId]!;
    const needsSnapshot = progress.nextIndex <= state.log.baseIndex;
    const hasEntries = !needsSnapshot && progress.nextIndex <= lastIndexOf(state.log);
    if (progress.probing && hasEntries && progress.probedInRound === undefined) {
        return sendEntries(state, diskId);
    }
    // While a probe or a snapshot is in flight, an append after it would be rejected each time; one at index 0 never is.
    const isProbed = needsSnapshot || (progress.probing && progress.probedInRound !== undefined);
    const message = appendMessage(state, role, isProbed ? 0 : progress.nextIndex - 1, []);
    const heartbeat: ConsensusStep = { state, effects: [send(progress.voter, message)] };
    return needsSnapshot && progress.probedInRound === undefined ? andThen(heartbeat, next => sendEntries(next, diskId)) : heartbeat;
}

function respond(state: ConsensusState, to: Identity, request: MessageOf<"append"> | MessageOf<"snapshot">, outcome: {
    success: boolean; matchIndex: number; prevIndex: number; hintIndex: number;
}): ConsensusStep {
    const { round, sentAtMs } = request;
    return sendWhenDurable(state, to, { kind: "append-response", term: state.term, ...outcome, round, sentAtMs });
}

/** Tells a sender of an earlier term that there is a later one. Rounds count within a term, so this answer confirms none. */
function respondToStaleLeader(state: ConsensusState, to: Identity, prevIndex: number): ConsensusStep {
    return sendWhenDurable(state, to, {
        kind: "append-response", term: state.term, success: false, matchIndex: 0, prevIndex, hintIndex: 0, round: 0, sentAtMs: 0,
    });
}

/** Records contact with the leader of `term`. */
function recordLeaderContact(state: ConsensusState, from: Identity, term: number, random: number): ConsensusStep {
    const contacted: ConsensusState = {
        ...state, lastLeaderContactAtMs: state.nowMs, electionDeadlineMs: nextElectionDeadline(state, random),
    };
    const isKnownLeader = state.term === term && state.role.kind === "follower" && state.leader?.diskId === from.diskId;
    return isKnownLeader ? { state: contacted, effects: [] } : becomeFollower(contacted, term, from);
}

export function onAppend(state: ConsensusState, from: Identity, message: MessageOf<"append">, random: number): ConsensusStep {
    if (message.term < state.term) {
        return respondToStaleLeader(state, from, message.prevIndex);
    }
    return andThen(recordLeaderContact(state, from, message.term, random), next => appendFromLeader(next, from, message));
}

function appendFromLeader(state: ConsensusState, from: Identity, message: MessageOf<"append">): ConsensusStep {
    const { prevIndex, prevTerm } = message;
    const { log } = state;
    if (prevIndex > log.baseIndex && termAt(log, prevIndex) !== prevTerm) {
        let hintIndex = Math.min(lastIndexOf(log), prevIndex - 1);
        const conflictingTerm = termAt(log, prevIndex);
        while (conflictingTerm !== undefined && hintIndex > state.commitIndex && termAt(log, hintIndex) === conflictingTerm) {
            hintIndex--;
        }
        return respond(state, from, message, { success: false, matchIndex: 0, prevIndex, hintIndex });
    }
    const matchIndex = Math.max(prevIndex + message.entries.length, prevIndex);
    const uncompacted = message.entries.filter(entry => entry.index > log.baseIndex);
    const firstDiffering = uncompacted.findIndex(entry => termAt(log, entry.index) !== entry.term);
    const added = firstDiffering < 0 ? [] : uncompacted.slice(firstDiffering);
    if (added.length > 0 && added[0]!.index <= state.commitIndex) {
        throw new LogInvariantError(`entry ${added[0]!.index} is committed and must not be replaced`);
    }
    return chain(
        state,
        next => added.length === 0 ? { state: next, effects: [] } : replaceTail(next, added),
        next => updateState(next, { commitIndex: Math.max(next.commitIndex, Math.min(message.commitIndex, matchIndex)) }),
        next => respond(next, from, message, { success: true, matchIndex, prevIndex, hintIndex: 0 }),
    );
}

function replaceTail(state: ConsensusState, entries: readonly Entry[]): ConsensusStep {
    const log = withEntries(state.log, entries);
    const isTruncating = entries[0]!.index <= lastIndexOf(state.log);
    const mayChangeMembership = isTruncating || entries.some(entry => entry.payload.kind === "membership");
    const newest = mayChangeMembership ? newestMembership(log) : { membership: state.membership, index: state.membershipIndex };
    return persist({ ...state, log, membership: newest.membership, membershipIndex: newest.index }, { entries });
}

/** Handles a snapshot, which the leader sends instead of entries that it no longer holds. */
export function onSnapshot(state: ConsensusState, from: Identity, message: MessageOf<"snapshot">, random: number): ConsensusStep {
    const { snapshot } = message;
    if (message.term < state.term) {
        return respondToStaleLeader(state, from, snapshot.index);
    }
    return andThen(recordLeaderContact(state, from, message.term, random), next => {
        const installed = snapshot.index <= next.commitIndex ? { state: next, effects: [] } : installSnapshot(next, snapshot);
        return andThen(installed, done => respond(done, from, message, {
            success: true, matchIndex: snapshot.index, prevIndex: snapshot.index, hintIndex: 0,
        }));
    });
}

function installSnapshot(state: ConsensusState, snapshot: MessageOf<"snapshot">["snapshot"]): ConsensusStep {
    const isPrefix = termAt(state.log, snapshot.index) === snapshot.term;
    const after = isPrefix ? entriesFrom(state.log, snapshot.index + 1, Number.MAX_SAFE_INTEGER) : [];
    const log = createLog({ baseIndex: snapshot.index, baseTerm: snapshot.term, baseMembership: snapshot.membership }, after);
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
        next => ({ state: next, effects: [{ kind: "log", line: `consensus: installed a snapshot up to entry ${snapshot.index}` }] }),
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
        return updateState(withLeaderRole(state, { ownMatchIndex: Math.max(state.role.ownMatchIndex, message.matchIndex) }), {});
    }
    const earlier = state.role.progress[from.diskId];
    if (earlier === undefined) {
        return { state, effects: [] };
    }
    const progress: Progress = {
        ...earlier,
        lastContactAtMs: state.nowMs,
        confirmedRound: Math.max(earlier.confirmedRound, message.round),
        confirmedSentAtMs: Math.max(earlier.confirmedSentAtMs, message.sentAtMs),
    };
    return message.success ? onAppendAccepted(state, progress, message) : onAppendRejected(state, progress, message);
}

function onAppendAccepted(state: ConsensusState, earlier: Progress, message: MessageOf<"append-response">): ConsensusStep {
    const acknowledgedIndex = message.matchIndex;
    const matchIndex = Math.max(earlier.matchIndex, acknowledgedIndex);
    const needsSnapshot = earlier.nextIndex <= state.log.baseIndex && acknowledgedIndex < earlier.nextIndex;
    const nextIndex = Math.max(earlier.nextIndex, matchIndex + 1);
    const probing = needsSnapshot || (earlier.probing && acknowledgedIndex + 1 < earlier.nextIndex);
    // A follower answers in order: if it has answered a later message first, what was sent to it is lost. Nothing is sent again before, so
    // that a slow follower gets one message at a time, and one that is down gets none.
    const isLost = message.round > (earlier.probedInRound ?? Number.POSITIVE_INFINITY);
    const probedInRound = probing && !isLost ? earlier.probedInRound : undefined;
    const next = withProgress(state, { ...earlier, matchIndex, nextIndex, probing, probedInRound });
    const mustWait = probedInRound !== undefined;
    return chain(next, later => mustWait ? { state: later, effects: [] } : sendEntries(later, earlier.voter.diskId), transferWhenCaughtUp);
}

function onAppendRejected(state: ConsensusState, earlier: Progress, message: MessageOf<"append-response">): ConsensusStep {
    const isStale = message.prevIndex <= earlier.matchIndex || (earlier.probing && message.prevIndex !== earlier.nextIndex - 1);
    if (isStale) {
        return { state: withProgress(state, earlier), effects: [] };
    }
    const nextIndex = Math.max(earlier.matchIndex + 1, Math.min(message.prevIndex, message.hintIndex + 1));
    const next = withProgress(state, { ...earlier, nextIndex, probing: true, probedInRound: undefined });
    return sendEntries(next, earlier.voter.diskId);
}

/** Advances the leader's commit index to the highest entry that a quorum has on disk. */
export function advanceCommit(state: ConsensusState): ConsensusState {
    const { role, membership } = state;
    if (role.kind !== "leader" || membership === undefined) {
        return state;
    }
    const matchIndexOf = (diskId: string) =>
        diskId === state.options.self.diskId ? role.ownMatchIndex : role.progress[diskId]?.matchIndex ?? 0;
    // While the cluster forms, all initial voters must hold its first entry. Otherwise two of three could form it and both lose their
    // disks; the third, which never learned of it, would help to form a second, empty cluster, and every accepted change would be lost.
    const quorumIndex = membership.formed
        ? quorumValue(membership, matchIndexOf)
        : Math.min(...membership.voters.map(voter => matchIndexOf(voter.diskId)));
    const isOwnTerm = termAt(state.log, quorumIndex) === state.term && lastTermOf(state.log) === state.term;
    return quorumIndex > state.commitIndex && isOwnTerm ? { ...state, commitIndex: quorumIndex } : state;
}
