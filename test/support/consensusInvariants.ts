/**
 * The safety invariants of the replicated log, checked after every event of the simulation: at most one leader per term, at most one
 * lease holder at a time, committed entries are never lost or changed, and only one cluster forms.
 *
 * @module
 */

import { applyCommand, type ClusterState, type Command, emptyCluster } from "../../src/cluster/index.js";
import { createLog, lastIndexOf, termAt, withEntries } from "../../src/consensus/entries.js";
import { holdsLease } from "../../src/consensus/lease.js";
import type { Entry, Membership, Payload } from "../../src/consensus/messages.js";
import type { ConsensusState, DiskImage, PersistEffect } from "../../src/consensus/state.js";

/** One simulated process, running or stopped. */
export interface WorldNode {
    readonly voterId: string;
    diskId: string;
    disk: DiskImage;
    /** Undefined while the process is not running. */
    state: ConsensusState | undefined;
    writes: PersistEffect[];
    /** Disks that are considered lost but may be attached again. */
    readonly detachedDisks: { readonly diskId: string; readonly disk: DiskImage }[];
    paused: boolean;
    /** Number of times the process was started. */
    lives: number;
    /** Speed of its clock relative to simulated time. */
    readonly clockRate: number;
}

/** Returns the content of a disk after a write. */
export function diskAfterWrite(disk: DiskImage, write: PersistEffect): DiskImage {
    const base = write.snapshot === undefined ? disk : { ...disk, snapshot: write.snapshot.snapshot, entries: write.snapshot.after };
    const log = createLog({ baseIndex: base.snapshot?.index ?? 0, baseTerm: 0, baseMembership: undefined }, base.entries);
    const entries = write.entries === undefined ? base.entries : withEntries(log, write.entries).entries;
    return { ...base, ...write.vote, entries, commitIndex: Math.max(disk.commitIndex, write.commitIndex ?? 0) };
}

/** Returns the latest membership stored on a disk, committed or not. */
export function newestMembershipOnDisk(disk: DiskImage): Membership | undefined {
    const entry = disk.entries.findLast(item => item.payload.kind === "membership");
    return entry?.payload.kind === "membership" ? entry.payload.membership : disk.snapshot?.membership;
}

/** Checks the invariants across all voters; calls `fail` on the first violation. */
export function createInvariantChecker(
    nodes: readonly WorldNode[], clockOf: (node: WorldNode) => number, fail: (message: string) => never,
) {
    /** `committedInTerm` is the term of the first voter observed to commit the entry. */
    const committed: { term: number; content: string; committedInTerm: number }[] = [];
    /** The configuration after each committed entry, as computed by the reference state machine. */
    const configurations: string[] = [];
    const leaders = new Map<number, string>();
    const writerOf = new Map<number, string>();
    let clusterId: string | undefined;
    let membership: Membership | undefined;
    let reference: ClusterState = emptyCluster;

    function check(node: WorldNode, before: ConsensusState, after: ConsensusState, installedSnapshot: boolean) {
        if (after.role.kind === "leader" && before.role.kind !== "leader") {
            checkLeader(node, after);
        }
        if (after.membership?.formed) {
            clusterId ??= after.membership.clusterId;
            if (clusterId !== after.membership.clusterId) {
                fail(`a second cluster formed at ${node.voterId}`);
            }
        }
        for (let index = before.commitIndex + 1; index <= after.commitIndex; index++) {
            checkCommitted(node, entryIn(after, index) ?? (installedSnapshot ? undefined : entryIn(before, index)), index, after.term);
        }
        if (after.appliedIndex > before.appliedIndex && configurationOf(after.machine) !== configurations[after.appliedIndex - 1]) {
            fail(`${node.voterId} has a different state from the reference after entry ${after.appliedIndex}`);
        }
        const holders = nodes.filter(other => other.state !== undefined && holdsLease(other.state, clockOf(other)));
        if (holders.length > 1) {
            fail(`${holders.map(other => other.voterId).join(" and ")} hold the lease at the same time`);
        }
    }

    function checkLeader(node: WorldNode, state: ConsensusState) {
        const other = leaders.get(state.term);
        if (other !== undefined) {
            fail(`two leaders of term ${state.term}: ${other} and ${node.diskId}`);
        }
        leaders.set(state.term, node.diskId);
        // A paused voter may learn late that it won an election in an old term. It can no longer commit anything in that term, so only
        // entries committed in earlier terms are required in its log.
        const requiredIndex = committed.filter(entry => entry.committedInTerm < state.term).length;
        if (lastIndexOf(state.log) < requiredIndex) {
            fail(`leader ${node.voterId} is missing committed entry ${requiredIndex}`);
        }
        for (let index = Math.max(1, state.log.baseIndex); index <= requiredIndex; index++) {
            if (termAt(state.log, index) !== committed[index - 1]!.term) {
                fail(`leader ${node.voterId} has an entry ${index} that differs from the committed one`);
            }
        }
    }

    /**
     * Looks up a log entry. One event may commit, apply and compact an entry, in which case only the previous state contains it. After
     * installing a leader's snapshot the previous state must not be consulted: the entries it held may never have been committed.
     */
    function entryIn(state: ConsensusState, index: number): Entry | undefined {
        return state.log.entries[index - state.log.baseIndex - 1];
    }

    function checkCommitted(node: WorldNode, entry: Entry | undefined, index: number, committedInTerm: number) {
        if (entry === undefined) {
            return;
        }
        const content = JSON.stringify(entry.payload);
        const expected = committed[index - 1];
        if (expected !== undefined) {
            return expected.term === entry.term && expected.content === content ? undefined : fail(`${node.voterId} committed a different entry ${index}`);
        }
        if (index !== committed.length + 1) {
            fail(`${node.voterId} committed ${index} before ${committed.length + 1}`);
        }
        committed.push({ term: entry.term, content, committedInTerm });
        recordCommitted(entry.payload);
        configurations.push(configurationOf(reference));
    }

    function configurationOf(machine: unknown): string {
        const { version, value } = (machine as ClusterState).configuration;
        return `${version} ${value.dataCentres.map(item => item.name).join()}`;
    }

    /** Applies a committed entry to the reference state machine and records which change produced which version. */
    function recordCommitted(payload: Payload) {
        if (payload.kind === "membership") {
            membership = payload.membership;
        }
        if (payload.kind !== "command") {
            return;
        }
        const command = payload.command as Command & { changeId: string };
        const { state, result } = applyCommand(reference, command);
        reference = state;
        if (result.outcome === "accepted" && !result.repeated) {
            writerOf.set(result.version, command.changeId);
        }
    }

    return {
        check,
        /** The change that produced each configuration version. */
        writerOf,
        committed,
        /** The latest committed membership. */
        get membership() {
            return membership;
        },
    };
}
