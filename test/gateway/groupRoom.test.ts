import { expect } from "chai";
import type { ChooseOptions } from "../../src/gateway/balancer.js";
import { chooseByFirstEvent, type ScoredCandidate } from "../../src/gateway/scoredChoice.js";
import { queueLimitsFor } from "../../src/gateway/work.js";
import { createOverloadCheck } from "../../src/site/index.js";
import { learnedDifferences, measuredEngine, measuredPart } from "../latency/measured.js";
import { chooseOptions, createEntry, groupHead, type ModelEntry, runGroups, streamRequest } from "./groupModel.js";

/** Gives the entry what was learned from the measured first events. */
function learn({ tracker }: ModelEntry, request = streamRequest()) {
    tracker.model(request.table.service("pool")!, "lm")!.learned.differences = learnedDifferences;
}

/** Counts how often each of the heads is chosen in 1,000 choices. */
function countChoices(entry: ModelEntry, heads: ReturnType<typeof groupHead>[], change: Partial<ChooseOptions> = {}): number[] {
    const request = streamRequest();
    const options = { ...chooseOptions, ...change };
    const counts = heads.map(() => 0);
    for (let index = 0; index < 1_000; index++) {
        counts[heads.indexOf(entry.balancer.choose(heads, { ...options, scoring: entry.room.scoringFor("pool", request) })!)]!++;
    }
    return counts;
}

/** Returns evenly spread numbers in [0, 1). */
function createSpread(): () => number {
    let index = 0;
    return () => index++ * 0.618_034 % 1;
}

describe("the room at a group", () => {
    // Load: a group that fills up with requests of this entry and of others. Its limit was 36 for a target of 251 ms, where half of the
    // first events were late.
    it("shrinks as the group fills up, and ends where requests are no longer on time", () => {
        let others = 0;
        const entry = createEntry({ nowMs: () => 0, othersAt: () => others });
        const head = groupHead("g0");
        learn(entry);
        entry.balancer.requestSent(head.upstream, false);
        const rooms = [0, 10, 20, 30].map(count => {
            others = count;
            return entry.room.at(head, streamRequest())!;
        });
        expect(measuredPart(rooms[0]!.limit)).to.be.at.least(0.9);
        expect(rooms.map(({ running }) => running)).to.deep.equal([1, 11, 21, 31]);
        others = 36;
        const allowances = [...rooms, entry.room.at(head, streamRequest())!].map(({ allowance }) => Math.sign(allowance));
        expect(allowances).to.deep.equal([1, 1, 1, 1, -1]);
        // The measured medians at these numbers of requests.
        [158, 177, 195, 215].forEach((measuredMs, index) => expect(rooms[index]!.firstEventMs).to.be.closeTo(measuredMs, 20));
    });

    it("has the fixed bound until 20 first events of the model have been observed", () => {
        const entry = createEntry({ nowMs: () => 0 });
        const request = streamRequest();
        expect(entry.room.at(groupHead("g0"), request)!.limit).to.equal(queueLimitsFor(groupHead("g0"), request).onTime);
        expect(entry.room.at(groupHead("g0"), request)!.limit).to.be.above(34);
    });

    // Load: constant, at a group whose passes take three times as long. It can serve fewer requests on time.
    it("has a lower limit at a slow group", () => {
        let nowMs = 0;
        const entry = createEntry({ nowMs: () => nowMs, othersAt: () => 10 });
        const heads = [groupHead("usual"), groupHead("slow")];
        learn(entry);
        const observation = entry.tracker.requestSent(heads[1]!.upstream, streamRequest(), false);
        for (let index = 0; index < 40; index++) {
            nowMs += 80;
            observation!.eventsReceived(1, false);
        }
        const [usual, slow] = heads.map(head => entry.room.at(head, streamRequest())!.limit);
        expect(measuredPart(usual!)).to.be.at.least(0.9);
        expect(slow).to.be.below(10);
    });

    it("counts own requests alone at a group whose load is unknown", () => {
        const entry = createEntry({ nowMs: () => 0 });
        const head = groupHead("g0");
        entry.balancer.requestSent(head.upstream, false);
        expect(entry.room.at(head, streamRequest())!.running).to.equal(1);
    });

    // A site that states no costs is served as before, by fixed bounds and the choice by load.
    it("is unknown if the site lacks the figures, which is logged once", () => {
        const entry = createEntry({ nowMs: () => 0 });
        const request = streamRequest({ ...measuredEngine, stepMs: 0 });
        expect([1, 2].map(() => [entry.room.at(groupHead("g0"), request), entry.room.scoringFor("pool", request)]))
            .to.deep.equal([[undefined, undefined], [undefined, undefined]]);
        expect(entry.tracker.requestSent(groupHead("g0").upstream, request, false)).to.equal(undefined);
        expect(entry.logged.map(({ message }) => message)).to.deep.equal(["the site lacks figures to predict first events"]);
        expect(entry.room.scoringFor("pool", { ...streamRequest(), model: "none" })).to.equal(undefined);
    });

    it("is predicted only for services for which overload control is active", () => {
        const distant = streamRequest();
        const near = streamRequest({ ...measuredEngine, delays: [] });
        const active = (mode: "auto" | "on" | "off") => [distant, near].map(request => createOverloadCheck(mode)("pool", request.table.site));
        expect([active("auto"), active("on"), active("off")]).to.deep.equal([[true, false], [true, true], [false, false]]);
        expect(createOverloadCheck("on")("orders", near.table.site)).to.equal(false);
    });
});

