import { expect } from "chai";
import * as fc from "fast-check";
import { siteDialect } from "../../platform/siteWire.js";
import { estimateWork } from "../../src/gateway/work.js";
import { createModelCosts, onTimeLimit, predictFirstEventMs, usualUnreadTokens } from "../../src/latency/index.js";
import { maxDurationMs, type Site } from "../../src/site/index.js";
import { configurationText } from "../../standin/platform/index.js";

const base = JSON.parse(configurationText(3)) as { services: { engine?: { models: object[] } }[]; routes: object[] };
const integers = [1, 7, 2 ** 31, 2 ** 32 + 1, 1e12, Number.MAX_SAFE_INTEGER];
const anyInteger = fc.constantFrom(...integers);
const anyNumber = fc.constantFrom(Number.MIN_VALUE, 1e-300, 0.5, ...integers, 1e300, Number.MAX_VALUE);
const numbers = (value: fc.Arbitrary<number>, ...names: string[]) => Object.fromEntries(names.map(name => [name, value]));
const anyOf = (model: Record<string, fc.Arbitrary<number>>) => fc.record(model, { requiredKeys: [] });

/** Configurations in which any of the numbers is extreme. */
const anySite = fc.record({
    route: anyOf({ ...numbers(anyNumber, "timeoutMs", "targetLatencyMs", "targetGapMs"), ...numbers(anyInteger, "priority", "maxAttempts") }),
    limits: anyOf({ ...numbers(anyInteger, "maxHeaderBytes", "maxBodyBytes"), ...numbers(anyNumber, "headerTimeoutMs", "idleTimeoutMs") }),
    service: anyOf({ ...numbers(anyInteger, "maxConns"), ...numbers(anyNumber, "coldStartS", "coldPerS") }),
    engine: anyOf({
        ...numbers(anyInteger, "slots", "stride", "chunk", "loads_at_once"),
        ...numbers(anyNumber, "step_ms", "per_seq_ms", "context_per_k", "read_per_s", "pairs_per_m", "loadsPerS", "formMs"),
    }),
    usual: anyOf(numbers(anyNumber, "prompt", "answer")),
    model: anyOf({ ...numbers(anyInteger, "size"), ...numbers(anyNumber, "share", "pace", "loadS", "warmS") }),
    delay_ms: anyNumber,
    weights: fc.array(anyNumber, { minLength: 1, maxLength: 3 }),
}).map(({ route, limits, service, engine, usual, model, delay_ms, weights }) => JSON.stringify({
    ...base, limits,
    routes: base.routes.map(each => ({ ...each, ...route, backends: weights.map(weight => ({ service: "pool", weight })) })),
    services: base.services.map(each => each.engine === undefined
        ? each
        : {
                ...each, ...service, engine: {
                    ...each.engine, ...engine, models: [{ ...each.engine.models[0], ...model }],
                    usual: { prompt: 50, answer: 30, ...usual },
                    delays: [{ from: "a", targetVersion: "b", delay_ms }],
                },
            }),
}));

/** Returns the numbers derived from a site that aren't finite, by name. */
function infiniteNumbers({ routes, services }: Site): string[] {
    const engine = services.find(service => service.engine !== undefined)!.engine!;
    const model = engine.models[0]!;
    const work = estimateWork(engine, model.name, engine.usualPromptTokens, engine.usualAnswerTokens);
    const costs = createModelCosts(engine, model.name, work.groupMs);
    const differences = { latest: [], sortedDeviations: [0], medianMs: 0, upperMs: 0 };
    const derived = {
        weights: routes[0]!.targets.reduce((sum, { weight }) => sum + weight, 0), ...work,
        firstEventMs: costs === undefined ? 0 : predictFirstEventMs(costs, engine.slots, 1e6, usualUnreadTokens(costs, engine.slots)),
        limit: costs === undefined ? 0 : onTimeLimit(costs, { latenessMs: 400, pauseMs: undefined, networkMs: 1, differences, factor: 1 }),
    };
    return Object.entries(derived).filter(([, number]) => !Number.isFinite(number)).map(([name]) => name);
}

describe("the numbers of a site", () => {
    // Guards against a configuration whose numbers make estimates infinite, keep a daemon busy for seconds or end time-outs at once.
    it("are brought into a range that can be computed with", () => {
        fc.assert(fc.property(anySite, text => {
            const site = siteDialect.decodeSite(text).site!;
            const engine = site.services.find(service => service.engine !== undefined)!.engine!;
            const counts = [engine.slots, engine.loadsAtOnce, engine.stepsPerPass, ...engine.models.map(({ size }) => size)];
            const { routes: [route], limits } = site;
            const durations = [route!.timeoutMs, route!.patienceMs, limits.headerTimeoutMs, limits.idleTimeoutMs, engine.models[0]!.loadMs];
            expect(Math.max(...counts)).to.be.at.most(16_384);
            expect(Math.max(...durations)).to.be.at.most(maxDurationMs);
            expect([limits.headerTimeoutMs % 1, limits.maxBodyBytes <= 2 ** 30]).to.deep.equal([0, true]);
            expect(infiniteNumbers(site)).to.deep.equal([]);
        }), { seed: 41, numRuns: 200 });
    });
});
