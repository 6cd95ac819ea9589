/**
 * The state of one voter, the events that reach it and the effects that it asks for. Time and randomness arrive inside events.
 *
 * @module
 */

import type { Step } from "../runtime/index.js";
import { emptyLog, type Log, newestMembership } from "./entries.js";
import type { Entry, Identity, Membership, Message, Snapshot, Voter } from "./messages.js";

/** A voter as the settings name it. */
export interface SettingsPeer {
    readonly id: string;
    readonly address: string;
}

export interface ConsensusTimings {
    readonly heartbeatMs: number;
    /** A follower that has heard no leader for this long lets another be elected; a leader's lease is shorter. */
    readonly electionTimeoutMinMs: number;
    readonly electionTimeoutMaxMs: number;
    /** Least time between two pre-votes of a voter; spread up to twice as long. */
    readonly preVoteMs: number;
    /** The leader's lease: below `electionTimeoutMinMs` by more than clocks can drift apart in it. */
    readonly leaseMs: number;
    /** Silence after which a voter of an even quorum loses its vote. */
    readonly silentMs: number;
    /** Silence after which a process that is to be admitted is given up. */
    readonly admissionMs: number;
    /** A voter without a leader for this long may have been voted out while it was away, and asks to be taken in again. */
    readonly forgottenMs: number;
    /** How long a read that another voter confirms may take. */
    readonly readMs: number;
    /** How often a process that does not vote announces itself. */
    readonly helloMs: number;
    /** How long a sent snapshot is given before it is sent again. */
    readonly snapshotRetryMs: number;
}

export interface ConsensusLimits {
    /** Applied entries after which a snapshot is taken, at least. */
    readonly snapshotEntries: number;
    /** Entries kept in memory behind a snapshot for followers that lag a little. */
    readonly trailingEntries: number;
    readonly messageEntries: number;
    /** Entries sent to a follower beyond what it has confirmed. */
    readonly windowEntries: number;
}

export const defaultTimings: ConsensusTimings = {
    heartbeatMs: 200,
    electionTimeoutMinMs: 800,
    electionTimeoutMaxMs: 1_400,
    preVoteMs: 300,
    leaseMs: 600,
    silentMs: 1_000,
    admissionMs: 2_000,
    forgottenMs: 3_000,
    readMs: 3_000,
    helloMs: 500,
    snapshotRetryMs: 2_000,
};

export const defaultLimits: ConsensusLimits = {
    snapshotEntries: 2_000,
    trailingEntries: 500,
    messageEntries: 256,
    windowEntries: 4_096,
};

export interface ConsensusOptions {
    readonly self: Identity;
    readonly address: string;
    /** The processes named in the settings: the voters, or in an open cluster any processes to begin with. */
    readonly peers: readonly SettingsPeer[];
    /** Whether this process has no disk: it never votes, and tells others who does. */
    readonly diskless: boolean;
    readonly timings: ConsensusTimings;
    readonly limits: ConsensusLimits;
    /** Whether a new cluster may be formed: false once the site has existed, or wiped disks would begin a history of their own. */
    readonly mayForm: boolean;
    /** Whether the leader takes in processes that announce themselves, and votes silent ones out, without an operator. */
    readonly isOpen: boolean;
}

/** What the leader knows of one other identity. */
export interface Progress {
    readonly voter: Voter;
    readonly nextIndex: number;
    readonly matchIndex: number;
    /** True until a sending has matched: one message at a time is sent meanwhile. */
    readonly probing: boolean;
    readonly snapshotSentAtMs: number | undefined;
    readonly lastContactMs: number;
    readonly confirmedRound: number;
    /** When, on the leader's clock, the newest confirmed sending left. */
    readonly confirmedSentMs: number;
}

export interface WaitingRead {
    readonly readId: string;
    readonly round: number;
    readonly index: number;
    /** A follower that asked; undefined for a read made here. */
    readonly from: Identity | undefined;
}

export interface LeaderRole {
    readonly kind: "leader";
    /** By disk id, without the leader itself. */
    readonly progress: Readonly<Record<string, Progress>>;
    readonly ownMatchIndex: number;
    /** The index of the first entry of this leader's term. */
    readonly termStartIndex: number;
    readonly round: number;
    readonly heartbeatDueMs: number;
    readonly sinceMs: number;
    /** Proposal ids by index. */
    readonly proposals: ReadonlyMap<number, string>;
    readonly reads: readonly WaitingRead[];
    /** True once leadership is to be handed over, to the disk `transferTo`. */
    readonly transferring: boolean;
    readonly transferTo: string | undefined;
    readonly transferSinceMs: number;
}

