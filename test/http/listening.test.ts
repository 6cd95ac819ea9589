import { expect } from "chai";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { startListening } from "../../src/http/index.js";

describe("a listener", () => {
    // Guards against a process that ends while its file descriptors are used up: a failed accept is an error event of the server.
    it("outlives connections that it can't accept", async () => {
        const server = createServer((_request, response) => response.end("served"));
        const errors: string[] = [];
        await startListening(server, { host: "127.0.0.1", port: 0 }, error => errors.push(error.message));
        server.emit("error", new Error("accept EMFILE"));
        server.emit("error", new Error("accept EMFILE"));
        const answer = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
        expect([await answer.text(), errors]).to.deep.equal(["served", ["accept EMFILE", "accept EMFILE"]]);
        server.closeAllConnections();
        server.close();
    });

    it("rejects if its address is taken", async () => {
        const [server, other] = [createServer(), createServer()];
        await startListening(server, { host: "127.0.0.1", port: 0 });
        const { port } = server.address() as AddressInfo;
        const failure = await startListening(other, { host: "127.0.0.1", port }).catch((error: NodeJS.ErrnoException) => error.code);
        expect(failure).to.equal("EADDRINUSE");
        server.close();
    });
});
