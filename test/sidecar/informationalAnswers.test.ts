import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { RunRequestSchema } from "../../src/rpc/index.js";
import { createEngine, type Engine } from "../../src/sidecar/engine.js";
import { runUpstream } from "../../src/sidecar/upstream.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

const informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

describe("informational answers of an engine", () => {
    let upstream: RawUpstream;
    let engine: Engine;

    afterEach(async () => {
        engine.stop();
        await upstream.close();
    });

    async function run(count: number): Promise<string> {
        upstream = await startRawUpstream((_request, socket) =>
            socket.write(`${informational.repeat(count)}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi`));
        engine = createEngine(upstream.address, () => undefined);
        const request = create(RunRequestSchema, { attemptId: "a", method: "GET", path: "/read" });
        const events: string[] = [];
        try {
            for await (const { kind } of runUpstream(engine, request, AbortSignal.timeout(5_000))) {
                events.push(kind);
            }
        }
        catch (error) {
            events.push((error as Error).message);
        }
        return events.join();
    }

    it("are skipped", async () => {
        expect(await run(3)).to.equal("started,chunk");
    });

    // Guards against a sidecar that reads them for as long as they come, which costs the requests of others.
    it("end the request if they come without end", async () => {
        expect(await run(2_000)).to.equal("too many informational answers");
    });
});
