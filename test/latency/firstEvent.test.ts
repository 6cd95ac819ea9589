import { expect } from "chai";
import * as fc from "fast-check";
import {
    addDifference, addSpeedSample, createGroupSpeed, createModelCosts, emptyBacklog, isLearned, noDifferences, onTimeLimit,
    onTimeShare, passMs, predictFirstEventMs, speedFactor, unreadTokens, usualUnreadTokens,
} from "../../src/latency/index.js";
import {
    fullGroupMs, learnedDifferences, learnMeasured, learnMeasuredAt, measuredCosts, measuredEngine, measuredPart,
} from "./measured.js";

const terms = { latenessMs: 251, pauseMs: 200, networkMs: 0, factor: 1 };

describe("the predicted first event", () => {
    // A hand calculation for 30 requests: a pass takes 0.6 * 4 * (6.07 + 30 * 0.34) = 39.05 ms of steps, and 30 * 714 / 23 tokens are read
    // in it, which take 12.15 ms. First event = half a pass + the steps and the reading of 466 + 714 tokens + a pass.
    it("is the rest of a pass, the passes that read, and the one that writes", () => {
        expect(passMs(measuredCosts, 30)).to.be.closeTo(39.05 + 12.15, 0.1);
        const unread = usualUnreadTokens(measuredCosts, 30);
        expect(predictFirstEventMs(measuredCosts, 30, 714, unread)).to.be.closeTo(1.5 * 51.2 + 39.05 + 15.39, 0.1);
    });

    it("grows with each further pass that a long prompt takes, and with the time of a full group for each request without a slot", () => {
        const at = (requests: number, promptTokens: number) => predictFirstEventMs(measuredCosts, requests, promptTokens, 0);
        const stepsMs = 0.6 * 4 * (6.07 + 10 * 0.34);
        expect(at(10, 2_049) - at(10, 2_048)).to.be.closeTo(stepsMs, 0.1);
        expect(at(40, 714) - at(34, 714)).to.be.closeTo(6 * fullGroupMs, 1e-6);
    });

    it("adds the pairs of a prompt where the engine states their cost", () => {
        const costs = createModelCosts({ ...measuredEngine, millionPairsMs: 2 }, "lm", fullGroupMs)!;
        const added = predictFirstEventMs(costs, 10, 2_000, 0) - predictFirstEventMs(measuredCosts, 10, 2_000, 0);
        expect(added).to.be.closeTo(0.6 * 2 * 2, 1e-6);
    });

    it("does not exist without the figures", () => {
        const costsOf = (change: object) => createModelCosts({ ...measuredEngine, ...change }, "lm", fullGroupMs);
        expect([costsOf({ stepMs: 0 }), costsOf({ usualAnswerTokens: 0 }), costsOf({ usualPromptTokens: 0 }), costsOf({ models: [] })])
            .to.deep.equal([undefined, undefined, undefined, undefined]);
    });
});

describe("the on-time limit of a group", () => {
    // Load: a group that was filled beyond what it can serve on time. Its requests follow the limit, whose error is learned from the times
    // that were measured at that load. The measured share of late requests is 0.12 at 22 requests and 0.29 at 34.
    it("settles where at least 0.9 of the highest on-time throughput is measured", () => {
        let differences = learnMeasured(noDifferences, [34], 100);
        const limits: number[] = [];
        for (let round = 1; round <= 60; round++) {
            const limit = onTimeLimit(measuredCosts, { ...terms, differences });
            limits.push(limit);
            differences = learnMeasuredAt(differences, limit, 10, 10_000 + round * 1_000, round);
        }
        const settled = limits.slice(20).map(measuredPart);
        expect(settled.reduce((sum, part) => sum + part, 0) / settled.length).to.be.at.least(0.9);
    });

    it("falls with the speed factor, and where a pass takes longer than the route's pause", () => {
        const learned = { ...terms, differences: learnedDifferences };
        expect(measuredPart(onTimeLimit(measuredCosts, learned))).to.be.at.least(0.9);
        expect(onTimeLimit(measuredCosts, { ...learned, factor: 2 })).to.be.at.most(Math.ceil(onTimeLimit(measuredCosts, learned) / 2));
        const limit = onTimeLimit(measuredCosts, { ...learned, latenessMs: 5_000, pauseMs: 40 });
        expect([passMs(measuredCosts, limit) <= 40, passMs(measuredCosts, limit + 1) <= 40]).to.deep.equal([true, false]);
    });

    it("is the largest number at which most requests are on time, and the slots where most are late at any", () => {
        const times = fc.double({ min: 0, max: 5_000, noNaN: true });
        fc.assert(fc.property(times, times, fc.double({ min: 0.1, max: 10, noNaN: true }), (latenessMs, networkMs, factor) => {
            const learned = { latenessMs, pauseMs: undefined, networkMs, differences: learnedDifferences, factor };
            const limit = onTimeLimit(measuredCosts, learned);
            const isMostOnTime = Array.from({ length: 34 }, (_, index) => onTimeShare(measuredCosts, index + 1, learned) >= 0.5);
            expect(limit).to.equal(isMostOnTime.includes(true) ? isMostOnTime.lastIndexOf(true) + 1 : 34);
        }));
    });

    // Load: a model with long prompts, whose first events are late long before the slots are full.
    it("is below the slots where most requests at full slots are late", () => {
        expect(onTimeLimit(measuredCosts, { ...terms, latenessMs: 190, differences: learnedDifferences })).to.be.within(10, 25);
    });
});

