import { expect } from "chai";
import { setImmediate as nextTurn } from "node:timers/promises";
import { applySample, createConnectionShedding, noShedding, type SheddingState } from "../../src/gateway/connectionShedding.js";
import { startControlledEntry } from "../support/controlledEntry.js";
import { encodeRequest, exchangeRaw, parseStatus } from "../support/gatewaySite.js";
import { blockEventLoop } from "../support/heldLoop.js";
import { waitUntil } from "../support/platformSite.js";
import { startRawUpstream } from "../support/rawUpstream.js";

const samplesPerSecond = 4;

/** An entry that gets `offered` connections in each sample and can serve 100; its processor is busy with those not served yet. */
function runEntry(offered: (second: number) => number, seconds: number) {
    const capacity = 100;
    let backlog = 0;
    let busyShare = 0;
    const shedding = createConnectionShedding({ busyShare: () => busyShare, onChanged: () => undefined });
    return Array.from({ length: seconds * samplesPerSecond }, (_, index) => {
        const connections = offered(index / samplesPerSecond);
        const accepted = Array.from({ length: connections }, () => shedding.accepts()).filter(Boolean).length;
        busyShare = Math.min(1, (backlog + accepted) / capacity);
        backlog = Math.max(0, backlog + accepted - capacity);
        shedding.sample();
        return { accepted, areAllAccepted: accepted === connections, backlog };
    });
}

describe("the connections that an entry accepts", () => {
    // Guards against requests that wait unread at the one entry to which a load balancer hands nearly all connections of a data centre.
    it("are as many as it can serve while it is handed four times as many", () => {
        const settled = runEntry(second => second < 2 ? 40 : 400, 20).slice(-10 * samplesPerSecond);
        const mean = settled.reduce((sum, { accepted }) => sum + accepted, 0) / settled.length;
        expect(mean).to.be.within(80, 100);
        expect(Math.max(...settled.map(({ backlog }) => backlog))).to.be.at.most(10);
    });

    // Guards against callers who are turned away for a short burst or a pause of the process, or once the load is over.
    it("are all while its processor is idle at times, and soon after it was saturated", () => {
        const usual = runEntry(second => second % 3 < 0.5 ? 120 : 50, 20);
        expect(usual.every(({ areAllAccepted }) => areAllAccepted)).to.equal(true);
        const after = runEntry(second => second < 8 ? 400 : 40, 20);
        expect(after.slice(-8 * samplesPerSecond).every(({ areAllAccepted }) => areAllAccepted)).to.equal(true);
    });

    // Guards against an entry that says that it is ready and turns every caller away.
    it("are some at any load", () => {
        let state: SheddingState = noShedding;
        for (let index = 0; index < 100; index++) {
            state = applySample(state, { busyShare: 1, offered: 400, accepted: Math.min(400, Math.ceil(state.maxAccepted)) });
        }
        expect(state.maxAccepted).to.be.at.least(1);
    });
});

describe("an entry whose processor is saturated", () => {
    // Guards against a request that has been read, or may have run, on a connection that is closed without an answer.
    it("closes new connections unread, answers the requests on all others, and accepts all again afterwards", async () => {
        const upstream = await startRawUpstream((request, socket) => socket.write(
            `HTTP/1.1 200 OK\r\nZinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\n` +
            "Zinnialanding-Upstream-Signature: s1\r\nContent-Length: 4\r\n\r\ndone"));
        const entry = await startControlledEntry(upstream.address);
        const read = () => exchangeRaw(entry.port, encodeRequest("GET", "/read/1", { headers: { Connection: "close" } }), 10_000);
        const isShedding = async () => /^zinnialanding_connections_shedding 1$/m.test(await entry.metrics.text());
        const reads: Promise<string>[] = [];
        while (!await isShedding() || reads.length < 60) {
            reads.push(read(), read(), read());
            blockEventLoop(100);
            await nextTurn();
        }
        const answers = await Promise.all(reads);
        const served = answers.filter(answer => parseStatus(answer) === 200).length;
        expect(answers.filter(answer => answer === "").length).to.equal(answers.length - served);
        expect(served).to.be.within(1, answers.length - 1);
        expect(upstream.requests.length).to.equal(served);
        await waitUntil("it accepts all", async () => !await isShedding());
        expect((await Promise.all(Array.from({ length: 20 }, read))).map(parseStatus)).to.deep.equal(Array.from({ length: 20 }, () => 200));
        await entry.gateway.stop(0);
        await entry.stopControl();
        await upstream.close();
    });
});
