import { expect } from "chai";
import type { Socket } from "node:net";
import { type GatewaySite, headAt, type KeptCaller, openCaller, openCallerThatReadsLater, requestBytes, siteWith, startGateway, upstreamAt } from "../support/gatewaySite.js";
import { letArrive, sendWhileBlocked } from "../support/heldLoop.js";
import { until } from "../support/platformSite.js";
import { type RawRequest, type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const signed = "Zinnialanding-Upstream-Signature: s1\r\n";
/** Beyond every time-out of the requests here. */
const longMs = 60_000;
/** Within every time-out of the requests here. */
const shortMs = 500;

function ok(request: RawRequest, body: string): string {
    return `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}` +
        `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function streamHead(request: RawRequest): string {
    return `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n${signed}` +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

function chunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const read = (id: string, body?: string) => requestBytes("POST", "/read/1", { id, body: body ?? "x" });

function caption(id: string, headers: Record<string, string> = {}): string {
    return requestBytes("POST", "/caption/1", { id, body: "x", headers: { "Zinnialanding-Model": "lm", ...headers } });
}

const statuses = (text: string) => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => Number(match[1]));

describe("an entry that stops", () => {
    let upstream: RawUpstream;
    let site: GatewaySite;
    let caller: KeptCaller;

    /** One plain upstream that answers each request with `body`. */
    async function startPlain(body = "done") {
        upstream = await startRawUpstream((request, socket) => socket.write(ok(request, body)));
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        caller = await openCaller(site.port);
        await until("the connection is accepted", () => site.server.connections.open === 1);
    }

    /** One head whose first stream begins and goes on when the test says so. */
    async function startStream(timeoutMs = 3_000): Promise<{ finish(): void }> {
        let running: Socket | undefined;
        upstream = await startRawUpstream((request, socket) => {
            running ??= socket;
            socket.write(streamHead(request) + chunk("id: 1\ndata: a\n\n"));
        });
        const routes = siteWith().routes.map(route => ({ ...route, timeoutMs }));
        site = await startGateway([headAt(upstream.address, "u1", 1)], siteWith({ routes }));
        caller = await openCaller(site.port);
        return { finish: () => void running!.write(chunk("id: 2\ndata: b\n\n") + chunk("")) };
    }

    function drain(withinMs: number, closesInMs = Infinity) {
        site.server.drain({ closesAtMs: performance.now() + closesInMs, untilMs: performance.now() + withinMs });
    }

    function stop(withinMs: number) {
        drain(withinMs);
        return site.server.closeListener();
    }

    afterEach(async () => {
        caller.close();
        site.stop();
        await upstream.close();
    });

    // The head of a stream was written before SIGTERM, so nothing told the caller to leave; its next request was taken and cut off.
    it("ends the connection of a stream that ran while the listener closed, and takes nothing more on it", async () => {
        const stream = await startStream();
        caller.send(caption("a1"));
        await until("the stream has begun", () => caller.text.includes("id: 1"));
        await stop(longMs);
        stream.finish();
        await until("the stream is whole", () => caller.text.endsWith("0\r\n\r\n"));
        caller.send(caption("a2"));
        await until("the connection ends", () => caller.isEnded);
        expect(upstream.requests.map(request => request.header("Zinnialanding-Attempt-Id"))).to.deep.equal(["a1"]);
    });

    // A connection that was opened ahead has carried nothing and is not among those that Node closes as idle; its first request was taken.
    it("closes connections that have carried nothing with its listener", async () => {
        await startPlain();
        await stop(longMs);
        caller.send(read("a1"));
        await until("the connection ends", () => caller.isEnded);
        expect(upstream.requests).to.have.length(0);
    });

    // A whole request is unread when the listener closes, and its connection looks unused: it was ended without an answer.
    it("answers a request that has arrived unread when its listener closes", async () => {
        await startPlain();
        caller.send(read("a1"));
        letArrive();
        await stop(longMs);
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([200]);
        expect(caller.text).to.contain("Connection: close");
    });

    // The same for a connection that waits to be accepted: closed with the listener, it was reset.
    it("answers a request on a connection that waits to be accepted when its listener closes", async () => {
        await startPlain();
        const { answer } = sendWhileBlocked(site.port, read("a1"));
        await stop(longMs);
        expect(statuses(await answer)).to.deep.equal([200]);
    });

    it("closes connections that are idle with its listener", async () => {
        await startPlain();
        caller.send(read("a1"));
        await until("the answer has come", () => caller.text.endsWith("done"));
        await stop(longMs);
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([200]);
    });

    // Answers are written in full and their caller reads slowly: to Node such a connection is idle, and the rest was cut off.
    it("sends answers that are written to their end", async () => {
        const count = 60;
        await startPlain("y".repeat(200_000));
        caller.socket.pause();
        caller.send(Array.from({ length: count }, (_, place) => read(`a${place}`)).join(""));
        await until("all are answered", () => site.outcomes.length === count);
        await stop(longMs);
        caller.socket.resume();
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.have.length(count);
        expect(caller.text.length).to.be.above(count * 200_000);
    });

    // Another request crosses the end of the connection: destroyed by then it was reset, and a slow reader lost its answers.
    it("lets a slow caller read answers whole though a request of its crosses the end", async () => {
        const count = 6;
        await startPlain("y".repeat(400_000));
        caller.socket.pause();
        caller.send(Array.from({ length: count }, (_, place) => read(`a${place}`)).join(""));
        await until("all are answered", () => site.outcomes.length === count);
        await stop(longMs);
        await new Promise(resolve => setTimeout(resolve, 1_500));
        caller.send(read("late"));
        await new Promise(resolve => setTimeout(resolve, 100));
        caller.socket.resume();
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.have.length(count);
        expect(caller.text.length).to.be.above(count * 400_000);
        expect(upstream.requests).to.have.length(count);
    });

    // An end that is announced with the first of several requests cuts off the others, which run by then.
    it("answers all requests that were sent one behind the other, and announces the end with the last", async () => {
        await startPlain();
        drain(longMs);
        caller.send(read("a1") + read("a2") + read("a3"));
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([200, 200, 200]);
        expect(caller.text.split("HTTP/1.1 ").slice(1).map(answer => answer.includes("Connection: close"))).to.deep.equal([false, false, true]);
    });

    // The answer that announced the end still runs when another request comes behind it: passed on, it would run and never be answered.
    it("takes no request behind an answer that has announced the end", async () => {
        const stream = await startStream();
        drain(longMs);
        caller.send(caption("a1"));
        await until("the stream has begun", () => caller.text.includes("id: 1"));
        expect(caller.text).to.contain("Connection: close");
        caller.send(caption("a2"));
        await new Promise(resolve => setTimeout(resolve, 50));
        stream.finish();
        await until("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/id: 2[^]*\r\n0\r\n\r\n$/);
        expect(upstream.requests).to.have.length(1);
    });

    // Balancers send callers for some seconds after an entry says that it is not ready: refused, those would wait for nothing.
    it("serves what comes before its listener closes, and asks callers to leave", async () => {
        await startPlain();
        drain(shortMs);
        caller.send(read("a1"));
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([200]);
        expect(caller.text).to.contain("Connection: close");
    });

    // A head is half here when the listener closes: taken, the request may be given up when the process leaves.
    it("refuses at once what it may be unable to finish", async () => {
        await startPlain();
        const bytes = read("a1");
        caller.send(bytes.slice(0, 30));
        await until("the first bytes are here", () => site.server.connections.unused === 1 && caller.socket.bytesWritten === 30);
        await new Promise(resolve => setTimeout(resolve, 50));
        await stop(shortMs);
        caller.send(bytes.slice(30));
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([503]);
        expect(caller.text).to.contain("Retry-After: 0.00").and.to.contain("Connection: close");
        expect(upstream.requests).to.have.length(0);
        expect(site.whileStopping).to.deep.equal([{ listener: "closed", connection: "unused", outcome: "refused" }]);
    });

    // A timer is late when the process stands still, so the listener is still open after the time at which it should have closed.
    it("refuses what it may be unable to finish once its listener should be closed", async () => {
        await startPlain();
        drain(shortMs, 0);
        caller.send(read("a1"));
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([503]);
        expect(upstream.requests).to.have.length(0);
    });

    // An answer can only be sent behind a stream that may outlast the stop: the request would run, and its answer be lost.
    it("refuses what comes behind a stream that may not end in time", async () => {
        const stream = await startStream(longMs);
        caller.send(caption("a1", { "Zinnialanding-Deadline-Ms": String(longMs) }));
        await until("the stream has begun", () => caller.text.includes("id: 1"));
        await stop(longMs / 2);
        caller.send(caption("a2"));
        await until("it is refused", () => site.whileStopping.length === 1);
        stream.finish();
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([200, 503]);
        expect(upstream.requests).to.have.length(1);
    });

    // Final just when the stop's time is over, an answer could still be cut off while it is sent.
    it("leaves time to send the last answers", async () => {
        await startPlain();
        const bytes = read("a1");
        caller.send(bytes.slice(0, 30));
        await new Promise(resolve => setTimeout(resolve, 50));
        await stop(2_100);
        caller.send(bytes.slice(30));
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([503]);
    });

    it("serves what it is sure to finish, though its listener is closed", async () => {
        await startPlain();
        const bytes = read("a1");
        caller.send(bytes.slice(0, 30));
        await new Promise(resolve => setTimeout(resolve, 50));
        await stop(longMs);
        caller.send(bytes.slice(30));
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([200]);
        expect(caller.text).to.contain("Connection: close");
    });

    // A body still comes when the listener closes: the head was read in time, but the request can only begin to run now.
    it("refuses a request whose body comes too late to finish it", async () => {
        await startPlain();
        const bytes = read("a1", "x".repeat(100));
        caller.send(bytes.slice(0, -50));
        await until("the head is read", () => site.server.running === 1);
        await stop(shortMs);
        caller.send(bytes.slice(-50));
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([503]);
        expect(upstream.requests).to.have.length(0);
    });

    // Closed with bytes of a body unread, the connection is reset, and the caller sees a broken connection in place of the refusal.
    it("lets a caller that still sends its body read the refusal", async () => {
        await startPlain();
        const [bytes, slow] = [read("a1", "x".repeat(400_000)), await openCallerThatReadsLater(site.port)];
        const begun = bytes.indexOf("\r\n\r\n");
        slow.send(bytes.slice(0, begun));
        await until("it is accepted", () => site.server.connections.open === 2);
        await new Promise(resolve => setTimeout(resolve, 50));
        await stop(shortMs);
        slow.send(bytes.slice(begun, begun + 1_000));
        await until("it is refused", () => site.whileStopping.length === 1);
        for (const at of [1_000, 200_000]) {
            slow.send(bytes.slice(begun + at, at === 1_000 ? begun + 200_000 : undefined));
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        slow.socket.resume();
        await until("the connection ends", () => slow.isEnded);
        slow.close();
        expect(slow.isReset).to.equal(false);
        expect(statuses(slow.text)).to.deep.equal([503]);
    });

    // Callers whose requests still ran at the end of the stop got a closed connection, and waited before they asked elsewhere.
    it("answers what it can't wait for any longer", async () => {
        upstream = await startRawUpstream(() => undefined);
        site = await startGateway([upstreamAt(upstream.address, "u1")]);
        caller = await openCaller(site.port);
        caller.send(requestBytes("POST", "/charge/1", { body: "x" }));
        await until("it runs", () => upstream.requests.length === 1);
        await stop(shortMs);
        site.server.endRunning();
        await until("the connection ends", () => caller.isEnded);
        expect(statuses(caller.text)).to.deep.equal([502]);
        expect(site.whileStopping).to.deep.equal([{ listener: "closed", connection: "unused", outcome: "cut-off" }]);
    });

    // A refusal was sent whole while the rest of its request's body may still come. Counted as cut off, it looks like a lost answer.
    it("counts no answer as cut off that has been sent", async () => {
        await startPlain();
        const bytes = requestBytes("POST", "/nowhere/1", { body: "x".repeat(2_000) });
        caller.send(bytes.slice(0, -1_000));
        await until("it is answered", () => caller.text.includes("no route"));
        await stop(longMs);
        site.server.endRunning();
        expect(site.whileStopping).to.deep.equal([]);
    });

    // Its caller reads slowly, and the end of the process takes what waits for it.
    it("counts answers as cut off that are not sent whole", async () => {
        await startPlain("y".repeat(200_000));
        caller.socket.pause();
        caller.send(Array.from({ length: 100 }, (_, place) => read(`a${place}`)).join(""));
        await until("all are answered", () => site.outcomes.length === 100);
        await stop(longMs);
        site.server.endRunning();
        expect(site.whileStopping.map(({ outcome }) => outcome)).to.include("cut-off");
    });
});
