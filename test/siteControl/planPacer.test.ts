import { expect } from "chai";
import { createPlanPacer } from "../../src/siteControl/planPacer.js";

describe("plan pacer", () => {
    // Guards against a leader that loses its lease because each change in a large site triggers a planning step.
    it("limits planning to a fifth of the time however often it is triggered", () => {
        const state = { nowMs: 0, plannedMs: 0 };
        const pacer = createPlanPacer(() => state.nowMs);
        while (state.nowMs < 10_000) {
            pacer.runIfDue(() => {
                state.nowMs += 12;
                state.plannedMs += 12;
            });
            state.nowMs += 1;
        }
        expect(state.plannedMs).to.be.within(1_800, 2_040);
    });

    it("runs a step at once when the delay after the previous step has passed", () => {
        const state = { nowMs: 0, steps: 0 };
        const pacer = createPlanPacer(() => state.nowMs);
        const step = () => {
            state.steps++;
            state.nowMs += 10;
        };
        pacer.runIfDue(step);
        expect(pacer.waitMs).to.equal(40);
        state.nowMs += 40;
        expect(pacer.waitMs).to.equal(0);
        pacer.runIfDue(step);
        expect(state.steps).to.equal(2);
    });
});
