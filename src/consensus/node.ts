/**
 * The shell of one voter: dispatches events from the clock, the disk, the peers and the control role to the reducer, and performs its
 * effects.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { applyCommand, type ClusterState, type Command, type CommandResult, commandSchema, emptyCluster, type ProposalResult,
    type ReplicatedLog } from "../cluster/index.js";
import { ConsensusService, DeliverSummarySchema, ProposeResponseSchema } from "../rpc/gen/zinnialanding/v1/consensus_pb.js";
import { type Clock, createHost, createLeaseClock } from "../runtime/index.js";
import type { FileOperations } from "./files.js";
import { holdsLease } from "./lease.js";
import type { AddressedMessage } from "./messages.js";
import { createConsensusReducer, nextTickMs } from "./reducer.js";
import { createInitialState } from "./recovery.js";
import { createNullStorage, openStorage, type Storage } from "./storage.js";
import {
    type ProposalAnswer, type ConsensusEvent, type ConsensusLimits, type ConsensusOptions, type ConsensusState, type ConsensusTimings,
    defaultLimits, defaultTimings, type Effect, type SettingsPeer, type StateMachine,
} from "./state.js";
import { addressOf } from "./steps.js";
import { type ConsensusRoutes, createTransport, defaultTransport, type LinkTls, receive, type Transport } from "./transport.js";
import { type VoterView, voterAddresses, voterViews } from "./view.js";
import { createBatcher, createDueTimer, createWaiters } from "./waiters.js";

export interface ReplicatedLogOptions {
    readonly voterId: string;
    /** The processes named in the settings, including this one: the region's voters, or in an open cluster the initial contacts. */
    readonly peers: readonly SettingsPeer[];
    /** If unset, this process never votes and stores nothing; it only tells others who the voters are. */
    readonly dataFolder: string | undefined;
    /** The address at which the other voters reach this one; taken from `peers` if unset. */
    readonly address?: string;
    readonly mayForm?: boolean;
    readonly isOpen?: boolean;
    /** The number of disks that the site may lose at once; unset: what the number of voters implies. */
    readonly toleratedDiskLosses?: number | undefined;
    readonly timings?: Partial<ConsensusTimings>;
    readonly limits?: Partial<ConsensusLimits>;
    readonly transport?: Partial<typeof defaultTransport>;
    readonly tls?: LinkTls | undefined;
    readonly files?: FileOperations;
    readonly clock?: Clock;
    /** Receives a line for each notable change of state. */
    readonly logger?: (line: string) => void;
}

export type VoterChange =
    | { readonly outcome: "applied"; readonly index: number }
    | { readonly outcome: "refused"; readonly reason: string }
    | { readonly outcome: "not-leader"; readonly leaderAddress: string | undefined }
    | { readonly outcome: "unknown" };

/** The replicated log, with the functions that operators and the daemon need in addition. */
export interface ConsensusNode extends ReplicatedLog {
    /** Mounts the service that the other voters call. */
    readonly routes: ConsensusRoutes;
    voters(): readonly VoterView[];
    /** Returns the addresses of the voters; without a disk, of those that answered recently, or of all known ones if none did. */
    voterAddresses(): readonly string[];
    addVoter(voterId: string, address: string, timeoutMs: number): Promise<VoterChange>;
    removeVoter(voterId: string, timeoutMs: number): Promise<VoterChange>;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly term: number;
    /** Identifies the log; undefined until this process belongs to a cluster. */
    readonly clusterId: string | undefined;
    /** Why the disk refuses writes, during which this voter acknowledges nothing; undefined while the disk accepts them. */
    readonly storageFault: string | undefined;
    /** Replaces the seeds after the settings have changed. */
    updateSeeds(seeds: readonly SettingsPeer[]): void;
    /** Stops without transferring leadership, as a crash would. */
    abandon(): Promise<void>;
}

