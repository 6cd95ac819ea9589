/**
 * The upstreams that have announced themselves, merged from announcements made to this process and upstreams relayed by other processes.
 *
 * Invariants: of two announcements with the same id, the later incarnation wins and, within an incarnation, the higher sequence number,
 * regardless of the order of arrival. An upstream that drains or has left never returns in the same incarnation. Thus a delayed
 * announcement of a crashed incarnation can't replace the one that has since started at the same address.
 *
 * Most announcements only repeat what is known. Such an announcement takes constant time however many upstreams there are: the directory
 * is changed in place and has an index by address.
 *
 * @module
 */

import type { Announcement, Incarnation, RelayedUpstream, Upstream } from "./types.js";

/** The upstreams by id. */
export type DirectoryState = ReadonlyMap<string, Upstream>;

/** An upstream that another process has heard from, and how long ago. */
export interface HeardUpstream {
    readonly id: string;
    readonly agoMs: number;
}

/** A directory that changes in place. Methods that return upstreams return those whose change must be published. */
export interface Directory {
    /** The current upstreams; the map changes with the directory. */
    readonly upstreams: DirectoryState;
    /** The upstreams that state an address and have not been replaced. */
    runningAt(address: string): readonly Upstream[];
    /** Counts the changes that must be published. */
    readonly version: number;
    /** Ids of the upstreams whose last such change came after `version`, in the order of these changes. */
    changedSince(version: number): readonly string[];
    /** Applies an announcement that was made to this process at `nowMs`. */
    announce(announcement: Announcement, nowMs: number): readonly Upstream[];
    /** Merges upstreams relayed by another process. */
    merge(relayed: readonly RelayedUpstream[], nowMs: number): readonly Upstream[];
    /** Marks an incarnation as draining, because an answer of it says so. Its announcements may not get through. */
    markDraining(incarnation: Incarnation): readonly Upstream[];
    /** Marks an incarnation as cold until `untilMs` at least, because an answer of it says so. Its next announcement states it anew. */
    markCold(incarnation: Incarnation, untilMs: number): readonly Upstream[];
    /** Marks an upstream that has announced its departure as gone, unless a later incarnation than the stated one is known. */
    depart(id: string, bornMs?: number): readonly Upstream[];
    /** Marks an upstream as gone because its process has certainly ended. */
    markEnded(id: string): readonly Upstream[];
    /** Updates the times at which upstreams were last heard, as reported by another process; their state is unchanged. */
    updateHeardTimes(heard: readonly HeardUpstream[], nowMs: number): void;
    /** Removes upstreams that have been gone for longer than the retention time. */
    removeExpired(nowMs: number): void;
    /** Whether an announcement of this upstream would be taken. One of an upstream that is known always is; others are, up to a bound. */
    hasRoomFor(id: string, nowMs: number): boolean;
    /** While there is little room left, marks those as gone that have been silent for ten minutes, the longest silent first. */
    endSilent(nowMs: number): readonly Upstream[];
}

/** Several times what a site is designed for, so that only ids which nobody uses can reach it. */
const defaultMaxUpstreams = 50_000;
/** Part of the bound above which silent upstreams are ended. */
const crowdedShare = 0.8;
const maxSilenceMs = 600_000;
/** Least interval between searches for room, each of which goes over all upstreams. */
const searchIntervalMs = 1_000;

/** How long an ended incarnation is remembered: much longer than the 12 s by which an announcement may be delayed. */
const goneRetentionMs = 60_000;

/** Whether `later` replaces `earlier`, which has the same id. */
function supersedes(later: Announcement, earlier: Upstream): boolean {
    if (later.bornMs !== earlier.bornMs) {
        return later.bornMs > earlier.bornMs;
    }
    return later.sequence > earlier.sequence;
}

/** Whether an upstream drains or has left. Within an incarnation it never goes back, whatever is heard later. */
type Departure = Pick<Upstream, "state" | "isGone" | "hasLeft">;

function mergeDeparture(a: Departure, b: Departure): Departure {
    const state = a.state === "draining" || b.state === "draining" ? "draining" : "ready";
    return { state, isGone: a.isGone || b.isGone, hasLeft: a.hasLeft || b.hasLeft };
}

/** Returns the upstream with what an older statement about it adds, which is only that it drains or has left; undefined if nothing does. */
function mergeOlder(known: Upstream, older: Announcement & Departure): Upstream | undefined {
    if (known.bornMs !== older.bornMs) {
        return undefined;
    }
    const { state, isGone, hasLeft } = mergeDeparture(known, older);
    const isNews = state !== known.state || isGone !== known.isGone;
    return isNews ? { ...known, state, isGone, hasLeft: known.isGone ? known.hasLeft : hasLeft } : undefined;
}

