import { expect } from "chai";
import { arrivals, type Call, type CallResult, onTimeShare, runCalls } from "../support/admissionModel.js";

/** Two groups that together serve 40 requests a second. */
const model = { groups: 2, slots: 10, serviceMs: 500, firstMs: 100 };
const capacityPerSecond = 40;
const urgent = { organisation: "a", priority: 0, latenessMs: 250 };
const tolerant = { organisation: "a", priority: 2, latenessMs: 1_000 };
const seeds = [11, 12, 13];

describe("admission under load", () => {
    // A burst of requests that tolerate a second fills all groups. Sent at once, the urgent requests after it wait behind it and are late.
    it("keeps urgent requests on time behind a burst of tolerant ones", () => {
        for (const seed of seeds) {
            const calls = [...arrivals(seed, 300, 1_000, 1_700, tolerant), ...arrivals(seed + 50, 20, 0, 5_000, urgent)];
            const [admitted, atOnce] = (["admission", "at-once"] as const).map(mode => runCalls(calls, { ...model, seed, mode }).results);
            const share = (results: readonly CallResult[]) => onTimeShare(results.filter(({ call }) => call.priority === 0));
            expect(share(admitted!), `seed ${seed}`).to.be.at.least(0.9);
            expect(share(atOnce!), `seed ${seed}`).to.be.below(0.7);
        }
    });

    // A load of twice the capacity for four seconds. Sent at once, the requests wait at the groups and nearly all are late.
    it("serves at double load at least 0.9 of the requests on time that any schedule could", () => {
        for (const seed of seeds) {
            const calls = arrivals(seed, 2 * capacityPerSecond, 0, 4_000, urgent);
            const [admitted, atOnce] = (["admission", "at-once"] as const).map(mode => runCalls(calls, { ...model, seed, mode }).results);
            // All slots are taken at the start and all the time until the last request is late.
            const best = model.groups * model.slots + capacityPerSecond * (4 + 0.15);
            const onTime = (results: readonly CallResult[]) => results.filter(({ isOnTime }) => isOnTime).length;
            expect(onTime(admitted!) / best, `seed ${seed}`).to.be.at.least(0.9);
            expect(onTime(atOnce!) / best, `seed ${seed}`).to.be.below(0.5);
        }
    });

    // One organisation asks for ten times its share and the others for 0.6 of theirs. In one queue without organisations, all of them
    // suffer alike.
    it("gives the other organisations what they ask for while one asks for ten times its share", () => {
        for (const seed of seeds) {
            const share = capacityPerSecond / 5;
            const others = ["b", "c", "d", "e"].flatMap((organisation, index) =>
                arrivals(seed + index, share * 0.6, 0, 6_000, { ...urgent, organisation }));
            const calls = [...arrivals(seed + 9, share * 10, 0, 6_000, urgent), ...others];
            const { results } = runCalls(calls, { ...model, seed, mode: "admission" });
            const merged = calls.map(call => ({ ...call, organisation: "all" }));
            const { results: withoutShares } = runCalls(merged, { ...model, seed, mode: "admission" });
            const ofOthers = (all: readonly CallResult[]) => onTimeShare(all.filter((_, index) => calls[index]!.organisation !== "a"));
            expect(ofOthers(results), `seed ${seed}`).to.be.at.least(0.8);
            expect(ofOthers(withoutShares), `seed ${seed}`).to.be.below(0.7);
        }
    });

    // Callers of one organisation return at once after each refusal, up to eight times, so that it asks for many times the capacity.
    it("lets callers that return at once harm only their own organisation", () => {
        for (const seed of seeds) {
            const patient = arrivals(seed, 16, 0, 6_000, { ...urgent, organisation: "b" });
            const impatient = (times: number): Call[] =>
                arrivals(seed + 1, 60, 0, 6_000, { ...urgent, returns: { times, atOnce: true } });
            const run = (times: number, isSeparate = true) => {
                const calls = [...patient, ...impatient(times)].map(call => isSeparate ? call : { ...call, organisation: "all" });
                return onTimeShare(runCalls(calls, { ...model, seed, mode: "admission" }).results.slice(0, patient.length));
            };
            expect(run(8), `seed ${seed}`).to.be.at.least(0.8);
            expect(run(8), `seed ${seed}`).to.be.at.least(run(0) - 0.05);
            expect(run(8, false), `seed ${seed}`).to.be.below(0.7);
        }
    });

    // A refused caller comes back once, after a burst of twice the capacity. If it came back at once, or at a time at which there is still
    // no room, it would be refused again.
    it("tells refused callers a time, within a third of what they have left, after which most are served", () => {
        for (const seed of seeds) {
            const returned = (atOnce: boolean) => runCalls([
                ...arrivals(seed, 2 * capacityPerSecond, 0, 600, { ...urgent, returns: { times: 1, atOnce } }),
                ...arrivals(seed + 1, 10, 600, 3_000, urgent),
            ], { ...model, seed, mode: "admission" }).results.filter(({ refusals }) => refusals > 0);
            expect(returned(false).length, `seed ${seed}`).to.be.above(5);
            expect(onTimeShare(returned(false)), `seed ${seed}`).to.be.at.least(0.5);
            expect(onTimeShare(returned(true)), `seed ${seed}`).to.be.below(0.4);
        }
    });
});
