import { expect } from "chai";
import * as fc from "fast-check";
import { createBalance } from "../../src/gateway/balance.js";
import { candidate } from "./candidates.js";

const options = { without: new Set<string>(), coldRequestsPerSecond: 0, dataCentre: "a", hasIdle: () => false };

describe("choosing an upstream", () => {
    it("spreads a burst between two answers", () => {
        let nowMs = 0;
        const balance = createBalance(() => nowMs, () => 0, () => 1);
        const all = [candidate("u1"), candidate("u2"), candidate("u3")];
        const counts: Record<string, number> = {};
        for (let place = 0; place < 30; place++) {
            nowMs++;
            const { upstream } = balance.choose(all, options)!;
            balance.sent(upstream, false);
            counts[upstream.id] = (counts[upstream.id] ?? 0) + 1;
        }
        expect(counts).to.deep.equal({ u1: 10, u2: 10, u3: 10 });
    });

    // Seven entries share nine groups, and each request takes half a second: spread evenly, an entry comes back to a group after its
    // connection there has been closed. Callers wait for no connection where one is open, unless that group has more to do.
    it("goes where a connection is open as long as loads are close", () => {
        const balance = createBalance(() => 0, () => 0, () => 1);
        const [near, used] = [candidate("u1"), candidate("u2")];
        const withIdle = { ...options, hasIdle: ({ id }: { id: string }) => id === "u2" };
        const chosen = () => balance.choose([near, used], withIdle)!.upstream.id;
        expect(chosen()).to.equal("u2");
        [1, 2, 3].forEach(() => balance.sent(used.upstream, false));
        expect(chosen()).to.equal("u1");
    });

    // Guards against detecting the failure of an idle head only by its missing heartbeats.
    it("reports an upstream as a suspect as soon as no connection to it can be opened", () => {
        let nowMs = 1_000;
        const balance = createBalance(() => nowMs, () => 0, () => 1);
        balance.unreachable(candidate("u1").upstream);
        expect([...balance.suspectIds]).to.deep.equal(["u1"]);
        nowMs = 2_000;
        expect([...balance.suspectIds]).to.deep.equal([]);
    });

    // Nothing moves at a head whose group has lost a member. It gets nothing more while another one does move.
    it("avoids a head at which streams stand still", () => {
        let nowMs = 0;
        const balance = createBalance(() => nowMs, () => 0, () => 1);
        const [still, moving] = [candidate("u1"), candidate("u2", { dataCentre: "b" })];
        balance.sent(still.upstream, false);
        balance.streamStarted(still.upstream);
        balance.event(still.upstream, true);
        nowMs = 250;
        expect([balance.isStill(still.upstream, true), [...balance.suspectIds]]).to.deep.equal([false, ["u1"]]);
        nowMs = 400;
        expect([balance.isStill(still.upstream), balance.isStill(still.upstream, true), [...balance.suspectIds]]).to.deep.equal([false, true, ["u1"]]);
        nowMs = 800;
        expect(balance.choose([still, moving], options)!.upstream.id).to.equal("u2");
        balance.event(still.upstream, false);
        expect(balance.isStill(still.upstream)).to.equal(false);
    });

    // Callers of this entry only wait at a head, while streams of other entries run there. That nothing comes for them within a third of a
    // second is no sign that the head stands still; sent elsewhere, each would be read a second time and wait behind others there.
    it("doesn't take streams that only wait for a head that stands still", () => {
        let nowMs = 0;
        const balance = createBalance(() => nowMs, () => 0, () => 1);
        const { upstream } = candidate("u1");
        balance.sent(upstream, false);
        balance.streamStarted(upstream);
        nowMs = 600;
        expect(balance.isStill(upstream, true)).to.equal(false);
        nowMs = 800;
        expect(balance.isStill(upstream, true)).to.equal(true);
    });

    // More that can be on time comes than a group can do, so what waits behind it gets nothing. One more would wait in vain until its
    // caller leaves; it is refused instead, and told when to come back.
    it("lets no more wait behind others once those that do have got nothing for long", () => {
        let nowMs = 0;
        const balance = createBalance(() => nowMs, () => 0, () => 1);
        const { upstream } = candidate("u1");
        const seen = () => [balance.onTimeEstimate(upstream), balance.lateEstimate(upstream), balance.isLateStuck(upstream)];
        const sentAtMs = [0, 1].map(() => {
            balance.sent(upstream, false);
            return balance.lateSent(upstream);
        });
        expect(seen()).to.deep.equal([0, 2, false]);
        nowMs = 900;
        expect(balance.isLateStuck(upstream)).to.equal(true);
        sentAtMs.forEach(atMs => balance.lateEnded(upstream, atMs, true));
        expect(seen()).to.deep.equal([2, 0, false]);
    });

    // The overload outlasts the patience of those that wait. Once the first of them has left unserved, the place would be free for others
    // who leave unserved as well; for some seconds nobody is sent to wait there.
    it("lets nobody wait behind others for a while after a caller left before its turn", () => {
        let nowMs = 0;
        const balance = createBalance(() => nowMs, () => 0, () => 1);
        const { upstream } = candidate("u1");
        balance.sent(upstream, false);
        const sentAtMs = balance.lateSent(upstream);
        nowMs = 2_000;
        balance.lateEnded(upstream, sentAtMs, false);
        expect(balance.isLateStuck(upstream)).to.equal(true);
        nowMs = 5_100;
        expect(balance.isLateStuck(upstream)).to.equal(false);
    });

    // A cold upstream bears 38 requests a second from all entries together. The entries can't talk to each other; whatever each of a
    // dozen is asked for and whenever, they stay below what it bears.
    it("keeps a dozen entries below what a cold upstream bears, in any second", () => {
        const ask = fc.record({ entry: fc.integer({ min: 0, max: 11 }), stepMs: fc.integer({ min: 0, max: 20 }) });
        fc.assert(fc.property(fc.array(ask, { maxLength: 800 }), asks => {
            let nowMs = 0;
            const entries = Array.from({ length: 12 }, () => createBalance(() => nowMs, () => 0, () => 12));
            const cold = candidate("u1", { coldUntilMs: 1e9 });
            const sentAtMs: number[] = [];
            for (const { entry, stepMs } of asks) {
                nowMs += stepMs;
                const chosen = entries[entry]!.choose([cold], { ...options, coldRequestsPerSecond: 38 });
                if (chosen !== undefined) {
                    entries[entry]!.sent(chosen.upstream, true);
                    sentAtMs.push(nowMs);
                }
            }
            const most = Math.max(0, ...sentAtMs.map(fromMs => sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length));
            expect(most).to.be.at.most(38);
        }), { seed: 38, numRuns: 60 });
    });
});
