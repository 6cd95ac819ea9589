import { expect } from "chai";
import { PassThrough } from "node:stream";
import type { Frame } from "../../src/feed/index.js";
import { createSiteView, type SiteView } from "../../src/gateway/siteView.js";
import { createStartHold, type StartHold } from "../../src/gateway/startHold.js";
import { createLogger } from "../../src/telemetry/index.js";
import { startControlledEntry } from "../support/controlledEntry.js";
import { createGroupHead, createSite, createUpstream, encodeRequest, openCaller, parseStatus } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { startRawUpstream } from "../support/rawUpstream.js";

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("an entry that starts", () => {
    let view: SiteView;
    let hold: StartHold;
    let skippedMs: number;
    let leave: () => void;
    const caller = { onceGone: (callback: () => void) => void (leave = callback) };
    const nowMs = () => performance.now() + skippedMs;
    const base = createSite();
    const site = { ...base, routes: base.routes.map(route => ({ ...route, latenessMs: 400 })) };
    const [plainRoute, streamRoute] = [site.routes[1]!, site.routes[2]!];

    beforeEach(() => {
        skippedMs = 0;
        view = createSiteView({ decodeSite: () => ({ site }) }, createLogger("error", "test", new PassThrough().resume()));
        hold = createStartHold({ view, heartbeatMs: 1_200, nowMs });
    });

    function apply(...frames: Parameters<SiteView["apply"]>[0][]) {
        for (const frame of frames) {
            view.apply(frame);
            hold.controlHeard();
            hold.viewChanged();
        }
    }

    const siteFrame = { kind: "site", version: 1, text: "" } as const;
    const controlsFrame: Frame = { kind: "controls", addresses: [] };

    /** How long the wait takes; undefined if the caller is not held. */
    async function measure(wait: Promise<void> | undefined, meanwhile: () => void = () => undefined): Promise<number | undefined> {
        const startMs = performance.now();
        await pause(20);
        meanwhile();
        await wait;
        return wait === undefined ? undefined : performance.now() - startMs;
    }

    it("holds a caller until the site comes", async () => {
        apply(controlsFrame);
        expect(await measure(hold.untilSite(nowMs(), caller), () => apply(siteFrame))).to.be.within(15, 150);
        expect(hold.untilSite(nowMs(), caller)).to.equal(undefined);
    });

    // Guards against callers that wait until their deadline.
    it("lets a caller go after 300 ms if the site doesn't come, or when the caller leaves or the entry stops", async () => {
        apply(controlsFrame);
        expect(await measure(hold.untilSite(nowMs(), caller))).to.be.within(290, 450);
        expect(await measure(hold.untilSite(nowMs(), caller), () => leave())).to.be.below(150);
        expect(await measure(hold.untilSite(nowMs(), caller), () => hold.end())).to.be.below(150);
        expect(hold.untilSite(nowMs(), caller)).to.equal(undefined);
    });

    it("holds nobody before a control daemon was heard, and no more than 256 callers", () => {
        expect(hold.untilSite(nowMs(), caller)).to.equal(undefined);
        apply(controlsFrame);
        const waits = Array.from({ length: 300 }, () => hold.untilSite(nowMs(), caller));
        expect(waits.filter(wait => wait !== undefined)).to.have.length(256);
        hold.end();
    });

    it("holds a caller until the route has an upstream, for a quarter of the lateness target at most", async () => {
        apply(siteFrame);
        expect(await measure(hold.untilUpstreams(streamRoute, "lm", nowMs(), caller))).to.be.within(95, 250);
        expect(await measure(hold.untilUpstreams(plainRoute, undefined, nowMs(), caller), () =>
            apply({ kind: "upstreams", upstreams: [createUpstream("127.0.0.1:1", "u1")] }))).to.be.within(15, 95);
        const head = createGroupHead("127.0.0.1:2", "u2", 1);
        expect(await measure(hold.untilUpstreams(streamRoute, "lm", nowMs(), caller), () =>
            apply({ kind: "upstreams", upstreams: [head] }))).to.be.within(15, 95);
    });

    // Guards against a delay of each refusal once the start is over: what is missing then has been lost and may not return soon.
    it("holds nobody for a service that has lost its upstreams, for an unknown model, or after the start", () => {
        apply(siteFrame, { kind: "upstreams", upstreams: [createUpstream("127.0.0.1:1", "u1")] });
        expect(hold.untilUpstreams(plainRoute, undefined, nowMs(), caller)).to.equal(undefined);
        apply({ kind: "upstreams", upstreams: [createUpstream("127.0.0.1:1", "u1", { sequence: 2, isGone: true })] });
        expect(hold.untilUpstreams(plainRoute, undefined, nowMs(), caller)).to.equal(undefined);
        expect(hold.untilUpstreams(streamRoute, "unknown", nowMs(), caller)).to.equal(undefined);
        skippedMs = 4_000;
        expect(hold.untilUpstreams(streamRoute, "lm", nowMs(), caller)).to.equal(undefined);
    });
});

describe("an entry that starts before its control daemon has anything", () => {
    const request = encodeRequest("GET", "/read/1");

    async function start() {
        const upstream = await startRawUpstream((_request, socket) =>
            socket.write("HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: attempt-1\r\nZinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone"));
        const entry = await startControlledEntry(upstream.address, { isStarting: true });
        // Until the control daemon is heard.
        await pause(300);
        const caller = await openCaller(entry.port);
        return {
            entry, upstream, caller,
            async stop(isStopped = false) {
                caller.close();
                await Promise.all([isStopped ? undefined : entry.gateway.stop(100), upstream.close()]);
                await entry.stopControl();
            },
        };
    }

    // Guards against refusals in the moment before the site and the upstreams arrive.
    it("answers a caller that arrives before the site and the upstreams, and one with an unknown path as usual", async () => {
        const { entry, upstream, caller, stop } = await start();
        const lost = await openCaller(entry.port);
        caller.send(request);
        lost.send(encodeRequest("GET", "/nowhere/1"));
        await pause(50);
        expect(caller.text).to.equal("");
        entry.publish({ kind: "site", version: 1, text: "" });
        entry.publish({ kind: "upstreams", upstreams: [createUpstream(upstream.address, "u1")] });
        await waitUntil("both are answered", () => caller.text !== "" && lost.text !== "");
        expect([parseStatus(caller.text), parseStatus(lost.text)]).to.deep.equal([200, 404]);
        lost.close();
        await stop();
    });

    it("refuses a caller in time if the site doesn't come, and at once if the entry stops", async () => {
        const { entry, caller, stop } = await start();
        const startMs = performance.now();
        caller.send(request);
        await waitUntil("the caller is refused", () => parseStatus(caller.text) === 503);
        expect(performance.now() - startMs).to.be.within(250, 900);
        expect(caller.text).to.match(/Retry-After: 1\.00/);
        const second = await openCaller(entry.port);
        second.send(request);
        await pause(50);
        const stopped = entry.gateway.stop(1_000);
        await Promise.race([pause(200), waitUntil("the held caller is refused", () => second.text !== "")]);
        expect(second.text).to.match(/^HTTP\/1.1 503 [^]*Retry-After: 0\.00/);
        second.close();
        await stopped;
        await stop(true);
    });
});
