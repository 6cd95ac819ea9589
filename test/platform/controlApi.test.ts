import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import { PassThrough } from "node:stream";
import { freePorts } from "../../bench/processes.js";
import { createControlApi } from "../../platform/controlApi.js";
import type { PublishOutcome, SiteControl } from "../../src/siteControl/index.js";
import { createLogger } from "../../src/telemetry/index.js";
import { isRefused, type KeptCaller, openCaller } from "../support/gatewaySite.js";
import { until } from "../support/platformSite.js";

const put = "POST /api/config/put HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}";

describe("the operators' interface when it stops", () => {
    let accept: (outcome: PublishOutcome) => void;
    let published: number;
    let operator: KeptCaller;
    let port: number;
    let stop: () => Promise<void>;

    beforeEach(async () => {
        published = 0;
        const control = {
            publish: () => new Promise<PublishOutcome>(resolve => {
                published++;
                accept = resolve;
            }),
        } as unknown as SiteControl;
        const api = createControlApi(control, createLogger("error", "test", new PassThrough().resume()));
        port = (await freePorts(1))[0]!;
        await api.listen({ host: "127.0.0.1", port });
        stop = () => api.close();
        operator = await openCaller(port);
    });

    afterEach(() => operator.close());

    // A change is being accepted while the daemon stops. Cut off, its operator would not know whether it is in force, and send it again.
    it("tells the outcome of a change that it has taken, and takes no other", async () => {
        operator.send(put);
        await until("it is being accepted", () => published === 1);
        const stopped = stop();
        await until("the listener is closed", () => isRefused(port));
        operator.send(put);
        accept({ outcome: "accepted", version: 7 });
        await stopped;
        await until("the connection ends", () => operator.isEnded);
        expect(operator.text).to.match(/^HTTP\/1.1 200 [^]*\{"version":7\}/);
        expect(published).to.equal(1);
    });

    // A change finds no quorum. Waited for, it would hold up the hand-over of leadership and the whole stop.
    it("doesn't wait for long", async () => {
        operator.send(put);
        await until("it is being accepted", () => published === 1);
        const begunMs = performance.now();
        await stop();
        expect(performance.now() - begunMs).to.be.below(2_000);
        await until("the connection ends", () => operator.isEnded);
        expect(operator.text).to.equal("");
    });

    // Runners keep connections and are slow to close their side. Waited for, they would delay the hand-over of leadership.
    it("waits for no connection whose other side stays open", async () => {
        const lazy = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        await once(lazy, "connect");
        lazy.on("error", () => undefined).resume();
        const ended = once(lazy, "end");
        await stop();
        await ended;
        // In the end the connection is destroyed, and what is written to it is answered by a reset; by then the stop must have gone on.
        for (const part of ["GET", " /", "x "]) {
            lazy.write(part);
            await new Promise(resolve => setTimeout(resolve, 25));
        }
        expect(lazy.destroyed).to.equal(false);
        lazy.destroy();
    });
});
