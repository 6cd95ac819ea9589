import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { SlowStartLimiter } from "../../src/admission/index.js";
import { RunRequestSchema } from "../../src/rpc/index.js";
import { type Attempts, createAttempts } from "../../src/sidecar/attempts.js";
import type { Engine } from "../../src/sidecar/engine.js";
import { createEngineConnection } from "../../src/sidecar/engineConnection.js";
import { createTracing } from "../../src/telemetry/index.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const pushbackS = 30;

function createEngineAt(address: string): Engine {
    return {
        address, state: undefined, isGone: false, connect: () => createEngineConnection(address, () => undefined),
        poll: () => Promise.resolve(), order: () => Promise.resolve(false), stop: () => undefined,
    };
}

describe("a sidecar whose upstream pushes back", () => {
    let upstream: RawUpstream;
    let attempts: Attempts;
    let nowMs = 0;

    beforeEach(async () => {
        upstream = await startRawUpstream((_request, socket, index) => socket.write(index === 0
            ? `HTTP/1.1 503 Busy\r\nRetry-After: ${pushbackS}\r\nContent-Length: 0\r\n\r\n`
            : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"));
        const limiter = new SlowStartLimiter({ capacity: 8, coldCapacity: 8 });
        attempts = createAttempts({
            bootId: "b1", engine: () => createEngineAt(upstream.address), limiter: () => limiter, nowMs: () => nowMs,
            tracing: createTracing({ daemonId: "sidecar-1", tracesShare: 0 }),
            onStarted: () => undefined, onCompleted: () => undefined, onFirstToken: () => undefined,
            mayForward: () => true, reportCrash: () => undefined,
            onIdle: () => undefined,
            admissionContext: () => ({
                leaving: false, epoch: 0, membersLive: true, configurationLive: true, drained: false, barred: false,
            }),
        });
    });

    afterEach(async () => {
        attempts.stop();
        await upstream.close();
    });

    /** Runs an attempt and returns its first event that is no heartbeat. */
    async function run(attemptId: string) {
        const request = create(RunRequestSchema, { attemptId, sidecarBootId: "b1", deadlineMs: 60_000, method: "POST", path: "/orders" });
        for await (const { event } of attempts.run(request, AbortSignal.timeout(5_000))) {
            if (event.case !== "heartbeat") {
                return event;
            }
        }
        return undefined;
    }

    // Guards against requests that a sidecar passes on to an upstream which has answered 503 with Retry-After, before that time is over.
    it("refuses attempts as not run until the time is over", async () => {
        const first = await run("a");
        expect([first!.case, first!.case === "started" && first!.value.status]).to.deep.equal(["started", 503]);
        nowMs += 10_000;
        const second = await run("b");
        expect(second!.case === "failure" ? [second!.value.code, second!.value.execution, second!.value.retryAfterMs] : second)
            .to.deep.equal(["upstream-busy", "not-run", 20_000]);
        expect(upstream.requests).to.have.length(1);
        nowMs += 20_000;
        expect((await run("c"))!.case).to.equal("started");
    });
});
