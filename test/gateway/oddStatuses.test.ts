import { expect } from "chai";
import { createGroupHead, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway } from "../support/gatewaySite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const oddStatuses = ["000", "001", "099", "600", "700", "799", "999"];
const caption = encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } });

describe("an answer with a status that HTTP doesn't have", () => {
    const upstreams: RawUpstream[] = [];
    let site: GatewaySite;

    afterEach(async () => {
        site.stop();
        await Promise.all(upstreams.splice(0).map(upstream => upstream.close()));
    });

    /** Starts an upstream whose answers have this start line, and are otherwise as they should be. */
    async function startOdd(startLine: string, type = "text/plain") {
        upstreams.push(await startRawUpstream((request, socket) => socket.write(
            `${startLine}\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
            `Zinnialanding-Upstream-Signature: s1\r\nContent-Type: ${type}\r\nContent-Length: 16\r\n\r\nid: 1\ndata: odd\n`)));
        return upstreams.at(-1)!.address;
    }

    for (const status of oddStatuses) {
        // Guards against a caller that takes what an upstream in trouble sends for an answer.
        it(`isn't forwarded to the caller of an action: ${status}`, async () => {
            site = await startGateway([createUpstream(await startOdd(`HTTP/1.1 ${status} Odd`), "u1")]);
            const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
            expect(parseStatus(answer)).to.equal(502);
            expect(answer).not.to.contain("odd");
            expect(site.outcomes).to.deep.equal(["failed"]);
        });

        it(`isn't forwarded to the caller of a stream: ${status}`, async () => {
            site = await startGateway([createGroupHead(await startOdd(`HTTP/1.1 ${status} Odd`, "text/event-stream"), "u1", 1)]);
            const answer = await exchangeRaw(site.port, caption);
            expect(parseStatus(answer)).to.be.oneOf([502, 503, 504]);
            expect(answer).not.to.contain("odd");
        });
    }

    // Guards against an informational answer that hides the status behind it, and against one that is taken for informational.
    for (const status of ["000", "999"]) {
        it(`isn't forwarded behind an informational one, and what follows it neither: ${status}`, async () => {
            const address = await startOdd(`HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK`);
            site = await startGateway([createUpstream(address, "u1")]);
            const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
            expect(parseStatus(answer)).to.equal(502);
            expect(answer).not.to.contain("odd");
        });
    }

    it("lets an idempotent request be served by another upstream", async () => {
        const odd = createUpstream(await startOdd("HTTP/1.1 000 Odd"), "u1");
        upstreams.push(await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
            "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone")));
        site = await startGateway([odd, createUpstream(upstreams.at(-1)!.address, "u2")]);
        const answers = await Promise.all([1, 2, 3, 4].map(number => exchangeRaw(site.port, encodeRequest("GET", `/read/${number}`, { id: `r${number}` }))));
        expect(answers.map(parseStatus)).to.deep.equal([200, 200, 200, 200]);
    });
});
