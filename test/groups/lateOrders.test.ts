import { expect } from "chai";
import { createLateEngines } from "../support/lateEngines.js";
import type { LateEnginesOptions } from "../support/lateEnginesTypes.js";
import { engine } from "./builders.js";

const domains = { a: 10, b: 6 };
const runMs = 60_000;
const seeds = Array.from({ length: 40 }, (_, seed) => seed + 1);
const crashes = { crashEveryMs: 4_000 };

const cases: Record<string, Partial<LateEnginesOptions>> = {
    "members that crash and return": crashes,
    "members that the leader can't reach": { ...crashes, cutEveryMs: 4_000 },
    evacuations: { ...crashes, evacuationEveryMs: 8_000 },
    "new leaders": { ...crashes, newLeaderEveryMs: 12_000 },
    "all of these": { ...crashes, cutEveryMs: 6_000, evacuationEveryMs: 15_000, newLeaderEveryMs: 15_000 },
};

describe("planning groups of engines that carry out orders late, twice or not at all", () => {
    for (const [name, disruptions] of Object.entries(cases)) {
        // Guards against an engine that is assigned to a second group while the head of its group serves, and against partial groups.
        it(`never assigns a member of a serving group to another one: ${name}`, () => {
            const broken = seeds.flatMap(seed => {
                const engines = createLateEngines({ seed, engine, domains, unansweredShare: 0.35, ...disruptions });
                engines.run(runMs);
                return engines.broken.map(text => `seed ${seed}, ${text}`);
            });
            expect(broken.slice(0, 5)).to.deep.equal([]);
        });
    }

    // Guards against a member that has left the group of an earlier leader and is in it again, by an order of which only that leader knew.
    it("knows which orders of an earlier leader may still be carried out", () => {
        const frequent = { crashEveryMs: 1_500, cutEveryMs: 2_000, newLeaderEveryMs: 5_000 };
        const runs = [
            [1_109, { ...crashes, newLeaderEveryMs: 12_000 }], [1_155, frequent], [1_169, frequent], [1_283, frequent], [1_330, frequent],
        ] as const;
        const broken = runs.flatMap(([seed, disruptions]) => {
            const engines = createLateEngines({ seed, engine, domains, unansweredShare: 0.35, ...disruptions });
            engines.run(runMs);
            return engines.broken;
        });
        expect(broken).to.deep.equal([]);
    });
});
