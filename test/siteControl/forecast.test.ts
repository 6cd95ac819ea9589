import { PassThrough } from "node:stream";
import { expect } from "chai";
import { createDemandForecaster } from "../../src/siteControl/demand.js";
import { createPlannedDemand } from "../../src/siteControl/plannedDemand.js";
import { createLogger } from "../../src/telemetry/index.js";
import { engine } from "../groups/builders.js";

const reportMs = 250;

/** Returns a seeded source of numbers between 0 and 1 (a linear congruential generator). */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => (state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32) / 2 ** 32;
}

/** A wave with a period of 17 s and a swing of 55 %. */
const wave = (atMs: number) => 30 * (1 + 0.55 * Math.sin(2 * Math.PI * atMs / 17_000));
/** Constant demand that rises by a half within 4 s, once a minute. */
const step = (atMs: number) => 20 + 10 * Math.min(1, Math.max(0, (atMs % 60_000 - 30_000) / 4_000));

/**
 * Reports the work of requests of 300 ms that arrive at random, as many as keep `vmsAt` VMs busy, and returns the root mean square errors
 * of what is planned for and of the average, for the demand after `horizonMs`, from 40 s on.
 */
function measureErrors(vmsAt: (atMs: number) => number, horizonMs: number, seed: number) {
    const random = createRandom(seed);
    const forecaster = createDemandForecaster();
    let [planned, average, uses, count] = [0, 0, 0, 0];
    for (let atMs = 0; atMs < 120_000; atMs += reportMs) {
        const expected = vmsAt(atMs) * reportMs / 300;
        // A sum of twelve uniform numbers is close to a normal one; its variance is that of a Poisson count.
        const normal = Array.from({ length: 12 }, random).reduce((sum, value) => sum + value, -6);
        forecaster.addWork({ big: Math.max(0, expected + Math.sqrt(expected) * normal) * 300 }, atMs);
        const forecast = forecaster.forecastVms(atMs, horizonMs).get("big")!;
        if (atMs >= 40_000) {
            const actual = vmsAt(atMs + horizonMs);
            planned += (forecast.vms - actual) ** 2;
            average += (forecast.averageVms - actual) ** 2;
            uses += Number(forecast.isUsed);
            count++;
        }
    }
    return { planned: Math.sqrt(planned / count), average: Math.sqrt(average / count), uses: uses / count };
}

describe("forecast of demand", () => {
    // Demand that swings by 55 % within 17 s: groups formed for the average of the last seconds serve when the peak is over.
    for (const horizonMs of [200, 1_600, 16_000]) {
        it(`is closer than the average to a wave, ${horizonMs} ms ahead`, () => {
            for (let seed = 1; seed <= 5; seed++) {
                const { planned, average } = measureErrors(wave, horizonMs, seed);
                expect(planned).to.be.lessThan(0.6 * average);
            }
        });
    }

    // Noise without a pattern: an extrapolated trend would end groups for nothing.
    it("gives way to the average where there is no pattern", () => {
        for (let seed = 1; seed <= 5; seed++) {
            const { planned, average, uses } = measureErrors(() => 30, 16_000, seed);
            expect(planned).to.be.at.most(average);
            expect(uses).to.equal(0);
        }
    });

    // A rise that comes once has no pattern; the forecast must not make it worse than the average does.
    it("is about as close as the average to demand that rises once a minute", () => {
        const errors = [1, 2, 3, 4, 5].map(seed => measureErrors(step, 1_600, seed));
        const total = (key: "planned" | "average") => errors.reduce((sum, error) => sum + error[key], 0);
        expect(total("planned")).to.be.lessThan(1.05 * total("average"));
    });

    // A leader that led before gets reports again after a pause, and knows nothing of the demand in between.
    it("starts over after a gap in the reports", () => {
        const forecaster = createDemandForecaster();
        for (let atMs = 0; atMs < 30_000; atMs += reportMs) {
            forecaster.addWork({ big: wave(atMs) * reportMs }, atMs);
        }
        expect(forecaster.forecastVms(30_000, 1_600).get("big")!.isUsed).to.equal(true);
        expect(forecaster.forecastVms(60_000, 1_600).get("big")!.isUsed).to.equal(false);
    });
});

describe("planned demand", () => {
    function createObserved() {
        const output = new PassThrough();
        const state = { nowMs: 0 };
        const demand = createPlannedDemand(() => state.nowMs, createLogger("info", "test", output));
        const lines = () => String(output.read() ?? "").split("\n").filter(line => line !== "").map(line => JSON.parse(line) as { message: string });
        return { state, demand, lines };
    }

    // A faulty report must cost a log line, not the plan: NaN would stay in the average for good.
    it("ignores negative, absurd and undefined work with one log line", () => {
        const { state, demand, lines } = createObserved();
        for (const work of [-1, Number.NaN, Number.POSITIVE_INFINITY, 1e9]) {
            demand.addWork({ big: work, small: 0 }, 30);
            state.nowMs += 100;
        }
        const averages = demand.averageVms(engine.models, 30);
        expect([...averages.values()].every(vms => vms > 7 && vms < 10)).to.equal(true);
        expect(lines().map(({ message }) => message)).to.deep.equal(["implausible work in a report is ignored"]);
    });

    // Without the line, operators could not tell why VMs move while the average stands still.
    it("logs a forecast that differs from the average at most once a second", () => {
        const { state, demand, lines } = createObserved();
        for (; state.nowMs < 60_000; state.nowMs += reportMs) {
            demand.addWork({ big: wave(state.nowMs) * reportMs }, 81);
            demand.forecastVms(1_600, demand.averageVms(engine.models, 81));
        }
        const forecastLines = lines().filter(({ message }) => message === "demand is planned by forecast");
        expect(forecastLines.length).to.be.within(20, 60);
    });

    it("is the average while no forecast has been more accurate", () => {
        const { demand } = createObserved();
        demand.addWork({ big: 3_000 }, 30);
        const averages = demand.averageVms(engine.models, 30);
        expect(demand.forecastVms(1_600, averages)).to.deep.equal(averages);
    });
});
