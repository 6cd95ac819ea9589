import { expect } from "chai";
import { createReturning } from "../../src/gateway/returning.js";

describe("callers that come back", () => {
    // A caller that was refused comes back after two of its eight seconds, and is refused again. Counted twice, its work would have VMs
    // taken from a model that is no better off.
    it("are told from those that ask for the first time by the time that they have left", () => {
        const returning = createReturning(() => 0);
        expect(returning.waitedMs("notes", 8_000)).to.equal(0);
        expect(returning.waitedMs("notes", 6_000)).to.equal(2_000);
        expect(returning.waitedMs("captions", 6_000)).to.equal(0);
    });

    // A few callers wait for a minute, then none of them comes any more. Were their time remembered, everybody would be taken for one that
    // comes back, and no work would be counted at all.
    it("are told by what others have left lately", () => {
        let nowMs = 0;
        const returning = createReturning(() => nowMs);
        returning.waitedMs("notes", 60_000);
        nowMs = 9_000;
        expect(returning.waitedMs("notes", 8_000)).to.equal(52_000);
        nowMs = 21_000;
        returning.waitedMs("notes", 8_000);
        nowMs = 32_000;
        expect(returning.waitedMs("notes", 8_000)).to.equal(0);
    });
});
