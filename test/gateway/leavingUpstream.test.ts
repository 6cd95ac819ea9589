import { expect } from "chai";
import { createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway } from "../support/gatewaySite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** Starts an upstream that answers every request with `head` and says that it leaves. */
function startLeaving(head = "HTTP/1.1 200 OK", more = "Zinnialanding-Upstream-Signature: s1\r\n"): Promise<RawUpstream> {
    return startRawUpstream((request, socket) => socket.write(`${head}\r\nZinnialanding-Attempt-Id: ${
        request.header("Zinnialanding-Attempt-Id")}\r\n${more}Server-Leaving: 1\r\nContent-Length: 4\r\n\r\ndone`));
}

describe("an entry whose upstream says that it leaves", () => {
    let upstream: RawUpstream;
    let site: GatewaySite;

    afterEach(async () => {
        site.stop();
        await upstream.close();
    });

    const charge = () => exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));

    // Guards against requests to a leaving upstream whose departure the control daemons don't know, or can't tell a cut-off entry.
    it("sends it nothing more, whatever control daemons say of this incarnation, and reports it until it is gone", async () => {
        upstream = await startLeaving();
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        expect([parseStatus(await charge()), parseStatus(await charge())]).to.deep.equal([200, 503]);
        site.view.apply({ kind: "upstreams", upstreams: [createUpstream(upstream.address, "u1", { sequence: 9 })] });
        expect(parseStatus(await charge())).to.equal(503);
        expect(site.view.observedDraining).to.deep.equal([{ id: "u1", bornMs: 1 }]);
        site.view.apply({ kind: "upstreams", upstreams: [createUpstream(upstream.address, "u1", { bornMs: 2 })] });
        expect([parseStatus(await charge()), upstream.requests.length]).to.deep.equal([200, 2]);
        site.view.apply({ kind: "upstreams", upstreams: [createUpstream(upstream.address, "u1", { bornMs: 2, isGone: true, hasLeft: true })] });
        expect(site.view.observedDraining).to.deep.equal([]);
    });

    it("sends it nothing more after a refusal that says so", async () => {
        upstream = await startLeaving("HTTP/1.1 503 Busy", "Zinnialanding-Not-Executed: 1\r\n");
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        expect([parseStatus(await charge()), parseStatus(await charge()), upstream.requests.length]).to.deep.equal([503, 503, 1]);
    });

    // Guards against attributing what the upstream says that has taken over an address to the one that had it before.
    it("takes nothing from the answer of another upstream at the address", async () => {
        upstream = await startLeaving("HTTP/1.1 421 Misdirected", "Zinnialanding-Served-By: u9\r\nZinnialanding-Instance-Load: 50,50,8\r\n");
        site = await startGateway([createUpstream(upstream.address, "u1")]);
        expect(parseStatus(await charge())).to.equal(503);
        expect(site.view.observedDraining).to.deep.equal([]);
    });
});
