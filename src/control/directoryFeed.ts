/**
 * Maintains the directory of upstreams that the control leader distributes to entries, and computes the updates to send.
 *
 * @module
 */

import type { ClusterState } from "../cluster/index.js";
import type { DirectoryUpdate, Upstream } from "../rpc/index.js";
import { buildDirectory, diffDirectories, createFullUpdate } from "./directory.js";
import type { VmRecord } from "./vmTable.js";

/** During this period, a new leader removes no upstream that its predecessor announced. Every session has reconnected by its end. */
export const handoverPeriodMs = 5_000;

/** The directory and its updates. */
export interface DirectoryFeed {
    readonly upstreams: ReadonlyMap<string, Upstream>;
    /** Returns the update for a new session: the whole directory, or only ready upstreams as additions during the handover period. */
    initialUpdate(nowMs: number): DirectoryUpdate;
    /** Rebuilds the directory and returns the update to send to entries, or undefined if there is none. */
    refresh(state: ClusterState, vms: ReadonlyMap<string, VmRecord>, nowMs: number): DirectoryUpdate | undefined;
}

/**
 * Creates the feed of a leader that was elected at `leaderSinceMs`.
 *
 * A new leader has received no report yet, so its directory is empty. Sent whole, it would remove every upstream from every entry
 * shortly after the previous leader failed, and all requests would be rejected although the upstreams are healthy. During the handover
 * period, updates therefore only add upstreams. An upstream that is lost in the meantime still rejects requests through its sidecar, its
 * expired lease or its failed connection.
 */
export function createDirectoryFeed(leaderSinceMs: number): DirectoryFeed {
    let upstreams: ReadonlyMap<string, Upstream> = new Map();
    let version = 0;
    let isSettled = false;

    function additionsOnly(next: ReadonlyMap<string, Upstream>): DirectoryUpdate | undefined {
        const ready = new Map([...next].filter(([, upstream]) => upstream.ready));
        const delta = diffDirectories(upstreams, ready, version + 1);
        return delta === undefined || delta.upstreams.length === 0 ? undefined : { ...delta, removed: [] };
    }

    return {
        get upstreams() {
            return upstreams;
        },
        initialUpdate(nowMs) {
            const full = createFullUpdate(upstreams, version);
            return nowMs - leaderSinceMs >= handoverPeriodMs
                ? full
                : { ...full, whole: false, upstreams: full.upstreams.filter(item => item.ready) };
        },
        refresh(state, vms, nowMs) {
            const next = buildDirectory(state, vms, nowMs);
            const wasSettled = isSettled;
            isSettled = nowMs - leaderSinceMs >= handoverPeriodMs;
            const update = isSettled ? diffDirectories(upstreams, next, version + 1) : additionsOnly(next);
            upstreams = next;
            if (isSettled && !wasSettled) {
                version++;
                return createFullUpdate(next, version);
            }
            if (update !== undefined) {
                version++;
            }
            return update;
        },
    };
}
