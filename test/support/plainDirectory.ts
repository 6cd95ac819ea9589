/**
 * A plain model of the directory of upstreams, which copies and searches everything at each change. Tests compare the directory with it.
 *
 * @module
 */

import type { Announcement, HeardUpstream, Incarnation, RelayedUpstream, Upstream } from "../../src/fleet/index.js";

export type DirectoryState = ReadonlyMap<string, Upstream>;

/** How long an ended incarnation is remembered: much longer than the 12 s by which an announcement may be delayed. */
const goneRetentionMs = 60_000;

/** Whether `later` replaces `earlier`, which has the same id. */
function supersedes(later: Announcement, earlier: Upstream): boolean {
    if (later.bornMs !== earlier.bornMs) {
        return later.bornMs > earlier.bornMs;
    }
    return later.sequence > earlier.sequence;
}

/** Sets an upstream in `directory`, which is modified in place. */
function setUpstream(directory: Map<string, Upstream>, upstream: Upstream): void {
    directory.set(upstream.id, upstream);
    if (upstream.isGone) {
        return;
    }
    // Addresses are reused, so the older of two upstreams at the same address no longer exists.
    for (const other of directory.values()) {
        if (other.id !== upstream.id && other.address === upstream.address && (!other.isGone || other.hasLeft)) {
            const isOlder = other.bornMs <= upstream.bornMs;
            const superseded = isOlder ? other : upstream;
            directory.set(superseded.id, { ...superseded, isGone: true, hasLeft: false });
        }
    }
}

function withUpstream(state: DirectoryState, upstream: Upstream): DirectoryState {
    const next = new Map(state);
    setUpstream(next, upstream);
    return next;
}

/** Applies an announcement that was made to this process at `nowMs`. */
export function applyAnnouncement(state: DirectoryState, announcement: Announcement, nowMs: number): DirectoryState {
    const known = state.get(announcement.id);
    if (known !== undefined && !supersedes(announcement, known)) {
        return announcement.state === "draining" ? applyDraining(state, announcement) : state;
    }
    const isSameIncarnation = known?.bornMs === announcement.bornMs;
    const coldUntilMs = nowMs + announcement.coldForMs;
    const departure = isSameIncarnation ? { isGone: known.isGone, hasLeft: known.hasLeft } : { isGone: false, hasLeft: false };
    const isDraining = announcement.state === "draining" || (isSameIncarnation && known.state === "draining");
    return withUpstream(state, { ...announcement, heardAtMs: nowMs, coldUntilMs, ...departure, state: isDraining ? "draining" : "ready" });
}

/** Merges upstreams relayed by another process. */
export function mergeRelayed(state: DirectoryState, relayed: readonly RelayedUpstream[], nowMs: number): DirectoryState {
    const next = new Map(state);
    for (const upstream of relayed) {
        const merged = mergeUpstream(next.get(upstream.id), upstream, nowMs);
        if (merged !== undefined) {
            setUpstream(next, merged);
        }
    }
    return next;
}

/** Returns the upstream merged with its relayed state; undefined if nothing changes. */
function mergeUpstream(known: Upstream | undefined, relayed: RelayedUpstream, nowMs: number): Upstream | undefined {
    const { heardAgoMs, isGone, hasLeft, ...announcement } = relayed;
    const isSameIncarnation = known !== undefined && known.bornMs === relayed.bornMs;
    const wasGone = isSameIncarnation && known.isGone;
    const hadLeft = isSameIncarnation && known.hasLeft;
    const isDraining = relayed.state === "draining" || (isSameIncarnation && known.state === "draining");
    const state = isDraining ? "draining" : "ready";
    if (known !== undefined && !supersedes(announcement, known)) {
        const hasGone = isGone && isSameIncarnation && !known.isGone;
        const startsDraining = isSameIncarnation && isDraining && known.state === "ready";
        return hasGone || startsDraining ? { ...known, state, ...hasGone ? { isGone, hasLeft } : {} } : undefined;
    }
    const heardAtMs = nowMs - heardAgoMs;
    const coldUntilMs = heardAtMs + announcement.coldForMs;
    return { ...announcement, heardAtMs, coldUntilMs, state, isGone: isGone || wasGone, hasLeft: hasLeft || hadLeft };
}

/** Marks an incarnation as draining. */
export function applyDraining(state: DirectoryState, { id, bornMs }: Incarnation): DirectoryState {
    const known = state.get(id);
    return known?.bornMs === bornMs ? withUpstream(state, { ...known, state: "draining" }) : state;
}

/** Marks an incarnation as cold until `untilMs` at least. */
export function applyCold(state: DirectoryState, { id, bornMs }: Incarnation, untilMs: number): DirectoryState {
    const known = state.get(id);
    return known?.bornMs === bornMs && known.coldUntilMs < untilMs ? withUpstream(state, { ...known, coldUntilMs: untilMs }) : state;
}

/** Marks an upstream that has announced its departure as gone. */
export function applyDeparture(state: DirectoryState, id: string): DirectoryState {
    const known = state.get(id);
    return known === undefined || known.isGone ? state : withUpstream(state, { ...known, isGone: true, hasLeft: true });
}

/** Updates the times at which upstreams were last heard, as reported by another process; their state is unchanged. */
export function updateHeardTimes(state: DirectoryState, heard: readonly HeardUpstream[], nowMs: number): DirectoryState {
    const next = new Map(state);
    for (const { id, agoMs } of heard) {
        const known = next.get(id);
        if (known !== undefined && nowMs - agoMs > known.heardAtMs) {
            next.set(id, { ...known, heardAtMs: nowMs - agoMs });
        }
    }
    return next;
}

/** Removes upstreams that have been gone for longer than the retention time. */
export function removeExpired(state: DirectoryState, nowMs: number): DirectoryState {
    const kept = [...state].filter(([, upstream]) => !upstream.isGone || nowMs - upstream.heardAtMs < goneRetentionMs);
    return kept.length === state.size ? state : new Map(kept);
}
