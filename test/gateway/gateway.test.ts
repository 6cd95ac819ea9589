import { expect } from "chai";
import { PassThrough } from "node:stream";
import { headerNames } from "../../platform/headers.js";
import { createFeedServer, type Frame } from "../../src/feed/index.js";
import { createGateway, type Gateway } from "../../src/gateway/index.js";
import { createRpcServer, type RpcServer } from "../../src/rpc/index.js";
import { createLogger, createSiteMetrics } from "../../src/telemetry/index.js";
import { holdLoop } from "../support/heldLoop.js";
import { type KeptCaller, openCaller, requestBytes, siteWith, statusOf, upstreamAt } from "../support/gatewaySite.js";
import { until } from "../support/platformSite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const port = 21_298;
const withinMs = 600;
const charge = requestBytes("POST", "/charge/1", { body: "x" });

describe("an entry with its control daemons that stops", () => {
    let upstream: RawUpstream;
    let rpc: RpcServer;
    let gateway: Gateway;
    let caller: KeptCaller;
    let answer: () => void;
    let closeFeed: () => void;

    beforeEach(async () => {
        upstream = await startRawUpstream((request, socket) => {
            answer = () => socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
                "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone");
        });
        const greeting: Frame[] = [
            { kind: "site", version: 1, text: "" }, { kind: "upstreams", upstreams: [upstreamAt(upstream.address, "u1")] },
            { kind: "alive", leads: true, dataCentre: "a", hasContent: true, isInTouch: true, siteVersion: 1 },
        ];
        const feed = createFeedServer({ greeting: () => greeting, report: () => undefined, nowMs: () => performance.now() });
        closeFeed = () => feed.close();
        rpc = await createRpcServer("127.0.0.1:0", feed.routes);
        gateway = await createGateway({
            daemonId: "entry-1", dataCentre: "a", callers: `127.0.0.1:${port}`, controls: [rpc.address], names: headerNames,
            dialect: { decodeSite: () => ({ site: siteWith() }) }, repeats: { ratio: 0.1, slack: 10 },
            logger: createLogger("error", "test", new PassThrough().resume()), metrics: createSiteMetrics(),
        });
        await until("the entry is ready", () => gateway.isReady);
        caller = await openCaller(port);
        caller.send(charge);
        await until("the request runs", () => upstream.requests.length === 1);
    });

    afterEach(async () => {
        caller.close();
        closeFeed();
        await rpc.stop(true);
        await upstream.close();
    });

    it("waits for what runs", async () => {
        const stopped = gateway.stop(60_000);
        answer();
        await until("the connection ends", () => caller.isEnded);
        expect(statusOf(caller.text)).to.equal(200);
        await stopped;
    });

    // Without an answer of the entry's own its caller saw a closed connection when the process left.
    it("answers what still runs at its end", async () => {
        await gateway.stop(withinMs);
        await until("the connection ends", () => caller.isEnded);
        expect(statusOf(caller.text)).to.equal(502);
    });

    // Counted from when SIGTERM is heard, the stop of a process that stood still lasts until after the kill, and callers get nothing.
    it("counts its time from when the signal may have been sent", async () => {
        holdLoop(withinMs);
        const stopped = gateway.stop(withinMs);
        setTimeout(() => answer(), withinMs / 2);
        await stopped;
        await until("the connection ends", () => caller.isEnded);
        expect(statusOf(caller.text)).to.equal(502);
    });
});
