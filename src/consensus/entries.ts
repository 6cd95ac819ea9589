/**
 * The in-memory part of the log: all entries after `baseIndex`. Entries up to `baseIndex` are covered by a snapshot. The log is bounded by
 * the size of its entries: one may hold a whole configuration, another a few bytes.
 *
 * @module
 */

import type { Entry, Membership, Payload } from "./messages.js";

/** What the entries of a log follow. */
export interface LogBase {
    readonly baseIndex: number;
    readonly baseTerm: number;
    /** The membership as of `baseIndex`; undefined before the cluster formed. */
    readonly baseMembership: Membership | undefined;
}

export interface Log extends LogBase {
    readonly entries: readonly Entry[];
    /** For each entry, the size of the log up to its end in bytes, counted from `startBytes`. */
    readonly endBytes: readonly number[];
    readonly startBytes: number;
}

const payloadBytes = new WeakMap<Payload, number>();
/** What the index and the term of an entry add to its payload, about. */
const entryFrameBytes = 40;

/** Returns the size of an entry as JSON, as which it is sent and stored, in bytes. */
export function entryBytes({ payload }: Entry): number {
    let bytes = payloadBytes.get(payload);
    if (bytes === undefined) {
        bytes = entryFrameBytes + Buffer.byteLength(JSON.stringify(payload));
        payloadBytes.set(payload, bytes);
    }
    return bytes;
}

function sumBytes(startBytes: number, entries: readonly Entry[]): number[] {
    let bytes = startBytes;
    return entries.map(entry => bytes += entryBytes(entry));
}

export function createLog({ baseIndex, baseTerm, baseMembership }: LogBase, entries: readonly Entry[]): Log {
    return { baseIndex, baseTerm, baseMembership, entries, startBytes: 0, endBytes: sumBytes(0, entries) };
}

export const emptyLog: Log = createLog({ baseIndex: 0, baseTerm: 0, baseMembership: undefined }, []);

function endBytesAt(log: Log, index: number): number {
    return index <= log.baseIndex ? log.startBytes : log.endBytes[Math.min(index, lastIndexOf(log)) - log.baseIndex - 1] ?? log.startBytes;
}

/** Returns the size of the entries after index `after` up to index `upTo` that the log still holds, in bytes. */
export function bytesBetween(log: Log, after: number, upTo: number): number {
    return Math.max(0, endBytesAt(log, upTo) - endBytesAt(log, after));
}

/** Returns entries from index `first` on whose size is `maxBytes` at most; the first one whatever its size. */
export function entriesWithin(log: Log, first: number, maxBytes: number): readonly Entry[] {
    let last = first;
    while (last < lastIndexOf(log) && bytesBetween(log, first - 1, last + 1) <= maxBytes) {
        last++;
    }
    return entriesFrom(log, first, last - first + 1);
}

export function lastIndexOf(log: Log): number {
    return log.baseIndex + log.entries.length;
}

export function lastTermOf(log: Log): number {
    return log.entries.at(-1)?.term ?? log.baseTerm;
}

/** Returns the term at `index`; undefined when the log does not hold it, or no longer does. */
export function termAt(log: Log, index: number): number | undefined {
    if (index === log.baseIndex) {
        return log.baseTerm;
    }
    return index < log.baseIndex ? undefined : log.entries[index - log.baseIndex - 1]?.term;
}

/** Returns up to `limit` entries from index `first` on. */
export function entriesFrom(log: Log, first: number, limit: number): readonly Entry[] {
    const start = first - log.baseIndex - 1;
    return log.entries.slice(start, start + limit);
}

/** Returns the log with everything from the first index of `entries` on replaced by `entries`. */
export function withEntries(log: Log, entries: readonly Entry[]): Log {
    const first = entries[0];
    if (first === undefined) {
        return log;
    }
    const keptCount = first.index - log.baseIndex - 1;
    const isAppended = keptCount === log.entries.length;
    const [keptEntries, keptBytes] = isAppended
        ? [log.entries, log.endBytes]
        : [log.entries.slice(0, keptCount), log.endBytes.slice(0, keptCount)];
    const addedBytes = sumBytes(endBytesAt(log, first.index - 1), entries);
    return { ...log, entries: keptEntries.concat(entries), endBytes: keptBytes.concat(addedBytes) };
}

/** Returns the newest membership recorded before index `before`, and the index of its entry. */
export function newestMembership(log: Log, before = Number.POSITIVE_INFINITY): { membership: Membership | undefined; index: number } {
    for (let offset = Math.min(log.entries.length, before - log.baseIndex - 1) - 1; offset >= 0; offset--) {
        const entry = log.entries[offset]!;
        if (entry.payload.kind === "membership") {
            return { membership: entry.payload.membership, index: entry.index };
        }
    }
    return { membership: log.baseMembership, index: log.baseIndex };
}

/** Returns the log without the entries up to index `upTo`, except the newest of them whose size is `maxBytes` at most. */
export function compactedExcept(log: Log, upTo: number, maxBytes: number): Log {
    let index = upTo;
    while (index > log.baseIndex && bytesBetween(log, index - 1, upTo) <= maxBytes) {
        index--;
    }
    return compactedTo(log, index);
}

/** Returns the log without the entries up to and including `index`. */
export function compactedTo(log: Log, index: number): Log {
    if (index <= log.baseIndex) {
        return log;
    }
    const covered = { ...log, entries: log.entries.slice(0, index - log.baseIndex) };
    return {
        baseIndex: index,
        baseTerm: termAt(log, index)!,
        baseMembership: newestMembership(covered).membership,
        entries: log.entries.slice(index - log.baseIndex),
        startBytes: endBytesAt(log, index),
        endBytes: log.endBytes.slice(index - log.baseIndex),
    };
}
