import { expect } from "chai";
import * as fc from "fast-check";
import { retryAfterMs } from "../../src/gateway/retryAfter.js";

describe("the Retry-After of a refusal", () => {
    // Guards against sending callers back while every upstream still wants no requests.
    it("is never before the first upstream accepts requests again", () => {
        const options = fc.record({
            leftMs: fc.integer({ min: 0, max: 60_000 }), acceptedInMs: fc.integer({ min: 0, max: 60_000 }),
            random: fc.double({ min: 0, max: 0.999, noNaN: true }),
        });
        fc.assert(fc.property(options, ({ leftMs, acceptedInMs, random }) =>
            retryAfterMs({ leftMs, acceptedInMs, random }) >= acceptedInMs), { seed: 430 });
    });

    it("spreads callers over a part of the time that they have left", () => {
        const delays = [0, 0.5, 0.999].map(random => Math.round(retryAfterMs({ leftMs: 6_000, acceptedInMs: 0, random })));
        const afterPushback = [0, 0.5, 0.999].map(random => Math.round(retryAfterMs({ leftMs: 6_000, acceptedInMs: 2_500, random })));
        expect([delays, afterPushback]).to.deep.equal([[600, 1_200, 1_799], [2_500, 3_100, 3_699]]);
    });
});
