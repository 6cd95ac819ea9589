/**
 * The state of one voter, the events it handles and the effects it requests. Time and randomness are passed in with the events.
 *
 * @module
 */

import type { Step } from "../runtime/index.js";
import type { Log } from "./entries.js";
import type { Entry, Identity, Membership, Message, Snapshot, Voter } from "./messages.js";

/** A process named in the settings. */
export interface SettingsPeer {
    readonly id: string;
    readonly address: string;
}

export interface ConsensusTimings {
    readonly heartbeatMs: number;
    /** A follower without contact to a leader for this long grants votes to candidates; the leader's lease is shorter. */
    readonly electionTimeoutMinMs: number;
    readonly electionTimeoutMaxMs: number;
    /** Minimum time between two pre-votes of a voter; randomised up to twice this value. */
    readonly preVoteMs: number;
    /** Duration of the leader's lease: below `electionTimeoutMinMs` by more than clocks can drift apart during a lease. */
    readonly leaseMs: number;
    /** Silence after which the leader of an open cluster may remove a voter. */
    readonly voterSilenceTimeoutMs: number;
    /** Silence after which the admission of a process is cancelled. */
    readonly admissionTimeoutMs: number;
    /** A voter without a leader for this long may have been removed while it was unreachable, and asks to be admitted again. */
    readonly rejoinAfterMs: number;
    /** Timeout of a read that a follower forwards to the leader. */
    readonly readTimeoutMs: number;
    /** Interval at which a process without a vote announces itself. */
    readonly helloMs: number;
}

export interface ConsensusLimits {
    /** Minimum size of the entries applied between two snapshots. */
    readonly snapshotLogBytes: number;
    /** Maximum size of the entries kept in memory behind a snapshot for followers that lag slightly. */
    readonly trailingBytes: number;
    /** Maximum size of the entries in one message; a larger entry is sent alone. */
    readonly messageBytes: number;
    /** Maximum size of the unacknowledged entries in flight to a follower; a larger entry is sent alone. */
    readonly windowBytes: number;
}

export const defaultTimings: ConsensusTimings = {
    heartbeatMs: 200,
    electionTimeoutMinMs: 800,
    electionTimeoutMaxMs: 1_400,
    preVoteMs: 300,
    leaseMs: 600,
    voterSilenceTimeoutMs: 1_000,
    admissionTimeoutMs: 2_000,
    rejoinAfterMs: 3_000,
    readTimeoutMs: 3_000,
    helloMs: 500,
};

export const defaultLimits: ConsensusLimits = {
    snapshotLogBytes: 1024 * 1024,
    trailingBytes: 512 * 1024,
    messageBytes: 256 * 1024,
    windowBytes: 2 * 1024 * 1024,
};

export interface ConsensusOptions {
    readonly self: Identity;
    readonly address: string;
    /** The processes named in the settings: the voters, or in an open cluster the initial contacts. */
    readonly peers: readonly SettingsPeer[];
    /** Whether this process has no disk: it never votes, and only tells others who the voters are. */
    readonly diskless: boolean;
    readonly timings: ConsensusTimings;
    readonly limits: ConsensusLimits;
    /** Whether a new cluster may form: false once the site has existed, since wiped disks would otherwise start a second history. */
    readonly mayForm: boolean;
    /** Whether the cluster is open: its leader admits processes that announce themselves and removes silent voters by itself. */
    readonly isOpen: boolean;
    /** The number of disks that the site may lose at once, if its settings state it: the leader of an open cluster keeps enough voters. */
    readonly toleratedDiskLosses?: number | undefined;
}

/** The leader's replication state for one other identity. */
export interface Progress {
    readonly voter: Voter;
    readonly nextIndex: number;
    readonly matchIndex: number;
    /** True until an append matches; meanwhile only one message at a time is sent. */
    readonly probing: boolean;
    /** While probing, the round in which entries or a snapshot were sent; undefined if they are to be sent with the next heartbeat. */
    readonly probedInRound: number | undefined;
    readonly lastContactAtMs: number;
    /** The newest round that the follower has echoed. */
    readonly confirmedRound: number;
    /** When, on the leader's clock, the newest acknowledged message was sent. */
    readonly confirmedSentAtMs: number;
}

