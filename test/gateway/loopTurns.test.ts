import { expect } from "chai";
import { createLoopTurns } from "../../src/gateway/loopTurns.js";

describe("the time of a signal", () => {
    // The process stood still while SIGTERM came. Its timers run before it hears the signal, so the last turn is later than the signal; a
    // stop that counted from there would take requests that the platform's kill cuts off.
    it("is taken to be before a pause that ended just now", () => {
        let nowMs = 0;
        const turns = createLoopTurns(() => nowMs);
        for (nowMs of [50, 100, 2_100]) {
            turns.turned();
        }
        expect(turns.signalledAfterMs).to.equal(100);
    });
});
