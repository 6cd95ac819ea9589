/**
 * A small deterministic world for the consensus reducer: voters with disks and clocks, a network that loses, delays, reorders and
 * doubles, and the promises that are checked after every event. The machine is the real cluster state; callers change its
 * configuration and read it.
 *
 * @module
 */

import { applyCommand, type ChangeResult, type ClusterState, type Command, emptyCluster } from "../../src/cluster/index.js";
import { holdsLease } from "../../src/consensus/lease.js";
import { type Identity, type Membership, type Message, messageSchema } from "../../src/consensus/messages.js";
import { createConsensusReducer, nextTickMs } from "../../src/consensus/reducer.js";
import {
    type Answer, type ConsensusEvent, type ConsensusTimings, type Effect, emptyDisk, startedState, type StateMachine,
} from "../../src/consensus/state.js";
import { createPromises, newestOnDisk, written, type WorldNode as Node } from "./consensusPromises.js";
import { findContradiction, type Operation } from "./history.js";

const machine: StateMachine = {
    initial: emptyCluster,
    apply: (state, command) => applyCommand(state as ClusterState, command as Command),
};
const reducer = createConsensusReducer(machine);
const shortTimings: ConsensusTimings = {
    heartbeatMs: 100, electionTimeoutMinMs: 300, electionTimeoutMaxMs: 600, preVoteMs: 80, leaseMs: 220, silentMs: 2_400,
    admissionMs: 2_400, forgottenMs: 1_800, readMs: 600, helloMs: 200, snapshotRetryMs: 500,
};
const limits = { snapshotEntries: 8, trailingEntries: 13, messageEntries: 4, windowEntries: 12 };

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
    /** The leader takes in whoever announces itself, and only a process's first life may form a cluster. */
    readonly isOpen?: boolean;
    readonly disklessIds?: readonly string[];
    readonly timings?: ConsensusTimings;
}

