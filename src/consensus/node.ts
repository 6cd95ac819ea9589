/**
 * The shell of one voter: feeds the reducer from the clock, the disk, the peers and the control role, and performs what it asks for.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { applyCommand, type ClusterState, type Command, type CommandResult, commandSchema, emptyCluster, type Proposal,
    type ReplicatedLog } from "../cluster/index.js";
import { ConsensusService, DeliverSummarySchema, ProposeResponseSchema } from "../rpc/gen/zinnialanding/v1/consensus_pb.js";
import { type Clock, createHost, createLeaseClock } from "../runtime/index.js";
import type { FileOperations } from "./files.js";
import { holdsLease } from "./lease.js";
import type { Letter } from "./messages.js";
import { createConsensusReducer, nextTickMs } from "./reducer.js";
import { createNoStorage, openStorage, type Storage } from "./storage.js";
import {
    type Answer, type ConsensusEvent, type ConsensusLimits, type ConsensusOptions, type ConsensusState, type ConsensusTimings,
    defaultLimits, defaultTimings, type Effect, type SettingsPeer, startedState, type StateMachine,
} from "./state.js";
import { addressOf } from "./steps.js";
import { type ConsensusRoutes, createTransport, defaultTransport, type LinkTls, receive, type Transport } from "./transport.js";
import { type VoterView, voterAddresses, voterViews } from "./view.js";
import { createBatcher, createDueTimer, createWaiters } from "./waiters.js";

export interface ReplicatedLogOptions {
    readonly voterId: string;
    /** The region's voters by the settings, this one among them; in an open cluster any processes to begin with. */
    readonly peers: readonly SettingsPeer[];
    /** Unset, this process never votes and keeps nothing; it tells others who votes. */
    readonly dataFolder: string | undefined;
    /** Where the other voters reach this one; unset, the settings' list of voters says it. */
    readonly address?: string;
    readonly mayForm?: boolean;
    readonly isOpen?: boolean;
    readonly timings?: Partial<ConsensusTimings>;
    readonly limits?: Partial<ConsensusLimits>;
    readonly transport?: Partial<typeof defaultTransport>;
    readonly tls?: LinkTls | undefined;
    readonly files?: FileOperations;
    readonly clock?: Clock;
    /** Takes a line for each change of state. */
    readonly logger?: (line: string) => void;
}

export type VoterChange =
    | { readonly outcome: "applied"; readonly index: number }
    | { readonly outcome: "refused"; readonly reason: string }
    | { readonly outcome: "not-leader"; readonly leaderAddress: string | undefined }
    | { readonly outcome: "unknown" };

/** The log with what operators and the daemon need beside it. */
export interface ConsensusNode extends ReplicatedLog {
    /** Mounts what the other voters call. */
    readonly routes: ConsensusRoutes;
    voters(): readonly VoterView[];
    /** Where voters are reached; without a disk those that have answered lately, if any, or else all that are known. */
    voterAddresses(): readonly string[];
    addVoter(voterId: string, address: string, timeoutMs: number): Promise<VoterChange>;
    removeVoter(voterId: string, timeoutMs: number): Promise<VoterChange>;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly term: number;
    /** Why this voter acknowledges nothing; undefined while its disk takes writes. */
    readonly storageFault: string | undefined;
    /** The settings name these processes from now on. */
    useSeeds(seeds: readonly SettingsPeer[]): void;
    /** Stops as a crash would: hands nothing over. */
    abandon(): Promise<void>;
}

const clusterMachine: StateMachine = {
    initial: emptyCluster,
    apply: (state, command) => applyCommand(state as ClusterState, command as Command),
};

/** Opens the data folder and starts to take part. Throws `CorruptionError` or `ForeignFolderError` for a folder it must not use. */
export async function createReplicatedLog(options: ReplicatedLogOptions): Promise<ConsensusNode> {
    const { dataFolder: folder, voterId } = options;
    const storage = folder === undefined
        ? createNoStorage(voterId)
        : await openStorage({ folder, voterId, ...options.files === undefined ? {} : { files: options.files } });
    const transport = createTransport({ ...defaultTransport, ...options.transport, voterId: options.voterId, tls: options.tls });
    const node = createNode(options, storage, transport);
    if (storage.tornBytes > 0) {
        options.logger?.(`consensus: cut ${storage.tornBytes} bytes of a write that a crash cut short`);
    }
    return node;
}

