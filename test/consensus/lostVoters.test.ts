import { expect } from "chai";
import * as fc from "fast-check";
import { defaultTimings } from "../../src/consensus/state.js";
import { createWorld, type World } from "../support/consensusWorld.js";

/** How long a VM counts as lost after it or its replacement has started, in ms, for sites that tolerate one and two losses. */
const catchUpMs = [4_000, 6_000] as const;
/** Time from the end of the last loss until accepted changes must be readable. */
const recoveryMs = 12_000;
const roundMs = 20;

type Node = World["nodes"][number];

/** A failure of one VM; `which` selects it among the VMs that are up, including the leader. */
interface Loss {
    readonly kind: "replaced" | "wiped" | "killed" | "frozen";
    readonly which: number;
}

interface Losses {
    /** Losses that occur at the same moment. */
    readonly losses: readonly Loss[];
    /** Whether all other VMs lose power at that moment. */
    readonly othersLosePower: boolean;
    readonly downMs: number;
}

const lossOf = fc.record({ kind: fc.constantFrom<Loss["kind"]>("replaced", "wiped", "killed", "frozen"), which: fc.nat(99) });

function lossesOf(maxLosses: number): fc.Arbitrary<Losses> {
    return fc.record({
        losses: fc.array(lossOf, { minLength: 1, maxLength: maxLosses }),
        othersLosePower: fc.boolean(),
        downMs: fc.integer({ min: 200, max: 5_000 }),
    });
}

function advance(world: World, ms: number) {
    world.actions.runFaultFree(Math.ceil(ms / roundMs));
}

/** Creates an open cluster of `voters` disks, with spare processes that have not started. */
function createFormedCluster(seed: number, voters: number, spares: number): World {
    const ids = Array.from({ length: voters }, (_, index) => `v${index}`);
    const spareIds = Array.from({ length: spares }, (_, index) => `w${index}`);
    const world = createWorld(seed, ids.slice(0, 3), [...ids.slice(3), ...spareIds], { isOpen: true, timings: defaultTimings });
    world.nodes.slice(0, voters).forEach(node => world.actions.restart(node));
    advance(world, 8_000);
    expect(world.leader()?.state?.membership?.voters).to.have.length(voters);
    return world;
}

/** Makes `node` the leader by freezing any other leader for a moment. */
function makeLeader(world: World, node: Node) {
    for (let tries = 0; world.leader() !== node; tries++) {
        expect(tries, "tries").to.be.below(40);
        const leader = world.leader();
        if (leader !== undefined) {
            leader.paused = true;
        }
        advance(world, 1_600);
        if (leader !== undefined) {
            leader.paused = false;
        }
        advance(world, 5_000);
    }
}

function acceptChange(world: World): number {
    const leader = world.leader();
    expect(leader, "a leader that accepts changes").to.not.equal(undefined);
    const before = world.operations.length;
    world.actions.change(leader!, false);
    advance(world, 200);
    expect(world.operations.length, "an accepted change").to.be.greaterThan(before);
    return world.versionAt(leader!);
}

/** Injects one loss; returns a function that ends it. */
function injectLoss(world: World, { kind }: Loss, victim: Node): () => void {
    switch (kind) {
        case "replaced":
            world.actions.retire(victim);
            return () => world.actions.restart(world.nodes.find(node => node.voterId.startsWith("w") && node.lives === 0)!);
        case "wiped":
            world.actions.loseDisk(victim);
            return () => world.actions.restart(victim);
        case "killed":
            world.actions.crash(victim, 1);
            return () => world.actions.restart(victim);
        case "frozen":
            victim.paused = true;
            return () => void (victim.paused = false);
    }
}

/** Injects losses at the same moment and returns once their VMs no longer count as lost. */
function injectLosses(world: World, { losses, othersLosePower, downMs }: Losses, lostMs: number) {
    const up = world.nodes.filter(node => node.state !== undefined);
    const recoveries = losses.map(loss => injectLoss(world, loss, up.splice(loss.which % up.length, 1)[0]!));
    if (othersLosePower) {
        up.forEach(node => world.actions.crash(node, 1));
        world.actions.dropAll();
        recoveries.push(() => up.forEach(node => world.actions.restart(node)));
    }
    advance(world, downMs);
    recoveries.forEach(recover => recover());
    advance(world, lostMs);
}

