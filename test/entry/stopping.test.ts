import { expect } from "chai";
import { createHash } from "node:crypto";
import { createEntryHttp, type EntryHttp } from "../../src/entry/http.js";
import type { Runner } from "../../src/entry/runner.js";
import type { Session } from "../../src/session/index.js";
import { isRefused, type KeptCaller, openCaller } from "../support/gatewaySite.js";
import { letArrive } from "../support/heldLoop.js";
import { until } from "../support/platformSite.js";

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

describe("the callers' listener when it stops", () => {
    let entry: EntryHttp;
    let caller: KeptCaller;
    let runs: number;
    let first: string;
    let finish: () => void;

    beforeEach(async () => {
        runs = 0;
        first = "first";
        const finished = new Promise<void>(resolve => {
            finish = resolve;
        });
        async function* chunks() {
            yield Buffer.from(first);
            await finished;
            yield Buffer.from("last");
        }
        const runner: Runner = {
            running: 0,
            idle: async () => undefined,
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
    const listenerClosed = () => until("the listener is closed", () => isRefused(port()));

    afterEach(async () => {
        finish();
        caller.close();
        await entry.stop();
    });

    // An unused connection is not idle to Node: the listener waited for its caller for ever, until the daemon was killed.
    it("waits for no connection that has carried nothing", async () => {
        await new Promise(resolve => setTimeout(resolve, 50));
        await entry.stop();
        await until("the connection ends", () => caller.isEnded);
    });

    // The process stood still while a request came: its connection looks unused, and was ended without a word to its caller.
    it("answers a request that has arrived unread when it stops", async () => {
        await new Promise(resolve => setTimeout(resolve, 50));
        caller.send(completion());
        letArrive();
        await entry.stop();
        await until("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/^HTTP\/1.1 503 [^]*"execution":"not-run"/);
    });

    // A stream's head was written before the stop. Its connection stays open after the stream, and held the stop up until the caller left.
    it("finishes a stream and ends its connection, though nothing has announced that", async () => {
        caller.send(completion());
        await until("the stream has begun", () => caller.text.includes("first"));
        const stopped = entry.stop();
        await listenerClosed();
        finish();
        await stopped;
        await until("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/data: last\n\n[^]*\[DONE\][^]*\r\n0\r\n\r\n$/);
    });

    // Another request crosses the end of the connection: destroyed by then it was reset, and a slow reader lost the rest of the stream.
    it("lets a slow caller read a stream whole though a request of its crosses the end", async () => {
        first = "y".repeat(2_000_000);
        caller.socket.pause();
        caller.send(completion());
        await until("the stream runs", () => runs === 1);
        const stopped = entry.stop();
        finish();
        await new Promise(resolve => setTimeout(resolve, 1_500));
        caller.send(completion());
        await new Promise(resolve => setTimeout(resolve, 100));
        caller.socket.resume();
        await stopped;
        await until("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/\[DONE\][^]*\r\n0\r\n\r\n$/);
    });

    // Another request comes behind a stream that runs. It has not run, and its caller must be able to tell.
    it("refuses as not run what comes behind a stream, and ends the connection", async () => {
        caller.send(completion());
        await until("the stream has begun", () => caller.text.includes("first"));
        const stopped = entry.stop();
        await listenerClosed();
        caller.send(completion());
        await new Promise(resolve => setTimeout(resolve, 50));
        finish();
        await stopped;
        await until("the connection ends", () => caller.isEnded);
        expect(runs).to.equal(1);
        expect(caller.text).to.match(/\[DONE\][^]*HTTP\/1.1 503 [^]*connection: close[^]*"execution":"not-run"/i);
    });

    // While the balancer may still send callers they are served. Told nothing, they would send the next request on the same connection.
    it("serves what comes before it closes, and asks callers to leave", async () => {
        entry.drain();
        finish();
        caller.send(completion());
        await until("the connection ends", () => caller.isEnded);
        expect(caller.text).to.match(/^HTTP\/1.1 200 [^]*connection: close[^]*\[DONE\]/i);
    });
});
