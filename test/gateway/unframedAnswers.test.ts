import { expect } from "chai";
import type { Socket } from "node:net";
import { createGroupHead, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway } from "../support/gatewaySite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** The head of an answer that has neither a length nor chunks and ends with its connection. */
const unframedHead = (request: RawRequest, type: string) =>
    `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
    `Zinnialanding-Upstream-Signature: s1\r\nContent-Type: ${type}\r\n\r\n`;
const caption = encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } });
const eventIds = (answer: string) => [...answer.matchAll(/^id: (\d)$/gm)].map(match => match[1]);
const lastChunk = /\r\n0\r\n\r\n$/;

describe("answers that end with their connection", () => {
    const upstreams: RawUpstream[] = [];
    let site: GatewaySite;

    afterEach(async () => {
        site.stop();
        await Promise.all(upstreams.splice(0).map(upstream => upstream.close()));
    });

    async function start(...bodies: string[]) {
        const respond = (body: string) => (request: RawRequest, socket: Socket) =>
            socket.end(unframedHead(request, "text/event-stream") + body);
        upstreams.push(...await Promise.all(bodies.map(body => startRawUpstream(respond(body)))));
        site = await startGateway(upstreams.map(({ address }, index) => ({ ...createGroupHead(address, `u${index}`, index + 1), dataCentre: "ab"[index]! })));
    }

    it("are whole streams if they end after an event", async () => {
        await start("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        const answer = await exchangeRaw(site.port, caption);
        expect(eventIds(answer)).to.deep.equal(["1", "2"]);
        expect(answer).to.match(lastChunk);
    });

    // Guards against a stream that looks complete although its upstream has crashed in the middle of an event.
    it("are streams broken off if they end inside an event, and continue at another upstream", async () => {
        await start("id: 1\ndata: a\n\nid: 2\nda", "id: 2\ndata: b\n\n");
        const answer = await exchangeRaw(site.port, caption);
        expect(upstreams[1]!.requests[0]!.header("Last-Event-Id")).to.equal("1");
        expect(eventIds(answer)).to.deep.equal(["1", "2"]);
        expect(answer).to.match(lastChunk);
    });

    it("are streams broken off if they end inside an event, which their callers see if no upstream can continue them", async () => {
        await start("id: 1\ndata: a\n\nid: 2\ndata: b\n");
        const answer = await exchangeRaw(site.port, caption);
        expect(eventIds(answer)).to.deep.equal(["1"]);
        expect(answer).not.to.match(lastChunk);
        expect(site.outcomes).to.deep.equal(["failed"]);
    });

    // Guards against an empty stream that looks complete although its upstream has stopped after the head.
    it("are streams broken off if they end before their first event, and begin at another upstream", async () => {
        await start("", "id: 1\ndata: a\n\n");
        const answer = await exchangeRaw(site.port, caption);
        expect(eventIds(answer)).to.deep.equal(["1"]);
        expect(answer).to.match(lastChunk);
    });

    // Guards against a stream without its last events that looks complete, since its continuation has stopped after the head.
    it("are no continuations if they end before an event", async () => {
        await start("id: 1\ndata: a\n\nid: 2\nda", "");
        const answer = await exchangeRaw(site.port, caption);
        expect(eventIds(answer)).to.deep.equal(["1"]);
        expect(answer).not.to.match(lastChunk);
    });

    it("are whole plain answers", async () => {
        upstreams.push(await startRawUpstream((request, socket) => socket.end(`${unframedHead(request, "text/plain")}done`)));
        site = await startGateway([createUpstream(upstreams[0]!.address, "u1")]);
        const answer = await exchangeRaw(site.port, encodeRequest("GET", "/read/1"));
        expect([parseStatus(answer), answer.endsWith("done")]).to.deep.equal([200, true]);
    });
});
