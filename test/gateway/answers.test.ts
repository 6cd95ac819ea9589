import { expect } from "chai";
import { freePorts } from "../../bench/processes.js";
import type { Socket } from "node:net";
import type { RawRequest, RawUpstream } from "../support/rawUpstream.js";
import { startRawUpstream } from "../support/rawUpstream.js";
import { exchangeRaw, type GatewaySite, headAt, requestBytes, siteWith, startGateway, statusOf, upstreamAt } from "../support/gatewaySite.js";
import { until } from "../support/platformSite.js";

const signed = "Zinnialanding-Upstream-Signature: s1\r\n";

function ok(id: string | undefined, body: string, more = ""): string {
    return `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${id}\r\n${signed}${more}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** An upstream whose streams have two events, with a long pause between them. */
function startPausingUpstream(): Promise<RawUpstream> {
    const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
    return startRawUpstream((request, socket) => {
        const echo = `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}`;
        socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Type: text/event-stream\r\n\r\n${event(1)}`);
        setTimeout(() => socket.end(event(2)), 1_200);
    });
}

describe("answers of upstreams at an entry", () => {
    let upstream: RawUpstream;
    let other: RawUpstream | undefined;
    let site: GatewaySite;

    afterEach(async () => {
        site.stop();
        await upstream.close();
        await other?.close();
        other = undefined;
    });

    it("reach the caller whole, and the upstream gets the organisation and its own id but not the key", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/charge/1?x=%20y", { body: "amount=1" }));
        expect(statusOf(answer)).to.equal(200);
        expect(answer).to.contain(signed.trim()).and.to.match(/done$/);
        const request = upstream.requests[0]!;
        expect(request.head.split("\r\n")[0]).to.equal("POST /charge/1?x=%20y HTTP/1.1");
        expect(request.body).to.equal("amount=1");
        expect([request.header("Zinnialanding-Tenant"), request.header("Zinnialanding-Target-Instance"), request.header("Api-Key")])
            .to.deep.equal(["studio", "u1", undefined]);
    });

    // The upstream's answer has no length and its connection is reset on the way. The library ends such an answer as if it were complete;
    // the caller would take half a receipt for a whole one. It must see a failure instead, which promises nothing.
    it("without a length that are reset on the way are not complete", async () => {
        upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}\r\nhalf`);
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" }));
        expect(statusOf(answer)).to.equal(502);
        expect(upstream.requests).to.have.length(1);
    });

    // The reset comes together with the last bytes. The event loop then reports the end of the stream and not the reset, as on an
    // orderly close; the caller took half a receipt for a whole one.
    it("without a length that are reset together with their last bytes are not complete", async () => {
        upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}\r\nhalf`);
            socket.resetAndDestroy();
        });
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" }));
        expect(statusOf(answer)).to.equal(502);
    });

    it("without a length that end with their connection are complete", async () => {
        upstream = await startRawUpstream((request, socket) =>
            socket.end(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}\r\nall of it`));
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" }));
        expect(statusOf(answer)).to.equal(200);
        expect(answer).to.contain("all of it");
    });

    // The upstream ran the request and its answer was lost. Sent again it would run twice; called "not run" it would be sent again by
    // the caller. So the caller gets an answer that promises nothing.
    it("that are lost are never asked for again where a request may run once", async () => {
        upstream = await startRawUpstream((_request, socket) => socket.resetAndDestroy());
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([upstreamAt(upstream.address, "u1"), upstreamAt(other.address, "u2", { dataCentre: "b" })]);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" }));
        expect(statusOf(answer)).to.equal(502);
        expect(other.requests).to.have.length(0);
    });

    it("that are lost are asked for again elsewhere where a request may be repeated", async () => {
        upstream = await startRawUpstream((_request, socket) => socket.resetAndDestroy());
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([upstreamAt(upstream.address, "u1"), upstreamAt(other.address, "u2", { dataCentre: "b" })]);
        expect(statusOf(await exchangeRaw(site.port, requestBytes("GET", "/read/1")))).to.equal(200);
    });

    // A refusal that says the request has not run is kept for the caller only when no other upstream may be tried.
    it("that say not run let a request that may run once go elsewhere", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 503 Full\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nZinnialanding-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`));
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([upstreamAt(upstream.address, "u1"), upstreamAt(other.address, "u2", { dataCentre: "b" })]);
        expect(statusOf(await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" })))).to.equal(200);
    });

    // An upstream answers twice. The second answer lies on the kept connection and would be read as the next request's.
    it("to other requests reach nobody", async () => {
        upstream = await startRawUpstream((_request, socket) => socket.write(ok("another", "not yours")));
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" }));
        expect(statusOf(answer)).to.equal(502);
        expect(answer).not.to.contain("not yours");
    });

    it("that are successes without the upstream's mark reach nobody", async () => {
        upstream = await startRawUpstream((request, socket) =>
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nContent-Length: 2\r\n\r\nhi`));
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        expect(statusOf(await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" })))).to.equal(502);
    });

    // The first head breaks off in the middle of its third event. The caller gets each event once, in order, from two upstreams, under
    // the headers of the first.
    it("that are streams go on elsewhere after the last whole event", async () => {
        const start = (id: string | undefined) =>
            `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${id}\r\n${signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
        const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
        upstream = await startRawUpstream((request, socket) => {
            socket.write(start(request.header("Zinnialanding-Attempt-Id")) + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        other = await startRawUpstream((request, socket) =>
            socket.write(start(request.header("Zinnialanding-Attempt-Id")) + chunk("id: 3\ndata: c\n\n") + chunk("")));
        site = await startGateway([headAt(upstream.address, "u1", 1), { ...headAt(other.address, "u2", 2), dataCentre: "b" }]);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }));
        expect(other.requests[0]!.header("Last-Event-Id")).to.equal("2");
        expect([...answer.matchAll(/^id: (\d)/gm)].map(match => match[1])).to.deep.equal(["1", "2", "3"]);
        expect(answer).to.match(/0\r\n\r\n$/);
    });

    // No repeat is left in the budget when a stream breaks off: what came can't be completed and must not look complete.
    it("that are streams and can't go on are cut off visibly", async () => {
        upstream = await startRawUpstream((request, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}` +
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\n\r\n");
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        site = await startGateway([headAt(upstream.address, "u1", 1)], undefined, 0);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }));
        expect(answer).to.contain("id: 1").and.not.to.match(/\r\n0\r\n\r\n$/);
        expect(site.outcomes).to.deep.equal(["failed"]);
    });

    // The only group has as many requests as can be on time. One more waits behind them, so that it delays none; the next is refused
    // at once and told when to come back, and has not run.
    it("that can't be on time any more come after the others, as many as callers wait for", async () => {
        upstream = await startRawUpstream(() => undefined);
        site = await startGateway([headAt(upstream.address, "h1", 1)], siteWith(), Infinity, { onTime: 1, late: 1 });
        const ask = (id: string) => exchangeRaw(site.port, requestBytes("POST", "/caption/1", {
            id, body: "x", headers: { "Zinnialanding-Model": "lm" },
        }));
        const waiting = [ask("a1")];
        await new Promise(resolve => setTimeout(resolve, 50));
        waiting.push(ask("a2"));
        await new Promise(resolve => setTimeout(resolve, 50));
        const refused = await ask("a3");
        expect(statusOf(refused)).to.equal(503);
        expect(refused).to.match(/Retry-After: /);
        await Promise.all(waiting);
        expect(upstream.requests.map(request => request.header("Zinnialanding-Request-Priority"))).to.deep.equal(["0", "5"]);
    });

    // The first upstream is gone from its address and says that it did not run the request, the second breaks off after an event. The
    // route allows two upstreams to run it: the third one is the second to run it, and the caller gets the whole answer.
    it("that say not run do not use up what the route allows to run it", async () => {
        const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
        let sends = 0;
        const respond = (request: RawRequest, socket: Socket) => {
            const place = sends++;
            const echo = `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}`;
            if (place === 0) {
                socket.write(`HTTP/1.1 503 Service Unavailable\r\n${echo}Zinnialanding-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
                return;
            }
            const from = Number(request.header("Last-Event-Id") ?? 0);
            socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Type: text/event-stream\r\n\r\n${event(from + 1)}`);
            setTimeout(() => place === 1 ? socket.resetAndDestroy() : socket.end(event(from + 2)), 30);
        };
        upstream = await startRawUpstream(respond);
        other = await startRawUpstream(respond);
        const third = await startRawUpstream(respond);
        site = await startGateway([upstream, other, third].map(({ address }, place) => headAt(address, `h${place}`, place)));
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } }));
        await third.close();
        expect(sends).to.equal(3);
        expect([...answer.matchAll(/id: (\d)/g)].map(match => match[1])).to.deep.equal(["1", "2", "3"]);
        expect(site.outcomes).to.deep.equal(["delivered"]);
    });

    // Guards against refusals when several upstreams become unreachable at once and failed connections exhaust the budget of second sends.
    it("from a second upstream use no second send when no connection to the first can be opened", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        const [closed] = await freePorts(1);
        site = await startGateway([upstreamAt(`127.0.0.1:${closed}`, "u1"), upstreamAt(upstream.address, "u2")], siteWith(), 0);
        const answer = await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" }));
        expect([statusOf(answer), upstream.requests.length, site.outcomes]).to.deep.equal([200, 1, ["delivered"]]);
    });

    // A stream left its upstream for another whose limit had no room for it, and its caller got half of an answer.
    it("that stand still are not left while the limit of no other upstream has room", async () => {
        upstream = await startPausingUpstream();
        other = await startRawUpstream(() => undefined);
        const heads = [headAt(upstream.address, "h1", 1), headAt(other.address, "h2", 2)];
        site = await startGateway(heads, siteWith(), Infinity, { onTime: 100, late: 0 }, { h2: 0 });
        const bytes = requestBytes("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } });
        const answer = await exchangeRaw(site.port, bytes, 1_500);
        expect([...answer.matchAll(/id: (\d)/g)].map(match => match[1])).to.deep.equal(["1", "2"]);
        expect([site.outcomes, other.requests.length]).to.deep.equal([["delivered"], 0]);
    });

    // The only events of an upstream stop, and another one could go on; but no second send is left in the budget. Left, the stream would
    // end there and then with a failure. It stays, and the caller gets the rest as soon as the upstream moves again.
    it("that stand still are not left while no second send is left", async () => {
        upstream = await startPausingUpstream();
        other = await startRawUpstream(() => undefined);
        site = await startGateway([headAt(upstream.address, "h1", 1), headAt(other.address, "h2", 2)], siteWith(), 0);
        const bytes = requestBytes("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } });
        const answer = await exchangeRaw(site.port, bytes, 1_500);
        expect([...answer.matchAll(/id: (\d)/g)].map(match => match[1])).to.deep.equal(["1", "2"]);
        expect(site.outcomes).to.deep.equal(["delivered"]);
    });

    // An upstream takes requests and never answers some of them, while it looks healthy and serves others. Its caller would wait until it
    // leaves; another upstream answers well before.
    it("that never come, from an upstream that serves others, are asked for elsewhere where a request may be repeated", async () => {
        upstream = await startRawUpstream(() => undefined);
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        const site1 = siteWith();
        const routes = site1.routes.map(route => ({ ...route, latenessMs: 100 }));
        site = await startGateway([upstreamAt(upstream.address, "u1"), upstreamAt(other.address, "u2")], { ...site1, routes });
        const read = await exchangeRaw(site.port, requestBytes("GET", "/read/1"), 800);
        expect(read).to.match(/^HTTP.1.1 200 [^]*done$/);
        const charge = await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { id: "a2", body: "x" }), 800);
        expect(charge === "" || statusOf(charge) === 200).to.equal(true);
        expect(upstream.requests.length + other.requests.length).to.equal(3);
    });

    // A large answer is passed on as it comes and breaks off. The request may be repeated, but a second answer can't follow the first half
    // of another: the caller must see that it is incomplete.
    it("that break off after a part of them was passed on are not joined with another's", async () => {
        const part = "x".repeat(300_000);
        let sends = 0;
        upstream = await startRawUpstream((request, socket) => {
            sends++;
            const echo = `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}`;
            socket.write(`HTTP/1.1 200 OK\r\n${echo}Content-Length: 600000\r\n\r\n${part}`);
            setTimeout(() => socket.resetAndDestroy(), 200);
        });
        site = await startGateway([upstreamAt(upstream.address, "u1"), upstreamAt(upstream.address.replace("127.0.0.1", "localhost"), "u2")]);
        const answer = await exchangeRaw(site.port, requestBytes("GET", "/read/1"), 900);
        expect(sends).to.equal(1);
        expect(answer.length).to.be.below(400_000);
        expect(site.outcomes).to.deep.equal(["failed"]);
    });

    // Sent on to another upstream, work that may run once would take effect after its caller has left.
    it("that say not run after the caller has left are the end of the request", async () => {
        upstream = await startRawUpstream((request, socket) => setTimeout(() => socket.write(
            `HTTP/1.1 503 Full\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nZinnialanding-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`), 300));
        other = await startRawUpstream((request, socket) => socket.write(ok(request.header("Zinnialanding-Attempt-Id"), "done")));
        site = await startGateway([upstreamAt(upstream.address, "u1"), upstreamAt(other.address, "u2", { dataCentre: "b" })]);
        await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x" }), 100);
        await new Promise(resolve => setTimeout(resolve, 500));
        expect(upstream.requests).to.have.length(1);
        expect(other.requests).to.have.length(0);
        expect(site.outcomes).to.deep.equal(["caller-left"]);
    });

    // Kept past its time after its caller has left, work that may run once held a connection and counted as load for good.
    it("that never come after the caller has left are waited for until the request's time is up", async () => {
        let closedAfterMs: number | undefined;
        upstream = await startRawUpstream((_request, socket) => {
            const sinceMs = performance.now();
            socket.once("close", () => {
                closedAfterMs = performance.now() - sinceMs;
            });
        });
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        await exchangeRaw(site.port, requestBytes("POST", "/charge/1", { body: "x", headers: { "Zinnialanding-Deadline-Ms": "600" } }), 100);
        await until("the connection is let go", () => closedAfterMs !== undefined);
        expect(site.outcomes).to.deep.equal(["caller-left"]);
        expect(closedAfterMs).to.be.at.least(500);
    });
});