/** Returns the upstream as announced at `nowMs`; undefined if nothing changes. */
function announcedUpstream(known: Upstream | undefined, announcement: Announcement, nowMs: number): Upstream | undefined {
    const present = { ...announcement, isGone: false, hasLeft: false };
    if (known !== undefined && !supersedes(announcement, known)) {
        return mergeOlder(known, present);
    }
    const departure = known?.bornMs === announcement.bornMs ? mergeDeparture(known, present) : {};
    return { ...present, heardAtMs: nowMs, coldUntilMs: nowMs + announcement.coldForMs, ...departure };
}

/** Returns the upstream merged with its relayed state; undefined if nothing changes. */
function mergeUpstream(known: Upstream | undefined, relayed: RelayedUpstream, nowMs: number): Upstream | undefined {
    if (known !== undefined && !supersedes(relayed, known)) {
        return mergeOlder(known, relayed);
    }
    const { heardAgoMs, ...present } = relayed;
    const heardAtMs = nowMs - heardAgoMs;
    const departure = known?.bornMs === relayed.bornMs ? mergeDeparture(known, relayed) : {};
    return { ...present, heardAtMs, coldUntilMs: heardAtMs + relayed.coldForMs, ...departure };
}

/**
 * Whether an upstream's incarnation has certainly ended: it is unknown, or another incarnation or upstream has replaced it. An upstream
 * that has left may continue to serve and, as the head of a group, still needs the group's members.
 */
export function hasIncarnationEnded(state: DirectoryState, id: string): boolean {
    const upstream = state.get(id);
    return upstream === undefined || !isRunning(upstream);
}

/** Whether an upstream's process may still run. */
function isRunning({ isGone, hasLeft }: Upstream): boolean {
    return !isGone || hasLeft;
}

/** Returns the upstreams that may still be running; those that have left are returned as draining. */
export function possiblyRunning(state: DirectoryState): Upstream[] {
    return [...state.values()].flatMap((upstream): Upstream[] =>
        !upstream.isGone ? [upstream] : upstream.hasLeft ? [{ ...upstream, state: "draining" }] : []);
}

/** Converts an upstream to the form that is relayed to other processes. */
export function toRelayed(upstream: Upstream, nowMs: number): RelayedUpstream {
    const { heardAtMs, coldUntilMs, ...rest } = upstream;
    const coldForMs = Math.max(0, Math.min(rest.coldForMs, coldUntilMs - heardAtMs));
    return { ...rest, coldForMs, heardAgoMs: Math.max(0, nowMs - heardAtMs) };
}

/**
 * Whether a change must be published: anything but the time at which the upstream was heard and the sequence number differs. How long it is
 * still cold is published with the start and the end of the time alone.
 */
export function isSignificantChange(before: Upstream | undefined, after: Upstream): boolean {
    return before === undefined || before.bornMs !== after.bornMs || before.isGone !== after.isGone || before.state !== after.state ||
        before.address !== after.address || before.service !== after.service || before.slots !== after.slots ||
        before.dataCentre !== after.dataCentre || before.domain !== after.domain ||
        (before.coldUntilMs > after.heardAtMs) !== (after.coldUntilMs > after.heardAtMs) ||
        !isSameGroup(before.group, after.group) || !isSameList(before.stagedModels, after.stagedModels);
}

function isSameGroup(a: Upstream["group"], b: Upstream["group"]): boolean {
    if (a === undefined || b === undefined) {
        return a === b;
    }
    return a.name === b.name && a.epoch === b.epoch && a.rank === b.rank && a.state === b.state;
}

function isSameList(a: readonly string[], b: readonly string[]): boolean {
    return a.length === b.length && a.every((item, index) => item === b[index]);
}

