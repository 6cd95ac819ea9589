import { expect } from "chai";
import * as fc from "fast-check";
import { type ConsensusLimits, defaultTimings } from "../../src/consensus/state.js";
import { createWorld, type World } from "../support/consensusWorld.js";

/** Time after which a VM that is back, or its replacement, counts as lost no more. */
const catchUpMs = 6_000;
/** Time from the end of the last loss until what was accepted must be readable. */
const recoveryMs = 14_000;
const roundMs = 20;
const limits: ConsensusLimits = { snapshotLogBytes: 400_000, trailingBytes: 200_000, messageBytes: 150_000, windowBytes: 500_000 };

type Node = World["nodes"][number];

interface Site {
    readonly disks: number;
    /** The number of disks that the site may lose at once. */
    readonly tolerated: number;
    /** Whether the voters are told the number. */
    readonly isStated: boolean;
    readonly spares: number;
    readonly changeBytes: number;
}

function advance(world: World, ms: number) {
    world.actions.runFaultFree(Math.ceil(ms / roundMs));
}

function createFormedCluster(seed: number, { disks, tolerated, isStated, spares, changeBytes }: Site): World {
    const ids = Array.from({ length: disks }, (_, index) => "abcdefg"[index]!);
    const spareIds = Array.from({ length: spares }, (_, index) => `w${index}`);
    const world = createWorld(seed, ids.slice(0, 3), [...ids.slice(3), ...spareIds], {
        isOpen: true, timings: defaultTimings, limits, changeBytes, ...isStated ? { toleratedDiskLosses: tolerated } : {},
    });
    world.nodes.slice(0, disks).forEach(node => world.actions.restart(node));
    advance(world, 8_000);
    expect(world.leader()?.state?.membership?.voters).to.have.length(disks);
    return world;
}

const running = (world: World) => world.nodes.filter(node => node.state !== undefined);
const withoutPower = (world: World) => world.nodes.filter(node => node.state === undefined && node.lives > 0 && node.disk.term > 0);

/** The number of disks that hold entry `index`, with or without power. */
function disksWith(world: World, index: number): number {
    return world.nodes.filter(({ disk }) => (disk.snapshot?.index ?? 0) + disk.entries.length >= index).length;
}

/** Sends a change; returns its version, or 0 if it was not accepted. */
function tryChange(world: World, { tolerated }: Site): number {
    const leader = world.leader();
    if (leader === undefined) {
        return 0;
    }
    const before = world.operations.length;
    world.actions.change(leader, false);
    for (let round = 0; round < 60 && world.operations.length === before; round++) {
        advance(world, roundMs);
    }
    if (world.operations.length === before) {
        return 0;
    }
    const holders = disksWith(world, world.invariants.committed.length);
    expect(holders, "disks that hold an acknowledged entry").to.be.at.least(tolerated + 1);
    return world.versionAt(leader);
}

/** Loses disks of running processes, lets all processes have power again, and checks that what was accepted is served. */
function expectKept(world: World, lost: readonly Node[], version: number) {
    lost.forEach(node => world.actions.loseDisk(node));
    advance(world, 500);
    world.nodes.filter(node => node.lives > 0 && node.state === undefined).forEach(node => world.actions.restart(node));
    advance(world, recoveryMs);
    const leader = world.leader();
    expect(leader, "a leader").to.not.equal(undefined);
    expect(world.versionAt(leader!)).to.be.at.least(version);
    world.checkHistory();
}

const site = (disks: number, tolerated: number, isStated = true): Site => ({ disks, tolerated, isStated, spares: 4, changeBytes: 0 });

