import { expect } from "chai";
import * as fc from "fast-check";
import {
    applyCrashEvidence, type CrashEvidenceCommand, emptyCrashEvidence, findCrashCauses, hasCrashCause, suspectedParts,
} from "../../src/crashes/index.js";

function crash(atMs: number, parts: readonly string[], provenParts: readonly string[] = []): CrashEvidenceCommand {
    return { kind: "report-crashed-parts", engineBootId: `engine at ${atMs}`, parts: [...parts], provenParts: [...provenParts], atMs };
}

/** The crash of an engine that ran only the trial of a suspect. */
const trialCrash = (atMs: number, parts: readonly string[]) => ({ ...crash(atMs, parts), isTrial: true });
const cleared = (...parts: string[]): CrashEvidenceCommand => ({ kind: "clear-crashed-parts", parts, atMs: 0 });
const apply = (...commands: CrashEvidenceCommand[]) => commands.reduce(applyCrashEvidence, emptyCrashEvidence);
const causesOf = (...commands: CrashEvidenceCommand[]) => findCrashCauses(apply(...commands)).map(cause => [...cause].sort());

describe("the causes of crashes", () => {
    // Guards against a part that takes one engine after the other down, in requests that are all different.
    it("are a part that was in flight at three crashes", () => {
        expect(causesOf(crash(0, ["bad", "a"]), crash(300, ["bad", "b"]))).to.deep.equal([]);
        expect(causesOf(crash(0, ["bad", "a"]), crash(300, ["bad", "b"]), crash(600, ["bad", "c"]))).to.deep.equal([["bad"]]);
    });

    // Guards against refusing all requests with the system prompt that they share with the requests that crash engines.
    it("are not a part on which answers are completed", () => {
        const crashes = [0, 300, 600].map(atMs => crash(atMs, ["system", "bad"]));
        expect(causesOf(...crashes)).to.deep.equal([["bad", "system"]]);
        const causes = findCrashCauses(apply(...crashes));
        expect([["system"], ["system", "other"], ["system", "bad"]].map(parts => hasCrashCause(parts, causes))).to.deep.equal([false, false, true]);
        expect(causesOf(...crashes, cleared("system"))).to.deep.equal([["bad"]]);
    });

    // Guards against refusing the part that requests with several bad parts share, while too few crashes tell these apart.
    it("are not a part with completed answers before, at as many crashes as several bad parts have together", () => {
        const crashes = ["bad1", "bad2", "bad1", "bad2"].map((bad, index) => crash(300 * index, ["system", bad], ["system"]));
        expect(causesOf(...crashes)).to.deep.equal([]);
        expect(causesOf(...crashes, crash(1_200, ["system", "bad1"], ["system"]))).to.deep.equal([["bad1"]]);
    });

    // Guards against refusing requests that only shared engines with those that crash them.
    it("are not a part whose crashes another part explains", () => {
        const crashes = ["x", "x", "x", "y"].map((bystander, index) => crash(300 * index, ["bad", bystander]));
        expect(causesOf(...crashes)).to.deep.equal([["bad"]]);
    });

    // Guards against refusing the requests of a domain or data centre that is lost with all its engines.
    it("are not the parts in flight at engines that are lost together", () => {
        expect(causesOf(...[0, 20, 40, 60, 95].map(atMs => crash(atMs, ["subject"])))).to.deep.equal([]);
    });

    // Guards against two engines lost to each of several requests, because the crash of a trial followed that of the first attempt at once.
    it("are a part in flight at the crashes of trials, however soon each follows another crash", () => {
        const crashes = [crash(0, ["bad", "a"]), trialCrash(20, ["bad", "a"]), crash(40, ["bad", "b"]), trialCrash(60, ["bad", "b"])];
        expect(causesOf(...crashes)).to.deep.equal([["bad"]]);
        expect(causesOf(...crashes.slice(0, 3))).to.deep.equal([]);
    });

    it("are told apart by further crashes, and one after the other", () => {
        const first = [0, 300, 600].map(atMs => crash(atMs, ["bad1", "x"]));
        expect(causesOf(...first)).to.deep.equal([["bad1", "x"]]);
        const second = [900, 1_200, 1_500, 1_800].map(atMs => crash(atMs, ["bad2", "bad1"].slice(0, atMs === 900 ? 2 : 1)));
        expect(causesOf(...first, ...second)).to.deep.equal([["bad1"], ["bad2"]]);
    });

    // Guards against sending a part again that crashes engines, because so many other engines have crashed since.
    it("are kept when further crashes exceed the number that is remembered", () => {
        const crashes = [0, 300, 600].map(atMs => crash(atMs, ["bad"]));
        const others = Array.from({ length: 100 }, (_, index) => crash(1_000 + 300 * index, [`other ${index}`]));
        expect(causesOf(...crashes, ...others)).to.deep.equal([["bad"]]);
        expect(apply(...crashes, ...others).crashes.length).to.equal(64);
    });

    // Guards against evidence that grows without bound or forgets a cause because entries repeat their reports.
    it("are the same when reports are repeated, and the evidence is bounded", () => {
        const crashes = fc.array(fc.record({ atMs: fc.nat(60_000), parts: fc.uniqueArray(fc.constantFrom("a", "b", "c", "d"), { minLength: 1 }) }), { maxLength: 100 });
        fc.assert(fc.property(crashes, reports => {
            const commands = reports.map(({ atMs, parts }) => crash(atMs, parts));
            const state = apply(...commands);
            expect(state.crashes.length).to.be.at.most(64);
            expect(suspectedParts(apply(...commands, cleared("a", "b", "c", "d")))).to.deep.equal([]);
            const last = state.crashes.at(-1);
            expect(last === undefined ? state : applyCrashEvidence(state, crash(last.atMs, last.parts))).to.deep.equal(state);
        }), { seed: 1 });
    });
});