/** Creates an empty directory. It never holds more than `maxUpstreams`: further ones are not taken, and known ones stay. */
export function createDirectory(maxUpstreams = defaultMaxUpstreams): Directory {
    const upstreams = new Map<string, Upstream>();
    let nextSearchAtMs = -Infinity;
    const idsByAddress = new Map<string, Set<string>>();
    let version = 0;
    /** The version of the last published change of each upstream, in ascending order. */
    const versions = new Map<string, number>();

    function removeFromIndex({ id, address }: Upstream) {
        const ids = idsByAddress.get(address);
        ids?.delete(id);
        if (ids?.size === 0) {
            idsByAddress.delete(address);
        }
    }

    function addToIndex({ id, address }: Upstream) {
        const ids = idsByAddress.get(address);
        if (ids === undefined) {
            idsByAddress.set(address, new Set([id]));
        }
        else {
            ids.add(id);
        }
    }

    /** Stores an upstream and adds its id to `changed` if its change must be published. */
    function put(upstream: Upstream, changed: Set<string>) {
        const previous = upstreams.get(upstream.id);
        if (previous !== undefined && previous.address !== upstream.address) {
            removeFromIndex(previous);
        }
        upstreams.set(upstream.id, upstream);
        addToIndex(upstream);
        if (isSignificantChange(previous, upstream)) {
            changed.add(upstream.id);
            versions.delete(upstream.id);
            versions.set(upstream.id, ++version);
        }
    }

    /** Stores an upstream. Addresses are reused, so the older of two upstreams at the same address no longer exists. */
    function putAtAddress(upstream: Upstream, changed: Set<string>) {
        put(upstream, changed);
        if (upstream.isGone) {
            return;
        }
        for (const id of [...idsByAddress.get(upstream.address)!]) {
            const other = upstreams.get(id)!;
            if (id !== upstream.id && isRunning(other)) {
                const superseded = other.bornMs <= upstream.bornMs ? other : upstream;
                put({ ...superseded, isGone: true, hasLeft: false }, changed);
            }
        }
    }

    function byId(ids: ReadonlySet<string>): Upstream[] {
        return [...ids].map(id => upstreams.get(id)!);
    }

    function update(next: Upstream | undefined): readonly Upstream[] {
        const changed = new Set<string>();
        if (next !== undefined) {
            putAtAddress(next, changed);
        }
        return byId(changed);
    }

    function removeExpired(nowMs: number) {
        for (const upstream of [...upstreams.values()]) {
            if (upstream.isGone && nowMs - upstream.heardAtMs >= goneRetentionMs) {
                upstreams.delete(upstream.id);
                versions.delete(upstream.id);
                removeFromIndex(upstream);
            }
        }
    }

    function hasRoomFor(id: string, nowMs: number): boolean {
        if (upstreams.size >= maxUpstreams && !upstreams.has(id) && nowMs >= nextSearchAtMs) {
            removeExpired(nowMs);
            nextSearchAtMs = nowMs + searchIntervalMs;
        }
        return upstreams.size < maxUpstreams || upstreams.has(id);
    }

    return {
        upstreams,
        hasRoomFor,
        removeExpired,
        endSilent(nowMs) {
            const excess = Math.max(0, Math.ceil(upstreams.size - maxUpstreams * crowdedShare));
            if (excess === 0) {
                return [];
            }
            const changed = new Set<string>();
            [...upstreams.values()]
                .filter(upstream => isRunning(upstream) && nowMs - upstream.heardAtMs >= maxSilenceMs)
                .sort((a, b) => a.heardAtMs - b.heardAtMs)
                .slice(0, excess)
                .forEach(upstream => put({ ...upstream, isGone: true, hasLeft: false }, changed));
            return byId(changed);
        },
        runningAt: address => [...idsByAddress.get(address) ?? []].map(id => upstreams.get(id)!).filter(isRunning),
        get version() {
            return version;
        },
        changedSince: since => [...versions].filter(([, changedAt]) => changedAt > since).map(([id]) => id),
        announce: (announcement, nowMs) =>
            hasRoomFor(announcement.id, nowMs) ? update(announcedUpstream(upstreams.get(announcement.id), announcement, nowMs)) : [],
        merge(relayed, nowMs) {
            const changed = new Set<string>();
            for (const upstream of relayed) {
                const merged = mergeUpstream(upstreams.get(upstream.id), upstream, nowMs);
                if (merged !== undefined && hasRoomFor(upstream.id, nowMs)) {
                    putAtAddress(merged, changed);
                }
            }
            return byId(changed);
        },
        markDraining({ id, bornMs }) {
            const known = upstreams.get(id);
            return update(known?.bornMs === bornMs && known.state !== "draining" ? { ...known, state: "draining" } : undefined);
        },
        markCold({ id, bornMs }, untilMs) {
            const known = upstreams.get(id);
            return update(known?.bornMs === bornMs && known.coldUntilMs < untilMs ? { ...known, coldUntilMs: untilMs } : undefined);
        },
        depart(id, bornMs = Infinity) {
            const known = upstreams.get(id);
            const hasLeft = known !== undefined && !known.isGone && known.bornMs <= bornMs;
            return update(hasLeft ? { ...known, isGone: true, hasLeft } : undefined);
        },
        markEnded(id) {
            const known = upstreams.get(id);
            return update(known === undefined || known.isGone ? undefined : { ...known, isGone: true, hasLeft: false });
        },
        updateHeardTimes(heard, nowMs) {
            for (const { id, agoMs } of heard) {
                const known = upstreams.get(id);
                if (known !== undefined && nowMs - agoMs > known.heardAtMs) {
                    upstreams.set(id, { ...known, heardAtMs: nowMs - agoMs });
                }
            }
        },
    };
}
