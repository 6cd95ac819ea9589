import { expect } from "chai";
import { createFeedServer, createFeedWatcher, type Frame } from "../../src/feed/index.js";
import { createRpcServer } from "../../src/rpc/index.js";
import { until } from "../support/platformSite.js";

describe("a feed that ends", () => {
    // Frames that waited when a control daemon stopped were dropped: entries went on sending to an upstream whose leave was acknowledged.
    it("sends what it was given before", async () => {
        const taken: Frame[] = [];
        const alive = { kind: "alive" as const, heard: [], leads: false, entries: 1 };
        const feed = createFeedServer({ greeting: () => [alive], report: () => undefined, nowMs: () => performance.now() });
        const rpc = await createRpcServer("127.0.0.1:0", feed.routes);
        const watcher = createFeedWatcher({ daemonId: "entry-1", isEntry: true, take: frame => taken.push(frame), changed: () => undefined });
        watcher.watch([rpc.address]);
        await until("the watcher is greeted", () => taken.length > 0);
        feed.publish({ kind: "controls", addresses: ["127.0.0.1:1"] });
        feed.publish({ kind: "controls", addresses: ["127.0.0.1:2"] });
        feed.close();
        await rpc.stop();
        watcher.close();
        expect(taken.slice(1).map(frame => frame.kind === "controls" && frame.addresses)).to.deep.equal([["127.0.0.1:1"], ["127.0.0.1:2"]]);
    });
});
