/**
 * Measures what one control daemon of a site with 3,000 upstreams, 300 entries (60 of which follow it) and five other control daemons
 * spends on the feed, without a network: processor time and bytes of each kind of message by its rate. RPCs run through the in-memory
 * transport, so the time of a message contains both ends and no HTTP/2.
 *
 * @module
 */

import { createClient, createRouterTransport } from "@connectrpc/connect";
import { createReportSender } from "../src/feed/reportStream.js";
import { createFeedServer, type Frame, frameSchema, type Report, reportSchema } from "../src/feed/index.js";
import { type Announcement, announcementSchema, createDirectory, toRelayed } from "../src/fleet/index.js";
import { SiteService, WatchScope } from "../src/rpc/index.js";
import { createLimitDistributor } from "../src/siteControl/limitDistributor.js";

const upstreams = 3_000;
const entries = 300;
const followers = 60;
const otherControls = 5;
const heartbeatsPerSecond = upstreams / 1.2;
const reportsPerSecond = entries * 4;
/** Changes of upstreams in the whole site: 3 % of them. */
const changesPerSecond = upstreams * 0.03;
const framesPerSecond = { heardToEntries: 2, heardToControls: 5, alive: 2 };
const rounds = 200;

interface Row {
    readonly what: string;
    readonly perSecond: number;
    readonly us: number;
    readonly bytes: number;
}

async function meanUs(times: number, run: (time: number) => unknown): Promise<number> {
    for (let time = 0; time < Math.min(20, times); time++) {
        await run(time);
    }
    const startMs = performance.now();
    for (let time = 0; time < times; time++) {
        await run(time + 20);
    }
    return (performance.now() - startMs) / times * 1_000;
}

/** Measures one frame sent to `watchers` streams of one feed and read there, without decoding; returns the time for each stream. */
async function pushUs(frame: Frame, watchers: number): Promise<number> {
    const feed = createFeedServer({ initialFrames: () => [frame], onReport: () => undefined, nowMs: () => performance.now() });
    const client = createClient(SiteService, createRouterTransport(feed.routes));
    const streams = Array.from({ length: watchers }, (_, index) =>
        client.watch({ daemonId: `entry-${index}`, isEntry: true, scope: WatchScope.UNSPECIFIED })[Symbol.asyncIterator]());
    const next = () => Promise.all(streams.map(stream => stream.next()));
    await next();
    const roundUs = await meanUs(rounds, async () => {
        feed.publish({ ...frame });
        await next();
    });
    feed.close();
    return roundUs / watchers;
}

const jsonBytes = (value: unknown) => Buffer.byteLength(JSON.stringify(value));

