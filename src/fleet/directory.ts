/**
 * The upstreams that have announced themselves, merged from what this process heard itself and what others carry to it.
 *
 * Invariants: of two announcements of one id the later life wins, and within a life the higher sequence number, whatever the order
 * of arrival; an upstream that said goodbye never comes back in the same life. A late announcement of a crashed life thus cannot
 * replace the life that has started at the same address since.
 *
 * @module
 */

import type { Announcement, CarriedUpstream, Upstream } from "./types.js";

export type DirectoryState = ReadonlyMap<string, Upstream>;

/** How long a life that ended is remembered, in ms: well past the 12 s after which a late announcement may still arrive. */
const rememberGoneMs = 60_000;

/** Whether `later` replaces `earlier`, both of one id. */
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
    // Addresses are reused: the older of two upstreams at one address no longer exists.
    for (const other of directory.values()) {
        if (other.id !== upstream.id && other.address === upstream.address && (!other.isGone || other.hasLeft)) {
            const isOlder = other.bornMs <= upstream.bornMs;
            const loser = isOlder ? other : upstream;
            directory.set(loser.id, { ...loser, isGone: true, hasLeft: false });
        }
    }
}

function withUpstream(state: DirectoryState, upstream: Upstream): DirectoryState {
    const next = new Map(state);
    setUpstream(next, upstream);
    return next;
}

/** Takes in an announcement made to this process at `nowMs`. */
export function announce(state: DirectoryState, announcement: Announcement, nowMs: number): DirectoryState {
    const known = state.get(announcement.id);
    if (known !== undefined && !supersedes(announcement, known)) {
        return state;
    }
    const isSameLife = known?.bornMs === announcement.bornMs;
    const coldUntilMs = nowMs + announcement.coldForMs;
    const fate = isSameLife ? { isGone: known.isGone, hasLeft: known.hasLeft } : { isGone: false, hasLeft: false };
    return withUpstream(state, { ...announcement, heardAtMs: nowMs, coldUntilMs, ...fate });
}

/** Merges upstreams carried from another process. */
export function takeCarried(state: DirectoryState, carried: readonly CarriedUpstream[], nowMs: number): DirectoryState {
    const next = new Map(state);
    for (const upstream of carried) {
        const merged = mergeCarried(next.get(upstream.id), upstream, nowMs);
        if (merged !== undefined) {
            setUpstream(next, merged);
        }
    }
    return next;
}

/** Returns the upstream with what another process carries of it merged in; undefined if nothing changes. */
function mergeCarried(known: Upstream | undefined, carried: CarriedUpstream, nowMs: number): Upstream | undefined {
    const { heardAgoMs, isGone, hasLeft, ...announcement } = carried;
    const isSameLife = known !== undefined && known.bornMs === carried.bornMs;
    const goneHere = isSameLife && known.isGone;
    const leftHere = isSameLife && known.hasLeft;
    if (known !== undefined && !supersedes(announcement, known)) {
        return isGone && isSameLife && !known.isGone ? { ...known, isGone, hasLeft } : undefined;
    }
    const heardAtMs = nowMs - heardAgoMs;
    const coldUntilMs = heardAtMs + announcement.coldForMs;
    return { ...announcement, heardAtMs, coldUntilMs, isGone: isGone || goneHere, hasLeft: hasLeft || leftHere };
}

/** An upstream's goodbye. */
export function depart(state: DirectoryState, id: string): DirectoryState {
    const known = state.get(id);
    return known === undefined || known.isGone ? state : withUpstream(state, { ...known, isGone: true, hasLeft: true });
}

/**
 * Whether an upstream's life is over for certain: nobody has announced it, or another life or upstream stands in its place. One that said
 * goodbye may serve on, and the head of a group that does still has its members.
 */
export function isLifeOver(state: DirectoryState, id: string): boolean {
    const upstream = state.get(id);
    return upstream === undefined || (upstream.isGone && !upstream.hasLeft);
}

/** The upstreams that may still run, those that said goodbye as draining ones. */
export function mayRun(state: DirectoryState): Upstream[] {
    return [...state.values()].flatMap((upstream): Upstream[] =>
        !upstream.isGone ? [upstream] : upstream.hasLeft ? [{ ...upstream, state: "draining" }] : []);
}

/** An upstream that another process has heard, and how long ago. */
export interface Heard {
    readonly id: string;
    readonly agoMs: number;
}

/** Notes that upstreams were heard elsewhere `agoMs` ago, without anything new from them. */
export function refresh(state: DirectoryState, heard: readonly Heard[], nowMs: number): DirectoryState {
    const next = new Map(state);
    for (const { id, agoMs } of heard) {
        const known = next.get(id);
        if (known !== undefined && nowMs - agoMs > known.heardAtMs) {
            next.set(id, { ...known, heardAtMs: nowMs - agoMs });
        }
    }
    return next;
}

/** Drops lives that ended long ago. */
export function forgetGone(state: DirectoryState, nowMs: number): DirectoryState {
    const kept = [...state].filter(([, upstream]) => !upstream.isGone || nowMs - upstream.heardAtMs < rememberGoneMs);
    return kept.length === state.size ? state : new Map(kept);
}

/** An upstream as it is carried to another process. */
export function carry(upstream: Upstream, nowMs: number): CarriedUpstream {
    const { heardAtMs, coldUntilMs, ...rest } = upstream;
    const coldForMs = Math.max(0, Math.min(rest.coldForMs, coldUntilMs - heardAtMs));
    return { ...rest, coldForMs, heardAgoMs: Math.max(0, nowMs - heardAtMs) };
}

/** Whether anything but the time of hearing and the sequence number differs: what others need to be told. */
export function isNews(before: Upstream | undefined, after: Upstream): boolean {
    return before === undefined || before.bornMs !== after.bornMs || before.isGone !== after.isGone || before.state !== after.state ||
        before.address !== after.address || before.service !== after.service ||
        (before.coldUntilMs > after.heardAtMs) !== (after.coldUntilMs > after.heardAtMs) ||
        JSON.stringify(holdingsOf(before)) !== JSON.stringify(holdingsOf(after));
}

function holdingsOf({ group, stagedModels, slots }: Upstream) {
    return [group, stagedModels, slots];
}
