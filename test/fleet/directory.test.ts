import { expect } from "chai";
import * as fc from "fast-check";
import { announce, type Announcement, carry, depart, type DirectoryState, isLifeOver, mayRun, takeCarried } from "../../src/fleet/index.js";

function said(change: Partial<Announcement> = {}): Announcement {
    return {
        id: "u1", service: "orders", address: "10.0.0.1:80", dataCentre: "a", bornMs: 1, sequence: 1, state: "ready", coldForMs: 0, slots: 4,
        stagedModels: [], ...change,
    };
}

const nobody: DirectoryState = new Map();

describe("directory of upstreams", () => {
    // A heartbeat was held up while its sender crashed and started again. Taken for news, the dead life would get requests.
    it("keeps the later life whatever arrives after it", () => {
        const later = announce(nobody, said({ bornMs: 2, sequence: 1 }), 10);
        expect(announce(later, said({ bornMs: 1, sequence: 9 }), 20).get("u1")!.bornMs).to.equal(2);
    });

    it("keeps the newest announcement of a life, and a goodbye for its whole life", () => {
        const draining = announce(announce(nobody, said({ sequence: 3, state: "draining" }), 10), said({ sequence: 2 }), 20);
        expect(draining.get("u1")!.state).to.equal("draining");
        const gone = announce(depart(draining, "u1"), said({ sequence: 9 }), 30);
        expect(gone.get("u1")!.isGone).to.equal(true);
        expect(announce(gone, said({ bornMs: 5, sequence: 1 }), 40).get("u1")!.isGone).to.equal(false);
    });

    // An address is used again by another service's upstream. Requests for the old one would reach the new one.
    it("counts whoever held an address before as gone", () => {
        const taken = announce(announce(nobody, said(), 10), said({ id: "u2", service: "pool", bornMs: 7 }), 20);
        expect([taken.get("u1")!.isGone, taken.get("u2")!.isGone]).to.deep.equal([true, false]);
    });

    // An engine says goodbye without having drained and serves on for seconds: its group is still open. Taken for a life that is over,
    // its members would be joined to another group while the first one serves.
    it("does not take a goodbye for the end of a life", () => {
        const left = depart(announce(nobody, said(), 10), "u1");
        expect([isLifeOver(left, "u1"), mayRun(left).map(upstream => upstream.state)]).to.deep.equal([false, ["draining"]]);
        const replaced = announce(left, said({ id: "u2", bornMs: 9 }), 20);
        expect([isLifeOver(replaced, "u1"), mayRun(replaced).map(upstream => upstream.id)]).to.deep.equal([true, ["u2"]]);
    });

    it("ends the same in whichever order announcements reach a process", () => {
        const announcement = fc.record({
            bornMs: fc.integer({ min: 1, max: 3 }), sequence: fc.integer({ min: 1, max: 5 }), state: fc.constantFrom("ready" as const, "draining" as const),
        });
        // Of one life and number there is one announcement.
        const list = fc.uniqueArray(announcement, { selector: item => `${item.bornMs} ${item.sequence}`, minLength: 1 });
        fc.assert(fc.property(list, fc.integer(), (items, seed) => {
            const rankOf = (item: { sequence: number; bornMs: number }) => (item.sequence * 31 + item.bornMs * 17 + seed) % 7;
            const shuffled = [...items].sort((a, b) => rankOf(a) - rankOf(b));
            const direct = items.reduce((state, item) => announce(state, said(item), 0), nobody);
            const carriedOf = (item: Partial<Announcement>) => carry(announce(nobody, said(item), 0).get("u1")!, 0);
            const carried = shuffled.reduce((state, item) => takeCarried(state, [carriedOf(item)], 0), nobody);
            expect(carried.get("u1")).to.deep.equal(direct.get("u1"));
        }), { seed: 11 });
    });
});
