import { expect } from "chai";
import { createMemory } from "../../../src/gateway/memory/index.js";
import type { Logger } from "../../../src/telemetry/index.js";
import { startControlledEntry } from "../../support/controlledEntry.js";
import { encodeRequest, openCaller } from "../../support/gatewaySite.js";
import { waitUntil } from "../../support/platformSite.js";
import { startRawUpstream } from "../../support/rawUpstream.js";
import { answerHead, createWorld } from "./world.js";

describe("what an entry tells of held bytes", () => {
    // Guards against a cut-off or a refusal that an operator can't explain afterwards.
    it("has a log line with the inputs of each cut-off and each change of level", () => {
        const lines: string[] = [];
        const logger = { info: (message: string, fields: object) => lines.push(`${message} ${JSON.stringify(fields)}`) } as unknown as Logger;
        let nowMs = 0;
        const memory = createMemory({ limitMb: 100, logger, nowMs: () => nowMs, count: () => undefined });
        const world = createWorld(memory);
        const requests = Array.from({ length: 10 }, () => world.start("read", 0));
        for (const request of requests) {
            request.exchanges[0]!.events.head(200, answerHead(request));
            request.exchanges[0]!.events.data(Buffer.alloc(1_000_000));
        }
        memory.check();
        nowMs = 2_000;
        requests.slice(1).forEach(({ caller }) => caller.take(1_000));
        memory.check();
        requests.forEach(({ running }) => running.endNow("the test has ended"));
        expect(lines).to.deep.equal([
            "memory level changed {\"from\":\"normal\",\"to\":\"pausing\",\"totalBytes\":9001000,\"boundBytes\":16777216," +
            "\"head\":1000,\"body\":0,\"upstream\":0,\"answer\":0,\"caller\":9000000,\"holders\":10}",
            "slow caller disconnected {\"request\":\"r0\",\"reason\":\"takes-nothing\",\"heldBytes\":1000000,\"idleMs\":2000," +
            "\"isResumable\":false,\"isComplete\":false,\"level\":\"pausing\",\"totalBytes\":10001000,\"boundBytes\":16777216}",
            "memory level changed {\"from\":\"pausing\",\"to\":\"normal\",\"totalBytes\":7000800,\"boundBytes\":16777216," +
            "\"head\":800,\"body\":0,\"upstream\":0,\"answer\":0,\"caller\":7000000,\"holders\":8}",
        ]);
    });

    it("is among the metrics of an entry that has a limit, and only there", async () => {
        const upstream = await startRawUpstream(() => undefined);
        const limited = await startControlledEntry(upstream.address, { memoryLimitMb: 250 });
        const plain = await startControlledEntry(upstream.address);
        const caller = await openCaller(limited.port);
        try {
            caller.send(encodeRequest("POST", "/charge/1", { body: "x".repeat(1_000) }));
            await waitUntil("the upstream has the request", () => upstream.requests.length === 1);
            const text = await limited.metrics.text();
            expect(text).to.contain("zinnialanding_held_bytes{kind=\"upstream\"} 1000").and.to.contain("zinnialanding_held_bytes_bound 64000000");
            expect(await plain.metrics.text()).to.not.contain("zinnialanding_held_bytes");
        }
        finally {
            caller.close();
            await Promise.all([limited, plain].map(async ({ gateway, stopControl }) => {
                await gateway.stop(100);
                await stopControl();
            }));
            await upstream.close();
        }
    });
});