export type Role =
    | { readonly kind: "follower" }
    | { readonly kind: "pre-candidate"; readonly granted: readonly string[] }
    | { readonly kind: "candidate"; readonly granted: readonly string[] }
    | LeaderRole;

/** A message that waits until a write is on disk. `to` may be this voter itself. */
export interface HeldMessage {
    readonly afterSyncId: number;
    readonly to: Identity;
    readonly message: Message;
}

export interface PeerAnswer {
    readonly diskId: string;
    readonly empty: boolean;
    readonly sameVoters: boolean;
    readonly diskless: boolean;
    /** The disk that a peer without one has chosen to form the cluster. */
    readonly firstDiskId: string | undefined;
}

/** A voter as a process without a disk knows it. */
export interface KnownVoter extends SettingsPeer {
    readonly heardAtMs: number;
}

/** A read made at a follower; `index` is the leader's confirmed index, once known. */
export interface ForwardedRead {
    readonly askedAtMs: number;
    readonly index: number | undefined;
}

export interface ConsensusState {
    readonly options: ConsensusOptions;
    readonly startedAtMs: number;
    readonly nowMs: number;
    readonly term: number;
    /** The disk id voted for in `term`. */
    readonly votedFor: string | undefined;
    readonly log: Log;
    readonly snapshot: Snapshot | undefined;
    /** Applied entries after which the next snapshot is taken; grows with the size of the last one. */
    readonly snapshotAfterEntries: number;
    /** The newest membership in the log, committed or not, and its index. */
    readonly membership: Membership | undefined;
    readonly membershipIndex: number;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly appliedMembership: Membership | undefined;
    readonly machine: unknown;
    readonly role: Role;
    readonly leader: Identity | undefined;
    readonly lastLeaderContactMs: number;
    readonly electionDeadlineMs: number;
    readonly requestedSyncId: number;
    readonly completedSyncId: number;
    readonly held: readonly HeldMessage[];
    readonly storageFault: string | undefined;
    readonly helloDueMs: number;
    readonly peerAnswers: Readonly<Record<string, PeerAnswer>>;
    /** Processes that the settings name since they changed; none before that. */
    readonly seeds: readonly SettingsPeer[];
    /** Processes that others or changed settings have named, and the settings at the start do not. */
    readonly namedPeers: readonly SettingsPeer[];
    /** Who votes, as a process without a disk was told last. */
    readonly knownVoters: readonly KnownVoter[];
    /** The disk that this process, itself without one, has chosen to form the cluster. */
    readonly firstDiskId: string | undefined;
    /** Processes that announced themselves to this leader while it could not invite them. */
    readonly waiting: readonly (Voter & { readonly heardAtMs: number })[];
    /** When the newest process was invited to vote. */
    readonly invitedAtMs: number;
    /** The last line logged about what this process waits for, so that it is logged once. */
    readonly awaited: string | undefined;
    /** Reads that this follower sent to the leader, by id. */
    readonly forwardedReads: Readonly<Record<string, ForwardedRead>>;
}

interface Happening {
    readonly nowMs: number;
    /** Uniform in [0, 1). */
    readonly random: number;
}

export type ConsensusEvent = Happening & (
    | { readonly kind: "tick" }
    | { readonly kind: "message"; readonly from: Identity; readonly toDiskId?: string | undefined; readonly message: Message }
    /** `snapshotBytes`: the size of a snapshot that was written with it. */
    | { readonly kind: "synced"; readonly syncId: number; readonly snapshotBytes?: number | undefined }
    | { readonly kind: "storage-failed"; readonly reason: string }
    | { readonly kind: "propose"; readonly proposals: readonly { readonly proposalId: string; readonly command: unknown }[] }
    | { readonly kind: "read"; readonly readIds: readonly string[] }
    | { readonly kind: "add-voter"; readonly proposalId: string; readonly voterId: string; readonly address: string }
    | { readonly kind: "remove-voter"; readonly proposalId: string; readonly voterId: string }
    | { readonly kind: "transfer" }
    /** The settings name these processes from now on. Whether a cluster may form still rests on those named at the start. */
    | { readonly kind: "seeds-changed"; readonly seeds: readonly SettingsPeer[] }
);

