import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { expect } from "chai";
import { createPeerConnection, createRpcServer, MemberLeaseGrantSchema, SidecarService } from "../../src/rpc/index.js";
import { createAsyncQueue } from "../../src/runtime/index.js";
import { startRelay } from "../../standin/relay.js";

const afterPingTimeoutMs = 2_300;
const lateErrorMs = 500;

async function startEchoServer() {
    return createRpcServer("127.0.0.1:0", router => {
        router.service(SidecarService, {
            async* memberLeases(requests) {
                for await (const request of requests) {
                    yield create(MemberLeaseGrantSchema, { nonce: request.nonce });
                }
            },
        });
    });
}

describe("peer connection", () => {
    // The daemon closes a silent connection with an open stream. When the stream ended, the library started its ping timer although the
    // connection was already destroyed. Two seconds later the ping threw an error and terminated the process.
    it("does not terminate the process when it is closed with an open stream", async () => {
        const server = await startEchoServer();
        const connection = createPeerConnection(server.address);
        const requests = createAsyncQueue<{ nonce: bigint }>();
        requests.push({ nonce: 7n });
        const nonces: bigint[] = [];
        try {
            for await (const grant of createClient(SidecarService, connection.transport).memberLeases(requests)) {
                nonces.push(grant.nonce);
                connection.close();
            }
        }
        catch {
            // The stream fails when its connection is closed.
        }
        requests.end();
        await new Promise(resolve => setTimeout(resolve, afterPingTimeoutMs));
        await server.stop(true);
        expect(nonces).to.deep.equal([7n]);
    });

    // The link becomes silent, the ping times out and fails the stream, and the daemon closes the connection immediately. The connection
    // emitted its own error shortly afterwards, when it had no listener any more, and terminated the process.
    it("does not terminate the process with a late error after a ping timeout", async () => {
        const server = await startEchoServer();
        const relay = await startRelay(server.address);
        const connection = createPeerConnection(relay.address);
        const requests = createAsyncQueue<{ nonce: bigint }>();
        requests.push({ nonce: 7n });
        let failure: unknown;
        try {
            for await (const { nonce } of createClient(SidecarService, connection.transport).memberLeases(requests)) {
                expect(nonce).to.equal(7n);
                relay.silence("there", "back");
            }
        }
        catch (error) {
            failure = error;
            connection.close();
        }
        await new Promise(resolve => setTimeout(resolve, lateErrorMs));
        requests.end();
        relay.stop();
        await server.stop(true);
        expect(String(failure)).to.contain("PING timed out");
    });
});