describe("differences between observed and predicted times", () => {
    it("are usable from 20 on, and a single outlier hardly moves their quantiles", () => {
        let differences = noDifferences;
        for (let index = 0; index < 19; index++) {
            differences = addDifference(differences, 100 + index, 40, index);
        }
        expect(isLearned(differences)).to.equal(false);
        const after = addDifference(differences, 1e6, 40, 20);
        expect(isLearned(after)).to.equal(true);
        expect([after.medianMs - differences.medianMs, after.upperMs - differences.upperMs].every(ms => Math.abs(ms) <= 1)).to.equal(true);
        expect(addDifference(after, NaN, 40, 21)).to.deep.equal(after);
    });

    // Load: from full to idle. Quantiles of the full group would keep the limit low for as long as its differences count.
    it("forget an earlier load after ten seconds of observations", () => {
        const full = learnMeasured(noDifferences, [34], 100);
        const idle = learnMeasured(full, [2], 101, 10_000);
        expect(full.upperMs).to.be.above(idle.upperMs + 20);
        expect(idle).to.deep.include(learnMeasured(noDifferences, [2], 101, 10_000));
    });
});

describe("the speed factor of a group", () => {
    it("follows pauses at the load that they were observed at, and returns to 1 without observations", () => {
        let speed = createGroupSpeed(1, 1, 0);
        for (let atMs = 0; atMs < 4_000; atMs += 50) {
            speed = addSpeedSample(speed, { observedMs: 150, predictedMs: 50 }, atMs);
        }
        expect(speedFactor(speed, 4_000)).to.be.within(2.5, 3);
        expect(speedFactor(speed, 60_000)).to.be.closeTo(1, 0.01);
    });

    it("is hardly moved by one pause of seconds, and ignores samples without a prediction", () => {
        let speed = createGroupSpeed(1, 1, 0);
        for (let atMs = 0; atMs < 2_000; atMs += 50) {
            speed = addSpeedSample(speed, { observedMs: 50, predictedMs: 50 }, atMs);
        }
        expect(speedFactor(addSpeedSample(speed, { observedMs: 5_000, predictedMs: 50 }, 2_000), 2_000)).to.be.below(1.1);
        expect(addSpeedSample(speed, { observedMs: 50, predictedMs: 0 }, 2_000)).to.equal(speed);
    });
});

describe("the unread prompt tokens of a group", () => {
    // 2,048 tokens take a pass of 0.6 * 4 * (6.07 + 10 * 0.34) + 0.6 * 2,048 / 46 = 49.4 ms.
    it("are read by the piece of each pass, more slowly in a slow group", () => {
        const backlog = { tokens: 20_480, atMs: 0 };
        const left = (nowMs: number, factor = 1) => Math.round(unreadTokens(backlog, measuredCosts, 10, factor, nowMs) / 2_048 * 10) / 10;
        expect([left(0), left(49.4), left(247), left(600), left(247, 2)]).to.deep.equal([10, 9, 5, 0, 7.5]);
        expect(unreadTokens(emptyBacklog, measuredCosts, 10, 1, 100)).to.equal(0);
    });
});
