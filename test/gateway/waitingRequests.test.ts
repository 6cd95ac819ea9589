import { expect } from "chai";
import { createAdmission, type Admission } from "../../src/gateway/admission.js";
import {
    createGroupHead, createSite, encodeRequest, type GatewaySite, openCaller, parseStatus, rethrow, startGateway,
} from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

describe("requests that wait for room", () => {
    let upstream: RawUpstream;
    let site: GatewaySite;
    let admission: Admission;
    let allowance: number;

    beforeEach(async () => {
        allowance = 0;
        upstream = await startRawUpstream((request, socket) => {
            allowance--;
            socket.write(
                `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
                "Zinnialanding-Upstream-Signature: s1\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
            );
        });
        site = await startGateway([createGroupHead(upstream.address, "u1", 1)], createSite(), Infinity, undefined, {}, view => {
            admission = createAdmission({
                view, nowMs: () => performance.now(), random: () => 0.5, isAvoided: () => false,
                pushbackLeftMs: () => 0, record: () => undefined, isActive: () => true, recordException: rethrow,
                room: { at: () => ({ running: 4, limit: 4, allowance, firstEventMs: 20, ageMs: 0 }) },
            });
            return admission;
        });
    });

    afterEach(async () => {
        site.stop();
        admission.close();
        await upstream.close();
    });

    const stream = (id: string) => encodeRequest("POST", "/caption/1", { id, body: "x", headers: { "Zinnialanding-Model": "lm" } });
    const waiting = (count: number) => waitUntil(`${count} requests wait`, () => admission.waitingByModel.get("lm") === count, 1_000);

    it("are sent once there is room, and not if their caller has left", async () => {
        const [left, stays] = [await openCaller(site.port), await openCaller(site.port)];
        left.send(stream("left"));
        await waiting(1);
        stays.send(stream("stays"));
        await waiting(2);
        left.close();
        await waiting(1);
        expect(upstream.requests).to.have.length(0);
        allowance = 1;
        admission.roomChanged();
        await waitUntil("the stream is served", () => stays.text.includes("id: 1"), 2_000);
        expect(parseStatus(stays.text)).to.equal(200);
        expect(upstream.requests.map(request => request.header("Zinnialanding-Attempt-Id"))).to.deep.equal(["stays"]);
        await waitUntil("both requests have ended", () => site.outcomes.length === 2, 2_000);
        expect(site.outcomes).to.deep.equal(["caller-left", "delivered"]);
        stays.close();
    });

    // Nothing has been sent, so the caller may safely try another entry. A status 502 would not tell it so.
    it("are refused as not run by a shutdown and by the end of the entry", async () => {
        const callers = [await openCaller(site.port), await openCaller(site.port)];
        callers[0]!.send(stream("a"));
        await waiting(1);
        site.server.endRunning();
        await waitUntil("the first request is refused", () => callers[0]!.text !== "", 2_000);
        callers[1]!.send(stream("b"));
        await waiting(1);
        admission.close();
        await waitUntil("the second request is refused", () => callers[1]!.text !== "", 2_000);
        callers.forEach(caller => {
            expect(parseStatus(caller.text)).to.equal(503);
            expect(caller.text).to.match(/Retry-After: /);
            caller.close();
        });
        expect(upstream.requests).to.have.length(0);
    });

    it("are refused as not run once their deadline has passed", async () => {
        const caller = await openCaller(site.port);
        caller.send(encodeRequest("POST", "/caption/1", {
            body: "x", headers: { "Zinnialanding-Model": "lm", "Zinnialanding-Deadline-Ms": "150" },
        }));
        await waitUntil("the request is refused", () => caller.text !== "", 1_000);
        expect(parseStatus(caller.text)).to.equal(503);
        expect(upstream.requests).to.have.length(0);
        caller.close();
    });
});
