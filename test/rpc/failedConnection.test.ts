import { createClient } from "@connectrpc/connect";
import { expect } from "chai";
import { createFeedServer } from "../../src/feed/index.js";
import { createPeerConnection, createRpcServer, type PeerConnection, type RpcServer, SiteService, WatchScope } from "../../src/rpc/index.js";
import { type Relay, startRelay } from "../../standin/relay.js";

describe("a connection to a daemon that has fallen silent", () => {
    let server: RpcServer;
    let relay: Relay;
    let connection: PeerConnection;

    beforeEach(async () => {
        const feed = createFeedServer({
            initialFrames: () => [{ kind: "controls", addresses: [] }], onReport: () => undefined, nowMs: () => performance.now(),
        });
        server = await createRpcServer("127.0.0.1:0", router => feed.routes(router));
        relay = await startRelay(server.address);
        connection = createPeerConnection(relay.address);
    });

    afterEach(async () => {
        connection.close();
        await server.stop(true);
        relay.stop();
    });

    /** Reads frames until the stream fails; `onFrame` is called with each. */
    async function watch(onFrame: () => void) {
        const client = createClient(SiteService, connection.transport);
        try {
            for await (const frame of client.watch({ daemonId: "e", isEntry: true, scope: WatchScope.SIGNS })) {
                onFrame();
                void frame;
            }
        }
        catch {
            // The next request opens another connection.
        }
    }

    // Guards against a process that ends: the error of the old connection came when the next request had just opened a new one.
    it("reports its error to nobody but its streams, and the next request opens another one", async () => {
        await watch(() => relay.silence("there", "back"));
        const hasFrame = await new Promise<boolean>(resolve => void watch(() => resolve(true)));
        expect(hasFrame).to.equal(true);
        // The old connection's socket closes now at the latest.
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(relay.acceptedCount).to.equal(2);
    });
});
