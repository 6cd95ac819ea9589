import { expect } from "chai";
import { createHash } from "node:crypto";
import { createEntryHttp, type EntryHttp } from "../../src/entry/http.js";
import type { Runner } from "../../src/entry/runner.js";
import type { Session } from "../../src/session/index.js";
import { refusesConnections, type KeepAliveCaller, openCaller } from "../support/gatewaySite.js";
import { blockUntilDelivered } from "../support/heldLoop.js";
import { waitUntil } from "../support/platformSite.js";

const key = "key-1";
const configuration = {
    organisations: [{ name: "studio", keyHashes: [createHash("sha256").update(key).digest("hex")] }],
    services: [{ name: "pool", kind: "model", model: "lm" }],
    classes: [{ name: "chat", service: "pool", deadlineMs: 10_000 }],
};

function completion(): string {
    const body = JSON.stringify({ model: "lm", prompt: "x", stream: true });
    return `POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer ${key}\r\nContent-Type: application/json\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`;
}

describe("the listener for callers when it stops", () => {
    let entry: EntryHttp;
    let caller: KeepAliveCaller;
    let runs: number;
    let firstChunk: string;
    let finish: () => void;

    beforeEach(async () => {
        runs = 0;
        firstChunk = "first";
        const finished = new Promise<void>(resolve => {
            finish = resolve;
        });
        async function* chunks() {
            yield Buffer.from(firstChunk);
            await finished;
            yield Buffer.from("last");
        }
        const runner: Runner = {
            running: 0,
            waitUntilIdle: async () => undefined,
            run: async () => {
                runs++;
                return { requestId: `r${runs}`, status: 200, headers: [], chunks: chunks() };
            },
        };
        entry = await createEntryHttp({
            listen: "127.0.0.1:0", maxBodyBytes: 1_000, runner, ready: () => true, session: () => ({ view: { configuration } }) as unknown as Session,
        });
        caller = await openCaller(port());
    });

    const port = () => Number(entry.address.split(":")[1]);
    const listenerClosed = () => waitUntil("the listener is closed", () => refusesConnections(port()));

    afterEach(async () => {
        finish();
        caller.close();
        await entry.stop();
    });

    // Node does not treat a connection that never carried a request as idle: the listener waited for it until the daemon was killed.
    it("does not wait for a connection that has carried no request", async () => {
        await new Promise(resolve => setTimeout(resolve, 50));
        await entry.stop();
        await waitUntil("the connection ends", () => caller.isEnded);
    });

    // A request arrives while the event loop is blocked. Its connection looks unused, and used to be closed without an answer.
    it("answers a request that has arrived but has not been read when it stops", async () => {
        await new Promise(resolve => setTimeout(resolve, 50));
        caller.send(completion());
        blockUntilDelivered();
        await entry.stop();
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/^HTTP\/1.1 503 [^]*"execution":"not-run"/);
    });

    // The head of a stream is written before the stop, without `connection: close`. The kept-alive connection used to delay the stop until
    // the caller disconnected.
    it("finishes a stream and then closes its connection, although the head did not announce it", async () => {
        caller.send(completion());
        await waitUntil("the stream has begun", () => caller.text.includes("first"));
        const stopped = entry.stop();
        await listenerClosed();
        finish();
        await stopped;
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/data: last\n\n[^]*\[DONE\][^]*\r\n0\r\n\r\n$/);
    });

    // Guards against a stream that is broken off by the 400 to bytes that follow its request.
    it("finishes a stream although bytes follow that are no request, and then closes its connection", async () => {
        caller.send(completion());
        await waitUntil("the stream has begun", () => caller.text.includes("first"));
        caller.send("GET / HTTP/1.1\r\nHost\0: e\r\n\r\n");
        setTimeout(finish, 100);
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/data: last\n\n[^]*\[DONE\][^]*\r\n0\r\n\r\n$/);
    });

    // A request arrives while the connection is closing. Destroying the socket then sent a reset, and a slow reader lost the rest of its
    // stream.
    it("lets a slow caller read the whole stream although it sends a request while the connection closes", async () => {
        firstChunk = "y".repeat(2_000_000);
        caller.socket.pause();
        caller.send(completion());
        await waitUntil("the stream runs", () => runs === 1);
        const stopped = entry.stop();
        finish();
        await new Promise(resolve => setTimeout(resolve, 1_500));
        caller.send(completion());
        await new Promise(resolve => setTimeout(resolve, 100));
        caller.socket.resume();
        await stopped;
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/\[DONE\][^]*\r\n0\r\n\r\n$/);
    });

    // Another request is pipelined behind a running stream. The answer must tell its caller that it has not run.
    it("refuses a request pipelined behind a stream as not run, and closes the connection", async () => {
        caller.send(completion());
        await waitUntil("the stream has begun", () => caller.text.includes("first"));
        const stopped = entry.stop();
        await listenerClosed();
        caller.send(completion());
        await new Promise(resolve => setTimeout(resolve, 50));
        finish();
        await stopped;
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(runs).to.equal(1);
        expect(caller.text).to.match(/\[DONE\][^]*HTTP\/1.1 503 [^]*connection: close[^]*"execution":"not-run"/i);
    });

    // Until the load balancer stops sending callers, they are still served. Without `connection: close` they would send their next request
    // on the same connection.
    it("serves requests while it drains, and asks callers to close their connections", async () => {
        entry.drain();
        finish();
        caller.send(completion());
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/^HTTP\/1.1 200 [^]*connection: close[^]*\[DONE\]/i);
    });
});
