import { expect } from "chai";
import * as fc from "fast-check";
import { RetryBudget } from "../../src/admission/index.js";
import { createBalancer } from "../../src/gateway/balancer.js";
import { createEntryCount, shareOfSlack } from "../../src/gateway/entryCount.js";
import { candidate } from "./candidates.js";

const windowMs = 10_000;

/** Returns by how many of `atMs` the worst window of `lengthMs` exceeds its `allowance`. */
function worstExcess(atMs: readonly number[], lengthMs: number, allowance: (fromMs: number) => number): number {
    const countFrom = (fromMs: number) => atMs.filter(otherMs => otherMs >= fromMs && otherMs < fromMs + lengthMs).length;
    return Math.max(0, ...atMs.map(fromMs => countFrom(fromMs) - allowance(fromMs)));
}

describe("bounds that all entries share", () => {
    it("are split among the highest count of any control daemon recently plus an allowance", () => {
        let nowMs = 0;
        const count = createEntryCount(() => nowMs);
        expect(count.upperBound).to.equal(24);
        count.update("c1", 7);
        count.update("c2", 30);
        expect(count.upperBound).to.equal(32);
        nowMs = 50_000;
        count.update("c1", 8);
        nowMs = 61_000;
        expect(count.upperBound).to.equal(10);
    });

    // An entry that is cut off from every control daemon keeps serving. On a site of 60 entries, a share of a default count would let the
    // entries that are cut off together exceed the bound.
    it("are split among the last known count however long an entry is cut off", () => {
        let nowMs = 0;
        const count = createEntryCount(() => nowMs);
        count.update("c1", 58);
        count.update("c2", 60);
        nowMs = 600_000;
        expect(count.upperBound).to.equal(62);
        count.update("c1", 50);
        expect(count.upperBound).to.equal(52);
    });

    // Entries are partitioned from each other and from the control daemons. Each sees only its own callers and failures, and may be killed
    // once in each window. Whenever they retry, the service must get no more retries than the bound.
    it("hold for retries during partitions and restarts", () => {
        const event = fc.record({
            entry: fc.nat(59), stepMs: fc.nat(20), times: fc.integer({ min: 1, max: 12 }),
            kind: fc.constantFrom("ended", "again", "again", "killed"),
        });
        fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.array(event, { maxLength: 500 }), (entries, events) => {
            const [slack, ratio] = [162, 0.2];
            let nowMs = 0;
            const { maxTokens, initialTokens } = shareOfSlack(slack, entries);
            const createBudget = () => new RetryBudget(nowMs, { perSuccess: ratio * 0.85, perSecond: 0, maxTokens }, initialTokens);
            const budgets = Array.from({ length: entries }, createBudget);
            const killedAtMs = new Map<number, number>();
            const [requests, retries]: [number[], number[]] = [[], []];
            for (const { entry, stepMs, kind, times } of events) {
                nowMs += stepMs;
                const index = entry % entries;
                if (kind === "killed" && nowMs - (killedAtMs.get(index) ?? -windowMs) >= windowMs) {
                    budgets[index] = createBudget();
                    killedAtMs.set(index, nowMs);
                }
                for (let time = 0; time < times && kind !== "killed"; time++) {
                    if (kind === "ended") {
                        requests.push(nowMs);
                        budgets[index]!.recordSuccess(nowMs);
                    }
                    else if (budgets[index]!.tryRetry(nowMs) === undefined) {
                        retries.push(nowMs);
                    }
                }
            }
            const requestsIn = (fromMs: number) => requests.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
            expect(worstExcess(retries, windowMs, fromMs => slack + ratio * requestsIn(fromMs))).to.equal(0);
        }), { seed: 162, numRuns: 200 });
    });

    // The same for the rate of a cold upstream, on sites with any number of entries.
    it("hold for a cold upstream in any second", () => {
        const arrival = fc.record({ entry: fc.nat(59), stepMs: fc.nat(20) });
        fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.array(arrival, { maxLength: 600 }), (entries, arrivals) => {
            let nowMs = 0;
            const balancers = Array.from({ length: entries }, () =>
                createBalancer({ nowMs: () => nowMs, random: () => 0, entries: () => entries }));
            const cold = candidate("u1", { coldUntilMs: 1e9 });
            const sentAtMs: number[] = [];
            for (const { entry, stepMs } of arrivals) {
                nowMs += stepMs;
                const balancer = balancers[entry % entries]!;
                const options = { without: new Set<string>(), coldRequestsPerSecond: 38, dataCentre: "a", hasIdle: () => false };
                if (balancer.choose([cold], options) !== undefined) {
                    balancer.requestSent(cold.upstream, true);
                    sentAtMs.push(nowMs);
                }
            }
            // With more entries than requests a second, each sends at most one in its longer window; all of these may fall in one second.
            expect(worstExcess(sentAtMs, 1_000, () => Math.max(38, entries))).to.equal(0);
        }), { seed: 38, numRuns: 100 });
    });
});
