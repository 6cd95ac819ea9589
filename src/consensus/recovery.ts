/**
 * What lets a restarted voter continue where it stopped: recording on its disk how far the log is committed, and restoring the state.
 *
 * @module
 */

import { createLog, emptyLog, lastIndexOf, type LogBase, newestMembership } from "./entries.js";
import { applyCommitted } from "./snapshot.js";
import type { ConsensusOptions, ConsensusState, ConsensusStep, DiskImage, StateMachine } from "./state.js";
import { persist, updateState } from "./steps.js";

/** Delay before a commit is recorded by a write of its own. Under load, writes of further entries record it at no extra cost. */
const commitRecordDelayMs = 100;

/** Records the commit index if no other write has done so in time. Each voter checks this at every heartbeat of the leader. */
export function recordCommitIfDue(state: ConsensusState): ConsensusStep {
    const { commitIndex, recordedCommitIndex, unrecordedCommitSinceMs: sinceMs, nowMs } = state;
    if (commitIndex <= recordedCommitIndex || state.storageFault !== undefined) {
        return { state, effects: [] };
    }
    if (sinceMs === undefined) {
        return updateState(state, { unrecordedCommitSinceMs: nowMs });
    }
    return nowMs - sinceMs < commitRecordDelayMs ? { state, effects: [] } : persist(state, {});
}

/**
 * Creates the state of a voter that has just started, with every entry applied that its disk records as committed. Otherwise its watchers
 * would be sent the state of its last snapshot until it hears from a leader, which may lack many changes that were in force before.
 */
export function createInitialState(
    options: ConsensusOptions, machine: StateMachine, disk: DiskImage, nowMs: number, random: number,
): ConsensusState {
    const { snapshot } = disk;
    const base: LogBase = snapshot === undefined
        ? emptyLog
        : { baseIndex: snapshot.index, baseTerm: snapshot.term, baseMembership: snapshot.membership };
    const log = createLog(base, disk.entries);
    const isEmptyDisk = snapshot === undefined && disk.entries.length === 0;
    const { electionTimeoutMinMs: minMs, electionTimeoutMaxMs: maxMs } = options.timings;
    const { membership, index: membershipIndex } = newestMembership(log);
    const commitIndex = Math.min(Math.max(disk.commitIndex, log.baseIndex), lastIndexOf(log));
    const isOnlyVoter = membership?.voters.length === 1;
    const initial: ConsensusState = {
        options,
        startedAtMs: nowMs,
        nowMs,
        term: Math.max(disk.term, disk.entries.at(-1)?.term ?? snapshot?.term ?? 0),
        votedFor: disk.votedFor,
        log,
        snapshot,
        snapshotAfterBytes: options.limits.snapshotLogBytes,
        membership,
        membershipIndex,
        commitIndex,
        recordedCommitIndex: commitIndex,
        unrecordedCommitSinceMs: undefined,
        appliedIndex: base.baseIndex,
        appliedMembership: base.baseMembership,
        machine: snapshot === undefined ? machine.initial : snapshot.data,
        role: { kind: "follower" },
        leader: undefined,
        // A restarted voter does not know when it last had contact with the leader. If it voted at once, it could break a lease that it
        // helped to grant, and the old leader would serve reads beside a new one. So its start counts as contact with a leader.
        lastLeaderContactAtMs: isEmptyDisk ? Number.NEGATIVE_INFINITY : nowMs,
        electionDeadlineMs: isOnlyVoter ? nowMs : nowMs + minMs + random * (maxMs - minMs),
        requestedSyncId: 0,
        completedSyncId: -1,
        heldMessages: [],
        storageFault: undefined,
        helloDueMs: nowMs,
        peerAnswers: {},
        seeds: [],
        namedPeers: [],
        knownVoters: [],
        firstDiskId: undefined,
        admissionQueue: [],
        admissionStartedAtMs: 0,
        lastWaitLine: undefined,
        forwardedReads: {},
    };
    return applyCommitted(initial, machine).state;
}
