import { expect } from "chai";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { createGroupHead, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { measureHeldBytes } from "../support/heldBytes.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const mib = 1_048_576;
/** What an entry may come to hold for all channels together. */
const maxHeldBytes = 32 * mib;
const channels = 8;
const piece = 64;

const echo = "Zinnialanding-Attempt-Id: attempt-1\r\nZinnialanding-Upstream-Signature: s1\r\n";
/** What is sent once, and what is sent again and again after it. */
const endless: Record<string, readonly [once: string, again: string]> = {
    "in a header line": [`HTTP/1.1 200 OK\r\n${echo}X-Line: `, "x".repeat(piece)],
    "in header lines": [`HTTP/1.1 200 OK\r\n${echo}`, `X-Line: ${"x".repeat(piece)}\r\n`],
    "in place of a status line": ["", "x".repeat(piece)],
    "in informational answers": ["", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"],
    "in the extension of a chunk": [`HTTP/1.1 200 OK\r\n${echo}Transfer-Encoding: chunked\r\n\r\n1;x=`, "x".repeat(piece)],
    "in trailers": [`HTTP/1.1 200 OK\r\n${echo}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n`, `X-Line: ${"x".repeat(piece)}\r\n`],
    "in an event": [`HTTP/1.1 200 OK\r\n${echo}Content-Type: text/event-stream\r\n\r\n`, "x".repeat(piece)],
};

describe("informational answers of an upstream", () => {
    // Guards against an entry that reads them for as long as they come, which costs the requests of others.
    for (const [count, status] of [[3, 200], [2_000, 502]] as const) {
        it(`end its request if there are too many: ${count}`, async () => {
            const upstream = await startRawUpstream((request, socket) => socket.write(
                `${"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(count)}HTTP/1.1 200 OK\r\n` +
                `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
                "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone"));
            const site = await startGateway([createUpstream(upstream.address, "u1")]);
            const answer = await exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x", headers: { Connection: "close" } }), 2_000);
            expect(parseStatus(answer)).to.equal(status);
            site.stop();
            await upstream.close();
        });
    }
});

describe("bytes without end that are no answer", () => {
    let troubled: Server;
    let sound: RawUpstream;
    let site: GatewaySite;
    const sockets = new Set<Socket>();
    let openedCount: number;

    async function start(once: string, again: string) {
        const pieces = Buffer.from(again.repeat(1_024));
        openedCount = 0;
        troubled = createServer(socket => {
            openedCount++;
            sockets.add(socket);
            socket.on("error", () => undefined).on("close", () => sockets.delete(socket));
            const pour = () => {
                // A turn of the event loop for each write: this process serves the other requests as well.
                if (!socket.destroyed && socket.write(pieces)) {
                    setImmediate(pour);
                }
            };
            socket.on("drain", pour).once("data", () => {
                socket.write(once);
                pour();
            });
        });
        await new Promise<void>(resolve => troubled.listen(0, "127.0.0.1", resolve));
        sound = await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
            "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone"));
        const { port } = troubled.address() as AddressInfo;
        site = await startGateway([createUpstream(sound.address, "sound"), createGroupHead(`127.0.0.1:${port}`, "troubled", 1)], undefined, 0);
    }

    afterEach(async () => {
        site.stop();
        sockets.forEach(socket => socket.destroy());
        troubled.close();
        await sound.close();
    });

    for (const [place, [once, again]] of Object.entries(endless)) {
        // Guards against an entry that holds them all, or that serves nobody else meanwhile.
        it(`${place} cost neither the memory of the entry nor the requests of others`, async () => {
            await start(once, again);
            const heldBefore = measureHeldBytes();
            const caption = encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm", "Zinnialanding-Deadline-Ms": "1000" } });
            const troubledAnswers = Array.from({ length: channels }, () => exchangeRaw(site.port, caption, 1_500));
            const reads: (number | undefined)[] = [];
            for (let number = 0; number < 10; number++) {
                const charge = encodeRequest("POST", "/charge/1", { id: `r${number}`, body: "x", headers: { Connection: "close" } });
                reads.push(parseStatus(await exchangeRaw(site.port, charge, 2_000)));
            }
            expect(new Set(reads)).to.deep.equal(new Set([200]));
            expect(measureHeldBytes() - heldBefore, "held while the bytes come").to.be.below(maxHeldBytes);
            await Promise.all(troubledAnswers);
            expect(openedCount).to.be.at.least(channels / 2);
            expect(measureHeldBytes() - heldBefore, "held afterwards").to.be.below(maxHeldBytes);
            await waitUntil("the connections to the upstream are closed", () => sockets.size === 0, 5_000);
        });
    }
});