describe("voters of a site that tolerates lost disks", () => {
    function powerOff(world: World, ...ids: string[]) {
        world.nodes.filter(node => ids.includes(node.voterId)).forEach(node => world.actions.crash(node, 1));
        advance(world, 4_000);
    }
    function powerOn(world: World, ...ids: string[]) {
        world.nodes.filter(node => ids.includes(node.voterId)).forEach(node => world.actions.restart(node));
        advance(world, catchUpMs);
    }

    // Guards against a quorum that shrinks with each VM that loses power, until fewer disks acknowledge than the site may lose.
    it("stay so many that nothing acknowledged is lost with the disks of those that still run", () => {
        const six = site(6, 2);
        const world = createFormedCluster(1, six);
        powerOff(world, "e", "f");
        powerOff(world, "d");
        powerOn(world, "e");
        powerOff(world, "c");
        powerOff(world, "e");
        const version = tryChange(world, six);
        expectKept(world, running(world), version);
    });

    // Guards against the same with one voter more that runs: four disks acknowledge, and two of them are lost.
    it("elect a leader with what is left after the tolerated disks are lost", () => {
        const six = site(6, 2);
        const world = createFormedCluster(2, six);
        powerOff(world, "c", "b", "d");
        powerOn(world, "c");
        powerOff(world, "a");
        powerOn(world, "b");
        const version = tryChange(world, six);
        expectKept(world, running(world).filter(node => ["c", "f"].includes(node.voterId)), version);
    });

    // Guards against a removed VM whose vote counts against every majority for good.
    it("replace a VM that never comes back by its successor", () => {
        const world = createFormedCluster(3, site(3, 1));
        const [removed] = world.nodes.filter(node => node !== world.leader());
        world.actions.retire(removed!);
        advance(world, 1_000);
        world.actions.restart(world.nodes.find(node => node.voterId === "w0")!);
        advance(world, 4_000);
        const voters = world.leader()!.state!.membership!.voters.map(voter => voter.voterId);
        expect(voters).to.have.length(3).and.to.include("w0");
    });

    // Guards against a site with fewer disks than its tolerance calls for that never readmits a voter.
    it("readmit a wiped voter also if the site has too few disks for its tolerance", () => {
        const world = createFormedCluster(4, site(3, 2));
        const [wiped] = world.nodes.filter(node => node !== world.leader());
        world.actions.loseDisk(wiped!);
        advance(world, 1_000);
        world.actions.restart(wiped!);
        advance(world, 4_000);
        expect(world.leader()!.state!.membership!.voters.map(voter => voter.diskId)).to.include(wiped!.diskId).and.to.have.length(3);
    });

    const steps = fc.array(fc.record({
        kind: fc.constantFrom("power lost", "power lost", "power lost", "power back", "power back", "replaced", "wiped", "added"),
        which: fc.nat(99),
    }), { minLength: 4, maxLength: 12, size: "max" });

    function performStep(world: World, site: Site, { kind, which }: { readonly kind: string; readonly which: number }) {
        const up = running(world);
        const down = withoutPower(world);
        const target = up[which % Math.max(1, up.length)];
        switch (kind) {
            case "power lost":
                if (target !== undefined) {
                    world.actions.crash(target, 1);
                }
                break;
            case "power back":
                if (down.length > 0) {
                    world.actions.restart(down[which % down.length]!);
                }
                break;
            case "replaced":
            case "wiped":
                // Disks are lost one at a time here; the tolerated number at once follows at the end.
                if (down.length === 0 && target !== undefined) {
                    const isReplaced = kind === "replaced";
                    world.actions[isReplaced ? "retire" : "loseDisk"](target);
                    advance(world, 1_000);
                    world.actions.restart(isReplaced ? world.nodes.find(node => node.lives === 0)! : target);
                }
                break;
            case "added":
                world.actions.restart(world.nodes.find(node => node.lives === 0)!);
                break;
        }
        advance(world, catchUpMs);
        if (withoutPower(world).length <= site.tolerated && running(world).length >= site.disks - site.tolerated) {
            const isRecovered = () => world.leader() !== undefined;
            for (let waitedMs = 0; waitedMs < recoveryMs && !isRecovered(); waitedMs += roundMs) {
                advance(world, roundMs);
            }
            expect(isRecovered(), "a leader while no more VMs are lost than the site tolerates").to.equal(true);
        }
    }

    for (const [disks, tolerated] of [[3, 1], [4, 1], [5, 2], [6, 2], [7, 2], [7, 3]] as const) {
        it(`keep what ${disks} disks acknowledged if ${tolerated} of them are lost, after any order of lost power and replaced VMs`, () => {
            const cases = fc.tuple(fc.nat(0xffff_ffff), steps, fc.nat(999), fc.constantFrom(0, 100_000));
            fc.assert(fc.property(cases, ([seed, sequence, offset, changeBytes]) => {
                const site: Site = { disks, tolerated, isStated: true, spares: sequence.length, changeBytes };
                const world = createFormedCluster(seed, site);
                let version = 0;
                for (const step of sequence) {
                    performStep(world, site, step);
                    version = Math.max(version, tryChange(world, site));
                }
                const up = running(world);
                const lost = up.map((_, index) => up[(offset + index) % up.length]!).slice(0, tolerated);
                expectKept(world, lost, version);
            }), { seed: 3, numRuns: 40, endOnFailure: true });
        });
    }
});