/** Prints the table. `announcementOf` makes the announcement of an upstream by index and sequence number. */
export async function printFeedCosts(announcementOf: (index: number, sequence: number) => Announcement): Promise<void> {
    const directory = createDirectory();
    for (let index = 0; index < upstreams; index++) {
        directory.announce(announcementOf(index, 1), 0);
    }
    const all = [...directory.upstreams.values()];
    const heardFrame = (count: number): Frame => ({ kind: "heard", heard: all.slice(0, count).map(({ id }) => ({ id, agoMs: 123 })) });
    const upstreamsFrame = (count: number): Frame => ({ kind: "upstreams", upstreams: all.slice(0, count).map(item => toRelayed(item, 20_000)) });
    const alive: Frame = { kind: "alive", leads: true, entries, dataCentre: "a", hasContent: true, isInTouch: true, siteVersion: 7 };
    const report: Report = {
        workByModel: { big: 120.5, small: 33 }, requests: 9, suspectIds: [], movingIds: all.slice(0, 10).map(({ id }) => id), crashes: [],
        limits: [], draining: [], vm: "10.0.0.1", pushbacks: [],
    };
    const limits = all.map(({ id, bornMs }) => ({ upstreamId: id, bornMs, perSecond: 40, agoMs: 10 }));
    const heardByAll = heardFrame(Math.round(heartbeatsPerSecond / framesPerSecond.heardToEntries));
    const heardByOne = heardFrame(Math.round(heartbeatsPerSecond / (otherControls + 1) / framesPerSecond.heardToControls));
    const oneChange = upstreamsFrame(1);
    const rows: Row[] = [];
    const add = (what: string, perSecond: number, us: number, bytes = 0) => rows.push({ what, perSecond, us, bytes });
    const decodeUs = (frame: Frame) => {
        const text = JSON.stringify(frame);
        return meanUs(rounds, () => frameSchema.parse(JSON.parse(text)));
    };

    const heartbeat = JSON.stringify(announcementOf(7, 2));
    add("heartbeat: parse and announce", heartbeatsPerSecond / (otherControls + 1), await meanUs(2_000, time => {
        directory.announce({ ...announcementSchema.parse(JSON.parse(heartbeat)), sequence: time + 3 }, time);
    }));
    add("heard, all upstreams: encode, for older entries", framesPerSecond.heardToEntries, await meanUs(rounds, () => JSON.stringify(heardByAll)));
    add("heard, all upstreams: to followers, if older", framesPerSecond.heardToEntries * followers, await pushUs(heardByAll, followers), jsonBytes(heardByAll));
    add("heard, own upstreams: to controls", framesPerSecond.heardToControls * otherControls, await pushUs(heardByOne, otherControls), jsonBytes(heardByOne));
    add("heard, of other controls: decode", framesPerSecond.heardToControls * otherControls, await decodeUs(heardByOne));
    const changesUs = await pushUs(oneChange, followers);
    add("upstreams, one change a frame: to followers", changesPerSecond * followers, changesUs, jsonBytes(oneChange));
    add("upstreams, one change a frame: to controls", changesPerSecond * otherControls, changesUs, jsonBytes(oneChange));
    add("upstreams, one change: decode", changesPerSecond * otherControls, await decodeUs(oneChange));
    const changesIn20Ms = upstreamsFrame(2);
    const batchedUs = await pushUs(changesIn20Ms, followers);
    add("upstreams, changes of 20 ms a frame: to all", 50 * (followers + otherControls), batchedUs, jsonBytes(changesIn20Ms));
    add("alive: to entries and controls", framesPerSecond.alive * (entries + otherControls), await pushUs(alive, entries), jsonBytes(alive));
    const reportText = JSON.stringify(report);
    add("report: schema (leader)", reportsPerSecond, await meanUs(2_000, () => reportSchema.parse(JSON.parse(reportText))));
    const reportFeed = createFeedServer({ initialFrames: () => [], onReport: () => undefined, nowMs: () => performance.now() });
    const client = createClient(SiteService, createRouterTransport(reportFeed.routes));
    const bytes = Buffer.from(reportText);
    add("report: call (leader)", reportsPerSecond, await meanUs(1_000, () => client.report({ daemonId: "entry-1", report: bytes })));
    const sender = createReportSender({ transport: createRouterTransport(reportFeed.routes) });
    add("report: message of a stream (leader)", reportsPerSecond, await meanUs(1_000, () => sender.send({ daemonId: "entry-1", report: bytes })));
    sender.close();
    for (const known of [0, upstreams]) {
        const distributor = createLimitDistributor(() => performance.now());
        distributor.recordReport("entry-1", { requests: 1, limits: limits.slice(0, known) });
        const stated = { requests: 9, limits: limits.slice(0, Math.min(known, 10)) };
        add(`report: limits, ${known} known (leader)`, reportsPerSecond, await meanUs(200, time => distributor.recordReport(`entry-${time % entries}`, stated)));
    }
    const whole = upstreamsFrame(upstreams);
    add("whole state: encode, for a new watcher", 1, await meanUs(20, () => JSON.stringify(upstreamsFrame(upstreams))), jsonBytes(whole));
    add("whole state: decode there", 1, await decodeUs(whole));

    console.log("\nmessage  a second  us each  ms/s  bytes each  KB/s");
    for (const { what, perSecond, us, bytes: size } of rows) {
        console.log([what, perSecond.toFixed(0), us.toFixed(1), (us * perSecond / 1_000).toFixed(1), size, (size * perSecond / 1_000).toFixed(0)].join("  "));
    }
}
