import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { Socket } from "node:net";
import { SlowStartLimiter } from "../../src/admission/index.js";
import { RunRequestSchema } from "../../src/rpc/index.js";
import { type Attempts, createAttempts } from "../../src/sidecar/attempts.js";
import { createEngine, type Engine } from "../../src/sidecar/engine.js";
import { createTracing } from "../../src/telemetry/index.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

describe("an answer of a plain upstream that ends with its connection", () => {
    let upstream: RawUpstream;
    let engine: Engine;
    let attempts: Attempts;
    let endAnswer: (socket: Socket) => void;

    beforeEach(async () => {
        upstream = await startRawUpstream((_request, socket) => {
            socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf");
            setTimeout(() => endAnswer(socket), 50);
        });
        engine = createEngine(upstream.address, () => undefined);
        const limiter = new SlowStartLimiter({ capacity: 8, coldCapacity: 8 });
        attempts = createAttempts({
            bootId: "b1", engine: () => engine, limiter: () => limiter, nowMs: () => performance.now(),
            tracing: createTracing({ daemonId: "sidecar-1", tracesShare: 0 }),
            onStarted: () => undefined, onCompleted: () => undefined, onFirstToken: () => undefined, mayForward: () => true,
            reportCrash: () => undefined, onIdle: () => undefined,
            admissionContext: () => ({
                leaving: false, epoch: 0, membersLive: true, configurationLive: true, drained: false, barred: false,
            }),
        });
    });

    afterEach(async () => {
        attempts.stop();
        engine.stop();
        await upstream.close();
    });

    async function lastEvent() {
        const request = create(RunRequestSchema, { attemptId: "a", sidecarBootId: "b1", deadlineMs: 60_000, method: "GET", path: "/read" });
        let last: string | undefined;
        for await (const { event } of attempts.run(request, AbortSignal.timeout(5_000))) {
            last = event.case === "heartbeat" ? last : event.case;
        }
        return last;
    }

    it("is whole if the connection is closed in order", async () => {
        endAnswer = socket => socket.end(" and half");
        expect(await lastEvent()).to.equal("end");
    });

    // Guards against an answer that its caller takes for whole although the upstream has crashed in the middle of it.
    it("is incomplete if the connection is reset", async () => {
        endAnswer = socket => socket.resetAndDestroy();
        expect(await lastEvent()).to.equal("failure");
    });
});
