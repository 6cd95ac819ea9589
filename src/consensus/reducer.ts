/**
 * The one reducer of a voter: it hands each event to its part, then commits, applies and answers what has become due.
 *
 * @module
 */

import type { Reducer } from "../runtime/index.js";
import { onHello, onHelloResponse, onSeedsChanged, sayHello, speaksAtHello } from "./bootstrap.js";
import {
    onPreVote, onPreVoteResponse, onTimeoutNow, onVote, onVoteResponse, startPreVote, startTransfer,
} from "./election.js";
import { becomeFollower } from "./roles.js";
import { lastIndexOf } from "./entries.js";
import { answerReads, checkQuorum, onRead, onReadIndex, onReadIndexResponse } from "./lease.js";
import { maintainMembership, onAddVoter, onRemoveVoter } from "./membership.js";
import type { Identity, Message } from "./messages.js";
import { advanceCommit, broadcast, onAppend, onAppendResponse, onSnapshot, replicate } from "./replication.js";
import { applyCommitted, entriesUntilSnapshot, snapshotIfDue } from "./snapshot.js";
import type { ConsensusEvent, ConsensusState, ConsensusStep, Effect, HeldMessage, StateMachine } from "./state.js";
import { andThen, appendOwn, chain, isSelf, send, withRole } from "./steps.js";

/** Creates the reducer that drives `machine`. */
export function createConsensusReducer(machine: StateMachine): Reducer<ConsensusState, ConsensusEvent, Effect> {
    return (state, event) => chain(
        { ...state, nowMs: Math.max(state.nowMs, event.nowMs) },
        next => onEvent(next, event),
        next => ({ state: advanceCommit(next), effects: [] }),
        maintainMembership,
        next => applyCommitted(next, machine),
        answerReads,
        snapshotIfDue,
    );
}

function onEvent(state: ConsensusState, event: ConsensusEvent): ConsensusStep {
    switch (event.kind) {
        case "tick":
            return onTick(state, event.random);
        case "message":
            return onMessage(state, event.from, event.toDiskId, event.message, event.random);
        case "synced":
            return onSynced(noteSnapshot(state, event.snapshotBytes), event.syncId, event.random);
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
    const greeted = sayHello(state, random);
    return andThen(greeted, next => {
        if (next.role.kind !== "leader") {
            return next.nowMs >= next.electionDeadlineMs ? startPreVote(next, random) : { state: next, effects: [] };
        }
        const due = next.nowMs >= next.role.heartbeatDueMs;
        return chain(next, checkQuorum, later => due ? broadcast(later) : { state: later, effects: [] });
    });
}

function onMessage(
    state: ConsensusState, from: Identity, toDiskId: string | undefined, message: Message, random: number,
): ConsensusStep {
    // Meant for the disk that stood here before: an answer would lead the sender astray about the place that this one has reached.
    const forAnother = toDiskId !== undefined && toDiskId !== state.options.self.diskId;
    const forVoters = state.options.diskless && message.kind !== "hello" && message.kind !== "hello-response";
    if (forAnother || forVoters || state.storageFault !== undefined || isForeign(state, message)) {
        return { state, effects: [] };
    }
    return onOwnMessage(state, from, message, random);
}

/** Whether a message is of another cluster than the one this disk belongs to. */
function isForeign(state: ConsensusState, message: Message): boolean {
    return "clusterId" in message && state.membership !== undefined && message.clusterId !== state.membership.clusterId;
}

function onOwnMessage(state: ConsensusState, from: Identity, message: Message, random: number): ConsensusStep {
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

function noteSnapshot(state: ConsensusState, snapshotBytes: number | undefined): ConsensusState {
    return snapshotBytes === undefined
        ? state
        : { ...state, snapshotAfterEntries: entriesUntilSnapshot(state.options.limits.snapshotEntries, snapshotBytes) };
}

/** Lets out the messages whose writes are on disk; those to oneself are taken in at once. */
function onSynced(state: ConsensusState, syncId: number, random: number): ConsensusStep {
    const completedSyncId = Math.max(state.completedSyncId, syncId);
    const due: HeldMessage[] = [];
    const held: HeldMessage[] = [];
    for (const item of state.held) {
        (item.afterSyncId <= completedSyncId ? due : held).push(item);
    }
    const effects: Effect[] = state.storageFault === undefined ? [] : [{ kind: "log", line: "consensus: the disk takes writes again" }];
    const freed: ConsensusState = { ...state, completedSyncId, held, storageFault: undefined };
    return andThen({ state: freed, effects }, next => chain(next, ...due.map(item => (later: ConsensusState) =>
        isSelf(later, item.to)
            ? onOwnMessage(later, later.options.self, item.message, random)
            : { state: later, effects: [send(item.to, item.message)] })));
}

/** A disk that takes no more writes: no leadership, no vote and no acknowledgement until it does again. */
function onStorageFailed(state: ConsensusState, reason: string): ConsensusStep {
    if (state.storageFault === reason) {
        return { state, effects: [] };
    }
    const line = `consensus: the disk refuses writes (${reason}); this voter acknowledges nothing until it takes them again`;
    return andThen(
        { state: { ...state, storageFault: reason }, effects: [{ kind: "log", line }] },
        next => becomeFollower(next, next.term, next.role.kind === "leader" ? undefined : next.leader),
    );
}

function onPropose(state: ConsensusState, proposals: readonly { readonly proposalId: string; readonly command: unknown }[]): ConsensusStep {
    if (state.role.kind !== "leader" || state.role.transferring || !state.membership!.formed) {
        return { state, effects: proposals.map(({ proposalId }) => ({ kind: "answer", proposalId, answer: { outcome: "not-leader" } })) };
    }
    const waiting = new Map(state.role.proposals);
    proposals.forEach(({ proposalId }, place) => waiting.set(lastIndexOf(state.log) + 1 + place, proposalId));
    return chain(
        withRole(state, { proposals: waiting }),
        next => appendOwn(next, proposals.map(({ command }) => ({ kind: "command", command }))),
        replicate,
    );
}

/** When the state wants its next tick, in the clock of `nowMs`. */
export function nextTickMs(state: ConsensusState): number {
    const { role } = state;
    const due = role.kind === "leader" ? role.heartbeatDueMs : state.electionDeadlineMs;
    return speaksAtHello(state) ? Math.min(due, state.helloDueMs) : due;
}
