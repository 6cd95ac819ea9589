/**
 * The frame of the published site, for new watchers of a control daemon.
 *
 * @module
 */

import type { PublishedState } from "../cluster/index.js";
import type { Frame } from "../feed/index.js";

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
