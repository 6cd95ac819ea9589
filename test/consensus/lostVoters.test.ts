import { expect } from "chai";
import * as fc from "fast-check";
import { defaultTimings } from "../../src/consensus/state.js";
import { createWorld, type World } from "../support/consensusWorld.js";

/** A VM counts as lost for so long after it, or the VM in its place, has started, ms: the bounds of sites that bear one loss, and two. */
const catchUpMs = [4_000, 6_000] as const;
/** From the end of the last loss until what was accepted is read back. */
const recoverMs = 12_000;
const roundMs = 20;

type Node = World["nodes"][number];

/** What befalls one VM; `which` of those that are up, the leader included. */
interface Loss {
    readonly kind: "replaced" | "wiped" | "killed" | "frozen";
    readonly which: number;
}

interface Losses {
    /** They strike at the same moment. */
    readonly losses: readonly Loss[];
    /** All other VMs lose power at that moment. */
    readonly othersLosePower: boolean;
    readonly downMs: number;
}

const lossOf = fc.record({ kind: fc.constantFrom<Loss["kind"]>("replaced", "wiped", "killed", "frozen"), which: fc.nat(99) });

function lossesOf(most: number): fc.Arbitrary<Losses> {
    return fc.record({
        losses: fc.array(lossOf, { minLength: 1, maxLength: most }),
        othersLosePower: fc.boolean(),
        downMs: fc.integer({ min: 200, max: 5_000 }),
    });
}

function wait(world: World, ms: number) {
    world.actions.calm(Math.ceil(ms / roundMs));
}

/** An open cluster of `voters` disks, with spares that have not started. */
function formed(seed: number, voters: number, spares: number): World {
    const ids = Array.from({ length: voters }, (_, place) => `v${place}`);
    const spareIds = Array.from({ length: spares }, (_, place) => `w${place}`);
    const world = createWorld(seed, ids.slice(0, 3), [...ids.slice(3), ...spareIds], { isOpen: true, timings: defaultTimings });
    world.nodes.slice(0, voters).forEach(node => world.actions.restart(node));
    wait(world, 8_000);
    expect(world.leader()?.state?.membership?.voters).to.have.length(voters);
    return world;
}

/** Lets `node` lead: whoever leads before it is frozen for a moment. */
function lead(world: World, node: Node) {
    for (let tries = 0; world.leader() !== node; tries++) {
        expect(tries, "tries").to.be.below(40);
        const leader = world.leader();
        if (leader !== undefined) {
            leader.paused = true;
        }
        wait(world, 1_600);
        if (leader !== undefined) {
            leader.paused = false;
        }
        wait(world, 5_000);
    }
}

function accept(world: World): number {
    const leader = world.leader();
    expect(leader, "a leader that accepts changes").to.not.equal(undefined);
    const before = world.operations.length;
    world.actions.change(leader!, false);
    wait(world, 200);
    expect(world.operations.length, "an accepted change").to.be.greaterThan(before);
    return world.versionAt(leader!);
}

/** Brings one loss about; gives what ends it. */
function strike(world: World, { kind }: Loss, victim: Node): () => void {
    switch (kind) {
        case "replaced":
            world.actions.retire(victim);
            return () => world.actions.restart(world.nodes.find(node => node.voterId.startsWith("w") && node.lives === 0)!);
        case "wiped":
            world.actions.lose(victim);
            return () => world.actions.restart(victim);
        case "killed":
            world.actions.crash(victim, 1);
            return () => world.actions.restart(victim);
        case "frozen":
            victim.paused = true;
            return () => void (victim.paused = false);
    }
}

/** Brings losses about at the same moment and returns once their VMs count as present again. */
function lose(world: World, { losses, othersLosePower, downMs }: Losses, lostMs: number) {
    const up = world.nodes.filter(node => node.state !== undefined);
    const ends = losses.map(loss => strike(world, loss, up.splice(loss.which % up.length, 1)[0]!));
    if (othersLosePower) {
        up.forEach(node => world.actions.crash(node, 1));
        world.actions.dropAll();
        ends.push(() => up.forEach(node => world.actions.restart(node)));
    }
    wait(world, downMs);
    ends.forEach(end => end());
    wait(world, lostMs);
}

