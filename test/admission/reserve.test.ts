import { expect } from "chai";
import { initialReserve, priorityClass, reservedFor, type ReserveEvent, reserveReducer, roomRates } from "../../src/admission/index.js";

const arrivedAt = (nowMs: number, priority: number): ReserveEvent => ({ kind: "arrived", nowMs, priority, work: 10 });
const sent = (priority: number): ReserveEvent => ({ kind: "sent", priority, isLate: false, work: 10 });

/** A reserve with 20 arrivals of a priority in the last second, each of which occupies its room for half a second. */
function busy(priority: number) {
    return Array.from({ length: 20 }, (_, index) => arrivedAt(index * 50, priority)).reduce(reserveReducer, initialReserve(500));
}

describe("reserve for more urgent requests", () => {
    // Without it, less urgent requests take the room that urgent ones need in the next moment.
    it("holds back what arrives until the next division from less urgent requests, and what is not occupied yet from late ones", () => {
        const state = busy(1);
        const reserved = [0, 1, 2, Infinity].map(priority => reservedFor(state, priority, 950));
        expect(reserved).to.deep.equal([0, 0, 3, 6]);
        const occupied = [sent(1), sent(1), sent(1)].reduce(reserveReducer, state);
        expect([reservedFor(occupied, 2, 950), reservedFor(occupied, Infinity, 950)]).to.deep.equal([3, 3]);
    });

    it("is released when they stay away", () => {
        expect(reservedFor(busy(0), 2, 4_000)).to.equal(0);
    });

    it("estimates the rate of room from what runs, and none while nothing runs", () => {
        expect(roomRates(busy(0), 950).freed).to.equal(undefined);
        const running = Array.from({ length: 10 }, () => sent(0)).reduce(reserveReducer, busy(0));
        expect(roomRates(running, 950).freed).to.be.closeTo(10 * 10 / 500, 1e-9);
        expect(roomRates(running, 950).arriving[0]).to.be.closeTo(0.13, 0.01);
    });

    it("counts priorities out of range as the nearest", () => {
        expect([-1, 0, 2.5, 12, NaN].map(priorityClass)).to.deep.equal([0, 0, 2, 9, 9]);
    });
});
