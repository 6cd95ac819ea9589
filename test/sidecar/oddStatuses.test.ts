import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { RunRequestSchema } from "../../src/rpc/index.js";
import { createEngine, type Engine } from "../../src/sidecar/engine.js";
import { runUpstream, UpstreamError } from "../../src/sidecar/upstream.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

describe("an engine's answer with a status that HTTP doesn't have", () => {
    let upstream: RawUpstream;
    let engine: Engine;

    afterEach(async () => {
        engine.stop();
        await upstream.close();
    });

    for (const status of ["000", "099", "600", "999"]) {
        // Guards against a caller that takes what an engine in trouble sends for an answer, or the answer behind it for its own.
        it(`isn't passed on, nor what follows it: ${status}`, async () => {
            upstream = await startRawUpstream((_request, socket) =>
                socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi`));
            engine = createEngine(upstream.address, () => undefined);
            const request = create(RunRequestSchema, { attemptId: "a", method: "GET", path: "/read" });
            const events: string[] = [];
            let failure: unknown;
            try {
                for await (const event of runUpstream(engine, request, AbortSignal.timeout(5_000))) {
                    events.push(event.kind);
                }
            }
            catch (error) {
                failure = error;
            }
            expect(events).to.deep.equal([]);
            expect(failure).to.be.instanceOf(UpstreamError);
            expect((failure as UpstreamError).mayHaveReached).to.equal(true);
            expect((failure as UpstreamError).message).to.contain("status");
        });
    }
});