describe("an open cluster that loses voters one after another", () => {
    // A replaced voter must lose its vote: otherwise one more lost disk leaves two of four voters, and there is never a quorum again.
    it("retains accepted changes after a voter was replaced and its successor lost its disk", () => {
        const world = createFormedCluster(1, 3, 1);
        const lostVoter = world.leader()!;
        const successor = world.nodes.at(-1)!;
        world.actions.retire(lostVoter);
        advance(world, 1_300);
        world.actions.restart(successor);
        advance(world, catchUpMs[0]);
        const version = acceptChange(world);
        world.actions.loseDisk(successor);
        advance(world, 1_500);
        world.actions.restart(successor);
        advance(world, recoveryMs);
        expect(world.leader(), "a leader").to.not.equal(undefined);
        expect(world.versionAt(world.leader()!)).to.equal(version);
    });

    // After a power loss, voters with drifting clocks refused each other's pre-votes for seconds, and a successor was admitted too late.
    it("elects a leader in time after a power loss, and admits a successor before the next loss", () => {
        const world = createFormedCluster(29, 3, 1);
        const steps: Losses[] = [
            { losses: [{ kind: "killed", which: 18 }], othersLosePower: true, downMs: 6_163 },
            { losses: [{ kind: "replaced", which: 5 }], othersLosePower: true, downMs: 261 },
            { losses: [{ kind: "wiped", which: 3 }], othersLosePower: false, downMs: 8_995 },
        ];
        steps.forEach(step => {
            acceptChange(world);
            injectLosses(world, step, catchUpMs[0]);
        });
        advance(world, recoveryMs - catchUpMs[0]);
        expect(world.leader(), "a leader").to.not.equal(undefined);
    });

    // Guards against a lost snapshot that is sent again only after the site must tolerate the next loss.
    it("admits a successor before the next loss although the first snapshot to it was lost", () => {
        const world = createFormedCluster(3, 3, 1);
        const [lostVoter, other] = world.nodes.filter(node => node.voterId.startsWith("v") && node !== world.leader());
        const successor = world.nodes.at(-1)!;
        Array.from({ length: 12 }, () => acceptChange(world));
        world.actions.retire(lostVoter!);
        advance(world, 1_300);
        world.actions.blockLink(world.leader()!, successor);
        world.actions.restart(successor);
        advance(world, 1_000);
        world.actions.unblockLinks();
        advance(world, catchUpMs[0] - 1_000);
        const version = acceptChange(world);
        world.actions.loseDisk(other!);
        advance(world, recoveryMs);
        expect(world.leader(), "a leader").to.not.equal(undefined);
        expect(world.versionAt(world.leader()!)).to.equal(version);
    });

    // Guards against an admission that is cancelled because the lost disk of the same voter has been silent for long.
    it("admits a wiped voter as soon as it has caught up, and before the next loss", () => {
        const world = createFormedCluster(3, 3, 0);
        const [wiped, other] = world.nodes.filter(node => node !== world.leader());
        const version = acceptChange(world);
        world.actions.loseDisk(wiped!);
        advance(world, 2_500);
        world.actions.restart(wiped!);
        world.actions.blockLink(world.leader()!, wiped!);
        advance(world, catchUpMs[0] - 400);
        world.actions.unblockLinks();
        advance(world, 400);
        expect(world.leader()!.state!.membership!.voters.map(voter => voter.diskId)).to.include(wiped!.diskId);
        world.actions.loseDisk(other!);
        advance(world, 1_000);
        world.actions.restart(other!);
        advance(world, recoveryMs);
        expect(world.leader(), "a leader").to.not.equal(undefined);
        expect(world.versionAt(world.leader()!)).to.equal(version);
    });

    // A successor's settings named only lost VMs at startup. It never contacted those named later, so its disk never got a vote.
    it("admits a successor whose settings name the voters only after its start", () => {
        const world = createFormedCluster(5, 3, 1);
        const successor = world.nodes.at(-1)!;
        world.actions.retire(world.leader()!);
        world.actions.restartWith(successor, ["gone1", "gone2"]);
        advance(world, 2_000);
        const voterIds = () => world.leader()!.state!.membership!.voters.map(voter => voter.voterId);
        expect(voterIds()).to.not.include(successor.voterId);
        world.actions.changeSeeds(successor, [world.leader()!.voterId]);
        advance(world, catchUpMs[0]);
        expect(voterIds()).to.include(successor.voterId);
    });

    // A voter removed during a restart sent hellos only to the processes of its settings: if none of them led, it never voted again.
    for (const [description, isKnown] of [["that its settings do not name", true], ["that became a voter during its absence", false]] as const) {
        it(`readmits a restarted voter under a leader ${description}`, () => {
            const world = createFormedCluster(7, 6, 1);
            const seeds = world.nodes.slice(0, 3);
            const [restarted, ...others] = seeds as [Node, Node, Node];
            const newLeader = isKnown ? world.nodes[3]! : world.nodes.at(-1)!;
            world.actions.crash(restarted, 1);
            if (!isKnown) {
                world.actions.restart(newLeader);
            }
            advance(world, 3_000);
            makeLeader(world, newLeader);
            const voterIds = () => world.leader()!.state!.membership!.voters.map(voter => voter.voterId);
            expect(voterIds()).to.include.members([newLeader, ...others].map(node => node.voterId)).and.not.include(restarted.voterId);
            world.actions.restart(restarted);
            advance(world, catchUpMs[1]);
            expect(world.leader()).to.equal(newLeader);
            expect(voterIds()).to.include(restarted.voterId);
        });
    }

    // Successive losses, each within what the site tolerates, must neither cost the majority nor accepted changes.
    for (const [voters, maxLosses] of [[3, 1], [5, 2], [6, 2]] as const) {
        it(`retains what ${voters} voters accepted under any losses of up to ${maxLosses} at a time`, () => {
            const sequences = fc.array(lossesOf(maxLosses), { minLength: 2, maxLength: 5 });
            fc.assert(fc.property(fc.nat(0xffff_ffff), sequences, (seed, sequence) => {
                const world = createFormedCluster(seed, voters, sequence.length * maxLosses);
                let version = 0;
                for (const losses of sequence) {
                    version = acceptChange(world);
                    injectLosses(world, losses, catchUpMs[maxLosses - 1]!);
                }
                advance(world, recoveryMs - catchUpMs[maxLosses - 1]!);
                expect(world.leader(), "a leader").to.not.equal(undefined);
                expect(world.versionAt(world.leader()!)).to.be.at.least(version);
                world.checkHistory();
            }), { seed: 11, numRuns: 60, endOnFailure: true });
        });
    }
});
