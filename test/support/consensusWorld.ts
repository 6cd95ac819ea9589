/**
 * A deterministic simulation of the consensus reducer: voters with disks and clocks, and a network that drops, delays, reorders and
 * duplicates messages. Invariants are checked after every event. The replicated state machine is the real cluster state; simulated
 * callers change its configuration and read it.
 *
 * @module
 */

import { applyCommand, type ChangeResult, type ClusterState, type Command, emptyCluster } from "../../src/cluster/index.js";
import { holdsLease } from "../../src/consensus/lease.js";
import { type Identity, type Membership, type Message, messageSchema } from "../../src/consensus/messages.js";
import { createConsensusReducer, nextTickMs } from "../../src/consensus/reducer.js";
import { createInitialState } from "../../src/consensus/recovery.js";
import {
    type ProposalAnswer, type ConsensusEvent, type ConsensusLimits, type ConsensusTimings, type Effect, emptyDisk, type StateMachine,
} from "../../src/consensus/state.js";
import { createInvariantChecker, newestMembershipOnDisk, diskAfterWrite, type WorldNode as Node } from "./consensusInvariants.js";
import { findContradiction, type Operation } from "./history.js";

const machine: StateMachine = {
    initial: emptyCluster,
    apply: (state, command) => applyCommand(state as ClusterState, command as Command),
};
const reducer = createConsensusReducer(machine);
const shortTimings: ConsensusTimings = {
    heartbeatMs: 100, electionTimeoutMinMs: 300, electionTimeoutMaxMs: 600, preVoteMs: 80, leaseMs: 220, voterSilenceTimeoutMs: 2_400,
    admissionTimeoutMs: 2_400, rejoinAfterMs: 1_800, readTimeoutMs: 600, helloMs: 200,
};
const smallLimits: ConsensusLimits = { snapshotLogBytes: 2_400, trailingBytes: 3_900, messageBytes: 1_200, windowBytes: 3_600 };

interface Packet {
    readonly from: Identity;
    readonly toVoterId: string;
    readonly toDiskId: string | undefined;
    readonly message: Message;
}

interface Caller {
    readonly id: string;
    readonly invokedAt: number;
    readonly command: Command | undefined;
}

type EventBody = ConsensusEvent extends infer Each ? Each extends ConsensusEvent ? Omit<Each, "nowMs" | "random"> : never : never;

export interface WorldOptions {
    /** The leader admits every process that announces itself, and a process may form a cluster only on its first start. */
    readonly isOpen?: boolean;
    readonly disklessIds?: readonly string[];
    readonly timings?: ConsensusTimings;
    readonly limits?: ConsensusLimits;
    readonly toleratedDiskLosses?: number;
    /** The size of what each change adds to the log. */
    readonly changeBytes?: number;
    readonly onMessage?: (message: Message) => void;
}

