import { expect } from "chai";
import { type SharedLoadsAnswer, sharedLoadsSchema } from "../../src/feed/index.js";
import { createLoadTable } from "../../src/siteControl/loadTable.js";

interface Sent {
    readonly running?: Record<string, number>;
    readonly arrivals?: Record<string, number>;
}

function createWorld() {
    const state = { nowMs: 10_000, leads: true };
    const table = createLoadTable({ daemonId: "c1", leads: () => state.leads, nowMs: () => state.nowMs });
    function report(id: string, { running = {}, arrivals = {} }: Sent = {}): SharedLoadsAnswer | undefined {
        const bytes = table.report(id, { running, arrivals });
        return bytes && sharedLoadsSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
    }
    return {
        state, table, report,
        /** Lets every entry report each 100 ms for `forMs`. */
        run(forMs: number, sent: Record<string, Sent>) {
            for (let atMs = 0; atMs < forMs; atMs += 100) {
                state.nowMs += 100;
                Object.entries(sent).forEach(([id, loads]) => report(id, loads));
            }
        },
    };
}

describe("the control leader's table of loads", () => {
    // Guards against a view without the entries that a new leader has not heard yet: the others would divide their room.
    it("answers only while the daemon leads, and half a second after its first report at the earliest", () => {
        const { state, report } = createWorld();
        const atMs = (nowMs: number, id: string) => {
            state.nowMs = nowMs;
            return report(id, { running: { h: 2 } })?.all.running;
        };
        const before = [atMs(10_000, "a"), atMs(10_250, "a"), atMs(10_400, "b")];
        expect([...before, atMs(10_500, "a")]).to.deep.equal([undefined, undefined, undefined, { h: 4 }]);
        state.leads = false;
        expect(atMs(10_600, "a")).to.equal(undefined);
        state.leads = true;
        // It has led again for no time, so the table starts anew.
        expect([atMs(10_700, "a"), atMs(10_900, "a"), atMs(11_200, "a")]).to.deep.equal([undefined, undefined, { h: 2 }]);
        // Entries have reported to another leader meanwhile.
        expect(atMs(20_000, "b")).to.equal(undefined);
    });

    it("forgets an entry after 1 s of silence, or 1.5 s if its share of arrivals is above the mean", () => {
        const { run, report, state } = createWorld();
        const quiet = { running: { h: 1 }, arrivals: { m: 1 } };
        run(2_000, { a: quiet, b: quiet, busy: { running: { h: 5, i: 2 }, arrivals: { m: 8 } } });
        expect(report("a", quiet)?.all).to.deep.include({ running: { h: 7, i: 2 }, entries: 3 });
        const seen = [900, 300, 200, 200].map(forMs => {
            run(forMs, { a: quiet });
            const answer = report("a", quiet)!;
            return `${answer.all.running.h} of ${answer.all.entries}`;
        });
        expect(seen).to.deep.equal(["7 of 3", "6 of 2", "6 of 2", "1 of 1"]);
        expect(state.nowMs).to.equal(13_600);
    });

    it("states shares of arrivals that sum to 1, and this entry's part of the sum", () => {
        const { run, report } = createWorld();
        run(3_000, { a: { running: { h: 3 }, arrivals: { m: 3 } }, b: { running: { h: 2 }, arrivals: { m: 1, n: 4 } } });
        const [a, b] = [report("a", { running: { h: 3 } })!, report("b", { running: { h: 2 } })!];
        expect([a.own, b.own]).to.deep.equal([{ h: 3 }, { h: 2 }]);
        expect([a.shares.n, b.shares.n]).to.deep.equal([0, 1]);
        expect(a.shares.m).to.be.closeTo(0.75, 0.02);
        expect(a.shares.m! + b.shares.m!).to.be.closeTo(1, 1e-9);
    });

    // Load: 250 entries with requests at 400 heads. The bound of 400 reports a second holds, and views are encoded at most every 50 ms.
    it("asks 250 entries for 400 reports a second, and takes a sum at most every 50 ms", () => {
        const { state, report } = createWorld();
        const running = Object.fromEntries(Array.from({ length: 400 }, (_, head) => [`head-${head}`, 1]));
        const numbers = new Set<number>();
        let answer: SharedLoadsAnswer | undefined;
        for (let count = 0; count < 1_000; count++) {
            state.nowMs += 2.5;
            answer = report(`entry-${count % 250}`, { running, arrivals: { m: 1 } });
            numbers.add(answer?.all.view.number ?? 0);
        }
        expect(answer!.all).to.deep.include({ entries: 250, nextReportMs: 625 });
        // 2 s of answers.
        expect(numbers.size).to.be.within(30, 41);
    });
});
