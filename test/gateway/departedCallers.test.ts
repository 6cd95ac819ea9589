import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { createDepartureCheck } from "../../src/gateway/departedCallers.js";
import { unboundedMemory } from "../../src/gateway/memory/index.js";
import { createSite, createUpstream, encodeRequest, exchangeRaw, parseStatus, startGateway } from "../support/gatewaySite.js";
import { startRawUpstream } from "../support/rawUpstream.js";

describe("an entry that has stood still", () => {
    // Guards against work at upstreams for callers who gave up while the entry could not read their requests.
    it("sends no request whose caller has left before it was read, and serves those who wait", async () => {
        const upstream = await startRawUpstream((request, socket) => socket.write("HTTP/1.1 200 OK\r\nZinnialanding-Upstream-Signature: s1\r\n" +
            `Zinnialanding-Attempt-Id: ${request.header("Zinnialanding-Attempt-Id")}\r\nContent-Length: 4\r\n\r\ndone`));
        const lines: unknown[] = [];
        const hasLeft = createDepartureCheck({
            logger: { info: (message: string, fields: object) => lines.push([message, fields]) } as never,
            mayHaveWaited: () => true, idOf: ({ headers }) => String(headers["zinnialanding-attempt-id"]),
        });
        const site = await startGateway(
            [createUpstream(upstream.address, "u1")], createSite(), Infinity, undefined, {}, undefined, unboundedMemory, { hasLeft },
        );
        // The other process connects, sends and leaves while this one can't read.
        const program = `require("net").connect(${site.port}, "127.0.0.1").end(${JSON.stringify(encodeRequest("GET", "/read/1", { id: "left" }))})`;
        spawnSync(process.execPath, ["-e", `${program}; setTimeout(() => process.exit(), 300)`]);
        const answer = await exchangeRaw(site.port, encodeRequest("GET", "/read/2", { id: "waits" }));
        expect([parseStatus(answer), upstream.requests.map(({ head }) => head.split(" ")[1]), lines, site.server.running]).to.deep.equal(
            [200, ["/read/2"], [["caller left before its request was read", { request: "left" }]], 0],
        );
        site.stop();
        await upstream.close();
    });
});