export function createWorld(seed: number, ids: readonly string[], spareIds: readonly string[] = [], options: WorldOptions = {}) {
    const { isOpen = false, disklessIds = [], timings = shortTimings, limits = smallLimits } = options;
    const { changeBytes = 0, onMessage, toleratedDiskLosses } = options;
    const peerOf = ({ voterId }: { readonly voterId: string }) => ({ id: voterId, address: `${voterId}:1` });
    const peers = ids.map(voterId => peerOf({ voterId }));
    /** Permanently removed nodes; nodes started afterwards no longer list them in their settings. */
    const retired = new Set<Node>();
    const nodes: Node[] = [...ids, ...spareIds].map((voterId, index) => ({
        voterId, diskId: `${voterId}0`, disk: emptyDisk, state: undefined, writes: [], detachedDisks: [], paused: false, lives: 0,
        clockRate: 1 + (index - 1) * 0.04,
    }));
    const network: Packet[] = [];
    /** Blocked one-way links, as "from>to". */
    const blockedLinks = new Set<string>();
    const callers = new Map<string, Caller>();
    const operations: Operation[] = [];
    const invariants = createInvariantChecker(nodes, clockOf, fail);
    let nowMs = 0;
    let step = 0;
    let idCount = 0;
    const logLines: string[] = [];
    const answers: ProposalAnswer[] = [];
    let randomState = seed >>> 0;

    function random(): number {
        randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
        return randomState / 0x1_0000_0000;
    }

    function clockOf(node: Node): number {
        return nowMs * node.clockRate;
    }

    function fail(message: string): never {
        throw new Error(`${message} (step ${step}, ${nowMs} ms)`);
    }

    function start(node: Node, seedIds?: readonly string[]) {
        if (node.state !== undefined) {
            return;
        }
        const ownPeer = { id: node.voterId, address: `${node.voterId}:1` };
        const startedNodes = nodes.filter(other => other.lives > 0 && !retired.has(other));
        const settingsPeers = retired.size === 0 ? peers : startedNodes.slice(0, peers.length).map(peerOf);
        const seedPeers = seedIds?.map(voterId => peerOf({ voterId })) ?? settingsPeers;
        const startOptions = {
            self: { voterId: node.voterId, diskId: node.diskId }, address: ownPeer.address, timings, limits,
            peers: isOpen || ids.includes(node.voterId) ? seedPeers : [...seedPeers, ownPeer], diskless: disklessIds.includes(node.voterId),
            mayForm: !isOpen || node.lives === 0, isOpen, toleratedDiskLosses,
        };
        node.lives++;
        node.state = createInitialState(startOptions, machine, node.disk, clockOf(node), random());
        dispatch(node, { kind: "synced", syncId: 0 });
    }

    function dispatch(node: Node, event: EventBody) {
        const before = node.state;
        if (before === undefined || node.paused) {
            return;
        }
        const result = reducer(before, { ...event, nowMs: clockOf(node), random: random() } as ConsensusEvent);
        node.state = result.state;
        result.effects.forEach(effect => perform(node, effect));
        invariants.check(node, before, result.state, event.kind === "message" && event.message.kind === "snapshot");
    }

    function perform(node: Node, effect: Effect) {
        switch (effect.kind) {
            case "send":
                return send(node, effect.to.voterId, effect.to.diskId, effect.message);
            case "announce":
                return send(node, effect.toVoterId, undefined, effect.message);
            case "persist":
                return node.writes.push(effect);
            case "answer":
                return recordAnswer(effect.proposalId, effect.answer);
            case "answer-read":
                return effect.confirmed && completeOperation(effect.readId, { kind: "saw", version: versionAt(node) });
            case "log":
                return logLines.push(`${node.voterId}: ${effect.line}`);
        }
    }

    function send(node: Node, toVoterId: string, toDiskId: string | undefined, message: Message) {
        if (!messageSchema.safeParse(message).success) {
            fail(`${node.voterId} sends an invalid message: ${JSON.stringify(message)}`);
        }
        onMessage?.(message);
        if (!blockedLinks.has(`${node.voterId}>${toVoterId}`)) {
            network.push({ from: { voterId: node.voterId, diskId: node.diskId }, toVoterId, toDiskId, message });
        }
    }

    /** Returns true if every membership stored anywhere keeps a majority of its voters' disks without this node's disk. */
    function canLoseDisk(node: Node): boolean {
        const { membership } = invariants;
        const memberships = [membership, ...nodes.flatMap(other => [other.state?.membership, newestMembershipOnDisk(other.disk)])];
        return membership?.formed === true &&
            memberships.every(known => known === undefined || (known.formed && retainsMajority(known, node)));
    }

    function retainsMajority({ voters }: Membership, node: Node | undefined): boolean {
        const lost = voters.filter(voter => !nodes.some(other => other !== node && other.diskId === voter.diskId)).length;
        return lost * 2 < voters.length;
    }

    function versionAt(node: Node): number {
        return (node.state!.machine as ClusterState).configuration.version;
    }

    function recordAnswer(proposalId: string, answer: ProposalAnswer) {
        answers.push(answer);
        if (answer.outcome !== "applied" || !callers.has(proposalId.split("/")[0]!)) {
            return;
        }
        const result = answer.result as ChangeResult;
        completeOperation(proposalId.split("/")[0]!, { kind: result.outcome === "accepted" ? "changed" : "saw", version: result.version });
    }

    function completeOperation(id: string, outcome: Operation["outcome"]) {
        const caller = callers.get(id);
        if (caller !== undefined) {
            callers.delete(id);
            operations.push({ id, invokedAt: caller.invokedAt, endedAt: ++step, outcome });
        }
    }

    function deliverPacket(packet: Packet) {
        const node = nodes.find(item => item.voterId === packet.toVoterId);
        if (node !== undefined && !blockedLinks.has(`${packet.from.voterId}>${node.voterId}`)) {
            dispatch(node, { kind: "message", from: packet.from, toDiskId: packet.toDiskId, message: packet.message });
        }
    }

    const actions = {
        deliver(choice: number) {
            const index = network.length === 0 ? -1 : choice % network.length;
            const packet = network[index];
            if (packet !== undefined && !nodes.find(item => item.voterId === packet.toVoterId)?.paused) {
                network.splice(index, 1);
                deliverPacket(packet);
            }
        },
        /** Delivers a message that is not in the network, such as one that was under way for long. */
        deliverMessage: (from: Node, to: Node, message: Message) =>
            dispatch(to, { kind: "message", from: { voterId: from.voterId, diskId: from.diskId }, toDiskId: to.diskId, message }),
        drop: (choice: number) => void (network.length > 0 && network.splice(choice % network.length, 1)),
        dropAll: () => void network.splice(0),
        duplicate: (choice: number) => void (network.length > 0 && network.push(network[choice % network.length]!)),
        /** Completes up to `limit` pending writes of a voter. */
        sync(node: Node, limit: number) {
            const completed = node.state === undefined || node.paused ? [] : node.writes.splice(0, limit);
            completed.forEach(write => {
                node.disk = diskAfterWrite(node.disk, write);
            });
            if (completed.length > 0) {
                dispatch(node, { kind: "synced", syncId: completed.at(-1)!.syncId });
            }
        },
        /** The disk rejects the pending writes, which stay queued. */
        failStorage: (node: Node) => dispatch(node, { kind: "storage-failed", reason: "no space left" }),
        advanceTime(ms: number) {
            nowMs += ms;
            for (const node of nodes) {
                if (node.state !== undefined && !node.paused && clockOf(node) >= nextTickMs(node.state)) {
                    dispatch(node, { kind: "tick" });
                }
            }
        },
        /** Crashes the process. The first `persistedCount` pending writes reached the disk without being acknowledged. */
        crash(node: Node, persistedCount: number) {
            node.writes.splice(0, persistedCount).forEach(write => {
                node.disk = diskAfterWrite(node.disk, write);
            });
            node.state = undefined;
            node.writes = [];
            node.paused = false;
        },
        restart: (node: Node) => start(node),
        /** Starts a node with the given seeds in its settings. */
        restartWith: (node: Node, seedIds: readonly string[]) => start(node, seedIds),
        /** Changes the seeds in the settings of a running node. */
        changeSeeds: (node: Node, ids: readonly string[]) =>
            dispatch(node, { kind: "seeds-changed", seeds: ids.map(voterId => peerOf({ voterId })) }),
        /** Blocks one direction of a link. */
        blockLink: (from: Node, to: Node) => void blockedLinks.add(`${from.voterId}>${to.voterId}`),
        unblockLinks: () => blockedLinks.clear(),
        /** Loses the disk, even if the cluster then has no majority. */
        loseDisk(node: Node) {
            actions.crash(node, 0);
            node.detachedDisks.push({ diskId: node.diskId, disk: node.disk });
            node.disk = emptyDisk;
            node.diskId = `${node.voterId}${++idCount}`;
        },
        /** Removes the VM permanently. */
        retire(node: Node) {
            actions.loseDisk(node);
            retired.add(node);
        },
        /** Loses the disk if a majority of the voters' disks remains. */
        loseDiskIfSafe(node: Node) {
            if (canLoseDisk(node)) {
                actions.loseDisk(node);
            }
        },
        /** Attaches a disk again that was considered lost, as after a failed mount, and discards the current one. */
        reattachDisk(node: Node) {
            if (node.detachedDisks.length > 0 && canLoseDisk(node)) {
                actions.crash(node, 0);
                Object.assign(node, node.detachedDisks.pop());
            }
        },
        change(node: Node, isConditional: boolean) {
            const id = `change${++idCount}`;
            const value = { classes: [], services: [], organisations: [], dataCentres: [{ name: id, region: "r", drained: false }] };
            const command: Command = {
                kind: "change-configuration", changeId: id, author: `o${"-".repeat(changeBytes)}`, atMs: 1, edits: [{ kind: "replace", configuration: value }],
                ...isConditional && node.state !== undefined ? { expectedVersion: versionAt(node) } : {},
            };
            callers.set(id, { id, invokedAt: ++step, command });
            dispatch(node, { kind: "propose", proposals: [{ proposalId: `${id}/1`, command }] });
        },
        /** Resends a change that has no answer yet, possibly to another voter. */
        resend(node: Node, choice: number) {
            const pending = [...callers.values()].filter(caller => caller.command !== undefined);
            const caller = pending[choice % Math.max(1, pending.length)];
            if (caller !== undefined) {
                dispatch(node, { kind: "propose", proposals: [{ proposalId: `${caller.id}/${++idCount}`, command: caller.command }] });
            }
        },
        read(node: Node) {
            const id = `read${++idCount}`;
            callers.set(id, { id, invokedAt: ++step, command: undefined });
            dispatch(node, { kind: "read", readIds: [id] });
        },
        addVoter: (node: Node, spare: Node) =>
            dispatch(node, { kind: "add-voter", proposalId: `add${++idCount}`, voterId: spare.voterId, address: `${spare.voterId}:1` }),
        removeVoter: (node: Node, other: Node) => dispatch(node, { kind: "remove-voter", proposalId: `remove${++idCount}`, voterId: other.voterId }),
        transferLeadership: (node: Node) => dispatch(node, { kind: "transfer" }),
        /** Runs rounds without new faults: messages arrive in order and every write completes. */
        runFaultFree(rounds: number) {
            for (let round = 0; round < rounds; round++) {
                for (const packet of network.splice(0)) {
                    if (nodes.find(item => item.voterId === packet.toVoterId)?.paused) {
                        network.push(packet);
                    }
                    else {
                        deliverPacket(packet);
                    }
                }
                nodes.forEach(node => actions.sync(node, node.writes.length));
                actions.advanceTime(20);
            }
        },
        endFaults() {
            for (const node of nodes) {
                node.paused = false;
                start(node);
            }
            blockedLinks.clear();
        },
    };

    return {
        nodes,
        disklessIds,
        actions,
        invariants,
        leader: () => nodes.find(node => node.state !== undefined && holdsLease(node.state, clockOf(node))),
        versionAt,
        /** Fails if the callers' history is not linearizable. */
        checkHistory() {
            const pending = [...callers.values()].map(({ id, invokedAt }): Operation =>
                ({ id, invokedAt, endedAt: undefined, outcome: { kind: "open" } }));
            const contradiction = findContradiction([...operations, ...pending], invariants.writerOf);
            if (contradiction !== undefined) {
                fail(contradiction);
            }
        },
        operations,
        logLines,
        answers,
        /** False if a node's membership has lost a majority of its disks; the cluster is then allowed to be unavailable. */
        retainsAllMajorities: () =>
            nodes.every(node => node.state?.membership === undefined || retainsMajority(node.state.membership, undefined)),
    };
}

export type World = ReturnType<typeof createWorld>;
