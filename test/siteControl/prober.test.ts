import { expect } from "chai";
import type { Upstream } from "../../src/fleet/index.js";
import { createProber, type ProbeResult } from "../../src/siteControl/prober.js";
import { fleetOf } from "../groups/builders.js";

function proberOf(results: ProbeResult[]) {
    const state = { nowMs: 0 };
    const probe = () => Promise.resolve(results.shift() ?? "silent");
    const prober = createProber({ nowMs: () => state.nowMs, judged: () => undefined, probe });
    const [upstream] = [...fleetOf({ a: 1 }).upstreams.values()] as [Upstream];
    const look = async (heardAtMs: number) => {
        prober.look([{ ...upstream, heardAtMs }]);
        await new Promise(resolve => setImmediate(resolve));
    };
    return { state, prober, upstream, look };
}

describe("asking upstreams whether they are there", () => {
    // A VM goes dark; two questions stay without an answer. Then a heartbeat arrives that it sent before. Believed, it would be
    // put into the next group, which callers would wait for in vain for some three seconds.
    it("believes no late heartbeat of a VM that answers nobody", async () => {
        const { state, prober, upstream, look } = proberOf([]);
        prober.suspect([upstream.id]);
        await look(0);
        await look(0);
        expect(prober.isLost(upstream.id)).to.equal(true);
        state.nowMs = 900;
        await look(850);
        expect(prober.isLost(upstream.id)).to.equal(true);
    });

    // Guards against a leader that is kept busy by probing each unreachable upstream once per second for as long as it is cut off.
    it("asks a silent upstream at increasing intervals, and at once after a new heartbeat", async () => {
        const { state, prober, upstream, look } = proberOf([]);
        const askedAtMs: number[] = [];
        const recordingProber = createProber({
            nowMs: () => state.nowMs, judged: () => undefined,
            probe: () => {
                askedAtMs.push(state.nowMs);
                return Promise.resolve("silent");
            },
        });
        for (state.nowMs = 2_000; state.nowMs < 30_000; state.nowMs += 100) {
            recordingProber.look([{ ...upstream, heardAtMs: state.nowMs >= 29_000 ? 29_000 : 0 }]);
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(askedAtMs).to.deep.equal([2_000, 2_100, 3_200, 5_300, 9_400, 17_500, 25_600, 29_000]);
        await look(0);
        expect(prober.isLost(upstream.id)).to.equal(false);
    });

    it("takes a VM back as soon as it answers after a heartbeat", async () => {
        const { state, prober, upstream, look } = proberOf(["silent", "silent", "answered"]);
        prober.suspect([upstream.id]);
        await look(0);
        await look(0);
        expect(prober.isLost(upstream.id)).to.equal(true);
        state.nowMs = 300;
        await look(250);
        expect(prober.isLost(upstream.id)).to.equal(false);
    });
});
