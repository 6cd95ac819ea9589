import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { expect } from "chai";
import {
    type AliveFrame, createFeedServer, createFeedWatcher, type DirectoryPosition, type FeedServer, type FeedWatcher, type Frame,
    frameSchema,
} from "../../src/feed/index.js";
import {
    createPeerConnection, createRpcServer, type RpcServer, SiteFrameSchema, SiteService, type WatchSiteRequest, WatchScope,
} from "../../src/rpc/index.js";
import { createUpstream } from "../support/gatewaySite.js";
import { waitUntil } from "../support/platformSite.js";

const alive: AliveFrame = { kind: "alive", leads: false, dataCentre: "a", hasContent: true, isInTouch: true, siteVersion: 1 };
const siteFrame: Frame = { kind: "site", version: 1, text: "text" };
const upstreamsFrame: Extract<Frame, { kind: "upstreams" }> = { kind: "upstreams", upstreams: [createUpstream("10.0.0.1:80", "u1")] };
const heardFrame: Frame = { kind: "heard", heard: [{ id: "u1", agoMs: 5 }] };
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const encodeFrame = (frame: unknown) => create(SiteFrameSchema, { frame: Buffer.from(JSON.stringify(frame)) });

describe("an entry", () => {
    let received: Frame[];
    let unknownKinds: string[];
    let refused: string[];
    let watcher: FeedWatcher;
    let rpc: RpcServer;

    const receivedKinds = () => new Set(received.map(({ kind }) => kind));

    async function start(routes: Parameters<typeof createRpcServer>[1]) {
        rpc = await createRpcServer("127.0.0.1:0", routes);
        watcher.watch([rpc.address]);
        await waitUntil("the control daemon is followed", () => watcher.followed === rpc.address && receivedKinds().has("upstreams"));
    }

    beforeEach(() => {
        received = [];
        unknownKinds = [];
        refused = [];
        watcher = createFeedWatcher({
            daemonId: "entry-1", isEntry: true, dataCentre: "a", onFrame: frame => received.push(frame), onHeardChanged: () => undefined,
            onUnknownKind: kind => unknownKinds.push(kind), onRefused: kind => refused.push(kind),
        });
    });

    afterEach(async () => {
        watcher.close();
        await rpc.stop(true);
    });

    describe("with a control daemon of the present code", () => {
        let feed: FeedServer;
        let knownPositions: (DirectoryPosition | undefined)[];

        beforeEach(async () => {
            knownPositions = [];
            feed = createFeedServer({
                initialFrames(kinds, known) {
                    if (!kinds.includes("upstreams")) {
                        return [alive];
                    }
                    knownPositions.push(known);
                    return [siteFrame, { frame: { ...upstreamsFrame }, position: { incarnation: "i1", version: 7 } }];
                },
                heardAgoMs: id => id === "u1" ? 5 : undefined,
                onReport: () => undefined, nowMs: () => performance.now(),
            });
            await start(feed.routes);
        });

        afterEach(() => feed.close());

        // Guards against the traffic of heard times, which was most of what a control daemon with 3,000 upstreams sent.
        it("receives no heard times but those that it asks for", async () => {
            feed.publish(heardFrame, "entry");
            feed.publish({ kind: "controls", addresses: [] });
            await waitUntil("the later frame is received", () => receivedKinds().has("controls"));
            await pause(50);
            expect(receivedKinds().has("heard")).to.equal(false);
            watcher.askHeard(["u1", "u2"]);
            await waitUntil("the answer is received", () => receivedKinds().has("heard"));
            expect(received.at(-1)).to.deep.equal(heardFrame);
        });

        // Guards against streams that are reopened every 1.5 s, each time with the whole state, since no heard times keep them alive.
        it("keeps its stream while nothing changes", async function () {
            this.timeout(5_000);
            const timer = setInterval(() => feed.publish({ ...alive }), 500);
            await pause(2_600);
            clearInterval(timer);
            expect(knownPositions).to.have.length(1);
        });

        it("offers the position that it has when it watches again", async () => {
            feed.publish({ ...upstreamsFrame }, undefined, { incarnation: "i1", version: 9 });
            await waitUntil("the frame is received", () => received.filter(({ kind }) => kind === "upstreams").length === 2);
            feed.close();
            await waitUntil("it watches again", () => knownPositions.length === 2);
            expect(knownPositions).to.deep.equal([undefined, { incarnation: "i1", version: 9 }]);
        });

        it("that is older receives heard times, and only frames that it can read", async () => {
            const connection = createPeerConnection(rpc.address);
            const frames: unknown[] = [];
            const abort = new AbortController();
            const request = { daemonId: "entry-2", isEntry: true, scope: WatchScope.CONTENT };
            const done = (async () => {
                for await (const { frame } of createClient(SiteService, connection.transport).watch(request, { signal: abort.signal })) {
                    frames.push(frameSchema.parse(JSON.parse(Buffer.from(frame).toString("utf8"))));
                }
            })().catch(() => undefined);
            await waitUntil("the older entry has the state", () => frames.length === 2);
            feed.publish(heardFrame, "entry");
            feed.publish({ ...upstreamsFrame }, undefined, { incarnation: "i1", version: 9 });
            await waitUntil("the older entry has the changes", () => frames.length === 4);
            abort.abort();
            await done;
            connection.close();
            expect(frames).to.deep.equal([siteFrame, upstreamsFrame, heardFrame, upstreamsFrame]);
        });
    });

    describe("with a control daemon of other code", () => {
        let requests: WatchSiteRequest[];
        let sent: unknown[];

        /** A control daemon that sends the frames of `sent` and knows neither positions nor questions. */
        async function* watch(request: WatchSiteRequest) {
            requests.push(request);
            yield* (request.scope === WatchScope.CONTENT ? sent : [alive]).map(encodeFrame);
            await new Promise(resolve => setTimeout(resolve, 60_000).unref());
        }

        beforeEach(() => {
            requests = [];
        });

        it("that is older receives everything and all heard times, and offers no position", async () => {
            sent = [siteFrame, upstreamsFrame, heardFrame];
            await start(router => router.service(SiteService, { watch }));
            await waitUntil("the heard times are received", () => receivedKinds().has("heard"));
            watcher.askHeard(["u1"]);
            await pause(100);
            expect(received.filter(({ kind }) => kind === "heard")).to.deep.equal([heardFrame]);
            expect(requests.map(({ directoryIncarnation }) => directoryIncarnation)).to.deep.equal(["", ""]);
        });

        // Guards against an entry without upstreams during an upgrade that adds a kind of frame.
        it("that is newer loses a log line for a frame of an unknown kind, not the stream", async () => {
            sent = [siteFrame, { kind: "weather", degrees: 5 }, { kind: "weather", degrees: 6 }, upstreamsFrame];
            await start(router => router.service(SiteService, { watch }));
            await pause(100);
            expect([unknownKinds, requests.length, received.filter(({ kind }) => kind === "upstreams").length]).to.deep.equal([["weather"], 2, 1]);
        });

        // Guards against an entry that stops following because of an upstream that another version takes, or of a frame that it can't read.
        it("that relays an odd upstream or frame loses log lines and that upstream, not the stream", async () => {
            const odd = { ...createUpstream("10.0.0.2:80", "u2"), address: "127.0.0.1:65536" };
            sent = [siteFrame, { kind: "upstreams", upstreams: [odd, ...upstreamsFrame.upstreams] }, NaN, { kind: "heard" }, heardFrame];
            await start(router => router.service(SiteService, { watch }));
            await waitUntil("the last frame is received", () => receivedKinds().has("heard"));
            expect(received.filter(({ kind }) => kind === "upstreams")).to.deep.equal([upstreamsFrame]);
            expect([refused, requests.length]).to.deep.equal([["relayed-item", "frame", "frame"], 2]);
        });
    });
});
