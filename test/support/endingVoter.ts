/**
 * A voter, made of the consensus reducer and the storage on a simulated disk, that receives scripted messages and may end after any file
 * operation. What it promises to others is recorded over all of its lives.
 *
 * @module
 */

import { applyCommand, type ClusterState, type Command, emptyCluster } from "../../src/cluster/index.js";
import { type Log, termAt } from "../../src/consensus/entries.js";
import type { Identity, Message } from "../../src/consensus/messages.js";
import { createConsensusReducer } from "../../src/consensus/reducer.js";
import { createInitialState } from "../../src/consensus/recovery.js";
import { type ConsensusEvent, type ConsensusState, defaultLimits, defaultTimings, type StateMachine } from "../../src/consensus/state.js";
import { openStorage, type Storage } from "../../src/consensus/storage.js";
import type { EndPoint, SimulatedDisk } from "./simulatedDisk.js";

const machine: StateMachine = {
    initial: emptyCluster,
    apply: (state, command) => applyCommand(state as ClusterState, command as Command),
};
const reducer = createConsensusReducer(machine);

/** What the voter has promised in all of its lives. */
export interface Promises {
    /** The terms of the entries that it has acknowledged, by index. */
    readonly acknowledgedTerms: Map<number, number>;
    /** The disk that it has voted for, by term. */
    readonly votes: Map<number, string>;
    /** The identity under which it has answered. */
    diskId: string | undefined;
    /** The cluster that it has formed. */
    clusterId: string | undefined;
    readonly broken: string[];
}

export function createPromises(): Promises {
    return { acknowledgedTerms: new Map(), votes: new Map(), diskId: undefined, clusterId: undefined, broken: [] };
}

export interface ScriptStep {
    readonly from: Identity;
    readonly message: Message;
    /** The terms of the sender's log by index, as far as the voter acknowledges it by its answer. */
    readonly senderTerms?: ReadonlyMap<number, number>;
}

export interface Script {
    /** The processes of the settings other than the voter. */
    readonly peers: readonly Identity[];
    readonly steps: readonly ScriptStep[];
    readonly mayForm?: boolean;
    readonly snapshotLogBytes?: number;
    readonly segmentBytes?: number;
}

const voterId = "a";
/** Longer than a voter grants no vote after it has heard of a leader. */
const stepMs = 2_000;

/** Whether a log holds an acknowledged entry, or has followed a later leader that did not have it. */
function accountsFor(log: Log, index: number, term: number): boolean {
    const isReplaced = log.baseTerm > term || log.entries.some(entry => entry.index <= index && entry.term > term);
    return index <= log.baseIndex || termAt(log, index) === term || isReplaced;
}

/** Compares what the voter has read from its disk with what it has promised. */
function checkState(state: ConsensusState, promises: Promises) {
    const { acknowledgedTerms, votes, diskId, clusterId, broken } = promises;
    for (const [index, term] of acknowledgedTerms) {
        if (!accountsFor(state.log, index, term)) {
            broken.push(`entry ${index} of term ${term} is gone`);
        }
    }
    const lastVoteTerm = Math.max(0, ...votes.keys());
    if (state.term < lastVoteTerm || (state.term === lastVoteTerm && lastVoteTerm > 0 && state.votedFor !== votes.get(lastVoteTerm))) {
        broken.push(`the vote of term ${lastVoteTerm} is gone`);
    }
    if ((diskId ?? state.options.self.diskId) !== state.options.self.diskId) {
        broken.push("it has another identity");
    }
    if ((clusterId ?? state.membership?.clusterId) !== state.membership?.clusterId) {
        broken.push("the cluster that it formed is gone");
    }
}

/** Records what a sent message promises. */
function recordSent(to: Identity, message: Message, step: ScriptStep | undefined, promises: Promises) {
    if (message.kind === "vote-response" && message.granted) {
        if ((promises.votes.get(message.term) ?? to.diskId) !== to.diskId) {
            promises.broken.push(`it votes twice in term ${message.term}`);
        }
        promises.votes.set(message.term, to.diskId);
    }
    if (message.kind === "append-response" && message.success) {
        for (const [index, term] of step?.senderTerms ?? []) {
            if (index <= message.matchIndex) {
                promises.acknowledgedTerms.set(index, term);
            }
        }
    }
    if (message.kind === "vote") {
        promises.clusterId = message.clusterId;
    }
}

/**
 * Starts the voter, checks what it has read from its disk against its promises, and plays the script. Resolves to whether it has played the
 * whole script; to false if it ended before.
 */
export async function playLife(script: Script, disk: SimulatedDisk, promises: Promises, endPoint?: EndPoint): Promise<boolean> {
    let endLife: () => void;
    const ended = new Promise<false>(resolve => {
        endLife = () => resolve(false);
    });
    const files = disk.startProcess(endPoint, () => endLife());
    const segmentBytes = script.segmentBytes ?? 1_000_000;
    return Promise.race([ended, openStorage({ folder: "/data/voter", voterId, files, segmentBytes }).then(storage => playSteps(storage, script, promises))]);
}

async function playSteps(storage: Storage, script: Script, promises: Promises): Promise<true> {
    let nowMs = stepMs;
    let currentStep: ScriptStep | undefined;
    let onSynced = () => undefined as void;
    let state = createInitialState({
        self: storage.identity,
        address: "a:1",
        peers: [voterId, ...script.peers.map(peer => peer.voterId)].map(id => ({ id, address: `${id}:1` })),
        diskless: false,
        timings: defaultTimings,
        limits: { ...defaultLimits, snapshotLogBytes: script.snapshotLogBytes ?? defaultLimits.snapshotLogBytes, trailingBytes: 0 },
        mayForm: script.mayForm ?? false,
        isOpen: true,
    }, machine, storage.image, nowMs, 0.5);
    checkState(state, promises);

    function dispatch(event: ConsensusEvent) {
        const result = reducer(state, event);
        state = result.state;
        for (const effect of result.effects) {
            if (effect.kind === "persist") {
                storage.persist(effect);
            }
            else if (effect.kind === "send") {
                promises.diskId = storage.identity.diskId;
                recordSent(effect.to, effect.message, currentStep, promises);
            }
        }
    }

    storage.start({
        synced(syncId, snapshotBytes) {
            dispatch({ kind: "synced", syncId, snapshotBytes, nowMs, random: 0.5 });
            onSynced();
        },
        failed: reason => void promises.broken.push(reason),
    });
    for (const step of script.steps) {
        nowMs += stepMs;
        currentStep = step;
        dispatch({ kind: "message", from: step.from, message: step.message, nowMs, random: 0.5 });
        const isSynced = () => state.completedSyncId === state.requestedSyncId;
        if (!isSynced()) {
            await new Promise<void>(resolve => {
                onSynced = () => isSynced() && resolve();
            });
        }
    }
    await storage.close();
    return true;
}
