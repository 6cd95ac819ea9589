import { expect } from "chai";
import { PassThrough } from "node:stream";
import { applyCommand, type ClusterState, type Command, emptyCluster } from "../../src/cluster/index.js";
import type { CrashReport } from "../../src/feed/index.js";
import { createCrashCauses } from "../../src/siteControl/crashCauses.js";
import { createCrashCollector } from "../../src/siteControl/crashCollector.js";
import { createLogger } from "../../src/telemetry/index.js";
import { waitUntil } from "../support/platformSite.js";

const logger = createLogger("error", "test", new PassThrough().resume());
const crashOf = (upstream: string, ...parts: string[]): CrashReport =>
    ({ crashes: [{ upstream, parts, provenParts: [] }], completedParts: [] });
const completed = (...completedParts: string[]): CrashReport => ({ crashes: [], completedParts });

/** A log of one voter, whose state can be handed to the next one as a snapshot. */
function createLog(state: ClusterState = emptyCluster) {
    const log = {
        state,
        appliedIndex: 0,
        propose(command: Command) {
            const { state: next, result } = applyCommand(log.state, command);
            log.state = next;
            log.appliedIndex++;
            return Promise.resolve({ outcome: "applied" as const, result, index: log.appliedIndex });
        },
    };
    return log;
}

describe("a leader that collects crashes", () => {
    const collectors: ReturnType<typeof createCrashCollector>[] = [];
    const start = (log: ReturnType<typeof createLog>) => {
        const collector = createCrashCollector(log, logger);
        collectors.push(collector);
        return collector;
    };

    afterEach(() => collectors.splice(0).forEach(collector => collector.stop()));

    // Guards against entries that begin to send the part again because the leader that counted its crashes is gone.
    it("continues the count of the leader before it", async () => {
        const before = createLog();
        start(before).report(crashOf("u1", "bad"));
        await waitUntil("the crash is recorded", () => before.appliedIndex === 1);
        const after = createLog(JSON.parse(JSON.stringify(before.state)) as ClusterState);
        const causes = createCrashCauses(after);
        const collector = start(after);
        for (const upstream of ["u2", "u3"]) {
            const { appliedIndex } = after;
            collector.report(crashOf(upstream, "bad"));
            await waitUntil("the crash is recorded", () => after.appliedIndex > appliedIndex);
        }
        expect(causes.frame()).to.deep.equal({ kind: "crash-causes", index: 2, causes: [["bad"]], suspectedParts: ["bad"] });
        expect([causes.changed().length, causes.changed().length]).to.deep.equal([1, 0]);
    });

    // Guards against suspecting a part that all requests share until its next completed answer, at every crash.
    it("records one crash for the reports of all entries, without the parts completed in the meantime", async () => {
        const log = createLog();
        const collector = start(log);
        ["a", "b", "shared"].forEach(part => collector.report(crashOf("u1", part)));
        collector.report(completed("shared"));
        await waitUntil("the crash is recorded", () => log.appliedIndex === 1);
        collector.report(crashOf("u1", "shared"));
        expect(log.state.crashEvidence?.crashes.map(({ parts }) => parts)).to.deep.equal([["a", "b"]]);
        collector.report(completed("a"));
        expect(log.state.crashEvidence?.crashes.map(({ parts }) => parts)).to.deep.equal([["b"]]);
    });

    // Guards against a daemon that can't use the snapshot of one without crash evidence.
    it("starts from a snapshot without crash evidence", () => {
        const older = { ...emptyCluster };
        delete older.crashEvidence;
        expect(createCrashCauses(createLog(older)).frame()).to.deep.equal({ kind: "crash-causes", index: 0, causes: [], suspectedParts: [] });
    });
});