/** A read that waits at the leader until a quorum has echoed `round` and `index` is applied. */
export interface PendingRead {
    readonly readId: string;
    readonly round: number;
    readonly index: number;
    /** The follower that forwarded the read; undefined for a read made at the leader. */
    readonly from: Identity | undefined;
}

export interface LeaderRole {
    readonly kind: "leader";
    /** By disk id, excluding the leader itself. */
    readonly progress: Readonly<Record<string, Progress>>;
    readonly ownMatchIndex: number;
    /** The index of the first entry of this leader's term. */
    readonly termStartIndex: number;
    /** The number of the newest broadcast. */
    readonly round: number;
    readonly heartbeatDueMs: number;
    readonly electedAtMs: number;
    /** Proposal ids by index. */
    readonly pendingProposals: ReadonlyMap<number, string>;
    readonly pendingReads: readonly PendingRead[];
    /** True once a transfer of leadership to the disk `transferTo` has started. */
    readonly transferring: boolean;
    readonly transferTo: string | undefined;
    readonly transferStartedAtMs: number;
}

export type Role =
    | { readonly kind: "follower" }
    | { readonly kind: "pre-candidate"; readonly granted: readonly string[] }
    | { readonly kind: "candidate"; readonly granted: readonly string[] }
    | LeaderRole;

/** A message that is held back until a write is on disk. `to` may be this voter itself. */
export interface HeldMessage {
    readonly afterSyncId: number;
    readonly to: Identity;
    readonly message: Message;
}

/** What a peer reported in its newest `hello-response`. */
export interface PeerAnswer {
    readonly diskId: string;
    readonly empty: boolean;
    readonly sameVoters: boolean;
    readonly diskless: boolean;
    /** The disk that a diskless peer has chosen to form the cluster. */
    readonly firstDiskId: string | undefined;
}

/** A voter known to a process without a disk. */
export interface KnownVoter extends SettingsPeer {
    readonly heardAtMs: number;
}

/** A read that a follower forwarded to the leader; `index` is the index confirmed by the leader, once known. */
export interface ForwardedRead {
    readonly requestedAtMs: number;
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
    /** Size of the applied entries after which the next snapshot is taken, in bytes; grows with the size of the last one. */
    readonly snapshotAfterBytes: number;
    /** The newest membership in the log, committed or not, and its index. */
    readonly membership: Membership | undefined;
    readonly membershipIndex: number;
    readonly commitIndex: number;
    /** The highest commit index that a requested write records. */
    readonly recordedCommitIndex: number;
    /** Since when `commitIndex` has been ahead of `recordedCommitIndex`; undefined while it is not. */
    readonly unrecordedCommitSinceMs: number | undefined;
    readonly appliedIndex: number;
    readonly appliedMembership: Membership | undefined;
    readonly machine: unknown;
    readonly role: Role;
    readonly leader: Identity | undefined;
    readonly lastLeaderContactAtMs: number;
    readonly electionDeadlineMs: number;
    readonly requestedSyncId: number;
    /** The last write known to be on disk; -1 until what was read from the disk at the start is known to be durable. */
    readonly completedSyncId: number;
    readonly heldMessages: readonly HeldMessage[];
    readonly storageFault: string | undefined;
    readonly helloDueMs: number;
    readonly peerAnswers: Readonly<Record<string, PeerAnswer>>;
    /** The processes named by the newest change of the settings; empty until the settings change. */
    readonly seeds: readonly SettingsPeer[];
    /** Processes learned from peers or changed settings, and not named in the settings at startup. */
    readonly namedPeers: readonly SettingsPeer[];
    /** The voters last reported to this process, if it has no disk. */
    readonly knownVoters: readonly KnownVoter[];
    /** The disk that this process has chosen to form the cluster, if it has none itself. */
    readonly firstDiskId: string | undefined;
    /** Processes that announced themselves to this leader while it could not start their admission. */
    readonly admissionQueue: readonly (Voter & { readonly heardAtMs: number })[];
    /** When this leader last started an admission. */
    readonly admissionStartedAtMs: number;
    /** The last line logged about what this process waits for; kept to log each line once. */
    readonly lastWaitLine: string | undefined;
    /** Reads that this follower forwarded to the leader, by id. */
    readonly forwardedReads: Readonly<Record<string, ForwardedRead>>;
}

