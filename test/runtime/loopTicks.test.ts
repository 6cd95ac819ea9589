import { expect } from "chai";
import { createLoopTicks } from "../../src/runtime/index.js";

describe("the earliest time of a signal", () => {
    // After a pause timers run before signal handlers. A shutdown that counts from the last tick would outlast the platform's kill.
    it("is before a pause that has just ended", () => {
        let nowMs = 0;
        const ticks = createLoopTicks(() => nowMs);
        for (nowMs of [50, 100, 2_100]) {
            ticks.tick();
        }
        expect(ticks.earliestSignalMs).to.equal(100);
    });
});
