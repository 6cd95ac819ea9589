import { expect } from "chai";
import { createSite, createUpstream, encodeRequest, type GatewaySite, openCaller, parseStatus, startGateway } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** Longer than the interval at which connections are checked for time-outs. */
const pauseMs = 700;
/** Timers with a longer delay fire at once, and Node's HTTP server takes the remainder of a division by 2^32 for it. */
const [tooLongMs, wrappingMs] = [1e12, 2 ** 32 + 1];

describe("a site with time-outs that no timer bears", () => {
    let upstream: RawUpstream;
    let site: GatewaySite;

    beforeEach(async () => {
        upstream = await startRawUpstream((request, socket) => {
            const head = `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nZinnialanding-Upstream-Signature: s\r\n`;
            setTimeout(() => socket.write(`${head}Content-Length: 4\r\n\r\ndone`), 100);
        });
        const { routes } = createSite();
        const limits = { headerTimeoutMs: wrappingMs, idleTimeoutMs: tooLongMs, maxHeaderBytes: 16_384, maxBodyBytes: 1_000 };
        site = await startGateway([createUpstream(upstream.address, "u1")], createSite({
            routes: routes.map(route => ({ ...route, timeoutMs: tooLongMs })), limits,
        }));
    });

    afterEach(async () => {
        site.stop();
        await upstream.close();
    });

    // Guards against time-outs that end at once: every request was answered with 503 or 504, or cut off before its head was complete.
    it("serves requests with a far deadline, also if their heads come slowly", async () => {
        const request = encodeRequest("GET", "/read/1", { headers: { "Zinnialanding-Deadline-Ms": "999999999999" } });
        const caller = await openCaller(site.port);
        for (const answers of [1, 2]) {
            caller.send(request.slice(0, 20));
            await new Promise(resolve => setTimeout(resolve, pauseMs));
            caller.send(request.slice(20));
            await waitUntil("an answer", () => caller.text.split("HTTP/1.1 ").length > answers);
        }
        expect([parseStatus(caller.text), caller.text.match(/HTTP\/1\.1 200/g)?.length]).to.deep.equal([200, 2]);
        caller.close();
    });
});
