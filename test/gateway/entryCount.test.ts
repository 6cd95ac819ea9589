import { expect } from "chai";
import * as fc from "fast-check";
import { RetryBudget } from "../../src/admission/index.js";
import { createBalance } from "../../src/gateway/balance.js";
import { createEntryCount, shareOfSlack } from "../../src/gateway/entryCount.js";
import { candidate } from "./candidates.js";

const windowMs = 10_000;

/** The most of `atMs` in any window of `lengthMs`, each weighed against what `allowance` grants in it. */
function worstExcess(atMs: readonly number[], lengthMs: number, allowance: (fromMs: number) => number): number {
    const countFrom = (fromMs: number) => atMs.filter(other => other >= fromMs && other < fromMs + lengthMs).length;
    return Math.max(0, ...atMs.map(fromMs => countFrom(fromMs) - allowance(fromMs)));
}

describe("bounds that all entries share", () => {
    it("are split among the entries that any control daemon has counted lately, and newcomers", () => {
        let nowMs = 0;
        const count = createEntryCount(() => nowMs);
        expect(count.most).to.equal(24);
        count.told("c1", 7);
        count.told("c2", 30);
        expect(count.most).to.equal(32);
        nowMs = 50_000;
        count.told("c1", 8);
        nowMs = 61_000;
        expect(count.most).to.equal(10);
    });

    // Entries are cut off from each other and from control; each sees its own callers and its own failures, and is killed at any moment,
    // once a window. Whatever each wants to send again, and when, the service gets no more second sends than the bound.
    it("hold for second sends, whoever is cut off or restarted", () => {
        const event = fc.record({
            entry: fc.nat(59), stepMs: fc.nat(20), times: fc.integer({ min: 1, max: 12 }),
            kind: fc.constantFrom("ended", "again", "again", "killed"),
        });
        fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.array(event, { maxLength: 500 }), (entries, events) => {
            const [slack, ratio] = [162, 0.2];
            let nowMs = 0;
            const { most, start } = shareOfSlack(slack, entries);
            const fresh = () => new RetryBudget(nowMs, { perSuccess: ratio * 0.85, perSecond: 0, most }, start);
            const budgets = Array.from({ length: entries }, fresh);
            const killedAtMs = new Map<number, number>();
            const [requests, repeats]: [number[], number[]] = [[], []];
            for (const { entry, stepMs, kind, times } of events) {
                nowMs += stepMs;
                const place = entry % entries;
                if (kind === "killed" && nowMs - (killedAtMs.get(place) ?? -windowMs) >= windowMs) {
                    budgets[place] = fresh();
                    killedAtMs.set(place, nowMs);
                }
                for (let time = 0; time < times && kind !== "killed"; time++) {
                    if (kind === "ended") {
                        requests.push(nowMs);
                        budgets[place]!.succeeded(nowMs);
                    }
                    else if (budgets[place]!.tryRetry(nowMs) === undefined) {
                        repeats.push(nowMs);
                    }
                }
            }
            const requestsIn = (fromMs: number) => requests.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
            expect(worstExcess(repeats, windowMs, fromMs => slack + ratio * requestsIn(fromMs))).to.equal(0);
        }), { seed: 162, numRuns: 200 });
    });

    // The same for what a cold upstream bears, on sites with any number of entries.
    it("hold for a cold upstream in any second", () => {
        const ask = fc.record({ entry: fc.nat(59), stepMs: fc.nat(20) });
        fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.array(ask, { maxLength: 600 }), (entries, asks) => {
            let nowMs = 0;
            const balances = Array.from({ length: entries }, () => createBalance(() => nowMs, () => 0, () => entries));
            const cold = candidate("u1", { coldUntilMs: 1e9 });
            const sentAtMs: number[] = [];
            for (const { entry, stepMs } of asks) {
                nowMs += stepMs;
                const balance = balances[entry % entries]!;
                const options = { without: new Set<string>(), coldRequestsPerSecond: 38, dataCentre: "a", hasIdle: () => false };
                if (balance.choose([cold], options) !== undefined) {
                    balance.sent(cold.upstream, true);
                    sentAtMs.push(nowMs);
                }
            }
            // More entries than requests a second: each sends at most one in its longer window, and those may meet in one second.
            expect(worstExcess(sentAtMs, 1_000, () => Math.max(38, entries))).to.equal(0);
        }), { seed: 38, numRuns: 100 });
    });
});
