import { expect } from "chai";
import type { Socket } from "node:net";
import { parseSharedParts } from "../../src/gateway/sharedParts.js";
import { type ControlledEntry, startControlledEntry } from "../support/controlledEntry.js";
import { createGroupHead, encodeRequest, exchangeRaw, openCaller, parseStatus } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const head = (request: RawRequest, framing: string) =>
    `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
    `Zinnialanding-Upstream-Signature: s1\r\nContent-Type: text/event-stream\r\n${framing}\r\n`;
const wholeStream = (request: RawRequest) => `${head(request, "Connection: close\r\n")}id: 1\ndata: x\n\n`;
const captionWith = (parts: string) => encodeRequest("POST", "/caption/1", {
    body: "x", headers: { "Zinnialanding-Model": "lm", "Zinnialanding-Token-Usage": "10,10", "Zinnialanding-Prefix-Hash": parts },
});

describe("an entry that is told of a part that crashes engines", () => {
    let upstream: RawUpstream;
    let entry: ControlledEntry;
    let respond: (request: RawRequest, socket: Socket) => void;

    beforeEach(async () => {
        respond = (request, socket) => socket.end(wholeStream(request));
        upstream = await startRawUpstream((request, socket) => respond(request, socket));
        entry = await startControlledEntry(upstream.address);
        entry.publish({ kind: "upstreams", upstreams: [createGroupHead(upstream.address, "head", 1)] });
        await waitUntil("streams are served", async () => parseStatus(await exchangeRaw(entry.port, captionWith("sys:1,own:1"))) === 200);
    });

    afterEach(async () => {
        await entry.gateway.stop(0);
        await entry.stopControl();
        await upstream.close();
    });

    async function publishCause(index: number, ...causes: string[][]) {
        entry.publish({ kind: "crash-causes", index, causes, suspectedParts: causes.flat() });
        const metric = `zinnialanding_crash_causes ${causes.length}`;
        await waitUntil("the entry knows it", async () => (await entry.metrics.text()).includes(metric));
    }

    // Guards against a request that is sent, or held until its deadline, although the engine that runs it would crash.
    it("refuses requests with it at once, and serves those with the same key and other parts", async () => {
        await publishCause(2, ["bad"]);
        const sent = upstream.requests.length;
        const refused = await exchangeRaw(entry.port, captionWith("sys:1,BAD:1,own:1"));
        expect(parseStatus(refused)).to.equal(503);
        expect(refused).to.match(/retry-after: 60/i);
        expect(upstream.requests.length).to.equal(sent);
        expect(parseStatus(await exchangeRaw(entry.port, captionWith("sys:1,own:1")))).to.equal(200);
        // The last part belongs to the request itself.
        expect(parseStatus(await exchangeRaw(entry.port, captionWith("sys:1,bad:1")))).to.equal(200);
    });

    // Guards against engines that crash under the requests that were sent before the cause was known and have not begun yet.
    it("withdraws the requests with it that no engine has begun to answer", async () => {
        let isWithdrawn = false;
        respond = (_request, socket) => socket.on("close", () => {
            isWithdrawn = true;
        });
        const caller = await openCaller(entry.port);
        const sent = upstream.requests.length;
        caller.send(captionWith("sys:1,bad:1,own:1"));
        await waitUntil("the request is sent", () => upstream.requests.length > sent);
        await publishCause(2, ["bad"]);
        await waitUntil("the caller has its answer and the upstream none to write", () => isWithdrawn && caller.text !== "");
        expect(parseStatus(caller.text)).to.equal(502);
        caller.close();
    });

    // Guards against a cause that is forgotten because a control daemon that lags behind has sent an older state.
    it("ignores older states, and follows newer ones that no longer have it", async () => {
        await publishCause(5, ["bad"]);
        entry.publish({ kind: "crash-causes", index: 4, causes: [], suspectedParts: [] });
        expect(parseStatus(await exchangeRaw(entry.port, captionWith("sys:1,bad:1,own:1")))).to.equal(503);
        await publishCause(6);
        expect(parseStatus(await exchangeRaw(entry.port, captionWith("sys:1,bad:1,own:1")))).to.equal(200);
    });

    // Guards against a crash that the leader can't count, because its answer had neither a length nor chunks and ended with its connection.
    it("reports the parts in flight at a crash, those proven before it, and those completed after it", async () => {
        respond = (request, socket) => {
            socket.write(`${head(request, "")}id: 1\ndata: x\n\nid: 2\nda`);
            setTimeout(() => socket.end(), 50);
        };
        const cutOff = await exchangeRaw(entry.port, captionWith("sys:1,bad:1,own:1"));
        expect(cutOff).not.to.match(/\r\n0\r\n\r\n$/);
        await waitUntil("the crash is reported", () => entry.crashes.some(({ crashes }) => crashes.length > 0));
        const reported = entry.crashes.find(({ crashes }) => crashes.length > 0)!;
        expect(reported.crashes).to.deep.equal([{ upstream: "head@1", parts: ["sys", "bad"], provenParts: ["sys"] }]);
        respond = (request, socket) => socket.end(wholeStream(request));
        await waitUntil("another request is served", async () => parseStatus(await exchangeRaw(entry.port, captionWith("sys:1,own:1"))) === 200);
        await waitUntil("the completed part is reported", () => entry.crashes.some(({ completedParts }) => completedParts.includes("sys")));
    });
});

describe("the shared parts of a prompt", () => {
    // Guards against reports whose size or content a caller decides.
    it("are read from any header", () => {
        const long = Array.from({ length: 100 }, (_, index) => `p${index}:1`).join(",");
        expect([undefined, "", "a:1", "A:1,b:2,own:3", "a:1,a:1,own:1", ",:3, ,b,own", `${"x".repeat(65)}:1,own:1`].map(parseSharedParts))
            .to.deep.equal([[], [], [], ["a", "b"], ["a"], ["b"], []]);
        expect(parseSharedParts(long).length).to.equal(16);
    });
});
