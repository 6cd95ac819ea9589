import { expect } from "chai";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { createGroupHead, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";

/** More than the entry may hold and the sockets in between have room for. */
const maxTakenBytes = 48 * 1_048_576;
const chunk = Buffer.alloc(65_536, "x");
const read = encodeRequest("GET", "/read/1");
const charge = encodeRequest("POST", "/charge/1", { body: "x" });
const caption = encodeRequest("POST", "/caption/1", { body: "x", headers: { "Zinnialanding-Model": "lm" } });

describe("an answer without end", () => {
    let upstream: Server;
    let site: GatewaySite;
    let takenBytes: number;
    let sockets: Set<Socket>;

    /**
     * Starts an upstream that writes `head` and then bytes until the entry closes the connection: as many as it takes, or from
     * `pouredBytes` on only some each time.
     */
    async function start(status: string, head = "", pouredBytes = Infinity) {
        takenBytes = 0;
        sockets = new Set();
        upstream = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined).on("close", () => sockets.delete(socket));
            const pour = () => {
                while (!socket.destroyed && takenBytes < pouredBytes && socket.write(chunk)) {
                    takenBytes += chunk.length;
                }
                takenBytes += chunk.length;
            };
            socket.once("data", () => {
                socket.write(`HTTP/1.1 ${status}\r\nZinnialanding-Attempt-Id: attempt-1\r\nZinnialanding-Upstream-Signature: s1\r\n${head}\r\n`);
                socket.on("drain", () => takenBytes < pouredBytes ? pour() : setTimeout(() => socket.write("x"), 50));
                pour();
            });
        });
        await new Promise<void>(resolve => upstream.listen(0, resolve));
        const { port } = upstream.address() as AddressInfo;
        site = await startGateway([createUpstream(`127.0.0.1:${port}`, "plain"), createGroupHead(`127.0.0.2:${port}`, "head", 1)], undefined, 0);
    }

    afterEach(() => {
        site.stop();
        sockets.forEach(socket => socket.destroy());
        upstream.close();
    });

    async function expectBoundedEnd(request: string, maxCallerBytes = 10_000) {
        const answer = await exchangeRaw(site.port, request, 3_500);
        expect(takenBytes).to.be.below(maxTakenBytes);
        expect(answer.length).to.be.below(maxCallerBytes);
        await waitUntil("the connection to the upstream is closed", () => sockets.size === 0, 5_000);
        return answer;
    }

    // Guards against an entry that ends for want of memory: errors were collected whole.
    it("with an error status is given up once it is too large, and its caller gets an error", async () => {
        await start("500 Failed");
        expect(parseStatus(await expectBoundedEnd(read))).to.equal(502);
    });

    it("with an error status to a stream is given up as well", async () => {
        await start("500 Failed");
        expect(parseStatus(await expectBoundedEnd(caption))).to.equal(502);
    });

    it("that says it has not run is a refusal", async () => {
        await start("503 Full", "Zinnialanding-Not-Executed: 1\r\n");
        expect(parseStatus(await expectBoundedEnd(read))).to.equal(503);
    });

    // Guards against a stream that is held open and in memory by an event that never ends.
    it("with one event is broken off", async () => {
        await start("200 OK", "Content-Type: text/event-stream\r\n");
        const answer = await expectBoundedEnd(caption);
        expect(answer).to.match(/^HTTP\/1\.1 200/).and.not.match(/\r\n0\r\n\r\n$/);
    });

    // A caller who may not ask again gets the upstream's own status, and as much as comes until the time is over.
    it("with an error status to a request that can't be repeated reaches its caller as it comes, and is cut", async () => {
        await start("500 Failed", "", 524_288);
        const answer = await exchangeRaw(site.port, charge, 3_500);
        expect(answer).to.match(/^HTTP\/1\.1 500/).and.not.match(/\r\n0\r\n\r\n$/);
        await waitUntil("the connection to the upstream is closed", () => sockets.size === 0, 5_000);
    });
});
