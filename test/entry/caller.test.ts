import { expect } from "chai";
import type { Configuration } from "../../src/cluster/index.js";
import { resolveClass } from "../../src/entry/caller.js";
import { parseCompletion } from "../../src/entry/completion.js";
import { ProblemError } from "../../src/entry/problem.js";

describe("the body of a completion", () => {
    // Guards against an answer of megabytes to a body with the same mistake in each of its messages.
    it("is refused with the first findings only", () => {
        const body = { model: "m", messages: Array.from({ length: 10_000 }, () => ({})) };
        expect(() => parseCompletion(body, true)).to.throw(ProblemError).with.nested.property("problem.detail.length").below(4_000);
    });
});

describe("the service class of a request", () => {
    // Guards against a class whose requests end at once, because a timer doesn't bear the time until their deadline.
    it("has times that timers bear", () => {
        const service = { name: "s", kind: "plain", replicaVms: 1, sparesPerDomain: 0, capacity: 1, coldCapacity: 1 } as const;
        const serviceClass = { name: "c", service: "s", latenessMs: 2 ** 40, deadlineMs: Number.MAX_SAFE_INTEGER, deliveryShare: 1 };
        const configuration: Configuration = { classes: [serviceClass], services: [service], organisations: [], dataCentres: [] };
        const resolved = resolveClass(configuration, "c", () => true).serviceClass;
        expect(resolved).to.deep.equal({ ...serviceClass, latenessMs: 2 ** 30, deadlineMs: 2 ** 30 });
    });
});
