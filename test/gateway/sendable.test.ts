import { expect } from "chai";
import * as fc from "fast-check";
import type { Socket } from "node:net";
import { unboundedMemory } from "../../src/gateway/memory/index.js";
import {
    createGroupHead, createSite, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway,
} from "../support/gatewaySite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const organisation = "東京\n";

describe("requests that can't be sent", () => {
    let upstreams: RawUpstream[];
    let site: GatewaySite;
    let exceptions: number;
    let streams: number;

    const answer = (request: RawRequest, socket: Socket) => {
        const id = request.header("Zinnialanding-Attempt-Id");
        const head = `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${id}\r\nZinnialanding-Upstream-Signature: s\r\n`;
        if (request.head.includes("/caption/") && streams++ === 0) {
            socket.end(`${head}Content-Length: 99\r\n\r\nid: \x01\ndata: 1\n\n`);
            return;
        }
        socket.write(`${head}Content-Length: 4\r\n\r\ndone`);
    };

    beforeEach(async () => {
        [exceptions, streams] = [0, 0];
        upstreams = await Promise.all([1, 2, 3].map(() => startRawUpstream(answer)));
        const [plainAddress, ...headAddresses] = upstreams.map(({ address }) => address);
        const heads = headAddresses.map((address, index) => createGroupHead(address, `h${index}`, index + 1));
        const spec = createSite({ organisations: [{ name: organisation, keys: ["key-1"] }] });
        site = await startGateway([createUpstream(plainAddress!, "u1"), ...heads], spec, Infinity, undefined, {}, undefined, unboundedMemory, { recordException: () => exceptions++ });
    });

    afterEach(async () => {
        site.stop();
        await Promise.all(upstreams.map(upstream => upstream.close()));
    });

    const send = async (bytes: string) => parseStatus(await exchangeRaw(site.port, bytes, 150));
    const plain = encodeRequest("GET", "/read/1");

    const malformed: Record<string, string> = {
        "a tab in the path": encodeRequest("GET", "/read/a\tb"),
        "a form feed in the path": encodeRequest("GET", "/read/a\fb"),
        "two hosts": plain.replace("Host:", "Host: shop.example\r\nHost:"),
        "a header without a name": plain.replace("Host:", ": x\r\nHost:"),
        "two ids": plain.replace("Host:", "Zinnialanding-Attempt-Id: other\r\nHost:"),
    };
    for (const [label, bytes] of Object.entries(malformed)) {
        // Guards against upstreams that get no more requests, as if they refused connections, because of what a caller sends.
        it(`are refused as malformed and not blamed on upstreams: ${label}`, async () => {
            expect([await send(bytes), await send(bytes), await send(plain), exceptions]).to.deep.equal([400, 400, 200, 0]);
        });
    }

    // Guards against an organisation whose name can't be written into a header: its requests failed and were blamed on all upstreams.
    it("do not come of an organisation's name", async () => {
        expect(await send(plain)).to.equal(200);
        expect(Buffer.from(upstreams[0]!.requests[0]!.header("Zinnialanding-Tenant")!, "latin1").toString()).to.equal("東京?");
    });

    // Guards against upstreams that are blamed because the id of another one's last event can't be sent to them.
    it("end a stream after an event whose id can't be sent, and no upstream is blamed", async () => {
        const stream = encodeRequest("GET", "/caption/1", { headers: { "Zinnialanding-Model": "lm" } });
        const broken = await exchangeRaw(site.port, stream, 400);
        expect([parseStatus(broken), streams, site.outcomes]).to.deep.equal([200, 1, ["failed"]]);
        expect([await send(stream), await send(stream), await send(stream)]).to.deep.equal([200, 200, 200]);
        expect(upstreams.slice(1).map(({ requests }) => requests.length > 0)).to.deep.equal([true, true]);
    });

    // Guards against bytes that the parser of callers' requests accepts and the client to upstreams refuses.
    it("are not among those that are accepted, whatever bytes a head has", async () => {
        const bytes = fc.array(fc.integer({ min: 0, max: 255 }), { maxLength: 4 }).map(codes => String.fromCharCode(...codes));
        await fc.assert(fc.asyncProperty(bytes, bytes, bytes, async (path, name, value) => {
            const raw = Buffer.from(`GET /read/${path} HTTP/1.1\r\n${name}: ${value}\r\n${plain.slice(plain.indexOf("Host"))}`, "latin1");
            const before = upstreams[0]!.requests.length;
            const status = parseStatus(await exchangeRaw(site.port, raw as unknown as string, 15));
            const isSent = upstreams[0]!.requests.length > before;
            return exceptions === 0 && (status === 200 ? isSent : [400, 404, 431, undefined].includes(status));
        }), { seed: 21, numRuns: 150 });
    });
});
