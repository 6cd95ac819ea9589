import { expect } from "chai";
import type { Configuration } from "../../src/cluster/index.js";
import { resolveClass } from "../../src/entry/caller.js";

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
