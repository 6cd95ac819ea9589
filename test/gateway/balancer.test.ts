import { expect } from "chai";
import * as fc from "fast-check";
import { createBalancer } from "../../src/gateway/balancer.js";
import { candidate } from "./candidates.js";

const options = { without: new Set<string>(), coldRequestsPerSecond: 0, dataCentre: "a", hasIdle: () => false };

describe("choosing an upstream", () => {
    it("spreads a burst between two answers", () => {
        let nowMs = 0;
        const balancer = createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 1 });
        const all = [candidate("u1"), candidate("u2"), candidate("u3")];
        const counts: Record<string, number> = {};
        for (let index = 0; index < 30; index++) {
            nowMs++;
            const { upstream } = balancer.choose(all, options)!;
            balancer.requestSent(upstream, false);
            counts[upstream.id] = (counts[upstream.id] ?? 0) + 1;
        }
        expect(counts).to.deep.equal({ u1: 10, u2: 10, u3: 10 });
    });

    // Seven entries share nine groups, and each request takes half a second. If requests are spread evenly, an entry returns to a group
    // only after its connection there has been closed. An upstream with an open connection is preferred unless its load is higher.
    it("prefers an open connection while loads are close", () => {
        const balancer = createBalancer({ nowMs: () => 0, random: () => 0, entries: () => 1 });
        const [near, used] = [candidate("u1"), candidate("u2")];
        const withIdle = { ...options, hasIdle: ({ id }: { id: string }) => id === "u2" };
        const chosen = () => balancer.choose([near, used], withIdle)!.upstream.id;
        expect(chosen()).to.equal("u2");
        [1, 2, 3].forEach(() => balancer.requestSent(used.upstream, false));
        expect(chosen()).to.equal("u1");
    });

    // Guards against detecting the failure of an idle head only by its missing heartbeats.
    it("reports an upstream as a suspect as soon as opening a connection to it fails", () => {
        let nowMs = 1_000;
        const balancer = createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 1 });
        balancer.connectFailed(candidate("u1").upstream);
        expect([...balancer.suspectIds]).to.deep.equal(["u1"]);
        nowMs = 2_000;
        expect([...balancer.suspectIds]).to.deep.equal([]);
    });

    // The streams of a head whose group has lost a member are stalled. It gets no more requests while another head sends events.
    it("avoids a head whose streams are stalled", () => {
        let nowMs = 0;
        const balancer = createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 1 });
        const [stalled, moving] = [candidate("u1"), candidate("u2", { dataCentre: "b" })];
        balancer.requestSent(stalled.upstream, false);
        balancer.streamStarted(stalled.upstream);
        balancer.eventReceived(stalled.upstream, true);
        nowMs = 250;
        expect([balancer.isStalled(stalled.upstream, true), [...balancer.suspectIds]]).to.deep.equal([false, ["u1"]]);
        nowMs = 400;
        expect([balancer.isStalled(stalled.upstream), balancer.isStalled(stalled.upstream, true), [...balancer.suspectIds]]).to.deep.equal([false, true, ["u1"]]);
        nowMs = 800;
        expect(balancer.choose([stalled, moving], options)!.upstream.id).to.equal("u2");
        balancer.eventReceived(stalled.upstream, false);
        expect(balancer.isStalled(stalled.upstream)).to.equal(false);
    });

    // All streams of this entry are queued at a head, while streams of other entries run there. No event within a third of a second is no
    // sign of a stalled head. If retried elsewhere, each prompt would be read a second time, and its stream would be queued there.
    it("doesn't count a head as stalled for streams that are only queued", () => {
        let nowMs = 0;
        const balancer = createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 1 });
        const { upstream } = candidate("u1");
        balancer.requestSent(upstream, false);
        balancer.streamStarted(upstream);
        nowMs = 600;
        expect(balancer.isStalled(upstream, true)).to.equal(false);
        nowMs = 800;
        expect(balancer.isStalled(upstream, true)).to.equal(true);
    });

    // More requests that can be on time arrive than a group can serve, so its late queue makes no progress. A further request would wait in
    // vain until its caller leaves; it is refused with a Retry-After instead.
    it("adds no requests to a late queue that makes no progress", () => {
        let nowMs = 0;
        const balancer = createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 1 });
        const { upstream } = candidate("u1");
        const isStalled = () => balancer.isLateQueueStalled(upstream, 500);
        const estimates = () => [balancer.onTimeEstimate(upstream), balancer.lateEstimate(upstream), isStalled()];
        const sentAtMs = [0, 1].map(() => {
            balancer.requestSent(upstream, false);
            return balancer.lateQueued(upstream);
        });
        expect(estimates()).to.deep.equal([0, 2, false]);
        nowMs = 900;
        expect(balancer.isLateQueueStalled(upstream, 500)).to.equal(true);
        sentAtMs.forEach(atMs => balancer.lateDequeued(upstream, atMs, true));
        expect(estimates()).to.deep.equal([2, 0, false]);
    });

    // The overload lasts longer than callers wait. Once the first of them has left unserved, its place in the late queue would be free for
    // others who would leave unserved as well. So the late queue is blocked for some seconds.
    it("blocks a late queue for a while after a caller has left it unserved", () => {
        let nowMs = 0;
        const balancer = createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 1 });
        const { upstream } = candidate("u1");
        balancer.requestSent(upstream, false);
        const sentAtMs = balancer.lateQueued(upstream);
        nowMs = 2_000;
        balancer.lateDequeued(upstream, sentAtMs, false);
        expect(balancer.isLateQueueStalled(upstream, 500)).to.equal(true);
        nowMs = 5_100;
        expect(balancer.isLateQueueStalled(upstream, 500)).to.equal(false);
    });

    // A cold upstream can serve 38 requests a second from all entries together. Twelve entries can't coordinate; whenever their requests
    // arrive, together they must stay within this rate.
    it("keeps a dozen entries within the rate of a cold upstream, in any second", () => {
        const arrival = fc.record({ entry: fc.integer({ min: 0, max: 11 }), stepMs: fc.integer({ min: 0, max: 20 }) });
        fc.assert(fc.property(fc.array(arrival, { maxLength: 800 }), arrivals => {
            let nowMs = 0;
            const entries = Array.from({ length: 12 }, () => createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => 12 }));
            const cold = candidate("u1", { coldUntilMs: 1e9 });
            const sentAtMs: number[] = [];
            for (const { entry, stepMs } of arrivals) {
                nowMs += stepMs;
                const chosen = entries[entry]!.choose([cold], { ...options, coldRequestsPerSecond: 38 });
                if (chosen !== undefined) {
                    entries[entry]!.requestSent(chosen.upstream, true);
                    sentAtMs.push(nowMs);
                }
            }
            const maxInWindow = Math.max(0,
                ...sentAtMs.map(fromMs => sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length));
            expect(maxInWindow).to.be.at.most(38);
        }), { seed: 38, numRuns: 60 });
    });
});
