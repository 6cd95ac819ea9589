import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { runSoak } from "../../bench/soak/run.js";
import { createSchedule, faultKinds } from "../../bench/soak/schedule.js";

describe("the soak", function () {
    this.timeout(120_000);

    it("has the same faults for the same seed, of every kind, and no more daemons down at once than the site bears", () => {
        const schedules = Array.from({ length: 40 }, (_, seed) => createSchedule({ seed, lengthMs: 30_000, entries: 3 }));
        expect(createSchedule({ seed: 7, lengthMs: 30_000, entries: 3 })).to.deep.equal(schedules[7]);
        expect(new Set(schedules.flat().map(({ kind }) => kind))).to.deep.equal(new Set(faultKinds));
        for (const faults of schedules) {
            const controlFaults = faults.filter(({ kind }) => kind.endsWith("-control") || kind === "kill-all");
            const overlapping = controlFaults.filter((fault, index) => index > 0 &&
                fault.atMs < controlFaults[index - 1]!.atMs + controlFaults[index - 1]!.forMs);
            expect(overlapping).to.deep.equal([]);
        }
    });

    // Guards against any broken promise that faults in series and overlapping bring about, as callers, operators and upstreams see it.
    it("finds nothing in a short run of real processes", async () => {
        const logFolder = mkdtempSync(join(tmpdir(), "soak-logs-"));
        const result = await runSoak({
            seed: 56, lengthMs: 12_000, entries: 3, engines: 6, callers: 8, pauseMs: 60, net: 96, port: 23_400, logFolder,
        });
        rmSync(logFolder, { recursive: true });
        expect(result.faults.map(({ kind }) => kind)).to.include.members(["odd-check-ins", "cut-heads", "kill-entry"]);
        expect(result.findings).to.deep.equal([]);
        expect(result.served).to.be.greaterThan(0);
    });
});
