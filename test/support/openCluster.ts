/**
 * An open cluster in the consensus world: some processes with a disk and some without, started from three that the settings of all
 * name, each at a moment of its own, over links that reorder, double and lose.
 *
 * @module
 */

import { expect } from "chai";
import * as fc from "fast-check";
import { createWorld, type World } from "./consensusWorld.js";

export interface OpenCluster {
    readonly seed: number;
    /** How many of the three that all settings name have no disk. */
    readonly disklessSeeds: number;
    /** Processes with a disk beside those that are named. */
    readonly others: number;
    /** The order in which processes start, and how long after each other. */
    readonly delaysMs: readonly number[];
    /** What befalls letters under way: where it strikes, and what. */
    readonly faults: readonly (readonly [place: number, kind: number])[];
}

export const openClusters = (disklessSeeds: fc.Arbitrary<number>, others: fc.Arbitrary<number>): fc.Arbitrary<OpenCluster> => fc.record({
    seed: fc.nat(0xffff_ffff),
    disklessSeeds,
    others,
    delaysMs: fc.array(fc.nat(300), { minLength: 9, maxLength: 9 }),
    faults: fc.array(fc.tuple(fc.nat(999), fc.nat(9)), { maxLength: 60 }),
});

/** Creates the processes; none is started. */
export function createCluster({ seed, disklessSeeds, others }: OpenCluster): World {
    const seeds = ["a", "b", "c"];
    // Which of the named ones lack a disk, the lowest id among them or not, differs from seed to seed.
    const disklessIds = [0, 1, 2].map(place => seeds[(place + seed) % 3]!).slice(0, disklessSeeds);
    const otherIds = Array.from({ length: others }, (_, place) => `d${place}`);
    return createWorld(seed, seeds, [...otherIds, "x"], { isOpen: true, disklessIds: [...disklessIds, "x"] });
}

/** Lets letters arrive out of order, twice or not at all for a while. */
export function disturb(world: World, faults: OpenCluster["faults"]) {
    for (const [place, kind] of faults) {
        const act = kind < 2 ? world.actions.drop : kind < 4 ? world.actions.double : world.actions.deliver;
        act(place);
        world.nodes.forEach((node, count) => (place + count) % 3 === 0 && world.actions.sync(node, 1));
        if (kind === 9) {
            world.actions.pass(place % 60);
        }
    }
}

/** Starts every process that is down, each at its own moment. */
export function startAll(world: World, { delaysMs, faults }: OpenCluster) {
    const order = world.nodes.map((node, place) => ({ node, delayMs: delaysMs[place % delaysMs.length]! }));
    order.sort((a, b) => a.delayMs - b.delayMs);
    let passedMs = 0;
    for (const { node, delayMs } of order) {
        world.actions.pass(delayMs - passedMs);
        passedMs = delayMs;
        world.actions.restart(node);
        disturb(world, faults.slice(0, 10));
    }
    disturb(world, faults);
}

export const withDisk = (world: World) => world.nodes.filter(node => !world.disklessIds.includes(node.voterId));

/** Fails unless one process leads and every disk votes. */
export function expectAllVote(world: World) {
    const leader = world.leader();
    expect(leader, "a leader").to.not.equal(undefined);
    const { voters, admitting } = leader!.state!.membership!;
    expect(admitting).to.equal(undefined);
    expect(voters.map(voter => voter.diskId).sort()).to.deep.equal(withDisk(world).map(node => node.diskId).sort());
}
