import { expect } from "chai";
import {
    createUpstream, encodeRequest, type GatewaySite, type KeepAliveCaller, openCaller, parseStatus, startGateway,
} from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** Longer and shorter than all timeouts of the requests here. */
const [longMs, shortMs] = [60_000, 500];
const charge = (id: string) => encodeRequest("POST", "/charge/1", { id, body: "x" });

describe("an action that comes while an entry shuts down and still listens", () => {
    let upstream: RawUpstream;
    let site: GatewaySite;
    let caller: KeepAliveCaller;

    beforeEach(async () => {
        upstream = await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
            "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone"));
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        caller = await openCaller(site.port);
        await waitUntil("the connection is accepted", () => site.server.connections.open === 1);
    });

    afterEach(async () => {
        caller.close();
        site.stop();
        await upstream.close();
    });

    const drain = (withinMs: number) =>
        site.server.drain({ listenerClosesAtMs: Infinity, cutOffAtMs: performance.now() + withinMs });

    for (const connection of ["unused", "kept"] as const) {
        // Guards against an action that is taken, and cut off at the end of the shutdown with its outcome unknown.
        it(`is refused at once if it may not be finished in time, on a connection that is ${connection}`, async () => {
            if (connection === "kept") {
                caller.send(charge("a1"));
                await waitUntil("the first is answered", () => caller.text.endsWith("done"));
            }
            const runsBefore = upstream.requests.length;
            const answeredChars = caller.text.length;
            drain(shortMs);
            caller.send(charge("a2"));
            await waitUntil("the connection ends", () => caller.isEnded);
            const answer = caller.text.slice(answeredChars);
            expect(parseStatus(answer)).to.equal(503);
            expect(answer).to.contain("Retry-After: 0.00").and.to.contain("Connection: close");
            expect(upstream.requests).to.have.length(runsBefore);
            expect(site.stopCounts).to.deep.equal([{ listener: "open", connection, outcome: "refused" }]);
        });
    }

    it("is served if it is certain to be finished in time", async () => {
        drain(longMs);
        caller.send(charge("a1"));
        await waitUntil("the connection ends", () => caller.isEnded);
        expect(parseStatus(caller.text)).to.equal(200);
    });
});
