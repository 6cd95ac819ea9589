import { expect } from "chai";
import type { Upstream } from "../../src/fleet/index.js";
import { createProber, type ProbeResult } from "../../src/siteControl/prober.js";
import { createFleet } from "../groups/builders.js";

function proberOf(results: ProbeResult[]) {
    const state = { nowMs: 0 };
    const probe = () => Promise.resolve(results.shift() ?? "silent");
    const prober = createProber({ nowMs: () => state.nowMs, heartbeatMs: 1_200, onResult: () => undefined, probe });
    const [upstream] = [...createFleet({ a: 1 }).upstreams.values()] as [Upstream];
    const probeDue = async (heardAtMs: number) => {
        prober.probeDue([{ ...upstream, heardAtMs }]);
        await new Promise(resolve => setImmediate(resolve));
    };
    return { state, prober, upstream, probeDue };
}

describe("upstream prober", () => {
    // Guards against assigning a failed VM to the next group because of a heartbeat that was sent before the failure and arrives after two
    // unanswered probes. Callers would wait about three seconds for a group that can't form.
    it("keeps a VM lost when a delayed heartbeat arrives", async () => {
        const { state, prober, upstream, probeDue } = proberOf([]);
        prober.markSuspect([upstream.id]);
        await probeDue(0);
        await probeDue(0);
        expect(prober.isLost(upstream.id)).to.equal(true);
        state.nowMs = 900;
        await probeDue(850);
        expect(prober.isLost(upstream.id)).to.equal(true);
    });

    // Guards against a leader that is kept busy by probing each unreachable upstream once per second for as long as it is cut off.
    it("probes a silent upstream at increasing intervals, and at once after a new heartbeat", async () => {
        const { state, prober, upstream, probeDue } = proberOf([]);
        const probedAtMs: number[] = [];
        const recordingProber = createProber({
            nowMs: () => state.nowMs, heartbeatMs: 1_200, onResult: () => undefined,
            probe: () => {
                probedAtMs.push(state.nowMs);
                return Promise.resolve("silent");
            },
        });
        for (state.nowMs = 2_000; state.nowMs < 30_000; state.nowMs += 100) {
            recordingProber.probeDue([{ ...upstream, heardAtMs: state.nowMs >= 29_000 ? 29_000 : 0 }]);
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(probedAtMs).to.deep.equal([2_000, 2_100, 3_200, 5_300, 9_400, 17_500, 25_600, 29_000]);
        await probeDue(0);
        expect(prober.isLost(upstream.id)).to.equal(false);
    });

    it("no longer counts a VM as lost once it answers a probe after a heartbeat", async () => {
        const { state, prober, upstream, probeDue } = proberOf(["silent", "silent", "answered"]);
        prober.markSuspect([upstream.id]);
        await probeDue(0);
        await probeDue(0);
        expect(prober.isLost(upstream.id)).to.equal(true);
        state.nowMs = 300;
        await probeDue(250);
        expect(prober.isLost(upstream.id)).to.equal(false);
    });
});
