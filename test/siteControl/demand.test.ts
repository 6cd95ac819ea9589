import { expect } from "chai";
import { createDemand } from "../../src/siteControl/demand.js";
import { engine } from "../groups/builders.js";

describe("the demand by model", () => {
    // The first report after a start holds two requests, both for one model. Groups are divided by the demand: taken at its word, it
    // would have groups of the other model broken, which callers need a second later.
    it("goes by what is stated until enough has been observed", () => {
        const demand = createDemand();
        expect(demand.read(0, engine.models, 30).get("big")).to.equal(9);
        demand.add({ small: 40 }, 1_000);
        expect(demand.read(1_250, engine.models, 30).get("big")).to.be.greaterThan(8);
        for (let atMs = 1_250; atMs <= 41_000; atMs += 250) {
            demand.add({ small: 3_000, big: 1_000 }, atMs);
        }
        expect(demand.read(41_000, engine.models, 30).get("big")).to.be.closeTo(4, 0.2);
        expect(demand.read(41_000, engine.models, 30).get("small")).to.be.closeTo(12, 0.5);
    });

    it("goes by equal parts where a site states none", () => {
        const models = engine.models.map(model => ({ ...model, share: 0 }));
        expect([...createDemand().read(0, models, 30).values()]).to.deep.equal([9, 9]);
    });
});
