import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import { PassThrough } from "node:stream";
import { freePorts } from "../../bench/processes.js";
import { createControlApi } from "../../platform/controlApi.js";
import type { PublishOutcome, SiteControl } from "../../src/siteControl/index.js";
import { createLogger } from "../../src/telemetry/index.js";
import { exchangeRaw, type KeepAliveCaller, openCaller, parseStatus, refusesConnections } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";

const putRequest = "POST /api/config/put HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}";

describe("the operators' API during a stop", () => {
    let resolvePublish: (outcome: PublishOutcome) => void;
    let publishCalls: number;
    let operator: KeepAliveCaller;
    let port: number;
    let stop: () => Promise<void>;

    beforeEach(async () => {
        publishCalls = 0;
        const control = {
            publish: () => new Promise<PublishOutcome>(resolve => {
                publishCalls++;
                resolvePublish = resolve;
            }),
        } as unknown as SiteControl;
        const api = createControlApi(control, createLogger("error", "test", new PassThrough().resume()));
        port = (await freePorts(1))[0]!;
        await api.listen({ host: "127.0.0.1", port });
        stop = () => api.close();
        operator = await openCaller(port);
    });

    afterEach(() => operator.close());

    // The daemon stops while a change is being accepted. If the call were aborted, the operator would not know whether the change is in
    // force, and would send it again.
    it("answers a change in flight and accepts no other", async () => {
        operator.send(putRequest);
        await waitUntil("the change is being accepted", () => publishCalls === 1);
        const stopped = stop();
        await waitUntil("the listener is closed", () => refusesConnections(port));
        operator.send(putRequest);
        resolvePublish({ outcome: "accepted", version: 7 });
        await stopped;
        await waitUntil("the connection ends", () => operator.isEnded);
        expect(operator.text).to.match(/^HTTP\/1.1 200 [^]*\{"version":7\}/);
        expect(publishCalls).to.equal(1);
    });

    // A change finds no quorum. Waiting for it would delay the transfer of leadership and the whole stop.
    it("waits for a change no longer than the drain timeout", async () => {
        operator.send(putRequest);
        await waitUntil("the change is being accepted", () => publishCalls === 1);
        const startedMs = performance.now();
        await stop();
        expect(performance.now() - startedMs).to.be.below(2_000);
        await waitUntil("the connection ends", () => operator.isEnded);
        expect(operator.text).to.equal("");
    });

    // Runners keep connections open and are slow to close their side. Waiting for them would delay the transfer of leadership.
    it("does not wait for connections whose peer keeps its side open", async () => {
        const halfOpenSocket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        await once(halfOpenSocket, "connect");
        halfOpenSocket.on("error", () => undefined).resume();
        const ended = once(halfOpenSocket, "end");
        await stop();
        await ended;
        // The server destroys the connection later, after which writes are answered with a reset. The stop must not wait for that.
        for (const part of ["GET", " /", "x "]) {
            halfOpenSocket.write(part);
            await new Promise(resolve => setTimeout(resolve, 25));
        }
        expect(halfOpenSocket.destroyed).to.equal(false);
        halfOpenSocket.destroy();
    });
});

describe("an exception in a call of the operators' API", () => {
    // Guards against an exception that nobody learns of, and against its text in an answer.
    it("is logged and costs that call alone", async () => {
        const lines: string[] = [];
        const output = new PassThrough().on("data", line => lines.push(String(line)));
        const control = {
            publish: () => Promise.reject(new Error("broken part")),
            evacuate: () => Promise.resolve("accepted"),
        } as unknown as SiteControl;
        const api = createControlApi(control, createLogger("error", "test", output));
        const port = (await freePorts(1))[0]!;
        await api.listen({ host: "127.0.0.1", port });
        const startRequest = "POST /api/evacuations/a/start HTTP/1.1\r\nHost: c\r\n\r\n";
        const answers = [await exchangeRaw(port, putRequest, 100), await exchangeRaw(port, startRequest, 100)];
        await api.close();
        expect(answers.map(parseStatus)).to.deep.equal([500, 200]);
        expect(answers[0]).not.to.include("broken part");
        expect(lines.join("")).to.include("exception contained").and.include("broken part").and.include("/api/config/put");
    });
});
