import { expect } from "chai";
import type { Socket } from "node:net";
import { openCaller, requestBytes, startGateway, upstreamAt } from "../support/gatewaySite.js";
import { until } from "../support/platformSite.js";
import { startRawUpstream } from "../support/rawUpstream.js";

const read = (id: string) => requestBytes("POST", "/read/1", { id, body: "x" });

describe("a caller that leaves", () => {
    // Requests wait behind another on its connection. Nothing told that their caller has gone: their work went on until its time was up,
    // and each stop waited for them.
    it("ends the work of all its requests", async () => {
        const open = new Set<Socket>();
        const upstream = await startRawUpstream((_request, socket) => {
            open.add(socket);
            socket.once("close", () => open.delete(socket));
        });
        const site = await startGateway([upstreamAt(upstream.address, "u1")]);
        const caller = await openCaller(site.port);
        caller.send(read("a1") + read("a2") + read("a3"));
        await until("all run", () => upstream.requests.length === 3);
        caller.close();
        await until("nothing runs", () => site.server.running === 0 && open.size === 0);
        expect(site.outcomes).to.deep.equal(["caller-left", "caller-left", "caller-left"]);
        site.stop();
        await upstream.close();
    });
});
