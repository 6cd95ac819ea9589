import { expect } from "chai";
import { type Room, workOf } from "../../src/gateway/work.js";
import { engine } from "../groups/builders.js";

/**
 * A group of 24 places that finishes a request each 50 ms, asked for half as much again. Requests wait in order; a first event is on time
 * within 300 ms. Gives the parts of all requests that are on time and that are served at all.
 */
function overload(mostWaiting: number): { onTime: number; served: number } {
    const [perRequestMs, betweenMs, count] = [50, 33, 2_000];
    let freeAtMs = 0;
    let onTime = 0;
    let served = 0;
    for (let place = 0; place < count; place++) {
        const atMs = place * betweenMs;
        const waitMs = Math.max(0, freeAtMs - atMs);
        if (waitMs / perRequestMs >= mostWaiting) {
            continue;
        }
        freeAtMs = Math.max(freeAtMs, atMs) + perRequestMs;
        served++;
        onTime += waitMs <= 150 ? 1 : 0;
    }
    return { onTime: onTime / count, served: served / count };
}

/**
 * The same group, asked for twice what it can do for two seconds and for half of it afterwards. Beyond `room.onTime` waiting requests, up
 * to `room.late` wait behind all others.
 */
function burst(room: Room): { onTime: number; served: number } {
    const [perRequestMs, untilMs, endMs] = [50, 2_000, 6_000];
    const waiting: { atMs: number; isLate: boolean }[] = [];
    let [asked, onTime, served] = [0, 0, 0];
    for (let nowMs = 0; nowMs < endMs; nowMs += 25) {
        if (nowMs < untilMs || nowMs % 100 === 0) {
            asked++;
            const isLate = waiting.filter(request => !request.isLate).length >= room.onTime;
            if (!isLate || waiting.filter(request => request.isLate).length < room.late) {
                waiting.push({ atMs: nowMs, isLate });
            }
        }
        if (nowMs % perRequestMs === 0 && waiting.length > 0) {
            const [first] = waiting.splice(Math.max(0, waiting.findIndex(request => !request.isLate)), 1);
            served++;
            onTime += nowMs - first!.atMs <= 150 ? 1 : 0;
        }
    }
    return { onTime: onTime / asked, served: served / asked };
}

describe("how much a group is given", () => {
    it("counts reading and writing, for the group and for its VMs", () => {
        expect(workOf({ ...engine, slots: 2, stepPerRequestMs: 1 }, "big", 100, 10)).to.deep.equal({ groupMs: 160, vmMs: 640 });
        expect(workOf(engine, "none", 100, 10)).to.deep.equal({ groupMs: 0, vmMs: 0 });
    });

    // Half as much again is asked for as a group can do. With a queue of 0.9 s all but the first requests are late; with one of half the
    // time to the first event all are on time, and as many are served.
    it("keeps requests on time under lasting overload, and serves no fewer", () => {
        const long = overload(18);
        const short = overload(3);
        expect(long.onTime).to.be.below(0.05);
        expect(short.onTime).to.be.above(0.6);
        expect(short.served).to.be.above(long.served - 0.02);
    });

    // Two groups of a model are lost and come back two seconds later. Callers that wait behind the others are served as soon as there is
    // capacity left, late; with the short queue alone they are turned away, and in one long queue nobody is on time.
    it("serves more callers after a burst, and no fewer of them on time", () => {
        const short = burst({ onTime: 3, late: 0 });
        const long = burst({ onTime: 23, late: 0 });
        const both = burst({ onTime: 3, late: 20 });
        expect(both.served).to.be.above(short.served + 0.1);
        expect(both.onTime).to.equal(short.onTime);
        expect(both.onTime).to.be.above(long.onTime + 0.2);
        expect(both.served).to.be.at.least(long.served);
    });
});
