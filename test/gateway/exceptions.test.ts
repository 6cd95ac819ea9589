import { expect } from "chai";
import { type Admission, createAdmission } from "../../src/gateway/admission.js";
import { createBalancer } from "../../src/gateway/balancer.js";
import type { SiteView } from "../../src/gateway/siteView.js";
import type { ServerDependencies } from "../../src/gateway/server.js";
import { unboundedMemory } from "../../src/gateway/memory/index.js";
import {
    createGroupHead, createSite, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway,
} from "../support/gatewaySite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";
import type { Socket } from "node:net";

/** Several times the interval at which attempts are checked. */
const checkedMs = 400;

function answerDone(request: RawRequest, socket: Socket) {
    const echo = `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nZinnialanding-Upstream-Signature: s1\r\n`;
    const isStream = request.head.includes("/caption/");
    const body = isStream ? "id: 1\ndata: done\n\n" : "done";
    socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Length: ${body.length}\r\n\r\n${body}`);
}

describe("an exception while a request is served", () => {
    let upstream: RawUpstream;
    let engine: RawUpstream;
    let site: GatewaySite;
    let exceptions: unknown[];

    beforeEach(async () => {
        exceptions = [];
        upstream = await startRawUpstream(answerDone);
        engine = await startRawUpstream(answerDone);
    });

    afterEach(async () => {
        site.stop();
        await Promise.all([upstream.close(), engine.close()]);
    });

    async function start(overrides: Partial<ServerDependencies>, ...upstreams: Parameters<typeof startGateway>[0]) {
        site = await startGateway(upstreams, createSite(), Infinity, undefined, {}, undefined, unboundedMemory, {
            recordException: error => exceptions.push(error), ...overrides,
        });
    }

    /** Sends a plain request that may be repeated, one that may not, and a stream; returns the statuses of the answers. */
    const sendAll = () => Promise.all([send("GET", "/read/1"), send("POST", "/charge/1"), send("GET", "/caption/1")]);

    const send = async (method: string, path: string) =>
        parseStatus(await exchangeRaw(site.port, encodeRequest(method, path, { headers: { "Zinnialanding-Model": "lm" } }), checkedMs));

    for (const address of ["127.0.0.1:65536", "a^b|<>:80", "a/b:80", "127.0.0.1:0"]) {
        // Guards against an entry that ends because no connection can be made to an upstream: a timer used what was not made.
        it(`does not come of an upstream with the address ${address}: requests get an answer, and others serve them`, async () => {
            await start({}, createUpstream(address, "odd"), createGroupHead(`x${address}`, "odd-head", 1));
            expect(await sendAll()).to.deep.equal([503, 503, 503]);
            site.view.apply({ kind: "upstreams", upstreams: [createUpstream(upstream.address, "u1"), createGroupHead(engine.address, "u2", 2)] });
            expect(await sendAll()).to.deep.equal([200, 200, 200]);
            expect([exceptions, site.server.running]).to.deep.equal([[], 0]);
        });
    }

    const fail = () => {
        throw new Error("broken");
    };
    const balancer = createBalancer({ nowMs: () => performance.now(), random: () => 0, entries: () => 1 });
    const places: Record<string, { overrides: Partial<ServerDependencies>; statuses: (number | undefined)[] }> = {
        "when it is registered": { overrides: { balancer: { ...balancer, requestSent: fail } }, statuses: [503, 503, 503] },
        "when its success is recorded": { overrides: { balancer: { ...balancer, requestSucceeded: fail } }, statuses: [502, 502, 200] },
        "when it has been read": { overrides: { recordArrival: fail }, statuses: [503, 503, 503] },
        "when it is checked": { overrides: { isBarred: fail }, statuses: [503, 503, 503] },
        "when it is sent": { overrides: { latency: { requestSent: fail } }, statuses: [200, 200, 503] },
        "when the head of its answer is read": { overrides: { recordLimit: fail }, statuses: [502, 502, 502] },
    };
    for (const [place, { overrides, statuses }] of Object.entries(places)) {
        // Guards against an exception that ends the entry, or leaves a caller without an answer and an attempt running.
        it(`costs that request alone, ${place}`, async () => {
            await start(overrides, createUpstream(upstream.address, "u1"), createGroupHead(engine.address, "u2", 1));
            expect(await sendAll()).to.deep.equal(statuses);
            expect(exceptions.length).to.be.at.least(statuses.filter(status => status !== 200).length);
            expect(site.server.running).to.equal(0);
            // A request that may not be repeated is sent once, and not at all if it was refused.
            const charges = upstream.requests.filter(({ head }) => head.startsWith("POST"));
            expect(charges.length).to.equal(statuses[1] === 503 ? 0 : 1);
        });
    }

    // Guards against a timer that ends the entry later, because what the exception came from is asked again to end its request.
    it("costs that request alone, when nothing can be chosen any more", async () => {
        await start({}, createUpstream(upstream.address, "u1"));
        Object.assign(site.view, { candidates: fail });
        expect(await sendAll()).to.deep.equal([503, 503, 503]);
        expect([exceptions.length, site.server.running, upstream.requests.length]).to.deep.equal([3, 0, 0]);
    });

    // Guards against a request that runs although its caller was told that it never will: it stayed in the queue.
    it("leaves no request that was refused in a queue", async () => {
        let calls = 0;
        let admission: Admission | undefined;
        const recordException = (error: unknown) => exceptions.push(error);
        const createAdmissionFor = (view: SiteView) => admission = createAdmission({
            view, nowMs: () => performance.now(), random: () => 0.5, isAvoided: () => false, pushbackLeftMs: () => 0,
            record: () => undefined, isActive: () => true, recordException,
            room: { at: () => ++calls === 2 ? fail() : { running: 0, limit: 4, allowance: 4, firstEventMs: 20, ageMs: 0 } },
        });
        site = await startGateway(
            [createGroupHead(engine.address, "u2", 1)], createSite(), Infinity, undefined, {}, createAdmissionFor, unboundedMemory,
            { recordException },
        );
        expect(await send("GET", "/caption/1")).to.equal(503);
        admission!.roomChanged();
        await new Promise(resolve => setTimeout(resolve, checkedMs));
        expect([exceptions.length, engine.requests.length, site.server.running]).to.deep.equal([1, 0, 0]);
        expect(await send("GET", "/caption/1")).to.equal(200);
    });
});
