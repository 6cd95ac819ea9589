import { expect } from "chai";
import { createEngineClient } from "../../platform/engines.js";
import { createUpstream } from "../support/gatewaySite.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";

describe("the engine client", () => {
    let engine: RawUpstream;

    afterEach(() => engine.close());

    async function start(head: string) {
        engine = await startRawUpstream((_request, socket) => socket.write(`HTTP/1.1 ${head}\r\nContent-Length: 2\r\n\r\n{}`));
        const { heardAgoMs, ...relayed } = createUpstream(engine.address, "u1");
        return { ...relayed, heardAtMs: -heardAgoMs, coldUntilMs: 0 };
    }

    // Guards against a control leader that probes and orders on although the engine has asked it not to, or doesn't see that it leaves.
    it("reads what answers to probes and orders state about the engine", async () => {
        const upstream = await start("503 Busy\r\nRetry-After: 3\r\nServer-Leaving: 1");
        const client = createEngineClient();
        const signals = { load: undefined, limitPerSecond: undefined, coldForMs: undefined, pushbackMs: 3_000, isLeaving: true };
        expect(await client.probe(upstream)).to.deep.equal({ outcome: "answered", signals });
        expect(await client.order(upstream, { kind: "stage", model: "lm" })).to.deep.equal({ outcome: "503 {}", signals });
    });

    it("takes nothing from the answer of another upstream at the address", async () => {
        const upstream = await start("421 Misdirected\r\nServer-Leaving: 1");
        expect(await createEngineClient().probe(upstream)).to.deep.equal({ outcome: "refused", signals: undefined });
    });
});
