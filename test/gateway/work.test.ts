import { expect } from "chai";
import type { ParsedRequest } from "../../src/gateway/parsedRequest.js";
import type { Candidate } from "../../src/gateway/siteView.js";
import { type QueueLimits, estimateWork, queueLimitsFor } from "../../src/gateway/work.js";
import { createSiteTable } from "../../src/site/index.js";
import { engine } from "../groups/builders.js";
import { createSite } from "../support/gatewaySite.js";

/**
 * Simulates a group of 24 slots that finishes a request every 50 ms, under 1.5 times this load. Requests wait in order, and a first event
 * is on time within 300 ms. Returns the shares of all requests that are on time and that are served at all.
 */
function overload(maxWaiting: number): { onTime: number; served: number } {
    const [perRequestMs, betweenMs, count] = [50, 33, 2_000];
    let freeAtMs = 0;
    let onTime = 0;
    let served = 0;
    for (let index = 0; index < count; index++) {
        const atMs = index * betweenMs;
        const waitMs = Math.max(0, freeAtMs - atMs);
        if (waitMs / perRequestMs >= maxWaiting) {
            continue;
        }
        freeAtMs = Math.max(freeAtMs, atMs) + perRequestMs;
        served++;
        onTime += waitMs <= 150 ? 1 : 0;
    }
    return { onTime: onTime / count, served: served / count };
}

/**
 * Simulates the same group under twice the load that it can serve for two seconds, and half of it afterwards. Beyond `onTime` queued
 * requests, up to `late` more wait in the late queue.
 */
function burst(queueLimits: QueueLimits): { onTime: number; served: number } {
    const [perRequestMs, untilMs, endMs] = [50, 2_000, 6_000];
    const queue: { atMs: number; isLate: boolean }[] = [];
    let [requested, onTime, served] = [0, 0, 0];
    for (let nowMs = 0; nowMs < endMs; nowMs += 25) {
        if (nowMs < untilMs || nowMs % 100 === 0) {
            requested++;
            const isLate = queue.filter(request => !request.isLate).length >= queueLimits.onTime;
            if (!isLate || queue.filter(request => request.isLate).length < queueLimits.late) {
                queue.push({ atMs: nowMs, isLate });
            }
        }
        if (nowMs % perRequestMs === 0 && queue.length > 0) {
            const [first] = queue.splice(Math.max(0, queue.findIndex(request => !request.isLate)), 1);
            served++;
            onTime += nowMs - first!.atMs <= 150 ? 1 : 0;
        }
    }
    return { onTime: onTime / requested, served: served / requested };
}

describe("queue limits of a group", () => {
    it("estimate the work of reading and writing, for the group and for its VMs", () => {
        expect(estimateWork({ ...engine, slots: 2, stepPerRequestMs: 1 }, "big", 100, 10)).to.deep.equal({ groupMs: 160, vmMs: 640 });
        expect(estimateWork(engine, "none", 100, 10)).to.deep.equal({ groupMs: 0, vmMs: 0 });
    });

    // Callers of a route with long pauses wait longer for a first event. Refused as early as others, they would come back to the same
    // queue.
    it("queue more late requests for callers that wait longer", () => {
        const site = createSite();
        const route = site.routes.find(({ kind }) => kind === "stream")!;
        const candidate = { model: "lm", upstream: { service: "pool" } } as Candidate;
        const limitsOf = (patienceMs: number) =>
            queueLimitsFor(candidate, { route: { ...route, latenessMs: 300, patienceMs }, table: createSiteTable(site) } as ParsedRequest);
        const [usual, patient] = [limitsOf(2_000), limitsOf(4_000)];
        expect(patient.late).to.be.closeTo(2 * usual.late, 1e-9);
        expect(patient.onTime).to.equal(usual.onTime);
    });

    // A group gets 1.5 times the load that it can serve. With a queue of 0.9 s all but the first requests are late. With a queue of half
    // the time to the first event, all served requests are on time, and as many are served.
    it("keep requests on time under lasting overload, without serving fewer", () => {
        const long = overload(18);
        const short = overload(3);
        expect(long.onTime).to.be.below(0.05);
        expect(short.onTime).to.be.above(0.6);
        expect(short.served).to.be.above(long.served - 0.02);
    });

    // Two groups of a model are lost and come back two seconds later. Requests in the late queue are served as soon as there is spare
    // capacity. With the short queue alone they would be refused, and with one long queue none would be on time.
    it("serve more requests after a burst, and no fewer of them on time", () => {
        const short = burst({ onTime: 3, late: 0 });
        const long = burst({ onTime: 23, late: 0 });
        const both = burst({ onTime: 3, late: 20 });
        expect(both.served).to.be.above(short.served + 0.1);
        expect(both.onTime).to.equal(short.onTime);
        expect(both.onTime).to.be.above(long.onTime + 0.2);
        expect(both.served).to.be.at.least(long.served);
    });
});
