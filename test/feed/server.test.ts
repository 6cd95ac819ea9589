import type { ConnectRouter } from "@connectrpc/connect";
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { type AliveFrame, createFeedServer, createFeedWatcher, type FeedServer, type FeedWatcher, type Frame } from "../../src/feed/index.js";
import {
    createRpcServer, type RpcServer, type SiteFrame, type SiteService, type WatchSiteRequest, WatchScope, WatchSiteRequestSchema,
} from "../../src/rpc/index.js";
import { waitUntil } from "../support/platformSite.js";

const alive: AliveFrame = {
    kind: "alive", leads: false, entries: 1, dataCentre: "a", hasContent: true, isInTouch: true, siteVersion: 1,
};
const nowMs = () => performance.now();
const siteFrame = (version: number): Frame => ({ kind: "site", version, text: `text ${version}` });

describe("feed server that is closed", () => {
    // Guards against dropping queued frames when a control daemon stops: entries would keep sending requests to an upstream whose departure
    // was acknowledged.
    it("sends the frames published before", async () => {
        const received: Frame[] = [];
        const feed = createFeedServer({ initialFrames: () => [alive], onReport: () => undefined, nowMs });
        const rpc = await createRpcServer("127.0.0.1:0", feed.routes);
        const watcher = createFeedWatcher({
            daemonId: "entry-1", isEntry: true, dataCentre: "a", onFrame: frame => received.push(frame), onHeardChanged: () => undefined,
        });
        watcher.watch([rpc.address]);
        await waitUntil("the watcher has received the initial frames", () => received.length > 0);
        feed.publish({ kind: "controls", addresses: ["127.0.0.1:1"] });
        feed.publish({ kind: "controls", addresses: ["127.0.0.1:2"] });
        feed.close();
        await rpc.stop();
        watcher.close();
        expect(received.slice(1).map(frame => frame.kind === "controls" && frame.addresses)).to.deep.equal([["127.0.0.1:1"], ["127.0.0.1:2"]]);
    });
});

describe("feed server with a slow watcher", () => {
    // Guards against queueing superseded sites, which would delay the newest one by seconds.
    it("sends only the newest of the published sites that are queued", async () => {
        const feed = createFeedServer({ initialFrames: () => [siteFrame(0)], onReport: () => undefined, nowMs });
        const frames = watchDirectly(feed, { isEntry: true, scope: WatchScope.CONTENT });
        const first = await frames.next();
        Array.from({ length: 40 }, (_, index) => siteFrame(index + 1)).forEach(frame => feed.publish(frame));
        feed.close();
        const rest: Frame[] = [];
        for await (const frame of frames) {
            rest.push(frame);
        }
        expect([first.value, ...rest]).to.deep.equal([siteFrame(0), siteFrame(40)]);
    });
});

describe("feed server with watchers that come back at once", () => {
    // Pattern: hundreds of entries reconnect together, and each is owed every upstream of the site. Encoded for all of them at once, these
    // frames would exceed the daemon's memory.
    it("reads the initial frames as the watcher takes them, and sends what was published meanwhile afterwards", async () => {
        let frameCount = 0;
        function* initialFrames(): Generator<Frame> {
            for (; frameCount < 50; frameCount++) {
                yield { kind: "upstreams", upstreams: [] };
            }
        }
        const feed = createFeedServer({ initialFrames, onReport: () => undefined, nowMs });
        const frames = watchDirectly(feed, { isEntry: true, scope: WatchScope.CONTENT });
        await frames.next();
        expect(frameCount).to.be.at.most(1);
        feed.publish(siteFrame(1));
        feed.close();
        const kinds: string[] = [];
        for await (const frame of frames) {
            kinds.push(frame.kind);
        }
        expect(kinds).to.deep.equal([...Array.from({ length: 49 }, () => "upstreams"), "site"]);
    });
});

