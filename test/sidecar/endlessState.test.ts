import { expect } from "chai";
import { createEngine } from "../../src/sidecar/engine.js";
import { pourInto, startRawUpstream } from "../support/rawUpstream.js";
import { waitUntil } from "../support/platformSite.js";

/** Beside what the sidecar holds, the sockets in between have room for some. */
const maxTakenBytes = 16 * 1_048_576;

describe("the state of an engine", () => {
    // Guards against a sidecar that ends for want of memory, and against one that never polls again.
    it("is given up if it has no end, and asked for again", async () => {
        const taken: (() => number)[] = [];
        const upstream = await startRawUpstream((_request, socket) => {
            socket.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
            taken.push(pourInto(socket));
        });
        const engine = createEngine(upstream.address, () => undefined);
        await waitUntil("the state is asked for again", () => taken.length >= 2);
        engine.stop();
        await upstream.close();
        expect(engine.state).to.equal(undefined);
        taken.forEach(bytes => expect(bytes()).to.be.below(maxTakenBytes));
    });
});
