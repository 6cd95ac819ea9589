/**
 * The reducer of a voter: it dispatches each event to its handler, then commits and applies entries and answers callers.
 *
 * @module
 */

import type { Reducer } from "../runtime/index.js";
import { onHello, onHelloResponse, onSeedsChanged, announceIfDue, needsHelloTimer } from "./bootstrap.js";
import {
    onPreVote, onPreVoteResponse, onTimeoutNow, onVote, onVoteResponse, startPreVote, startTransfer,
} from "./election.js";
import { becomeFollower } from "./roles.js";
import { lastIndexOf } from "./entries.js";
import { answerReads, checkQuorum, onRead, onReadIndex, onReadIndexResponse } from "./lease.js";
import { maintainMembership, onAddVoter, onRemoveVoter } from "./membership.js";
import type { Identity, Message } from "./messages.js";
import { advanceCommit, broadcast, onAppend, onAppendResponse, onSnapshot, replicate } from "./replication.js";
import { recordCommitIfDue } from "./recovery.js";
import { applyCommitted, bytesUntilSnapshot, takeSnapshotIfDue } from "./snapshot.js";
import type { ConsensusEvent, ConsensusState, ConsensusStep, Effect, HeldMessage, StateMachine } from "./state.js";
import { andThen, appendAsLeader, chain, isSelf, send, withLeaderRole } from "./steps.js";

/** Creates the reducer that drives `machine`. */
export function createConsensusReducer(machine: StateMachine): Reducer<ConsensusState, ConsensusEvent, Effect> {
    return (state, event) => chain(
        { ...state, nowMs: Math.max(state.nowMs, event.nowMs) },
        next => onEvent(next, event),
        next => ({ state: advanceCommit(next), effects: [] }),
        maintainMembership,
        next => applyCommitted(next, machine),
        answerReads,
        takeSnapshotIfDue,
        recordCommitIfDue,
    );
}

function onEvent(state: ConsensusState, event: ConsensusEvent): ConsensusStep {
    switch (event.kind) {
        case "tick":
            return onTick(state, event.random);
        case "message":
            return onMessage(state, event.from, event.toDiskId, event.message, event.random);
        case "synced":
            return onSynced(noteSnapshotSize(state, event.snapshotBytes), event.syncId, event.random);
        case "storage-failed":
            return onStorageFailed(state, event.reason);
        case "propose":
            return onPropose(state, event.proposals);
        case "read":
            return onRead(state, event.readIds);
        case "add-voter":
            return onAddVoter(state, event.proposalId, event.voterId, event.address);
        case "remove-voter":
            return onRemoveVoter(state, event.proposalId, event.voterId);
        case "transfer":
            return startTransfer(state);
        case "seeds-changed":
            return onSeedsChanged(state, event.seeds);
    }
}

function onTick(state: ConsensusState, random: number): ConsensusStep {
    const announced = announceIfDue(state, random);
    return andThen(announced, next => {
        if (next.role.kind !== "leader") {
            return next.nowMs >= next.electionDeadlineMs ? startPreVote(next, random) : { state: next, effects: [] };
        }
        const isHeartbeatDue = next.nowMs >= next.role.heartbeatDueMs;
        return chain(next, checkQuorum, later => isHeartbeatDue ? broadcast(later) : { state: later, effects: [] });
    });
}

function onMessage(
    state: ConsensusState, from: Identity, toDiskId: string | undefined, message: Message, random: number,
): ConsensusStep {
    // A message for this voter's previous disk: a response would mislead the sender about how far this disk's log reaches.
    const isForOtherDisk = toDiskId !== undefined && toDiskId !== state.options.self.diskId;
    const isForVoters = state.options.diskless && message.kind !== "hello" && message.kind !== "hello-response";
    if (isForOtherDisk || isForVoters || state.storageFault !== undefined || isFromOtherCluster(state, message)) {
        return { state, effects: [] };
    }
    return handleMessage(state, from, message, random);
}

/** Whether a message comes from another cluster than this disk's. */
function isFromOtherCluster(state: ConsensusState, message: Message): boolean {
    return "clusterId" in message && state.membership !== undefined && message.clusterId !== state.membership.clusterId;
}