const clusterMachine: StateMachine = {
    initial: emptyCluster,
    apply: (state, command) => applyCommand(state as ClusterState, command as Command),
};

/** Opens the data folder and joins the cluster. Throws `CorruptionError` or `ForeignFolderError` for a folder it must not use. */
export async function createReplicatedLog(options: ReplicatedLogOptions): Promise<ConsensusNode> {
    const { dataFolder: folder, voterId } = options;
    const storage = folder === undefined
        ? createNullStorage(voterId)
        : await openStorage({ folder, voterId, ...options.files === undefined ? {} : { files: options.files } });
    const transport = createTransport({ ...defaultTransport, ...options.transport, voterId: options.voterId, tls: options.tls });
    const node = createNode(options, storage, transport);
    if (storage.tornBytes > 0) {
        options.logger?.(`consensus: truncated ${storage.tornBytes} bytes of a write that a crash interrupted`);
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
        toleratedDiskLosses: options.toleratedDiskLosses,
        address: options.address ?? options.peers.find(peer => peer.id === options.voterId)?.address ?? "",
        peers: options.peers,
        timings: { ...defaultTimings, ...options.timings },
        limits: { ...defaultLimits, ...options.limits },
    };
    const initial = createInitialState(consensusOptions, clusterMachine, storage.image, clock.nowMs(), Math.random());
    const proposalWaiters = createWaiters<ProposalAnswer>();
    const readWaiters = createWaiters<boolean>();
    const proposalBatcher = createBatcher<{ proposalId: string; command: unknown }>(items => dispatch({ kind: "propose", proposals: items }));
    const readBatcher = createBatcher<string>(readIds => dispatch({ kind: "read", readIds }));
    const listeners = new Set<() => void>();
    let lastRequestNumber = 0;
    let stopped = false;

    const host = createHost<ConsensusState, ConsensusEvent, Effect>(createConsensusReducer(clusterMachine), initial, perform);
    const timer = createDueTimer(clock.nowMs, () => nextTickMs(host.state), () => dispatch({ kind: "tick" }));

    function perform(effect: Effect) {
        switch (effect.kind) {
            case "send":
                return sendToVoter(effect.to.voterId, { from: self, toDiskId: effect.to.diskId, message: effect.message });
            case "announce":
                return sendToVoter(effect.toVoterId, { from: self, message: effect.message });
            case "persist":
                return storage.persist(effect);
            case "answer":
                return proposalWaiters.settle(effect.proposalId, effect.answer);
            case "answer-read":
                return readWaiters.settle(effect.readId, effect.confirmed);
            case "log":
                return options.logger?.(effect.line);
        }
    }

    function sendToVoter(toVoterId: string, addressedMessage: AddressedMessage) {
        const { role } = host.state;
        const learnerAddress = role.kind === "leader" ? role.progress[addressedMessage.toDiskId ?? ""]?.voter.address : undefined;
        const address = addressOf(host.state, toVoterId) ?? learnerAddress;
        if (address !== undefined) {
            transport.send(address, toVoterId, addressedMessage);
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
            // A violated invariant: continuing could corrupt the logs of other voters. The voter stops and logs the reason.
            options.logger?.(`consensus: stopped: ${(error as Error).message}`);
            void abandon();
            return;
        }
        const after = host.state;
        timer.reschedule();
        if (before.appliedIndex !== after.appliedIndex || before.role.kind !== after.role.kind || before.leader !== after.leader) {
            listeners.forEach(listener => listener());
        }
    }

    function leaderAddress(): string | undefined {
        const { leader } = host.state;
        return leader === undefined ? undefined : addressOf(host.state, leader.voterId);
    }

    async function propose(command: Command, timeoutMs: number): Promise<ProposalResult> {
        if (stopped || host.state.role.kind !== "leader") {
            return { outcome: "not-leader", leaderAddress: leaderAddress() };
        }
        const proposalId = String(++lastRequestNumber);
        // Followers receive the command as JSON. The leader applies the same round-tripped form, or its state could differ from theirs.
        proposalBatcher.add({ proposalId, command: JSON.parse(JSON.stringify(command)) });
        const answer = await proposalWaiters.wait(proposalId, timeoutMs, { outcome: "unknown" });
        if (answer.outcome === "applied") {
            return { outcome: "applied", result: answer.result as CommandResult, index: answer.index };
        }
        return answer.outcome === "unknown" ? { outcome: "unknown" } : { outcome: "not-leader", leaderAddress: leaderAddress() };
    }

    async function read(timeoutMs: number): Promise<ClusterState | undefined> {
        if (stopped) {
            return undefined;
        }
        // The leader handles read ids of several voters, so they must be unique across voters.
        const readId = `${self.diskId.slice(0, 8)}-${++lastRequestNumber}`;
        readBatcher.add(readId);
        const confirmed = await readWaiters.wait(readId, timeoutMs, false);
        return confirmed ? host.state.machine as ClusterState : undefined;
    }

    async function changeVoters(event: { kind: "add-voter"; voterId: string; address: string } | { kind: "remove-voter"; voterId: string },
        timeoutMs: number): Promise<VoterChange> {
        const proposalId = String(++lastRequestNumber);
        const pendingAnswer = proposalWaiters.wait(proposalId, timeoutMs, { outcome: "unknown" });
        dispatch({ ...event, proposalId });
        const answer = await pendingAnswer;
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
        proposalWaiters.settleAll({ outcome: "unknown" });
        readWaiters.settleAll(false);
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
        const isTransferring = host.state.role.kind === "leader" && host.state.membership!.voters.length > 1;
        // The successor may need this voter's vote. Without it, the region would have no leader for an election timeout.
        while (isTransferring && !isLedByAnother() && clock.nowMs() < untilMs) {
            await new Promise(resolve => setTimeout(resolve, transferPollIntervalMs));
        }
        await abandon();
    }

    const routes: ConsensusRoutes = router => router.service(ConsensusService, {
        async deliver(envelopes) {
            const onMessage = ({ from, toDiskId, message }: AddressedMessage) => dispatch({ kind: "message", from, toDiskId, message });
            const onUnreadable = (fromVoterId: string, reason: string) =>
                options.logger?.(`consensus: dropped an unreadable message from ${fromVoterId}: ${reason}`);
            return create(DeliverSummarySchema, { received: await receive(envelopes, { voterId: self.voterId, onMessage, onUnreadable }) });
        },
        async propose(request) {
            const command = commandSchema.parse(JSON.parse(Buffer.from(request.command).toString("utf8")));
            const answer = await propose(command, request.timeoutMs);
            return create(ProposeResponseSchema, {
                outcome: answer.outcome,
                result: answer.outcome === "applied" ? Buffer.from(JSON.stringify(answer.result)) : new Uint8Array(),
                leaderAddress: answer.outcome === "not-leader" ? answer.leaderAddress ?? "" : "",
                index: BigInt(answer.outcome === "applied" ? answer.index : 0),
            });
        },
    });

    storage.start({
        synced: (syncId, snapshotBytes) => dispatch({ kind: "synced", syncId, snapshotBytes }),
        failed: reason => dispatch({ kind: "storage-failed", reason }),
    });
    timer.reschedule();

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
        get clusterId() {
            return host.state.membership?.clusterId;
        },
        get storageFault() {
            return host.state.storageFault;
        },
        updateSeeds: seeds => dispatch({ kind: "seeds-changed", seeds }),
        abandon,
    };
}

/** Interval at which a stopping leader checks whether another voter has taken over. */
const transferPollIntervalMs = 10;

/** An event without the time and the random number, which are added when it is dispatched. */
type EventBody = ConsensusEvent extends infer Each ? Each extends ConsensusEvent ? Omit<Each, "nowMs" | "random"> : never : never;
