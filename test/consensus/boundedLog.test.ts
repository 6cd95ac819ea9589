import { expect } from "chai";
import * as fc from "fast-check";
import { bytesBetween, entryBytes, lastIndexOf } from "../../src/consensus/entries.js";
import type { Message } from "../../src/consensus/messages.js";
import { type ConsensusLimits, defaultTimings, type DiskImage } from "../../src/consensus/state.js";
import { createWorld, type World } from "../support/consensusWorld.js";

const changeBytes = 100_000;
const limits: ConsensusLimits = { snapshotLogBytes: 400_000, trailingBytes: 200_000, messageBytes: 150_000, windowBytes: 500_000 };
/** An entry, the fields of a message and the small entries beside it. */
const entryMarginBytes = changeBytes + 10_000;
/** What is appended between two events of a voter, and is not applied yet. */
const unappliedBytes = 3 * entryMarginBytes;
const roundMs = 20;

type Node = World["nodes"][number];

interface LargeLogWorld {
    readonly world: World;
    /** The largest message with entries that was sent, and the sum of all, in bytes. */
    readonly sent: { largestBytes: number; appendedBytes: number };
    advance(ms: number): void;
}

/** Fails if a voter holds more of the log than the limits allow, in memory or on its disk. */
function checkSizes({ nodes }: World, bounds: { readonly memoryBytes: number; readonly diskBytes: number }) {
    for (const { voterId, state, disk } of nodes) {
        const heldBytes = state === undefined ? 0 : bytesBetween(state.log, 0, lastIndexOf(state.log));
        expect(heldBytes, `bytes of the log in the memory of ${voterId}`).to.be.at.most(bounds.memoryBytes);
        expect(entriesOnDiskBytes(disk), `bytes of the log on the disk of ${voterId}`).to.be.at.most(bounds.diskBytes);
    }
}

function entriesOnDiskBytes({ entries }: DiskImage): number {
    return entries.reduce((bytes, entry) => bytes + entryBytes(entry), 0);
}

/** Forms an open cluster whose changes add some 100 KB to the log each. */
function createLargeLogWorld(seed: number, voterCount: number, spares = 0): LargeLogWorld {
    const ids = Array.from({ length: voterCount }, (_, index) => `v${index}`);
    const spareIds = Array.from({ length: spares }, (_, index) => `w${index}`);
    const sent = { largestBytes: 0, appendedBytes: 0 };
    function onMessage(message: Message) {
        if (message.kind === "append" && message.entries.length > 0) {
            const bytes = JSON.stringify(message).length;
            sent.largestBytes = Math.max(sent.largestBytes, bytes);
            sent.appendedBytes += bytes;
        }
    }
    const world = createWorld(seed, ids.slice(0, 3), [...ids.slice(3), ...spareIds], {
        isOpen: true, timings: defaultTimings, limits, changeBytes, onMessage,
    });
    function advance(ms: number) {
        for (let round = 0; round < Math.ceil(ms / roundMs); round++) {
            world.actions.runFaultFree(1);
            // A snapshot is due at its limit; meanwhile the log has the trailing part of the last one, and what is not applied.
            const diskBytes = limits.snapshotLogBytes + unappliedBytes;
            checkSizes(world, { memoryBytes: diskBytes + limits.trailingBytes, diskBytes });
        }
    }
    world.nodes.slice(0, voterCount).forEach(node => world.actions.restart(node));
    advance(8_000);
    expect(world.leader()?.state?.membership?.voters).to.have.length(voterCount);
    return { world, sent, advance };
}

/** Has `count` changes accepted, one after the other. */
function acceptChanges({ world, advance }: LargeLogWorld, count: number): number {
    for (let change = 0; change < count; change++) {
        const leader = world.leader();
        expect(leader, "a leader that accepts changes").to.not.equal(undefined);
        const before = world.operations.length;
        world.actions.change(leader!, false);
        advance(100);
        expect(world.operations.length, "an accepted change").to.be.greaterThan(before);
    }
    return world.versionAt(world.leader()!);
}

