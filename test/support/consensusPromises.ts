/**
 * The promises of the replicated log, checked after every event of the small world: one leader a term, one lease at a time,
 * nothing committed is lost or differs, one cluster.
 *
 * @module
 */

import { applyCommand, type ClusterState, type Command, emptyCluster } from "../../src/cluster/index.js";
import { lastIndexOf, termAt, withEntries } from "../../src/consensus/entries.js";
import { holdsLease } from "../../src/consensus/lease.js";
import type { Entry, Membership, Payload } from "../../src/consensus/messages.js";
import type { ConsensusState, DiskImage, PersistEffect } from "../../src/consensus/state.js";

/** One process of the world, up or down. */
export interface WorldNode {
    readonly voterId: string;
    diskId: string;
    disk: DiskImage;
    /** Undefined while the process is down. */
    state: ConsensusState | undefined;
    writes: PersistEffect[];
    /** Disks that were taken for lost and may come back. */
    readonly shelf: { readonly diskId: string; readonly disk: DiskImage }[];
    paused: boolean;
    /** How often it was started. */
    lives: number;
    /** How fast its clock runs. */
    readonly rate: number;
}

/** What a write leaves on a disk. */
export function written(disk: DiskImage, write: PersistEffect): DiskImage {
    const base = write.snapshot === undefined ? disk : { ...disk, snapshot: write.snapshot.snapshot, entries: write.snapshot.after };
    const log = {
        baseIndex: base.snapshot?.index ?? 0, baseTerm: 0, baseMembership: undefined, entries: base.entries,
    };
    const entries = write.entries === undefined ? base.entries : withEntries(log, write.entries).entries;
    return { ...base, ...write.vote, entries };
}

/** The newest membership on a disk. */
export function newestOnDisk(disk: DiskImage): Membership | undefined {
    const entry = disk.entries.findLast(item => item.payload.kind === "membership");
    return entry?.payload.kind === "membership" ? entry.payload.membership : disk.snapshot?.membership;
}

/** Watches the voters; `fail` is called with the first promise that is broken. */
export function createPromises(nodes: readonly WorldNode[], clockOf: (node: WorldNode) => number, fail: (what: string) => never) {
    /** `inTerm` is the term of the voter that was seen to commit it first. */
    const committed: { term: number; content: string; inTerm: number }[] = [];
    /** The configuration after each committed entry, by a machine of its own. */
    const configurations: string[] = [];
    const leaders = new Map<number, string>();
    const writerOf = new Map<number, string>();
    let clusterId: string | undefined;
    let membership: Membership | undefined;
    let reference: ClusterState = emptyCluster;

    function check(node: WorldNode, before: ConsensusState, after: ConsensusState, tookSnapshot: boolean) {
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
            checkCommitted(node, entryIn(after, index) ?? (tookSnapshot ? undefined : entryIn(before, index)), index, after.term);
        }
        if (after.appliedIndex > before.appliedIndex && configurationOf(after.machine) !== configurations[after.appliedIndex - 1]) {
            fail(`${node.voterId} holds another state after entry ${after.appliedIndex}`);
        }
        const holders = nodes.filter(other => other.state !== undefined && holdsLease(other.state, clockOf(other)));
        if (holders.length > 1) {
            fail(`${holders.map(other => other.voterId).join(" and ")} hold the lease`);
        }
    }

    function checkLeader(node: WorldNode, state: ConsensusState) {
        const other = leaders.get(state.term);
        if (other !== undefined) {
            fail(`two leaders of term ${state.term}: ${other} and ${node.diskId}`);
        }
        leaders.set(state.term, node.diskId);
        // A voter that was paused may find out late that it was elected: in an old term, in which it can commit nothing any more.
        const owed = committed.filter(entry => entry.inTerm < state.term).length;
        if (lastIndexOf(state.log) < owed) {
            fail(`leader ${node.voterId} lacks committed entry ${owed}`);
        }
        for (let index = Math.max(1, state.log.baseIndex); index <= owed; index++) {
            if (termAt(state.log, index) !== committed[index - 1]!.term) {
                fail(`leader ${node.voterId} holds another entry ${index} than was committed`);
            }
        }
    }

    /**
     * One event may commit an entry, apply it and trim it away; then only the state before holds it. A snapshot taken in from the
     * leader replaces what stood there before, which may never have been committed.
     */
    function entryIn(state: ConsensusState, index: number): Entry | undefined {
        return state.log.entries[index - state.log.baseIndex - 1];
    }

    function checkCommitted(node: WorldNode, entry: Entry | undefined, index: number, inTerm: number) {
        if (entry === undefined) {
            return;
        }
        const content = JSON.stringify(entry.payload);
        const known = committed[index - 1];
        if (known !== undefined) {
            return known.term === entry.term && known.content === content ? undefined : fail(`${node.voterId} committed another entry ${index}`);
        }
        if (index !== committed.length + 1) {
            fail(`${node.voterId} committed ${index} before ${committed.length + 1}`);
        }
        committed.push({ term: entry.term, content, inTerm });
        noteCommitted(entry.payload);
        configurations.push(configurationOf(reference));
    }

    function configurationOf(machine: unknown): string {
        const { version, value } = (machine as ClusterState).configuration;
        return `${version} ${value.dataCentres.map(item => item.name).join()}`;
    }

    /** Runs each committed change through a machine of its own, to know who wrote which version. */
    function noteCommitted(payload: Payload) {
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
        /** Who wrote which version of the configuration. */
        writerOf,
        committed,
        /** The newest committed membership. */
        get membership() {
            return membership;
        },
    };
}