export function createWorld(seed: number, ids: readonly string[], spareIds: readonly string[] = [], more: WorldOptions = {}) {
    const { isOpen = false, disklessIds = [], timings = shortTimings } = more;
    const peerOf = ({ voterId }: { readonly voterId: string }) => ({ id: voterId, address: `${voterId}:1` });
    const peers = ids.map(voterId => peerOf({ voterId }));
    /** Nodes that never come back; the settings of those that start after that no longer name them. */
    const retired = new Set<Node>();
    const nodes: Node[] = [...ids, ...spareIds].map((voterId, place) => ({
        voterId, diskId: `${voterId}0`, disk: emptyDisk, state: undefined, writes: [], shelf: [], paused: false, lives: 0,
        rate: 1 + (place - 1) * 0.04,
    }));
    const network: Packet[] = [];
    /** Links that carry nothing, as "from>to". */
    const cuts = new Set<string>();
    const callers = new Map<string, Caller>();
    const operations: Operation[] = [];
    const promises = createPromises(nodes, clockOf, fail);
    let nowMs = 0;
    let step = 0;
    let count = 0;
    const lines: string[] = [];
    const answers: Answer[] = [];
    let randomState = seed >>> 0;

    function random(): number {
        randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
        return randomState / 0x1_0000_0000;
    }

    function clockOf(node: Node): number {
        return nowMs * node.rate;
    }

    function fail(what: string): never {
        throw new Error(`${what} (step ${step}, ${nowMs} ms)`);
    }

    function start(node: Node, seedIds?: readonly string[]) {
        if (node.state !== undefined) {
            return;
        }
        const own = { id: node.voterId, address: `${node.voterId}:1` };
        const present = nodes.filter(other => other.lives > 0 && !retired.has(other));
        const named = retired.size === 0 ? peers : present.slice(0, peers.length).map(peerOf);
        const known = seedIds?.map(voterId => peerOf({ voterId })) ?? named;
        const options = {
            self: { voterId: node.voterId, diskId: node.diskId }, address: own.address, timings, limits,
            peers: isOpen || ids.includes(node.voterId) ? known : [...known, own], diskless: disklessIds.includes(node.voterId),
            mayForm: !isOpen || node.lives === 0, isOpen,
        };
        node.lives++;
        node.state = startedState(options, machine, node.disk, clockOf(node), random());
    }

    function feed(node: Node, event: EventBody) {
        const before = node.state;
        if (before === undefined || node.paused) {
            return;
        }
        const result = reducer(before, { ...event, nowMs: clockOf(node), random: random() } as ConsensusEvent);
        node.state = result.state;
        result.effects.forEach(effect => perform(node, effect));
        promises.check(node, before, result.state, event.kind === "message" && event.message.kind === "snapshot");
    }

    function perform(node: Node, effect: Effect) {
        switch (effect.kind) {
            case "send":
                return post(node, effect.to.voterId, effect.to.diskId, effect.message);
            case "announce":
                return post(node, effect.toVoterId, undefined, effect.message);
            case "persist":
                return node.writes.push(effect);
            case "answer":
                return onAnswer(effect.proposalId, effect.answer);
            case "answer-read":
                return effect.confirmed && end(effect.readId, { kind: "saw", version: versionAt(node) });
            case "log":
                return lines.push(`${node.voterId}: ${effect.line}`);
        }
    }

    function post(node: Node, toVoterId: string, toDiskId: string | undefined, message: Message) {
        if (!messageSchema.safeParse(message).success) {
            fail(`${node.voterId} sends what no other takes: ${JSON.stringify(message)}`);
        }
        if (!cuts.has(`${node.voterId}>${toVoterId}`)) {
            network.push({ from: { voterId: node.voterId, diskId: node.diskId }, toVoterId, toDiskId, message });
        }
    }

    /** Whether this disk may go, by every membership written anywhere: a majority of the voters' disks must stay. */
    function mayLose(node: Node): boolean {
        const { membership } = promises;
        const memberships = [membership, ...nodes.flatMap(other => [other.state?.membership, newestOnDisk(other.disk)])];
        return membership?.formed === true &&
            memberships.every(written => written === undefined || (written.formed && bearsLoss(written, node)));
    }

    function bearsLoss({ voters }: Membership, node: Node | undefined): boolean {
        const lost = voters.filter(voter => !nodes.some(other => other !== node && other.diskId === voter.diskId)).length;
        return lost * 2 < voters.length;
    }

    function versionAt(node: Node): number {
        return (node.state!.machine as ClusterState).configuration.version;
    }

    function onAnswer(proposalId: string, answer: Answer) {
        answers.push(answer);
        if (answer.outcome !== "applied" || !callers.has(proposalId.split("/")[0]!)) {
            return;
        }
        const result = answer.result as ChangeResult;
        end(proposalId.split("/")[0]!, { kind: result.outcome === "accepted" ? "changed" : "saw", version: result.version });
    }

    function end(id: string, outcome: Operation["outcome"]) {
        const caller = callers.get(id);
        if (caller !== undefined) {
            callers.delete(id);
            operations.push({ id, invokedAt: caller.invokedAt, endedAt: ++step, outcome });
        }
    }

    function packetTo(packet: Packet) {
        const node = nodes.find(item => item.voterId === packet.toVoterId);
        if (node !== undefined && !cuts.has(`${packet.from.voterId}>${node.voterId}`)) {
            feed(node, { kind: "message", from: packet.from, toDiskId: packet.toDiskId, message: packet.message });
        }
    }

    const actions = {
        deliver(place: number) {
            const at = network.length === 0 ? -1 : place % network.length;
            const packet = network[at];
            if (packet !== undefined && !nodes.find(item => item.voterId === packet.toVoterId)?.paused) {
                network.splice(at, 1);
                packetTo(packet);
            }
        },
        drop: (place: number) => void (network.length > 0 && network.splice(place % network.length, 1)),
        dropAll: () => void network.splice(0),
        double: (place: number) => void (network.length > 0 && network.push(network[place % network.length]!)),
        /** Completes up to `limit` writes of a voter. */
        sync(node: Node, limit: number) {
            const done = node.state === undefined || node.paused ? [] : node.writes.splice(0, limit);
            done.forEach(write => {
                node.disk = written(node.disk, write);
            });
            if (done.length > 0) {
                feed(node, { kind: "synced", syncId: done.at(-1)!.syncId });
            }
        },
        /** The disk refuses the writes that wait; they stay. */
        fill: (node: Node) => feed(node, { kind: "storage-failed", reason: "no space left" }),
        pass(ms: number) {
            nowMs += ms;
            for (const node of nodes) {
                if (node.state !== undefined && !node.paused && clockOf(node) >= nextTickMs(node.state)) {
                    feed(node, { kind: "tick" });
                }
            }
        },
        /** The process dies; of the writes under way the first `kept` reached the disk unreported. */
        crash(node: Node, kept: number) {
            node.writes.splice(0, kept).forEach(write => {
                node.disk = written(node.disk, write);
            });
            node.state = undefined;
            node.writes = [];
            node.paused = false;
        },
        restart: (node: Node) => start(node),
        /** Starts a node whose settings name other processes. */
        restartWith: (node: Node, seedIds: readonly string[]) => start(node, seedIds),
        /** The settings of a running node name these processes from now on. */
        nameSeeds: (node: Node, ids: readonly string[]) =>
            feed(node, { kind: "seeds-changed", seeds: ids.map(voterId => peerOf({ voterId })) }),
        /** One direction of one link carries nothing from now on. */
        cut: (from: Node, to: Node) => void cuts.add(`${from.voterId}>${to.voterId}`),
        mend: () => cuts.clear(),
        /** The disk is lost, whoever needs it. */
        lose(node: Node) {
            actions.crash(node, 0);
            node.shelf.push({ diskId: node.diskId, disk: node.disk });
            node.disk = emptyDisk;
            node.diskId = `${node.voterId}${++count}`;
        },
        /** The VM is gone for good. */
        retire(node: Node) {
            actions.lose(node);
            retired.add(node);
        },
        /** The disk is lost, unless the voters could not bear it. */
        wipe(node: Node) {
            if (mayLose(node)) {
                actions.lose(node);
            }
        },
        /** A disk that was taken for lost is put back, as after a failed mount, and the one in its place is gone. */
        remount(node: Node) {
            if (node.shelf.length > 0 && mayLose(node)) {
                actions.crash(node, 0);
                Object.assign(node, node.shelf.pop());
            }
        },
        change(node: Node, expects: boolean) {
            const id = `change${++count}`;
            const value = { classes: [], services: [], organisations: [], dataCentres: [{ name: id, region: "r", drained: false }] };
            const command: Command = {
                kind: "change-configuration", changeId: id, author: "o", atMs: 1, edits: [{ kind: "replace", configuration: value }],
                ...expects && node.state !== undefined ? { expectedVersion: versionAt(node) } : {},
            };
            callers.set(id, { id, invokedAt: ++step, command });
            feed(node, { kind: "propose", proposals: [{ proposalId: `${id}/1`, command }] });
        },
        /** A caller without an answer sends the same change again, maybe to another voter. */
        resend(node: Node, place: number) {
            const open = [...callers.values()].filter(caller => caller.command !== undefined);
            const caller = open[place % Math.max(1, open.length)];
            if (caller !== undefined) {
                feed(node, { kind: "propose", proposals: [{ proposalId: `${caller.id}/${++count}`, command: caller.command }] });
            }
        },
        read(node: Node) {
            const id = `read${++count}`;
            callers.set(id, { id, invokedAt: ++step, command: undefined });
            feed(node, { kind: "read", readIds: [id] });
        },
        admit: (node: Node, spare: Node) =>
            feed(node, { kind: "add-voter", proposalId: `add${++count}`, voterId: spare.voterId, address: `${spare.voterId}:1` }),
        remove: (node: Node, other: Node) => feed(node, { kind: "remove-voter", proposalId: `remove${++count}`, voterId: other.voterId }),
        transfer: (node: Node) => feed(node, { kind: "transfer" }),
        /** Time without faults on the links: everything arrives in order and every write completes. */
        calm(rounds: number) {
            for (let round = 0; round < rounds; round++) {
                for (const packet of network.splice(0)) {
                    if (nodes.find(item => item.voterId === packet.toVoterId)?.paused) {
                        network.push(packet);
                    }
                    else {
                        packetTo(packet);
                    }
                }
                nodes.forEach(node => actions.sync(node, node.writes.length));
                actions.pass(20);
            }
        },
        heal() {
            for (const node of nodes) {
                node.paused = false;
                start(node);
            }
            cuts.clear();
        },
    };

    return {
        nodes,
        disklessIds,
        actions,
        promises,
        leader: () => nodes.find(node => node.state !== undefined && holdsLease(node.state, clockOf(node))),
        versionAt,
        /** Fails if the callers' history contradicts itself. */
        checkHistory() {
            const open = [...callers.values()].map(({ id, invokedAt }): Operation =>
                ({ id, invokedAt, endedAt: undefined, outcome: { kind: "open" } }));
            const contradiction = findContradiction([...operations, ...open], promises.writerOf);
            if (contradiction !== undefined) {
                fail(contradiction);
            }
        },
        operations,
        lines,
        answers,
        /** False where a membership that was written somewhere has lost a majority of its disks: then it may rightly stand still. */
        canServe: () => nodes.every(node => node.state?.membership === undefined || bearsLoss(node.state.membership, undefined)),
    };
}

export type World = ReturnType<typeof createWorld>;
