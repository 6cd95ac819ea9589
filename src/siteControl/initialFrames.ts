/**
 * The frames that bring a new watcher of a control daemon up to date and whose size grows with the site.
 *
 * @module
 */

import type { PublishedState } from "../cluster/index.js";
import type { Frame } from "../feed/index.js";
import { type DirectoryState, toRelayed } from "../fleet/index.js";

/** Upstreams in one frame: some 30 KB. */
const upstreamsPerFrame = 100;

/** Yields frames with all upstreams, each in its state when the frame is taken. */
export function* upstreamFrames(upstreams: DirectoryState, nowMs: () => number): Generator<Frame> {
    const ids = [...upstreams.keys()];
    for (let first = 0; first < ids.length; first += upstreamsPerFrame) {
        const present = ids.slice(first, first + upstreamsPerFrame).map(id => upstreams.get(id)).filter(upstream => upstream !== undefined);
        yield { kind: "upstreams", upstreams: present.map(upstream => toRelayed(upstream, nowMs())) };
    }
}

/** Returns a function that lists the frame of the published site, if any: the same object for the same version, so it is encoded once. */
export function createSiteFrames(): (site: PublishedState["site"]) => readonly Frame[] {
    let last: Extract<Frame, { kind: "site" }> | undefined;
    return site => {
        if (site === undefined) {
            return [];
        }
        const frame = last?.version === site.version ? last : { kind: "site" as const, version: site.version, text: site.text };
        last = frame;
        return [frame];
    };
}
