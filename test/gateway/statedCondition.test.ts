import { expect } from "chai";
import { createSite, createUpstream, encodeRequest, exchangeRaw, type GatewaySite, parseStatus, startGateway } from "../support/gatewaySite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** Starts an upstream that answers every request with `head` and says that it leaves. */
function startLeaving(head = "HTTP/1.1 200 OK", more = "Zinnialanding-Upstream-Signature: s1\r\n"): Promise<RawUpstream> {
    return startRawUpstream((request, socket) => socket.write(`${head}\r\nZinnialanding-Attempt-Id: ${
        request.header("Zinnialanding-Attempt-Id")}\r\n${more}Server-Leaving: 1\r\nContent-Length: 4\r\n\r\ndone`));
}

describe("an entry whose upstream states its own condition in answers", () => {
    let upstream: RawUpstream;
    let site: GatewaySite;

    afterEach(async () => {
        site.stop();
        await upstream.close();
    });

    const charge = () => exchangeRaw(site.port, encodeRequest("POST", "/charge/1", { body: "x" }));

    // Guards against requests to a leaving upstream whose departure the control daemons don't know, or can't tell a cut-off entry.
    it("sends an upstream that leaves nothing more, whatever control daemons say of this incarnation, and reports it until it is gone", async () => {
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

    it("sends it nothing more after a refusal that says that it leaves", async () => {
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

    // Guards against a burst to an upstream that has turned cold since its last announcement.
    it("keeps to its share of the cold rate once an answer says that the upstream is cold", async () => {
        upstream = await startRawUpstream((request, socket) => socket.write("HTTP/1.1 200 OK\r\nZinnialanding-Cold-Remaining-Ms: 30000\r\n" +
            `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
            "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone"));
        const { services, ...rest } = createSite();
        const withColdRate = services.map(service => ({ ...service, coldMs: 30_000, coldRequestsPerSecond: 2 }));
        site = await startGateway([createUpstream(upstream.address, "u1")], { ...rest, services: withColdRate });
        expect(parseStatus(await charge())).to.equal(200);
        const statuses = (await Promise.all(Array.from({ length: 8 }, charge))).map(parseStatus);
        expect(statuses.filter(status => status === 200)).to.have.length(2);
    });
});