function handleMessage(state: ConsensusState, from: Identity, message: Message, random: number): ConsensusStep {
    switch (message.kind) {
        case "hello":
            return onHello(state, from, message);
        case "hello-response":
            return onHelloResponse(state, from, message, random);
        case "pre-vote":
            return onPreVote(state, from, message);
        case "pre-vote-response":
            return onPreVoteResponse(state, from, message, random);
        case "vote":
            return onVote(state, from, message, random);
        case "vote-response":
            return onVoteResponse(state, from, message);
        case "append":
            return onAppend(state, from, message, random);
        case "snapshot":
            return onSnapshot(state, from, message, random);
        case "append-response":
            return onAppendResponse(state, from, message);
        case "read-index":
            return onReadIndex(state, from, message);
        case "read-index-response":
            return onReadIndexResponse(state, message);
        case "timeout-now":
            return onTimeoutNow(state, message, random);
    }
}

/** Adjusts when the next snapshot is due to the size of the one just written. */
function noteSnapshotSize(state: ConsensusState, snapshotBytes: number | undefined): ConsensusState {
    return snapshotBytes === undefined
        ? state
        : { ...state, snapshotAfterBytes: bytesUntilSnapshot(state.options.limits.snapshotLogBytes, snapshotBytes) };
}

/** Releases the messages that waited for writes now on disk; those to this voter itself are handled immediately. */
function onSynced(state: ConsensusState, syncId: number, random: number): ConsensusStep {
    const completedSyncId = Math.max(state.completedSyncId, syncId);
    const released: HeldMessage[] = [];
    const stillHeld: HeldMessage[] = [];
    for (const item of state.heldMessages) {
        (item.afterSyncId <= completedSyncId ? released : stillHeld).push(item);
    }
    const effects: Effect[] = state.storageFault === undefined ? [] : [{ kind: "log", line: "consensus: the disk accepts writes again" }];
    const synced: ConsensusState = { ...state, completedSyncId, heldMessages: stillHeld, storageFault: undefined };
    return andThen({ state: synced, effects }, next => chain(next, ...released.map(item => (later: ConsensusState) =>
        isSelf(later, item.to)
            ? handleMessage(later, later.options.self, item.message, random)
            : { state: later, effects: [send(item.to, item.message)] })));
}

/** Handles a failed write: this voter does not lead, vote or acknowledge anything until its disk accepts writes again. */
function onStorageFailed(state: ConsensusState, reason: string): ConsensusStep {
    if (state.storageFault === reason) {
        return { state, effects: [] };
    }
    const line = `consensus: the disk refuses writes (${reason}); this voter acknowledges nothing until it accepts them again`;
    return andThen(
        { state: { ...state, storageFault: reason }, effects: [{ kind: "log", line }] },
        next => becomeFollower(next, next.term, next.role.kind === "leader" ? undefined : next.leader),
    );
}

function onPropose(state: ConsensusState, proposals: readonly { readonly proposalId: string; readonly command: unknown }[]): ConsensusStep {
    if (state.role.kind !== "leader" || state.role.transferring || !state.membership!.formed) {
        return { state, effects: proposals.map(({ proposalId }) => ({ kind: "answer", proposalId, answer: { outcome: "not-leader" } })) };
    }
    const proposalIds = new Map(state.role.pendingProposals);
    proposals.forEach(({ proposalId }, offset) => proposalIds.set(lastIndexOf(state.log) + 1 + offset, proposalId));
    return chain(
        withLeaderRole(state, { pendingProposals: proposalIds }),
        next => appendAsLeader(next, proposals.map(({ command }) => ({ kind: "command", command }))),
        replicate,
    );
}

/** Returns when the next tick is due, on the clock of `nowMs`. */
export function nextTickMs(state: ConsensusState): number {
    const { role } = state;
    const dueMs = role.kind === "leader" ? role.heartbeatDueMs : state.electionDeadlineMs;
    return needsHelloTimer(state) ? Math.min(dueMs, state.helloDueMs) : dueMs;
}
