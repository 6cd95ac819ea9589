import { expect } from "chai";
import * as fc from "fast-check";
import type { World } from "../support/consensusWorld.js";
import { createCluster, disturb, expectAllVote, openClusters, type OpenCluster, startAll, withDisk } from "../support/openCluster.js";

const runs = { seed: 7, numRuns: 40, endOnFailure: true };
/** Rounds of the world in which all disks come to vote, one after the other. */
const growRounds = 250;

function formed(cluster: OpenCluster): World {
    const world = createCluster(cluster);
    startAll(world, cluster);
    world.actions.calm(growRounds);
    expectAllVote(world);
    return world;
}

function powerOff(world: World, kept: number) {
    world.nodes.forEach((node, place) => world.actions.crash(node, (kept + place) % 3));
    world.actions.dropAll();
}

/** Changes the configuration over disturbed links until it is accepted, and not a moment longer; gives its version, or 0. */
function changeUntilAccepted(world: World, faults: OpenCluster["faults"]): number {
    const leader = world.leader()!;
    const earlier = world.operations.length;
    world.actions.change(leader, false);
    for (let round = 0; round < 400 && world.operations.length === earlier; round++) {
        world.actions.deliver(faults[round % Math.max(1, faults.length)]?.[0] ?? 0);
        world.actions.sync(world.nodes[round % world.nodes.length]!, 1);
        world.actions.pass(round % 8 === 7 ? 20 : 0);
    }
    return world.operations.length === earlier ? 0 : world.versionAt(leader);
}

/** The configuration that the leader serves, once it has applied what was committed before its term. */
function served(world: World): number {
    const leader = world.leader();
    expect(leader, "a leader").to.not.equal(undefined);
    return world.versionAt(leader!);
}

describe("an open cluster", () => {
    // An acknowledgement that rests on fewer synced disks than a majority is lost with those disks, when all other VMs lose power.
    for (const [voters, others, lost] of [[6, 3, 2], [5, 2, 2], [3, 0, 1]] as const) {
        it(`keeps what ${voters} voters acknowledged when ${lost} of their disks are lost while all others lose power`, () => {
            const clusters = fc.tuple(openClusters(fc.constant(0), fc.constant(others)), fc.nat(999), fc.nat(2));
            let accepted = 0;
            fc.assert(fc.property(clusters, ([cluster, which, kept]) => {
                const world = formed(cluster);
                const followers = withDisk(world).filter(node => node !== world.leader());
                const slow = Array.from({ length: lost }, (_, place) => followers[(which + place) % followers.length]!);
                slow.forEach(node => void (node.paused = true));
                const version = changeUntilAccepted(world, cluster.faults);
                accepted += version > 0 ? 1 : 0;
                const holders = withDisk(world).filter(node => !slow.includes(node));
                powerOff(world, kept);
                Array.from({ length: lost }, (_, place) => world.actions.lose(holders[(which + place) % holders.length]!));
                startAll(world, cluster);
                world.actions.calm(growRounds);
                expect(served(world)).to.be.at.least(version);
                expectAllVote(world);
                world.checkHistory();
            }), runs);
            expect(accepted).to.be.at.least(runs.numRuns / 2);
        });
    }

    // The three processes that all settings name have no disk, or some of them: a second cluster may form beside the first, or none at all.
    for (const disklessSeeds of [0, 1, 2, 3]) {
        it(`forms one cluster of all disks where ${disklessSeeds} of three named processes have none`, () => {
            const clusters = openClusters(fc.constant(disklessSeeds), fc.integer({ min: 1, max: 4 }));
            fc.assert(fc.property(clusters, cluster => void formed(cluster)), runs);
        });

        it(`finds its voters again when all restart and ${disklessSeeds} of three named processes have no disk`, () => {
            const clusters = fc.tuple(openClusters(fc.constant(disklessSeeds), fc.integer({ min: 1, max: 4 })), fc.nat(2));
            fc.assert(fc.property(clusters, ([cluster, kept]) => {
                const world = formed(cluster);
                world.actions.change(world.leader()!, false);
                world.actions.calm(20);
                const version = served(world);
                powerOff(world, kept);
                startAll(world, cluster);
                world.actions.calm(growRounds);
                expectAllVote(world);
                expect(served(world)).to.equal(version);
                const ids = withDisk(world).map(node => node.voterId).sort();
                for (const node of world.nodes.filter(other => world.disklessIds.includes(other.voterId))) {
                    expect(node.state!.knownVoters.map(voter => voter.id).sort(), `known to ${node.voterId}`).to.deep.equal(ids);
                }
            }), runs);
        });
    }

    // Two processes that each think the other gone could form a cluster each; it may rightly not form at all.
    it("never forms two clusters while processes die", () => {
        const deaths = fc.array(fc.tuple(fc.nat(8), fc.nat(2), fc.nat(20)), { maxLength: 6 });
        const clusters = fc.tuple(openClusters(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 1, max: 4 })), deaths);
        fc.assert(fc.property(clusters, ([cluster, dying]) => {
            const world = createCluster(cluster);
            startAll(world, cluster);
            for (const [which, kept, rounds] of dying) {
                const node = world.nodes[which % world.nodes.length]!;
                world.actions.crash(node, kept);
                world.actions.calm(rounds);
                disturb(world, cluster.faults);
                world.actions.restart(node);
            }
            world.actions.calm(growRounds);
            const ids = new Set(world.nodes.flatMap(node => node.state?.membership?.clusterId ?? []));
            expect(ids.size).to.be.at.most(1);
        }), runs);
    });

    // Every disk is lost. What comes back empty must not form a cluster that knows nothing, nor be chosen to by a process without a disk.
    it("forms no cluster of disks that were all lost", () => {
        const clusters = openClusters(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 1, max: 3 }));
        fc.assert(fc.property(clusters, cluster => {
            const world = formed(cluster);
            powerOff(world, 0);
            withDisk(world).forEach(node => world.actions.lose(node));
            startAll(world, cluster);
            world.actions.calm(growRounds);
            expect(world.nodes.every(node => node.state?.membership === undefined)).to.equal(true);
        }), runs);
    });

    // A voter that never comes back is one of six: while its vote counts, two more losses leave three, no majority.
    it("votes a silent one of six out, and takes it in again when it is back", () => {
        const world = formed({ seed: 3, disklessSeeds: 0, others: 3, delaysMs: [0, 10, 20, 30, 40, 50, 60], faults: [] });
        const [gone] = withDisk(world).filter(node => node !== world.leader());
        world.actions.crash(gone!, 0);
        world.actions.calm(200);
        expect(world.leader()!.state!.membership!.voters.map(voter => voter.diskId)).to.not.include(gone!.diskId);
        world.actions.restart(gone!);
        world.actions.calm(200);
        expectAllVote(world);
    });

    // Invited again and again, a voter whose disk refuses writes kept a wiped one from its vote for good.
    it("takes a wiped voter in again beside one whose disk refuses writes", () => {
        const world = formed({ seed: 3, disklessSeeds: 0, others: 3, delaysMs: [0, 10, 20, 30, 40, 50, 60], faults: [] });
        const [full, wiped] = withDisk(world).filter(node => node !== world.leader());
        world.actions.fill(full!);
        world.actions.calm(growRounds);
        world.actions.lose(wiped!);
        world.actions.restart(wiped!);
        world.actions.calm(growRounds);
        const voters = world.leader()!.state!.membership!.voters.map(voter => voter.diskId);
        expect(voters).to.include(wiped!.diskId).and.to.not.include(full!.diskId);
    });
});