/** The time and the random number that every event carries. */
interface EventContext {
    readonly nowMs: number;
    /** Uniform in [0, 1). */
    readonly random: number;
}

export type ConsensusEvent = EventContext & (
    | { readonly kind: "tick" }
    | { readonly kind: "message"; readonly from: Identity; readonly toDiskId?: string | undefined; readonly message: Message }
    /** `snapshotBytes`: the size of the snapshot written with it, if any. */
    | { readonly kind: "synced"; readonly syncId: number; readonly snapshotBytes?: number | undefined }
    | { readonly kind: "storage-failed"; readonly reason: string }
    | { readonly kind: "propose"; readonly proposals: readonly { readonly proposalId: string; readonly command: unknown }[] }
    | { readonly kind: "read"; readonly readIds: readonly string[] }
    | { readonly kind: "add-voter"; readonly proposalId: string; readonly voterId: string; readonly address: string }
    | { readonly kind: "remove-voter"; readonly proposalId: string; readonly voterId: string }
    | { readonly kind: "transfer" }
    /** The settings changed to name these processes. Forming a cluster still depends on those named at startup. */
    | { readonly kind: "seeds-changed"; readonly seeds: readonly SettingsPeer[] }
);

/** The outcome of a proposal or voter change, as reported by the reducer. */
export type ProposalAnswer =
    | { readonly outcome: "applied"; readonly index: number; readonly result: unknown }
    | { readonly outcome: "not-leader" }
    | { readonly outcome: "refused"; readonly reason: string }
    | { readonly outcome: "unknown" };

/** A write that must be on disk before `syncId` is reported as synced; writes are performed in order. */
export interface PersistEffect {
    readonly kind: "persist";
    readonly syncId: number;
    readonly vote?: { readonly term: number; readonly votedFor: string | undefined } | undefined;
    /** The commit index when the write was requested; undefined if an earlier write has recorded it. */
    readonly commitIndex?: number | undefined;
    /** Entries that replace everything from the index of the first one on. */
    readonly entries?: readonly Entry[] | undefined;
    /** A snapshot that replaces every entry up to its index; `after` is the rest of the log. */
    readonly snapshot?: { readonly snapshot: Snapshot; readonly after: readonly Entry[] } | undefined;
}

export type Effect =
    | { readonly kind: "send"; readonly to: Identity; readonly message: Message }
    | { readonly kind: "announce"; readonly toVoterId: string; readonly message: Message }
    | PersistEffect
    | { readonly kind: "answer"; readonly proposalId: string; readonly answer: ProposalAnswer }
    /** Completes a read: with `confirmed` it may be served from the current state, otherwise no quorum confirmed it. */
    | { readonly kind: "answer-read"; readonly readId: string; readonly confirmed: boolean }
    | { readonly kind: "log"; readonly line: string };

export type ConsensusStep = Step<ConsensusState, Effect>;

/** The state machine to which committed commands are applied; pure and deterministic. */
export interface StateMachine {
    readonly initial: unknown;
    apply(state: unknown, command: unknown): { state: unknown; result: unknown };
}

/** What a voter reads from its disk at startup. */
export interface DiskImage {
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly snapshot: Snapshot | undefined;
    readonly entries: readonly Entry[];
    /** The highest index up to which the entries are known to be committed; 0 if none is. */
    readonly commitIndex: number;
}

export const emptyDisk: DiskImage = { term: 0, votedFor: undefined, snapshot: undefined, entries: [], commitIndex: 0 };
