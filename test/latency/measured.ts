import {
    addDifference, createModelCosts, type Differences, type ModelCosts, noDifferences, passMs, predictFirstEventMs, usualUnreadTokens,
} from "../../src/latency/index.js";
import { type EngineSpec, siteServiceSchema } from "../../src/site/index.js";

/** An engine with a model that was measured under load: groups of 4 with 34 slots. */
export const measuredEngine: EngineSpec = siteServiceSchema.parse({
    name: "pool", maxConnections: 50, coldMs: 0, coldRequestsPerSecond: 0,
    engine: {
        slots: 34, stepMs: 6.07, stepPerRequestMs: 0.34, stepPerThousandTokensMs: 0, promptTokensPerSecond: 46_000, stepsPerPass: 4,
        promptTokensPerPass: 2_048, usualPromptTokens: 714, usualAnswerTokens: 92, loadsPerSecond: 3, loadsAtOnce: 6, formMs: 300,
        models: [{ name: "lm", size: 4, share: 1, pace: 0.6, loadMs: 12_000, warmMs: 1_100 }],
        delays: [{ from: "a", to: "b", delayMs: 5.4 }],
    },
}).engine!;

/** What a full group takes for a usual request: 0.6 * (714 / 46 + 92 * (6.07 + 34 * 0.34) / 34). */
export const fullGroupMs = 37.9;

export const measuredCosts: ModelCosts = createModelCosts(measuredEngine, "lm", fullGroupMs)!;

/** Measured times to the first event within the slots, by requests on arrival: the 0.1, 0.5 and 0.9 quantiles. */
const measuredFirstEvents = [
    { requests: 2, quantilesMs: [140, 159, 182] },
    { requests: 14, quantilesMs: [161, 182, 226] },
    { requests: 22, quantilesMs: [173, 196, 261] },
    { requests: 30, quantilesMs: [179, 213, 312] },
    { requests: 34, quantilesMs: [185, 220, 367] },
] as const;

/** Creates a reproducible generator of numbers that are uniform in [0, 1). */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/** Returns the quantiles at any load, linear between those of the table. */
function quantilesAt(requests: number): number[] {
    const after = Math.max(1, measuredFirstEvents.findIndex(row => row.requests >= requests));
    const [low, high] = [measuredFirstEvents[after - 1]!, measuredFirstEvents[after]!];
    const part = (requests - low.requests) / (high.requests - low.requests);
    return low.quantilesMs.map((ms, index) => ms + (high.quantilesMs[index]! - ms) * part);
}

/** Draws a time whose quantiles are the given ones, linear between them and from them to the ends. */
function draw([low = 0, middle = 0, high = 0]: readonly number[], random: number): number {
    return random < 0.5 ? middle + (low - middle) * (0.5 - random) / 0.4 : middle + (high - middle) * (random - 0.5) / 0.4;
}

/** Measured shares of first events after 251 ms, by requests on arrival. */
const measuredLateShares = [[0, 0], [14, 0.05], [22, 0.12], [28, 0.22], [34, 0.29]] as const;

/** The measured requests per ms that a group completes on time while it runs `requests`, up to a factor. */
function measuredOnTimeThroughput(requests: number): number {
    const after = measuredLateShares.findIndex(([count]) => count >= requests);
    const [low, high] = [measuredLateShares[after - 1]!, measuredLateShares[after]!];
    const lateShare = low[1] + (high[1] - low[1]) * (requests - low[0]) / (high[0] - low[0]);
    return requests / passMs(measuredCosts, requests) * (1 - lateShare);
}

/** The part of the highest measured on-time throughput within 251 ms that a group reaches with `requests`. */
export function measuredPart(requests: number): number {
    const throughputs = Array.from({ length: measuredEngine.slots }, (_, index) => measuredOnTimeThroughput(index + 1));
    return throughputs[requests - 1]! / Math.max(...throughputs);
}

/** Learns from `count` first events at a group with `requests` requests, 100 ms apart. */
export function learnMeasuredAt(start: Differences, requests: number, count: number, startMs: number, seed: number): Differences {
    const random = createRandom(seed);
    const predictedMs = predictFirstEventMs(measuredCosts, requests, 714, usualUnreadTokens(measuredCosts, requests));
    return Array.from({ length: count }).reduce<Differences>((differences, _, index) =>
        addDifference(
            differences, draw(quantilesAt(requests), random()) - predictedMs, passMs(measuredCosts, requests), startMs + index * 100,
        ), start);
}

/** Learns from `count` first events at groups with each of `loads` requests in turn. */
export function learnMeasured(start: Differences, loads: readonly number[], count: number, startMs = 0): Differences {
    return Array.from({ length: count }).reduce<Differences>((differences, _, index) =>
        learnMeasuredAt(differences, loads[index % loads.length]!, 1, startMs + index * 100, index * 7_919), start);
}

export const learnedDifferences = learnMeasured(noDifferences, [2, 14, 22, 30, 34], 100);
