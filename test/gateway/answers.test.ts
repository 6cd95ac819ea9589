import { expect } from "chai";
import { freePorts } from "../../bench/processes.js";
import type { Socket } from "node:net";
import type { RawRequest, RawUpstream } from "../support/rawUpstream.js";
import { startRawUpstream } from "../support/rawUpstream.js";
import {
    exchangeRaw, type GatewaySite, createGroupHead, encodeRequest, createSite, openCaller, startGateway, parseStatus, createUpstream,
} from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";

const signed = "Zinnialanding-Upstream-Signature: s1\r\n";

function ok(id: string | undefined, body: string, more = ""): string {
    return `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${id}\r\n${signed}${more}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Starts an upstream whose streams have two events with a long pause between them. */
function startPausingUpstream(): Promise<RawUpstream> {
    const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
    return startRawUpstream((request, socket) => {
        const echo = `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}`;
        socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Type: text/event-stream\r\n\r\n${event(1)}`);
        setTimeout(() => socket.end(event(2)), 1_200);
    });
}

describe("answers of upstreams", () => {
    let upstream: RawUpstream;
    let other: RawUpstream | undefined;
    let site: GatewaySite;

    afterEach(async () => {
        site.stop();
        await upstream.close();
        await other?.close();
        other = undefined;
    });

    it("are forwarded unchanged; the upstream gets the organisation and its own id but not the key", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1?x=%20y", { body: "amount=1" }));
        expect(parseStatus(answer)).to.equal(200);
        expect(answer).to.contain(signed.trim()).and.to.match(/done$/);
        const request = upstream.requests[0]!;
        expect(request.head.split("\r\n")[0]).to.equal("POST /charge/1?x=%20y HTTP/1.1");
        expect(request.body).to.equal("amount=1");
        expect([request.header("Zinnialanding-Tenant"), request.header("Zinnialanding-Target-Instance"), request.header("Api-Key")])
            .to.deep.equal(["studio", "u1", undefined]);
    });

    // The connection is reset during an answer without a length. The HTTP library ends such an answer as if it were complete, and the
    // caller would take a truncated answer for a whole one. It must get a failure that doesn't promise "not run".
    it("without a length fail if the connection is reset before their end", async () => {
        upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}\r\nhalf`);
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
        expect(parseStatus(answer)).to.equal(502);
        expect(upstream.requests).to.have.length(1);
    });

    // The reset arrives together with the last bytes. The event loop then reports the end of the stream instead of the reset, as on an
    // orderly close, and the caller took a truncated answer for a whole one.
    it("without a length fail if the connection is reset together with their last bytes", async () => {
        upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}\r\nhalf`);
            socket.resetAndDestroy();
        });
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
        expect(parseStatus(answer)).to.equal(502);
    });

    it("without a length are complete if the connection is closed in order", async () => {
        upstream = await startRawUpstream((request, socket) =>
            socket.end(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}\r\nall of it`));
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
        expect(parseStatus(answer)).to.equal(200);
        expect(answer).to.contain("all of it");
    });

    // The upstream ran the request and its answer was lost. A retry would run it twice, and so would the caller's own retry after a refusal
    // that promises "not run". So the caller gets an answer without this promise.
    it("that are lost cause no retry of a non-idempotent request", async () => {
        upstream = await startRawUpstream((_request, socket) => socket.resetAndDestroy());
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([createUpstream(upstream.address, "u1"), createUpstream(other.address, "u2", { dataCentre: "b" })]);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
        expect(parseStatus(answer)).to.equal(502);
        expect(other.requests).to.have.length(0);
    });

    it("that are lost cause a retry of an idempotent request at another upstream", async () => {
        upstream = await startRawUpstream((_request, socket) => socket.resetAndDestroy());
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([createUpstream(upstream.address, "u1"), createUpstream(other.address, "u2", { dataCentre: "b" })]);
        expect(parseStatus(await exchangeRaw(site.port, encodeRequest("GET", "/read/1")))).to.equal(200);
    });

    // A refusal that says "not run" is forwarded to the caller only if no other upstream may be tried.
    it("that say \"not run\" allow a retry of a non-idempotent request", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 503 Full\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nZinnialanding-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`));
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([createUpstream(upstream.address, "u1"), createUpstream(other.address, "u2", { dataCentre: "b" })]);
        expect(parseStatus(await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" })))).to.equal(200);
    });

    // An upstream answers twice. The second answer remains on the kept-alive connection and would be read as the next request's answer.
    it("to other requests are not forwarded", async () => {
        upstream = await startRawUpstream((_request, socket) => socket.write(ok("another", "not yours")));
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
        expect(parseStatus(answer)).to.equal(502);
        expect(answer).not.to.contain("not yours");
    });

    it("that are successful but lack the upstream's signature are not forwarded", async () => {
        upstream = await startRawUpstream((request, socket) =>
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nContent-Length: 2\r\n\r\nhi`));
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        expect(parseStatus(await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" })))).to.equal(502);
    });

    // Guards against a body in a coding that its caller can't know of, since the header is that of one connection alone.
    it("that are encoded are not forwarded", async () => {
        const codings = ["Content-Encoding: gzip", "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity"];
        upstream = await startRawUpstream((request, socket, index) => socket.end(
            `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}${codings[index]}\r\n` +
            `Connection: close\r\n\r\n${index === 2 ? "4\r\ndone\r\n0\r\n\r\n" : "done"}`));
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        const statuses: (number | undefined)[] = [];
        for (const coding of codings) {
            statuses.push(parseStatus(await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { id: coding.replace(/\W/g, ""), body: "x" }))));
        }
        expect(statuses).to.deep.equal([502, 502, 502, 200]);
    });

    // The first head's connection is reset in the middle of its third event. The caller gets each event once and in order, from two
    // upstreams, with the headers of the first.
    it("that are streams continue at another upstream after the last complete event", async () => {
        const start = (id: string | undefined) =>
            `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${id}\r\n${signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
        const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
        upstream = await startRawUpstream((request, socket) => {
            socket.write(start(request.header("Zinnialanding-Attempt-Id")) + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        other = await startRawUpstream((request, socket) =>
            socket.write(start(request.header("Zinnialanding-Attempt-Id")) + chunk("id: 3\ndata: c\n\n") + chunk("")));
        site = await startGateway([createGroupHead(upstream.address, "u1", 1), { ...createGroupHead(other.address, "u2", 2), dataCentre: "b" }]);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }));
        expect(other.requests[0]!.header("Last-Event-Id")).to.equal("2");
        expect([...answer.matchAll(/^id: (\d)/gm)].map(match => match[1])).to.deep.equal(["1", "2", "3"]);
        expect(answer).to.match(/0\r\n\r\n$/);
    });

    // Guards against a caller who waits for the rest of a stream until its deadline: the upstream asked for it answers with an error.
    it("that are streams end without the last chunk if an error answers the request for the rest", async () => {
        upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}` +
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\n\r\n");
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        other = await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 400 Bad\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}Content-Length: 3\r\n\r\nbad`));
        site = await startGateway([createGroupHead(upstream.address, "u1", 1), { ...createGroupHead(other.address, "u2", 2), dataCentre: "b" }]);
        const caller = await openCaller(site.port);
        caller.send(encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }));
        await waitUntil("the connection ends", () => caller.isEnded, 1_500);
        expect(other.requests).to.have.length(1);
        expect(caller.text).to.match(/id: 1/).and.not.match(/\r\n0\r\n\r\n$/);
        expect(site.outcomes).to.deep.equal(["failed"]);
    });

    // The retry budget is exhausted when a stream breaks off. Its answer can't be completed and must not look complete.
    it("that are streams and can't be continued end without the last chunk", async () => {
        upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}` +
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\n\r\n");
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        site = await startGateway([createGroupHead(upstream.address, "u1", 1)], undefined, 0);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }));
        expect(answer).to.contain("id: 1").and.not.to.match(/\r\n0\r\n\r\n$/);
        expect(site.outcomes).to.deep.equal(["failed"]);
    });

    // The only group has as many requests as can be on time. One more waits in the late queue, at a lower priority so that it delays none
    // of them. The next is refused at once with a Retry-After and without running.
    it("that can't be on time come from the late queue, up to its limit", async () => {
        upstream = await startRawUpstream(() => undefined);
        site = await startGateway([createGroupHead(upstream.address, "h1", 1)], createSite(), Infinity, { onTime: 1, late: 1 });
        const send = (id: string) => exchangeRaw(site.port, encodeRequest("POST", "/caption/1", {
            id, body: "x", headers: { "Zinnialanding-Model": "lm" },
        }));
        const waiting = [send("a1")];
        await new Promise(resolve => setTimeout(resolve, 50));
        waiting.push(send("a2"));
        await new Promise(resolve => setTimeout(resolve, 50));
        const refused = await send("a3");
        expect(parseStatus(refused)).to.equal(503);
        expect(refused).to.match(/Retry-After: /);
        await Promise.all(waiting);
        expect(upstream.requests.map(request => request.header("Zinnialanding-Request-Priority"))).to.deep.equal(["0", "5"]);
    });

    // The first upstream refuses the request without running it, and the second breaks off after one event. The route allows two attempts
    // that may run: the third upstream gets the second of these, and the caller gets the complete answer.
    it("that say \"not run\" don't count towards the route's attempts", async () => {
        const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
        let sends = 0;
        const respond = (request: RawRequest, socket: Socket) => {
            const sendIndex = sends++;
            const echo = `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}`;
            if (sendIndex === 0) {
                socket.write(`HTTP/1.1 503 Service Unavailable\r\n${echo}Zinnialanding-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
                return;
            }
            const from = Number(request.header("Last-Event-Id") ?? 0);
            socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Type: text/event-stream\r\n\r\n${event(from + 1)}`);
            setTimeout(() => sendIndex === 1 ? socket.resetAndDestroy() : socket.end(event(from + 2)), 30);
        };
        upstream = await startRawUpstream(respond);
        other = await startRawUpstream(respond);
        const third = await startRawUpstream(respond);
        site = await startGateway([upstream, other, third].map(({ address }, index) => createGroupHead(address, `h${index}`, index)));
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }));
        await third.close();
        expect(sends).to.equal(3);
        expect([...answer.matchAll(/id: (\d)/g)].map(match => match[1])).to.deep.equal(["1", "2", "3"]);
        expect(site.outcomes).to.deep.equal(["delivered"]);
    });

    // Guards against refusals when several upstreams become unreachable at once and failed connections exhaust the retry budget.
    it("from a second upstream use no retry of the budget if no connection to the first can be opened", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        const [closed] = await freePorts(1);
        site = await startGateway([createUpstream(`127.0.0.1:${closed}`, "u1"), createUpstream(upstream.address, "u2")], createSite(), 0);
        const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));
        expect([parseStatus(answer), upstream.requests.length, site.outcomes]).to.deep.equal([200, 1, ["delivered"]]);
    });

    // A stalled stream was given up for another upstream whose rate limit was exhausted, and its caller got half of an answer.
    it("that are stalled are kept while the rate limits of all other upstreams are exhausted", async () => {
        upstream = await startPausingUpstream();
        other = await startRawUpstream(() => undefined);
        const heads = [createGroupHead(upstream.address, "h1", 1), createGroupHead(other.address, "h2", 2)];
        site = await startGateway(heads, createSite(), Infinity, { onTime: 100, late: 0 }, { h2: 0 });
        const bytes = encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } });
        const answer = await exchangeRaw(site.port, bytes, 1_500);
        expect([...answer.matchAll(/id: (\d)/g)].map(match => match[1])).to.deep.equal(["1", "2"]);
        expect([site.outcomes, other.requests.length]).to.deep.equal([["delivered"], 0]);
    });

    // A stream is stalled and another upstream could continue it, but the retry budget is exhausted. Giving up the attempt would end the
    // stream with a failure. It is kept, and the caller gets the rest as soon as the upstream sends events again.
    it("that are stalled are kept while the retry budget is exhausted", async () => {
        upstream = await startPausingUpstream();
        other = await startRawUpstream(() => undefined);
        site = await startGateway([createGroupHead(upstream.address, "h1", 1), createGroupHead(other.address, "h2", 2)], createSite(), 0);
        const bytes = encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } });
        const answer = await exchangeRaw(site.port, bytes, 1_500);
        expect([...answer.matchAll(/id: (\d)/g)].map(match => match[1])).to.deep.equal(["1", "2"]);
        expect(site.outcomes).to.deep.equal(["delivered"]);
    });

    // An upstream accepts requests and never answers some of them, while it looks healthy and serves others. Without a timeout the caller
    // would wait until its deadline, although another upstream would answer well before.
    it("that never come cause a retry of an idempotent request at another upstream", async () => {
        upstream = await startRawUpstream(() => undefined);
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        const baseSite = createSite();
        const routes = baseSite.routes.map(route => ({ ...route, latenessMs: 100 }));
        site = await startGateway([createUpstream(upstream.address, "u1"), createUpstream(other.address, "u2")], { ...baseSite, routes });
        const read = await exchangeRaw(site.port, encodeRequest("GET", "/read/1"), 800);
        expect(read).to.match(/^HTTP.1.1 200 [^]*done$/);
        const charge = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { id: "a2", body: "x" }), 800);
        expect(charge === "" || parseStatus(charge) === 200).to.equal(true);
        expect(upstream.requests.length + other.requests.length).to.equal(3);
    });

    // A large answer is forwarded as it comes and breaks off. The request may be repeated, but a second answer must not be appended to the
    // first half of another: the caller must see that the answer is incomplete.
    it("that break off after a part of them was forwarded are not completed by a retry", async () => {
        const part = "x".repeat(300_000);
        let sends = 0;
        upstream = await startRawUpstream((request, socket) => {
            sends++;
            const echo = `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}`;
            socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Length: 600000\r\n\r\n${part}`);
            setTimeout(() => socket.resetAndDestroy(), 200);
        });
        site = await startGateway([createUpstream(upstream.address, "u1"), createUpstream(upstream.address.replace("127.0.0.1", "localhost"), "u2")]);
        const answer = await exchangeRaw(site.port, encodeRequest("GET", "/read/1"), 900);
        expect(sends).to.equal(1);
        expect(answer.length).to.be.below(400_000);
        expect(site.outcomes).to.deep.equal(["failed"]);
    });

    // A retry at another upstream would let a non-idempotent request take effect after its caller has left.
    it("that say \"not run\" cause no retry after the caller has left", async () => {
        upstream = await startRawUpstream((request, socket) => setTimeout(() => socket.write(
            `HTTP/1.1 503 Full\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nZinnialanding-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`), 300));
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([createUpstream(upstream.address, "u1"), createUpstream(other.address, "u2", { dataCentre: "b" })]);
        await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }), 100);
        await new Promise(resolve => setTimeout(resolve, 500));
        expect(upstream.requests).to.have.length(1);
        expect(other.requests).to.have.length(0);
        expect(site.outcomes).to.deep.equal(["caller-left"]);
    });

    // A non-idempotent request whose caller has left was not ended at its deadline: it held a connection and counted as load forever.
    it("that never come are awaited until the request's deadline after the caller has left", async () => {
        let closedAfterMs: number | undefined;
        upstream = await startRawUpstream((_request, socket) => {
            const sinceMs = performance.now();
            socket.once("close", () => {
                closedAfterMs = performance.now() - sinceMs;
            });
        });
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x", headers: { "Zinnialanding-Deadline-Ms": "600" } }), 100);
        await waitUntil("the connection is closed", () => closedAfterMs !== undefined);
        expect(site.outcomes).to.deep.equal(["caller-left"]);
        expect(closedAfterMs).to.be.at.least(500);
    });

    // Guards against replacing the upstream's own failure by one of the entry, and against spending a retry that can't be sent.
    it("are forwarded if they report a failure and no other upstream may take the request, without a retry from the budget", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 500 Failed\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}Content-Length: 3\r\n\r\nbad`));
        site = await startGateway([createUpstream(upstream.address, "u1")], createSite(), 1);
        const answer = await exchangeRaw(site.port, encodeRequest("GET", "/read/1"));
        expect(answer).to.match(/^HTTP\/1.1 500 [^]*Upstream-Signature: s1[^]*bad$/);
        expect(site.retriesLeft).to.equal(1);
    });
});
