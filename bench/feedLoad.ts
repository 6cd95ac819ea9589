/**
 * Measures the processor time of one control daemon's feed over loopback at a site of 300 VMs: `npm run bench:feed -- [SECONDS]`.
 * The control role runs in this process, without planning; 300 entries (60 of which follow it) and five other control daemons run
 * in child processes and send and receive what they would. Heartbeats come as calls, without HTTP.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { fileURLToPath } from "node:url";
import { type ConsensusNode, diskOperations } from "../src/consensus/index.js";
import { createFeedServer, createFeedWatcher, type Frame } from "../src/feed/index.js";
import { type Announcement, createDirectory, toRelayed } from "../src/fleet/index.js";
import { createPeerConnections, createRpcServer } from "../src/rpc/index.js";
import { siteSchema } from "../src/site/index.js";
import { createSiteControl, noHints } from "../src/siteControl/index.js";
import { createLogger, createSiteMetrics } from "../src/telemetry/index.js";

const upstreams = 3_000;
const entries = 300;
const followers = 60;
const otherControls = 5;
const heartbeatMs = 1_200;
const changesPerSecond = 90;
/** Processes that play entries, so that none of them is so busy that its streams count as silent. */
const entryProcesses = 4;
const warmUpMs = 6_000;

const nowMs = () => performance.now();
const announcements = Array.from({ length: upstreams }, (_, index): Announcement => ({
    id: `upstream-${index}-1f2e3d4c`, service: "orders", address: `10.0.${index >> 8}.${index & 255}:80`, dataCentre: "a", bornMs: 1, sequence: 1,
    state: "ready", coldForMs: 0, slots: 4, domain: `d${Math.floor(index / 18)}`, stagedModels: ["big", "small"],
}));

/** Calls `announce` for the upstreams of one of the six control daemons at their rate; some of the announcements change something. */
function announceRegularly(control: number, announce: (announcement: Announcement) => void) {
    const own = announcements.filter((_, index) => index % (otherControls + 1) === control);
    const changeShare = changesPerSecond / (upstreams * 1_000 / heartbeatMs);
    let next = 0;
    let due = 0;
    setInterval(() => {
        for (due += own.length / heartbeatMs * 10; due >= 1; due--) {
            const known = own[next % own.length]!;
            const slots = Math.random() < changeShare ? known.slots % 7 + 1 : known.slots;
            own[next++ % own.length] = { ...known, sequence: known.sequence + 1, slots };
            announce(own[(next - 1) % own.length]!);
        }
    }, 10);
}

/** Plays the entries of one of the child processes. */
function playEntries(part: number, address: string, first: number) {
    for (let index = part; index < entries; index += entryProcesses) {
        const watcher = createFeedWatcher({
            daemonId: `entry-${index}`, isEntry: true, dataCentre: index < followers ? "a" : "b", onHeardChanged: () => undefined,
            onFrame: () => undefined,
        });
        // An entry that does not follow the measured daemon follows one of the others.
        watcher.watch(index < followers ? [address] : [address, `127.0.0.1:${first + index % otherControls}`]);
        setInterval(() => watcher.report({
            workByModel: {}, requests: 3, suspectIds: [], movingIds: [], crashes: [], limits: [], draining: [], pushbacks: [],
        }), 250);
    }
}

async function playControl(port: number, index: number, measured: string) {
    const directory = createDirectory();
    const alive: Frame = { kind: "alive", leads: false, entries, dataCentre: "b", hasContent: true, isInTouch: true, siteVersion: 1 };
    const feed = createFeedServer({ initialFrames: () => [{ kind: "site", version: 1, text: "{}" }, alive], onReport: () => undefined, nowMs });
    await createRpcServer(`127.0.0.1:${port}`, feed.routes);
    const heard = new Set<string>();
    announceRegularly(index, announcement => {
        heard.add(announcement.id);
        const changed = directory.announce(announcement, nowMs());
        if (changed.length > 0) {
            feed.publish({ kind: "upstreams", upstreams: changed.map(upstream => toRelayed(upstream, nowMs())) }, "control");
        }
    });
    setInterval(() => {
        feed.publish({ kind: "heard", heard: [...heard].map(id => ({ id, agoMs: 100 })) }, "control");
        heard.clear();
    }, 200);
    setInterval(() => feed.publish({ ...alive }), 500);
    const watcher = createFeedWatcher({
        daemonId: `control-${index}`, isEntry: false, dataCentre: "b", onFrame: () => undefined, onHeardChanged: () => undefined,
    });
    watcher.watch([measured]);
}

async function measure(seconds: number) {
    const first = 21_000 + process.pid % 1_000 * 10;
    const others = Array.from({ length: otherControls }, (_, index) => ({ address: `127.0.0.1:${first + index}`, voting: true }));
    const site = siteSchema.parse({
        version: 1, routes: [], limits: {}, organisations: [],
        services: [{ name: "orders", healthPath: "/", maxConnections: 50, coldMs: 0, coldRequestsPerSecond: 0 }],
    });
    const log = {
        leaseHeld: true, role: "leader", term: 1, appliedIndex: 1, leaderAddress: "self", voters: () => others, subscribe: () => undefined,
        state: { published: { site: { version: 1, text: "{}" }, evacuated: [] }, suspects: { byFingerprint: {} } },
    } as unknown as ConsensusNode;
    const folder = mkdtempSync(join(tmpdir(), "feed-"));
    const control = createSiteControl({
        daemonId: "control-0", dataCentre: "a", address: "127.0.0.1:1", log, dialect: { decodeSite: () => ({ site }) },
        engines: { order: () => Promise.reject(new Error("none")), probe: () => new Promise(() => undefined), inquire: () => new Promise(() => undefined) },
        memory: { files: diskOperations, folder, remembered: noHints },
        connections: createPeerConnections(), logger: createLogger("error", "bench", new PassThrough().resume()), metrics: createSiteMetrics(),
        isFirstStart: false, heartbeatMs,
    });
    const rpc = await createRpcServer("127.0.0.1:0", control.feed.routes);
    control.start();
    const children = Array.from({ length: entryProcesses + 1 }, (_, part) => spawn(
        process.execPath, [...process.execArgv, fileURLToPath(import.meta.url), String(part), rpc.address, String(first)], { stdio: "inherit" },
    ));
    announceRegularly(0, announcement => control.recordAnnouncement(announcement));
    await new Promise(resolve => setTimeout(resolve, warmUpMs));
    const before = process.cpuUsage();
    const startMs = nowMs();
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    const { user, system } = process.cpuUsage(before);
    const tookMs = nowMs() - startMs;
    console.log("watchers", control.feed.watcherCount, "processor, % of a core", ((user + system) / 10 / tookMs).toFixed(1),
        "memory, MB", (process.memoryUsage().rss / 1e6).toFixed(0));
    children.forEach(child => child.kill());
    control.stop();
    rmSync(folder, { recursive: true });
    process.exit();
}

const [, , part, address, first] = process.argv;
if (address === undefined) {
    await measure(Number(part ?? 8));
}
else if (Number(part) === entryProcesses) {
    await Promise.all(Array.from({ length: otherControls }, (_, index) => playControl(Number(first) + index, index + 1, address)));
}
else {
    playEntries(Number(part), address, Number(first));
}