/** What became of a proposal or voter change, as the core answers it. */
export type Answer =
    | { readonly outcome: "applied"; readonly index: number; readonly result: unknown }
    | { readonly outcome: "not-leader" }
    | { readonly outcome: "refused"; readonly reason: string }
    | { readonly outcome: "unknown" };

/** What is to be on disk before `syncId` is reported; writes are kept in order. */
export interface PersistEffect {
    readonly kind: "persist";
    readonly syncId: number;
    readonly vote?: { readonly term: number; readonly votedFor: string | undefined } | undefined;
    /** Replaces everything from the first entry's index on. */
    readonly entries?: readonly Entry[] | undefined;
    /** Replaces everything up to its index; `after` is the rest of the log. */
    readonly snapshot?: { readonly snapshot: Snapshot; readonly after: readonly Entry[] } | undefined;
}

export type Effect =
    | { readonly kind: "send"; readonly to: Identity; readonly message: Message }
    | { readonly kind: "announce"; readonly toVoterId: string; readonly message: Message }
    | PersistEffect
    | { readonly kind: "answer"; readonly proposalId: string; readonly answer: Answer }
    /** A read may be served from the state now; `confirmed` false: no quorum. */
    | { readonly kind: "answer-read"; readonly readId: string; readonly confirmed: boolean }
    | { readonly kind: "log"; readonly line: string };

export type ConsensusStep = Step<ConsensusState, Effect>;

/** The state machine that the log drives; pure and deterministic. */
export interface StateMachine {
    readonly initial: unknown;
    apply(state: unknown, command: unknown): { state: unknown; result: unknown };
}

/** What a voter finds on its disk. */
export interface DiskImage {
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly snapshot: Snapshot | undefined;
    readonly entries: readonly Entry[];
}

export const emptyDisk: DiskImage = { term: 0, votedFor: undefined, snapshot: undefined, entries: [] };

/** The state of a voter that has just started. */
export function startedState(
    options: ConsensusOptions, machine: StateMachine, disk: DiskImage, nowMs: number, random: number,
): ConsensusState {
    const { snapshot } = disk;
    const base: Log = snapshot === undefined
        ? emptyLog
        : { baseIndex: snapshot.index, baseTerm: snapshot.term, baseMembership: snapshot.membership, entries: [] };
    const log: Log = { ...base, entries: disk.entries };
    const empty = snapshot === undefined && disk.entries.length === 0;
    const { electionTimeoutMinMs: minMs, electionTimeoutMaxMs: maxMs } = options.timings;
    const { membership, index: membershipIndex } = newestMembership(log);
    const alone = membership?.voters.length === 1;
    return {
        options,
        startedAtMs: nowMs,
        nowMs,
        term: Math.max(disk.term, disk.entries.at(-1)?.term ?? snapshot?.term ?? 0),
        votedFor: disk.votedFor,
        log,
        snapshot,
        snapshotAfterEntries: options.limits.snapshotEntries,
        membership,
        membershipIndex,
        commitIndex: base.baseIndex,
        appliedIndex: base.baseIndex,
        appliedMembership: base.baseMembership,
        machine: snapshot === undefined ? machine.initial : snapshot.data,
        role: { kind: "follower" },
        leader: undefined,
        // A restarted voter has forgotten when it last heard the leader. Voting at once would break a lease that it helped to
        // grant: the old leader would serve reads beside a new one. So it counts its start as having heard one.
        lastLeaderContactMs: empty ? Number.NEGATIVE_INFINITY : nowMs,
        electionDeadlineMs: alone ? nowMs : nowMs + minMs + random * (maxMs - minMs),
        requestedSyncId: 0,
        completedSyncId: 0,
        held: [],
        storageFault: undefined,
        helloDueMs: nowMs,
        peerAnswers: {},
        seeds: [],
        namedPeers: [],
        knownVoters: [],
        firstDiskId: undefined,
        waiting: [],
        invitedAtMs: 0,
        awaited: undefined,
        forwardedReads: {},
    };
}