describe("a replicated log with large entries", () => {
    // Guards against a log that is bounded in entries: a few hundred configurations filled the disk and the memory of every voter.
    it("stays within its limits in memory, on disk and in messages, whatever the number of changes", () => {
        const large = createLargeLogWorld(1, 3);
        acceptChanges(large, 60);
        expect(large.sent.largestBytes).to.be.at.most(Math.max(limits.messageBytes, entryMarginBytes));
    });

    // Guards against a leader that sends a probe again with each heartbeat until it is answered, and runs out of memory with it.
    it("sends a follower that doesn't answer no entry again", () => {
        const large = createLargeLogWorld(2, 3);
        const { world, sent, advance } = large;
        acceptChanges(large, 3);
        const [silent] = world.nodes.filter(node => node !== world.leader());
        silent!.paused = true;
        acceptChanges(large, 8);
        advance(1_000);
        const beforeBytes = sent.appendedBytes;
        advance(6_000);
        expect(sent.appendedBytes - beforeBytes).to.be.at.most(entryMarginBytes);
        silent!.paused = false;
        advance(2_000);
        expect(silent!.state!.appliedIndex).to.equal(world.leader()!.state!.appliedIndex);
    });

    it("reaches a wiped voter in a time that doesn't depend on the number of changes", () => {
        const times = [5, 50].map(changes => {
            const large = createLargeLogWorld(3, 3);
            const { world, advance } = large;
            acceptChanges(large, changes);
            const [wiped] = world.nodes.filter(node => node !== world.leader());
            world.actions.loseDisk(wiped!);
            advance(1_000);
            world.actions.restart(wiped!);
            let tookMs = 0;
            for (; !world.leader()!.state!.membership!.voters.some(voter => voter.diskId === wiped!.diskId); tookMs += roundMs) {
                advance(roundMs);
            }
            return tookMs;
        });
        expect(Math.max(...times)).to.be.below(1_500);
    });

    const damage: Record<string, (world: World, victim: Node) => () => void> = {
        "loses its disk": (world, victim) => {
            world.actions.loseDisk(victim);
            return () => world.actions.restart(victim);
        },
        "loses power": (world, victim) => {
            world.actions.crash(victim, 1);
            return () => world.actions.restart(victim);
        },
        "is replaced": (world, victim) => {
            world.actions.retire(victim);
            return () => world.actions.restart(world.nodes.find(node => node.voterId.startsWith("w") && node.lives === 0)!);
        },
        "loses its disk twice": (world, victim) => {
            world.actions.loseDisk(victim);
            world.actions.restart(victim);
            world.actions.runFaultFree(3);
            world.actions.loseDisk(victim);
            return () => world.actions.restart(victim);
        },
    };
    const steps = fc.array(fc.record({
        kind: fc.constantFrom(...Object.keys(damage)), which: fc.nat(99), changes: fc.integer({ min: 1, max: 8 }),
        downMs: fc.integer({ min: 100, max: 3_000 }), othersLosePower: fc.boolean(),
    }), { minLength: 2, maxLength: 4 });

    // One loss after the other, each within what the site tolerates, at voters that have many large changes behind them.
    for (const voterCount of [3, 5]) {
        it(`keeps what ${voterCount} voters accepted, and its limits, under losses in any order`, () => {
            fc.assert(fc.property(fc.nat(0xffff_ffff), steps, (seed, sequence) => {
                const large = createLargeLogWorld(seed, voterCount, sequence.length);
                const { world, advance } = large;
                let version = 0;
                for (const { kind, which, changes, downMs, othersLosePower } of sequence) {
                    version = acceptChanges(large, changes);
                    const up = world.nodes.filter(node => node.state !== undefined);
                    const [victim] = up.splice(which % up.length, 1);
                    const recover = damage[kind]!(world, victim!);
                    if (othersLosePower) {
                        up.forEach(node => world.actions.crash(node, 1));
                        world.actions.dropAll();
                    }
                    advance(downMs);
                    up.forEach(node => world.actions.restart(node));
                    recover();
                    advance(6_000);
                }
                advance(6_000);
                expect(world.leader(), "a leader").to.not.equal(undefined);
                expect(world.versionAt(world.leader()!)).to.be.at.least(version);
                world.checkHistory();
            }), { seed: 5, numRuns: 15, endOnFailure: true });
        });
    }
});
