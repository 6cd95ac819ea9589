import { expect } from "chai";
import { createDemand } from "../../src/siteControl/demand.js";
import { engine } from "../groups/builders.js";

describe("the demand by model", () => {
    // The first report after a start holds two requests, both for one model. Groups are divided by the demand: taken at its word, it
    // would have groups of the other model broken, which callers need a second later.
    it("goes by what is stated until enough has been observed", () => {
        const demand = createDemand();
        expect(demand.read(0, engine.models).get("big")).to.equal(0.5);
        demand.add({ small: 40 }, 1_000);
        expect(demand.read(1_250, engine.models).get("big")).to.be.greaterThan(0.45);
        for (let atMs = 1_250; atMs <= 31_000; atMs += 250) {
            demand.add({ small: 30, big: 10 }, atMs);
        }
        expect(demand.read(31_000, engine.models).get("big")).to.be.closeTo(0.25, 0.01);
    });

    it("goes by equal parts where a site states none", () => {
        const models = engine.models.map(model => ({ ...model, share: 0 }));
        expect([...createDemand().read(0, models).values()]).to.deep.equal([0.5, 0.5]);
    });
});