function createNode(options: ReplicatedLogOptions, storage: Storage, transport: Transport): ConsensusNode {
    const clock = options.clock ?? createLeaseClock();
    const { identity: self } = storage;
    const consensusOptions: ConsensusOptions = {
        self,
        diskless: options.dataFolder === undefined,
        mayForm: options.mayForm ?? true,
        isOpen: options.isOpen ?? false,
        address: options.address ?? options.peers.find(peer => peer.id === options.voterId)?.address ?? "",
        peers: options.peers,
        timings: { ...defaultTimings, ...options.timings },
        limits: { ...defaultLimits, ...options.limits },
    };
    const initial = startedState(consensusOptions, clusterMachine, storage.image, clock.nowMs(), Math.random());
    const answers = createWaiters<Answer>();
    const confirmations = createWaiters<boolean>();
    const proposals = createBatcher<{ proposalId: string; command: unknown }>(items => dispatch({ kind: "propose", proposals: items }));
    const reads = createBatcher<string>(readIds => dispatch({ kind: "read", readIds }));
    const listeners = new Set<() => void>();
    let counter = 0;
    let stopped = false;

    const host = createHost<ConsensusState, ConsensusEvent, Effect>(createConsensusReducer(clusterMachine), initial, perform);
    const timer = createDueTimer(clock.nowMs, () => nextTickMs(host.state), () => dispatch({ kind: "tick" }));

    function perform(effect: Effect) {
        switch (effect.kind) {
            case "send":
                return post(effect.to.voterId, { from: self, toDiskId: effect.to.diskId, message: effect.message });
            case "announce":
                return post(effect.toVoterId, { from: self, message: effect.message });
            case "persist":
                return storage.persist(effect);
            case "answer":
                return answers.settle(effect.proposalId, effect.answer);
            case "answer-read":
                return confirmations.settle(effect.readId, effect.confirmed);
            case "log":
                return options.logger?.(effect.line);
        }
    }

    function post(toVoterId: string, letter: Letter) {
        const { role } = host.state;
        const learner = role.kind === "leader" ? role.progress[letter.toDiskId ?? ""]?.voter.address : undefined;
        const address = addressOf(host.state, toVoterId) ?? learner;
        if (address !== undefined) {
            transport.send(address, toVoterId, letter);
        }
    }

    function dispatch(event: EventBody) {
        if (stopped) {
            return;
        }
        const before = host.state;
        try {
            host.dispatch({ ...event, nowMs: Math.ceil(clock.nowMs()), random: Math.random() } as ConsensusEvent);
        }
        catch (error) {
            // A broken invariant: going on could harm what others hold. The voter stops and its operators are told.
            options.logger?.(`consensus: stopped: ${(error as Error).message}`);
            void abandon();
            return;
        }
        const after = host.state;
        timer.look();
        if (before.appliedIndex !== after.appliedIndex || before.role.kind !== after.role.kind || before.leader !== after.leader) {
            listeners.forEach(listener => listener());
        }
    }

    function leaderAddress(): string | undefined {
        const { leader } = host.state;
        return leader === undefined ? undefined : addressOf(host.state, leader.voterId);
    }

    async function propose(command: Command, timeoutMs: number): Promise<Proposal> {
        if (stopped || host.state.role.kind !== "leader") {
            return { outcome: "not-leader", leaderAddress: leaderAddress() };
        }
        const proposalId = String(++counter);
        // Followers see what JSON keeps of a command. The leader applies the same, or its state could differ from theirs.
        proposals.add({ proposalId, command: JSON.parse(JSON.stringify(command)) });
        const answer = await answers.wait(proposalId, timeoutMs, { outcome: "unknown" });
        if (answer.outcome === "applied") {
            return { outcome: "applied", result: answer.result as CommandResult, index: answer.index };
        }
        return answer.outcome === "unknown" ? { outcome: "unknown" } : { outcome: "not-leader", leaderAddress: leaderAddress() };
    }

    async function read(timeoutMs: number): Promise<ClusterState | undefined> {
        if (stopped) {
            return undefined;
        }
        // Ids of several voters meet at the leader.
        const readId = `${self.diskId.slice(0, 8)}-${++counter}`;
        reads.add(readId);
        const confirmed = await confirmations.wait(readId, timeoutMs, false);
        return confirmed ? host.state.machine as ClusterState : undefined;
    }

    async function changeVoters(event: { kind: "add-voter"; voterId: string; address: string } | { kind: "remove-voter"; voterId: string },
        timeoutMs: number): Promise<VoterChange> {
        const proposalId = String(++counter);
        const answered = answers.wait(proposalId, timeoutMs, { outcome: "unknown" });
        dispatch({ ...event, proposalId });
        const answer = await answered;
        switch (answer.outcome) {
            case "applied":
                return { outcome: "applied", index: answer.index };
            case "not-leader":
                return { outcome: "not-leader", leaderAddress: leaderAddress() };
            default:
                return answer;
        }
    }

    async function abandon(): Promise<void> {
        stopped = true;
        timer.stop();
        transport.close();
        answers.settleAll({ outcome: "unknown" });
        confirmations.settleAll(false);
        await storage.close();
    }

    function isLedByAnother(): boolean {
        const { role, leader } = host.state;
        return role.kind !== "leader" && leader !== undefined;
    }

    async function stop(): Promise<void> {
        if (stopped) {
            return;
        }
        dispatch({ kind: "transfer" });
        const untilMs = clock.nowMs() + consensusOptions.timings.electionTimeoutMinMs;
        const isHandingOver = host.state.role.kind === "leader" && host.state.membership!.voters.length > 1;
        // The successor may need the vote of this voter. Unsent at the stop, it leaves no leader for an election timeout.
        while (isHandingOver && !isLedByAnother() && clock.nowMs() < untilMs) {
            await new Promise(resolve => setTimeout(resolve, handOverPollMs));
        }
        await abandon();
    }

    const routes: ConsensusRoutes = router => router.service(ConsensusService, {
        async deliver(envelopes) {
            const onLetter = ({ from, toDiskId, message }: Letter) => dispatch({ kind: "message", from, toDiskId, message });
            return create(DeliverSummarySchema, { received: await receive(envelopes, { voterId: self.voterId, onLetter }) });
        },
        async propose(request) {
            const command = commandSchema.parse(JSON.parse(Buffer.from(request.command).toString("utf8")));
            const answer = await propose(command, request.timeoutMs);
            return create(ProposeResponseSchema, {
                outcome: answer.outcome,
                result: answer.outcome === "applied" ? Buffer.from(JSON.stringify(answer.result)) : new Uint8Array(),
                leaderAddress: answer.outcome === "not-leader" ? answer.leaderAddress ?? "" : "",
            });
        },
    });

    storage.start({
        synced: (syncId, snapshotBytes) => dispatch({ kind: "synced", syncId, snapshotBytes }),
        failed: reason => dispatch({ kind: "storage-failed", reason }),
    });
    timer.look();

    return {
        propose,
        read,
        get state() {
            return host.state.machine as ClusterState;
        },
        get role() {
            const { kind } = host.state.role;
            return kind === "pre-candidate" ? "candidate" : kind;
        },
        get leaseHeld() {
            return !stopped && host.state.storageFault === undefined && holdsLease(host.state, clock.nowMs());
        },
        get leaderAddress() {
            return leaderAddress();
        },
        subscribe(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        stop,
        routes,
        voters: () => voterViews(host.state),
        voterAddresses: () => voterAddresses(host.state),
        addVoter: (voterId, address, timeoutMs) => changeVoters({ kind: "add-voter", voterId, address }, timeoutMs),
        removeVoter: (voterId, timeoutMs) => changeVoters({ kind: "remove-voter", voterId }, timeoutMs),
        get commitIndex() {
            return host.state.commitIndex;
        },
        get appliedIndex() {
            return host.state.appliedIndex;
        },
        get term() {
            return host.state.term;
        },
        get storageFault() {
            return host.state.storageFault;
        },
        useSeeds: seeds => dispatch({ kind: "seeds-changed", seeds }),
        abandon,
    };
}

/** How often a stopping leader looks whether another has taken over. */
const handOverPollMs = 10;

/** An event as the shell makes it; the time and the random number are added when it is dispatched. */
type EventBody = ConsensusEvent extends infer Each ? Each extends ConsensusEvent ? Omit<Each, "nowMs" | "random"> : never : never;
