import { expect } from "chai";
import { createLoopTurns } from "../../src/gateway/loopTurns.js";

describe("the time of a signal", () => {
    // After a pause timers run before signals are heard: counted from the last turn, a stop would outlast the platform's kill.
    it("is taken to be before a pause that ended just now", () => {
        let nowMs = 0;
        const turns = createLoopTurns(() => nowMs);
        for (nowMs of [50, 100, 2_100]) {
            turns.turned();
        }
        expect(turns.signalledAfterMs).to.equal(100);
    });
});
