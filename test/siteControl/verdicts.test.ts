import { expect } from "chai";
import { createVerdicts, type Verdicts } from "../../src/siteControl/verdicts.js";

describe("the verdicts of control leaders", () => {
    let nowMs: number;
    let published: number;
    let verdicts: Verdicts;

    beforeEach(() => {
        nowMs = 0;
        published = 0;
        verdicts = createVerdicts({ nowMs: () => nowMs, publish: () => published++ });
    });

    function update(atMs: number, isLeading: boolean, ...judged: string[]): number {
        nowMs = atMs;
        verdicts.update(isLeading, judged);
        return published;
    }

    // Guards against an upstream that gets nothing for good: the leader that took it for silent stopped, and the next one has no verdict.
    it("are published by a new leader that has none, once it has probed", () => {
        expect(update(0, true)).to.equal(0);
        expect(update(900, true)).to.equal(0);
        expect(update(1_000, true)).to.equal(1);
        expect(update(1_200, true)).to.equal(1);
    });

    it("are published at once when there is one, when it is withdrawn, and after each time in which another may have led", () => {
        expect(update(0, true, "u1")).to.equal(1);
        expect(update(100, true)).to.equal(2);
        expect(update(200, false, "u1")).to.equal(2);
        expect(update(300, true, "u1")).to.equal(3);
    });
});