describe("choosing a group by its predicted first event", () => {
    // Load: 40 to 55 requests a second at four groups, one of which takes three times as long for each pass. By load, the slow group gets
    // a tenth of the requests, and all of them are late. Fails with the scoring switched off, since both runs are equal then.
    [{ seed: 1, perSecond: 40 }, { seed: 2, perSecond: 40 }, { seed: 3, perSecond: 55 }, { seed: 4, perSecond: 55 }].forEach(load =>
        it(`avoids one group in four that is three times as slow (${load.perSecond} a second, seed ${load.seed})`, () => {
            const byLoad = runGroups({ ...load, slowFactor: 3, isScored: false });
            const scored = runGroups({ ...load, slowFactor: 3, isScored: true });
            expect(byLoad.late).to.be.above(0.08);
            expect(scored.late).to.be.below(byLoad.late / 2);
            expect(scored.atFirst).to.be.below(0.03);
        }));

    // Load: the same groups, all equally fast. A choice by wrong speed factors would favour some of them.
    it("spreads requests evenly over groups that are equally fast", () => {
        const { late, atFirst } = runGroups({ seed: 1, perSecond: 55, slowFactor: 1, isScored: true });
        expect(atFirst).to.be.within(0.22, 0.28);
        expect(late).to.be.at.most(runGroups({ seed: 1, perSecond: 55, slowFactor: 1, isScored: false }).late);
    });

    // Load: equal in two data centres that are 5.4 ms apart, then eight requests more in the near one. Data centres counted as half
    // a request apart, however long the way is.
    it("prefers the near data centre while loads are equal, and the far one once the near one is fuller by more than the way", () => {
        let atNear = 15;
        const entry = createEntry({ nowMs: () => 0, random: createSpread(), othersAt: id => id === "near" ? atNear : 15 });
        learn(entry);
        const heads = [groupHead("near"), groupHead("far", { dataCentre: "b" })];
        const [near, far] = countChoices(entry, heads);
        expect(near).to.be.above(2.4 * far!);
        expect(far).to.be.above(100);
        atNear = 23;
        const [fullNear, freeFar] = countChoices(entry, heads);
        expect(freeFar).to.be.above(1.5 * fullNear!);
    });

    // A connection to a far group costs a further round trip.
    it("counts the round trip of a connection that has to be opened", () => {
        const entry = createEntry({ nowMs: () => 0, random: createSpread(), othersAt: () => 15 });
        learn(entry);
        const heads = [groupHead("closed", { dataCentre: "b" }), groupHead("connected", { dataCentre: "b" })];
        const [closed, connected] = countChoices(entry, heads, { hasIdle: ({ id }) => id === "connected" });
        expect(connected).to.be.above(1.5 * closed!);
    });

    // Load: ten prompts of 6,000 tokens sent to one of two groups with the same number of requests. The group reads them for a second;
    // by the number of requests alone, half of the next streams would wait there.
    it("avoids a group until it has read a burst of long prompts", () => {
        let nowMs = 0;
        const entry = createEntry({ nowMs: () => nowMs, random: createSpread(), othersAt: () => 5 });
        learn(entry);
        const heads = [groupHead("long"), groupHead("short")];
        heads.forEach(({ upstream }, index) => Array.from({ length: 10 }).forEach(() => {
            entry.tracker.requestSent(upstream, streamRequest(measuredEngine, index === 0 ? 6_000 : 100), false);
            entry.balancer.requestSent(upstream, false);
        }));
        expect(countChoices(entry, heads)).to.deep.equal([0, 1_000]);
        nowMs = 3_000;
        expect(countChoices(entry, heads)[0]).to.be.within(450, 550);
    });

    // An absurd length that a caller states for its prompt must not keep others from the group for minutes.
    it("limits the effect of an absurd prompt length", () => {
        let nowMs = 0;
        const entry = createEntry({ nowMs: () => nowMs, random: createSpread(), othersAt: () => 5 });
        learn(entry);
        const heads = [groupHead("g0"), groupHead("g1")];
        entry.tracker.requestSent(heads[0]!.upstream, streamRequest(measuredEngine, 999_999_999_999), false);
        nowMs = 5_000;
        expect(countChoices(entry, heads)[0]).to.be.within(450, 550);
    });

    it("counts failures, stalls and silence as the choice by load does", () => {
        let nowMs = 1_000;
        const entry = createEntry({ nowMs: () => nowMs, random: createSpread(), othersAt: () => 5 });
        learn(entry);
        const heads = [groupHead("g0"), groupHead("g1")];
        entry.balancer.requestFailed(heads[0]!.upstream);
        expect(countChoices(entry, heads)).to.deep.equal([0, 1_000]);
        // The backoff is over, and the failure counts as some five requests more.
        nowMs = 2_000;
        expect(countChoices(entry, heads)[0]).to.be.within(200, 400);
        expect(countChoices(entry, [{ ...heads[1]!, isReportedSilent: true }, groupHead("g2")])).to.deep.equal([0, 1_000]);
    });

    // Guards against all entries with the same view choosing the same group.
    it("spreads requests over groups within the error of the prediction by their allowance, and avoids those without allowance", () => {
        const scored = (id: string, firstEventMs: number, allowance: number, isAvoided = false): ScoredCandidate =>
            ({ candidate: groupHead(id), firstEventMs, allowance, isAvoided });
        const spread = createSpread();
        const shares = (items: ScoredCandidate[]) => {
            const counts: Record<string, number> = {};
            for (let index = 0; index < 1_000; index++) {
                const { id } = chooseByFirstEvent(items, 30, spread())!.upstream;
                counts[id] = Math.round(((counts[id] ?? 0) + 0.001) * 1_000) / 1_000;
            }
            return Object.fromEntries(Object.entries(counts).sort().map(([id, share]) => [id, Math.round(share * 10) / 10]));
        };
        expect(shares([scored("a", 200, 9), scored("b", 200, 3), scored("c", 231, 20)])).to.deep.equal({ a: 0.8, b: 0.3 });
        expect(shares([scored("a", 190, 0), scored("b", 200, 3), scored("c", 100, 9, true)])).to.deep.equal({ b: 1, a: 0 });
        expect(shares([scored("a", 150, 0), scored("b", 200, 3)])).to.deep.equal({ a: 1 });
        expect(shares([scored("a", 150, -5), scored("b", 200, -1)])).to.deep.equal({ a: 1 });
        expect(shares([scored("a", 150, 5, true)])).to.deep.equal({ a: 1 });
        expect(chooseByFirstEvent([], 30, 0)).to.equal(undefined);
    });
});