describe("feed server whose watcher goes while it takes nothing", () => {
    // Guards against watchers that stay for good, with their queues, because their streams wait for a connection that has ended: entries
    // that change the control daemon that they follow left hundreds.
    it("forgets the watcher at once", async () => {
        const feed = createFeedServer({ initialFrames: () => [siteFrame(0)], onReport: () => undefined, nowMs });
        const abort = new AbortController();
        await watchDirectly(feed, { isEntry: true, scope: WatchScope.CONTENT }, abort.signal).next();
        expect(feed.watcherCount).to.equal(1);
        abort.abort();
        expect(feed.watcherCount).to.equal(0);
    });
});

describe("entry that watches several control daemons", () => {
    let feeds: FeedServer[];
    let servers: RpcServer[];
    let aliveFrames: AliveFrame[];
    let watcher: FeedWatcher;
    let received: { readonly frame: Frame; readonly from: number }[];

    const siteCountFrom = (index: number) => received.filter(({ frame, from }) => from === index && frame.kind === "site").length;
    const followedIndex = () => servers.findIndex(({ address }) => address === watcher.followed);

    beforeEach(async () => {
        received = [];
        aliveFrames = ["b", "a", "c"].map(dataCentre => ({ ...alive, dataCentre }));
        feeds = aliveFrames.map((_, index) =>
            createFeedServer({ initialFrames: () => [siteFrame(1), aliveFrames[index]!], onReport: () => undefined, nowMs }));
        servers = await Promise.all(feeds.map(feed => createRpcServer("127.0.0.1:0", feed.routes)));
        watcher = createFeedWatcher({
            daemonId: "entry-1", isEntry: true, dataCentre: "a", onHeardChanged: () => undefined,
            onFrame: (frame, address) => received.push({ frame, from: servers.findIndex(server => server.address === address) }),
        });
        watcher.watch(servers.map(({ address }) => address));
        await waitUntil("all daemons are heard and the local one is followed", () =>
            watcher.heard.length === 3 && followedIndex() === 1 && siteCountFrom(1) === 1);
    });

    afterEach(async () => {
        watcher.close();
        feeds.forEach(feed => feed.close());
        await Promise.all(servers.map(server => server.stop(true)));
    });

    function publishSite(version: number, indices: readonly number[]) {
        for (const index of indices) {
            aliveFrames[index] = { ...aliveFrames[index]!, siteVersion: version };
            feeds[index]!.publish(siteFrame(version));
            feeds[index]!.publish(aliveFrames[index]!);
        }
    }

    // Guards against receiving each published text once per control daemon, which saturates the links of entries.
    it("receives a published site once, from the control daemon of its own data centre", async () => {
        publishSite(2, [0, 1, 2]);
        await waitUntil("the site has been received", () => siteCountFrom(1) === 2);
        expect([siteCountFrom(0), siteCountFrom(2)]).to.deep.equal([0, 0]);
    });

    // Guards against staying on an old site when the followed daemon is cut off from the others but keeps sending `alive` frames.
    it("switches to another control daemon when the followed one falls behind", async () => {
        publishSite(2, [0, 2]);
        await waitUntil("the site has been received from another daemon", () => siteCountFrom(0) + siteCountFrom(2) === 1);
        expect(followedIndex()).not.to.equal(1);
    });

    it("switches to another control daemon when the followed one is lost", async () => {
        await servers[1]!.stop(true);
        await waitUntil("another daemon has sent its site", () => siteCountFrom(0) + siteCountFrom(2) === 1);
        expect(followedIndex()).not.to.equal(1);
    });
});

/** Calls the watch method of `feed` directly, without a network connection. */
async function* watchDirectly(
    feed: FeedServer, request: Pick<WatchSiteRequest, "isEntry" | "scope">, signal = new AbortController().signal,
): AsyncGenerator<Frame> {
    type Watch = (request: WatchSiteRequest, context: { signal: AbortSignal }) => AsyncIterable<SiteFrame>;
    let watch: Watch | undefined;
    const router = { service: (_service: typeof SiteService, methods: { watch: Watch }) => watch = methods.watch };
    feed.routes(router as unknown as ConnectRouter);
    for await (const { frame } of watch!(create(WatchSiteRequestSchema, request), { signal })) {
        yield JSON.parse(Buffer.from(frame).toString("utf8")) as Frame;
    }
}