describe("an open cluster that loses voters one after the other", () => {
    // A voter that is gone for good kept its vote; with one more disk lost, two of four voters were left, and no quorum ever again.
    it("reads back what it accepted after a voter was replaced and its successor lost its disk", () => {
        const world = formed(1, 3, 1);
        const gone = world.leader()!;
        const successor = world.nodes.at(-1)!;
        world.actions.retire(gone);
        wait(world, 1_300);
        world.actions.restart(successor);
        wait(world, catchUpMs[0]);
        const version = accept(world);
        world.actions.lose(successor);
        wait(world, 1_500);
        world.actions.restart(successor);
        wait(world, recoverMs);
        expect(world.leader(), "a leader").to.not.equal(undefined);
        expect(world.versionAt(world.leader()!)).to.equal(version);
    });

    // After a loss of power, voters whose clocks run apart refused each other for seconds, and the successor of a third came too late.
    it("elects a leader in time after a loss of power, and takes a successor in before the next loss", () => {
        const world = formed(29, 3, 1);
        const rows: Losses[] = [
            { losses: [{ kind: "killed", which: 18 }], othersLosePower: true, downMs: 6_163 },
            { losses: [{ kind: "replaced", which: 5 }], othersLosePower: true, downMs: 261 },
            { losses: [{ kind: "wiped", which: 3 }], othersLosePower: false, downMs: 8_995 },
        ];
        rows.forEach(row => {
            accept(world);
            lose(world, row, catchUpMs[0]);
        });
        wait(world, recoverMs - catchUpMs[0]);
        expect(world.leader(), "a leader").to.not.equal(undefined);
    });

    // A snapshot that was lost on its way was sent again only after the site could bear the next loss.
    it("takes a successor in before the next loss though the first snapshot to it was lost", () => {
        const world = formed(3, 3, 1);
        const [gone, other] = world.nodes.filter(node => node.voterId.startsWith("v") && node !== world.leader());
        const successor = world.nodes.at(-1)!;
        Array.from({ length: 12 }, () => accept(world));
        world.actions.retire(gone!);
        wait(world, 1_300);
        world.actions.cut(world.leader()!, successor);
        world.actions.restart(successor);
        wait(world, 1_000);
        world.actions.mend();
        wait(world, catchUpMs[0] - 1_000);
        const version = accept(world);
        world.actions.lose(other!);
        wait(world, recoverMs);
        expect(world.leader(), "a leader").to.not.equal(undefined);
        expect(world.versionAt(world.leader()!)).to.equal(version);
    });

    // The settings at its start named VMs that are gone; those that they name since were never asked, and its disk never voted.
    it("takes a successor in whose settings name the voters only after its start", () => {
        const world = formed(5, 3, 1);
        const late = world.nodes.at(-1)!;
        world.actions.retire(world.leader()!);
        world.actions.restartWith(late, ["gone1", "gone2"]);
        wait(world, 2_000);
        const voterIds = () => world.leader()!.state!.membership!.voters.map(voter => voter.voterId);
        expect(voterIds()).to.not.include(late.voterId);
        world.actions.nameSeeds(late, [world.leader()!.voterId]);
        wait(world, catchUpMs[0]);
        expect(voterIds()).to.include(late.voterId);
    });

    // A voter that lost its vote in a restart greeted only the processes of its settings: where none of them led, it never voted again.
    for (const [what, isKnown] of [["that its settings do not name", true], ["that began to vote while it was away", false]] as const) {
        it(`gives a voter that restarted its vote again under a leader ${what}`, () => {
            const world = formed(7, 6, 1);
            const seeds = world.nodes.slice(0, 3);
            const [away, ...others] = seeds as [Node, Node, Node];
            const later = isKnown ? world.nodes[3]! : world.nodes.at(-1)!;
            world.actions.crash(away, 1);
            if (!isKnown) {
                world.actions.restart(later);
            }
            wait(world, 3_000);
            lead(world, later);
            const voterIds = () => world.leader()!.state!.membership!.voters.map(voter => voter.voterId);
            expect(voterIds()).to.include.members([later, ...others].map(node => node.voterId)).and.not.include(away.voterId);
            world.actions.restart(away);
            wait(world, catchUpMs[1]);
            expect(world.leader()).to.equal(later);
            expect(voterIds()).to.include(away.voterId);
        });
    }

    // Losses in a row, each within what the site bears, may leave the voters without a majority, or without what was accepted.
    for (const [voters, most] of [[3, 1], [5, 2], [6, 2]] as const) {
        it(`reads back what ${voters} voters accepted, whatever they lose ${most} at a time`, () => {
            const rows = fc.array(lossesOf(most), { minLength: 2, maxLength: 5 });
            fc.assert(fc.property(fc.nat(0xffff_ffff), rows, (seed, row) => {
                const world = formed(seed, voters, row.length * most);
                let version = 0;
                for (const losses of row) {
                    version = accept(world);
                    lose(world, losses, catchUpMs[most - 1]!);
                }
                wait(world, recoverMs - catchUpMs[most - 1]!);
                expect(world.leader(), "a leader").to.not.equal(undefined);
                expect(world.versionAt(world.leader()!)).to.be.at.least(version);
                world.checkHistory();
            }), { seed: 11, numRuns: 60, endOnFailure: true });
        });
    }
});
