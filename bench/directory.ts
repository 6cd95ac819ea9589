/**
 * Measures what upstreams cost a control daemon by their number, without a network: a heartbeat that changes nothing, a frame of heard
 * times, and the frame that brings a new watcher up to date. Then the costs of the feed at a site of 300 VMs, see `feedCosts.ts`.
 *
 * @module
 */

import { type Announcement, createDirectory, toRelayed } from "../src/fleet/index.js";
import { type Frame, frameSchema } from "../src/feed/index.js";
import { printFeedCosts } from "./feedCosts.js";

const sizes = [60, 600, 3_000, 11_000];
const heartbeats = 2_000;
const frames = 20;
/** Upstreams in one frame of heard times: at most as many as a daemon hears between two frames. */
const heardPerFrame = 100;
const vmsPerGroup = 8;

function announcementOf(index: number, sequence: number): Announcement {
    return {
        id: `u${index}`, service: "pool", address: `10.0.${index >> 8}.${index & 255}:80`, dataCentre: "a", bornMs: 1, sequence,
        state: "ready", coldForMs: 0, slots: 4, domain: `d${Math.floor(index / 18)}`, stagedModels: ["big", "small"],
        group: { name: `big/${Math.floor(index / vmsPerGroup)}`, epoch: 5, rank: index % vmsPerGroup, state: "ready" },
    };
}

function meanMs(times: number, run: (time: number) => void): number {
    const startMs = performance.now();
    for (let time = 0; time < times; time++) {
        run(time);
    }
    return (performance.now() - startMs) / times;
}

console.log("upstreams  heartbeat us  heard frame ms  whole frame: encode ms  decode ms  bytes");
for (const size of sizes) {
    const directory = createDirectory();
    for (let index = 0; index < size; index++) {
        directory.announce(announcementOf(index, 1), 0);
    }
    const heartbeatMs = meanMs(heartbeats, time => directory.announce(announcementOf(time % size, time + 2), time));
    const heard = Array.from({ length: Math.min(size, heardPerFrame) }, (_, index) => ({ id: `u${index}`, agoMs: 0 }));
    const heardMs = meanMs(frames, time => directory.updateHeardTimes(heard, 10_000 + time));
    const whole = (): Frame => ({ kind: "upstreams", upstreams: [...directory.upstreams.values()].map(upstream => toRelayed(upstream, 20_000)) });
    const text = JSON.stringify(whole());
    const encodeMs = meanMs(frames, () => JSON.stringify(whole()));
    const decodeMs = meanMs(frames, () => frameSchema.parse(JSON.parse(text)));
    const columns = [size, (heartbeatMs * 1_000).toFixed(1), heardMs.toFixed(3), encodeMs.toFixed(1), decodeMs.toFixed(1), text.length];
    console.log(columns.join("  "));
}
await printFeedCosts(announcementOf);
