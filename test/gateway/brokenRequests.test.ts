import { expect } from "chai";
import { createGroupHead, createSite, createUpstream, encodeRequest, type GatewaySite, openCaller, startGateway } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const answerMs = 1_300;
const cutHead = "GET /read/2 HTTP/1.1\r\nHost: shop";
const rests = {
    "is cut and late": cutHead,
    "is malformed": "GET /read/2 HTTP/1.1\r\nHost\0: shop\r\n\r\n",
    "is too long": `${cutHead}${"x".repeat(70_000)}`,
};
const statuses = { "is cut and late": 408, "is malformed": 400, "is too long": 431 };
const requests = {
    "a plain one": encodeRequest("POST", "/charge/1", { body: "x" }),
    "a stream": encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }),
};

describe("a request whose head", () => {
    let upstream: RawUpstream;
    let site: GatewaySite;

    beforeEach(async () => {
        upstream = await startRawUpstream((request, socket) => {
            const head = `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
                "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 30\r\n\r\n";
            socket.write(`${head}id: 1\ndata: a\n\n`);
            setTimeout(() => socket.write("id: 2\ndata: b\n\n"), answerMs);
        });
        const { limits } = createSite();
        site = await startGateway([
            createUpstream(upstream.address, "u1"), createGroupHead(upstream.address.replace("127.0.0.1", "localhost"), "h1", 1),
        ], createSite({ limits: { ...limits, headerTimeoutMs: 400 } }));
    });

    afterEach(async () => {
        site.stop();
        await upstream.close();
    });

    /** Sends each part once the one before it has been read, and waits for the connection's end. */
    async function send(parts: readonly string[], endMs?: number) {
        const caller = await openCaller(site.port);
        for (const part of parts) {
            caller.send(part);
            await new Promise(resolve => setTimeout(resolve, 30));
        }
        if (endMs !== undefined) {
            setTimeout(() => caller.socket.end(), endMs);
        }
        await waitUntil("the connection ends", () => caller.isEnded, 4_000);
        caller.close();
        return caller.text;
    }

    for (const rest of Object.keys(rests) as (keyof typeof rests)[]) {
        for (const [name, request] of Object.entries(requests)) {
            // Guards against a 400, 408 or 431 for a request that runs, and against its answer broken off.
            it(`${rest} leaves the one before it its answer: ${name}`, async () => {
                const text = await send([request, rests[rest]]);
                expect(text.match(/HTTP\/1.1 .*/g)).to.deep.equal(["HTTP/1.1 200 OK"]);
                expect(text).to.match(name === "a stream" ? /data: a[^]*data: b\n\n\r\n0\r\n\r\n$/ : /data: a[^]*data: b\n\n$/);
                expect(upstream.requests).to.have.length(1);
                expect(site.outcomes).to.deep.equal(["delivered"]);
            });
        }

        it(`${rest} is refused by itself`, async () => {
            const text = await send([encodeRequest("POST", "/unknown/"), rests[rest]]);
            expect(text.match(/HTTP\/1.1 \d+/g)).to.deep.equal(["HTTP/1.1 404", `HTTP/1.1 ${statuses[rest]}`]);
            expect(upstream.requests).to.have.length(0);
        });
    }

    // Guards against an answer to a broken request in place of that to the one before it.
    it("is cut by its caller's end leaves no answer", async () => {
        expect(await send([requests["a plain one"], cutHead], 50)).to.equal("");
        expect(upstream.requests).to.have.length(1);
    });

    it("is cut anywhere reaches no upstream, and costs its connection alone", async () => {
        const request = requests["a plain one"];
        await Promise.all(Array.from({ length: 2 * request.length - 2 }, async (_, index) => {
            const { socket } = await openCaller(site.port);
            const bytes = 1 + (index >> 1);
            for (const part of [request.slice(0, bytes >> 1), request.slice(bytes >> 1, bytes)]) {
                socket.write(part);
                await new Promise(resolve => setImmediate(resolve));
            }
            socket[index % 2 === 0 ? "end" : "resetAndDestroy"]();
        }));
        await waitUntil("all connections are closed", () => site.server.connections.open === 0 && site.server.running === 0);
        expect(upstream.requests).to.have.length(0);
    });
});
