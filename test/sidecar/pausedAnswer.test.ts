import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { Socket } from "node:net";
import { RunRequestSchema } from "../../src/rpc/index.js";
import { createEngine, type Engine } from "../../src/sidecar/engine.js";
import { runUpstream } from "../../src/sidecar/upstream.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

/** More than the library takes unread. */
const firstBytes = 80_000;
const bodyBytes = firstBytes + 2_000;
const heads = {
    "without a length": "HTTP/1.1 200 OK\r\n\r\n",
    "with a length on a closing connection": `HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\nConnection: close\r\n\r\n`,
};
const endings: Record<string, (socket: Socket) => void> = {
    ends: socket => socket.end("x".repeat(1_000)),
    "is reset": socket => socket.resetAndDestroy(),
};

describe("an answer that a sidecar does not read on", () => {
    let upstream: RawUpstream;
    let engine: Engine;

    afterEach(async () => {
        engine.stop();
        await upstream.close();
    });

    for (const [name, head] of Object.entries(heads)) {
        for (const [ending, endConnection] of Object.entries(endings)) {
            // Guards against an exception in an event of the socket, which ends the sidecar.
            it(`${name} is ${ending === "ends" ? "whole" : "broken off"} if its connection ${ending} meanwhile`, async () => {
                upstream = await startRawUpstream((request, socket) => {
                    if (request.head.startsWith("GET /state")) {
                        socket.end("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                        return;
                    }
                    socket.write(head + "x".repeat(firstBytes));
                    setTimeout(() => socket.write("x".repeat(1_000)), 30);
                    setTimeout(() => endConnection(socket), 60);
                });
                engine = createEngine(upstream.address, () => undefined);
                const run = create(RunRequestSchema, { attemptId: "a", method: "GET", path: "/read" });
                let bytes = 0;
                let outcome = "whole";
                try {
                    for await (const event of runUpstream(engine, run, AbortSignal.timeout(5_000))) {
                        bytes += event.kind === "chunk" ? event.data.length : 0;
                        await new Promise(resolve => setTimeout(resolve, 120));
                    }
                }
                catch {
                    outcome = "broken off";
                }
                expect([outcome, outcome === "whole" ? bytes : bodyBytes]).to.deep.equal([ending === "ends" ? "whole" : "broken off", bodyBytes]);
            });
        }
    }
});
