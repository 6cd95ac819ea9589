import { expect } from "chai";
import { freePorts } from "../../bench/processes.js";
import type { Gateway } from "../../src/gateway/index.js";
import { type ControlledEntry, startControlledEntry } from "../support/controlledEntry.js";
import { blockEventLoop } from "../support/heldLoop.js";
import { type KeepAliveCaller, openCaller, encodeRequest, exchangeRaw, parseStatus } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const withinMs = 600;
const charge = encodeRequest("POST", "/charge/1", { body: "x" });

describe("the shutdown of an entry with its control daemons", () => {
    let upstream: RawUpstream;
    let entry: ControlledEntry;
    let gateway: Gateway;
    let caller: KeepAliveCaller;
    let answer: () => void;

    beforeEach(async () => {
        upstream = await startRawUpstream((request, socket) => {
            answer = () => socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
                "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone");
        });
        entry = await startControlledEntry(upstream.address);
        gateway = entry.gateway;
        caller = await openCaller(entry.port);
        caller.send(charge);
        await waitUntil("the request runs", () => upstream.requests.length === 1);
    });

    afterEach(async () => {
        caller.close();
        await entry.stopControl();
        await upstream.close();
    });

    it("waits for running requests", async () => {
        const stopped = gateway.stop(60_000);
        answer();
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(parseStatus(caller.text)).to.equal(200);
        await stopped;
    });

    // Callers of requests that were still running saw a closed connection when the process exited.
    it("answers requests that are still running at its end", async () => {
        await gateway.stop(withinMs);
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(parseStatus(caller.text)).to.equal(502);
    });

    // A process that was paused handles SIGTERM late. If the shutdown started its timeout then, it would last beyond the platform's kill,
    // and callers would get no answer.
    it("starts its timeout when the signal may have been sent", async () => {
        blockEventLoop(withinMs);
        const stopped = gateway.stop(withinMs);
        setTimeout(() => answer(), withinMs / 2);
        await stopped;
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(parseStatus(caller.text)).to.equal(502);
    });
});

describe("an entry whose connections an upstream refuses", () => {
    // Guards against an entry that never again uses an upstream whose link refused connections for a while: it no longer receives the times
    // at which upstreams are heard, and must ask for this one's.
    it("uses the upstream again once a control daemon has heard it after that", async () => {
        const port = (await freePorts(1))[0]!;
        let isHeard = false;
        const asked = new Set<string>();
        const heardAgoMs = (id: string) => {
            asked.add(id);
            return isHeard ? 0 : undefined;
        };
        const entry = await startControlledEntry(`127.0.0.1:${port}`, { heardAgoMs });
        expect(parseStatus(await exchangeRaw(entry.port, charge))).to.equal(503);
        const upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
                "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone");
        }, port);
        await waitUntil("the entry asks for the upstream", () => asked.size > 0);
        expect([...asked]).to.deep.equal(["u1"]);
        expect([parseStatus(await exchangeRaw(entry.port, charge)), upstream.requests.length]).to.deep.equal([503, 0]);
        isHeard = true;
        await new Promise(resolve => setTimeout(resolve, 800));
        expect(parseStatus(await exchangeRaw(entry.port, charge))).to.equal(200);
        await entry.gateway.stop(withinMs);
        await entry.stopControl();
        await upstream.close();
    });
});

describe("an entry on the VM of a control daemon", () => {
    const pushback = { upstreamId: "u1", leftMs: 30_000 };
    let upstream: RawUpstream;
    let entry: ControlledEntry;

    beforeEach(async () => {
        upstream = await startRawUpstream((request, socket) => {
            const id = request.header("Zinnialanding-Attempt-Id");
            socket.write(`HTTP/1.1 503 Busy\r\nZinnialanding-Attempt-Id: ${id}\r\nZinnialanding-Not-Executed: 1\r\n` +
                "Retry-After: 30\r\nContent-Length: 0\r\n\r\n");
        });
        entry = await startControlledEntry(upstream.address);
    });

    afterEach(async () => {
        await entry.gateway.stop(withinMs);
        await entry.stopControl();
        await upstream.close();
    });

    // Guards against sending to an upstream that has answered a probe or an order of the control daemon beside this entry with a pushback.
    it("keeps to the pushbacks that the control daemon on its VM has received, and to no others", async () => {
        entry.publish({ kind: "pushbacks", vm: "10.9.9.9", pushbacks: [pushback] });
        entry.publish({ kind: "pushbacks", vm: "127.0.0.1", pushbacks: [{ ...pushback, upstreamId: "u2" }] });
        await new Promise(resolve => setTimeout(resolve, 200));
        expect([parseStatus(await exchangeRaw(entry.port, charge)), upstream.requests.length]).to.deep.equal([503, 1]);
        expect(parseStatus(await exchangeRaw(entry.port, charge))).to.equal(503);
        expect(upstream.requests).to.have.length(1);
    });

    it("sends nothing once the control daemon on its VM has been pushed back", async () => {
        entry.publish({ kind: "pushbacks", vm: "127.0.0.1", pushbacks: [pushback] });
        await new Promise(resolve => setTimeout(resolve, 200));
        expect([parseStatus(await exchangeRaw(entry.port, charge)), upstream.requests.length]).to.deep.equal([503, 0]);
    });

    // Guards against probes and orders from a VM whose entry has been told that the upstream wants nothing from it.
    it("reports its own pushbacks with the VM that they hold for", async () => {
        await exchangeRaw(entry.port, charge);
        const reported = () => entry.reports.find(({ pushbacks }) => pushbacks.length > 0);
        await waitUntil("a report has the pushback", () => reported() !== undefined);
        expect(reported()!.vm).to.equal("127.0.0.1");
        expect(reported()!.pushbacks[0]).to.include({ upstreamId: "u1" });
        expect(reported()!.pushbacks[0]!.leftMs).to.be.within(25_000, 30_000);
    });
});
