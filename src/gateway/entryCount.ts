/**
 * Counts the entries that share the bounds which hold for all of them together, and computes one entry's share of each. Bounds that must
 * hold from the first request on are split equally among all entries; limits that upstreams state later are divided among a few.
 *
 * Entries can't coordinate before each request, and some are partitioned from the others for seconds. Each therefore keeps to a fixed
 * share, so that the sum stays within the bound during any partition. Control daemons count the entries that watch them, including those
 * that did so recently, since these may still be serving.
 *
 * @module
 */

import { hashText, rank } from "../routing/index.js";

/** Used until a control daemon has reported a count. The entry knows no upstream before that. */
const defaultEntries = 24;
/** Allowance for entries that were added after the count was reported. */
const addedEntriesMargin = 2;
/**
 * How long a reported count is used while there are newer ones. A control daemon that has become unreachable may still count entries that
 * others don't.
 */
const countLifetimeMs = 60_000;

export interface EntryCount {
    /** Records the number of entries that a control daemon counts. */
    update(address: string, entries: number): void;
    /** The highest count of any control daemon recently, or ever if none was heard recently, plus an allowance for new entries. */
    readonly upperBound: number;
}

/** Creates a count without any reports. */
export function createEntryCount(nowMs: () => number): EntryCount {
    const counts = new Map<string, { readonly entries: number; readonly atMs: number }>();
    return {
        update(address, entries) {
            counts.set(address, { entries, atMs: nowMs() });
        },
        get upperBound() {
            const known = [...counts.values()];
            if (known.length === 0) {
                return defaultEntries;
            }
            const recent = known.filter(({ atMs }) => nowMs() - atMs < countLifetimeMs);
            const used = recent.length === 0 ? known : recent;
            return Math.max(1, ...used.map(({ entries }) => entries)) + addedEntriesMargin;
        },
    };
}

/** The part of an entry's share that it may accrue. It starts with half of that, so that one restart in each window fits into the share. */
const accruedShare = 2 / 3;

/** Returns one entry's share of the retries that a window may have beyond the ratio: the capacity of its budget and the initial tokens. */
export function shareOfSlack(slack: number, entries: number): { readonly maxTokens: number; readonly initialTokens: number } {
    const maxTokens = slack / entries * accruedShare;
    return { maxTokens, initialTokens: maxTokens / 2 };
}

/**
 * Returns one entry's share of the requests a second that an upstream accepts from all entries together, or 0 if others hold all of it.
 * With one share for each request a second, no share is so small that its entry has too few callers to use it, and the bursts of all
 * shares together stay below half of the limit.
 */
export function shareOfLimit(perSecond: number, upstreamId: string, entryId: string, entryIds: readonly string[]): number {
    const count = Math.max(1, Math.min(entryIds.length, Math.floor(perSecond)));
    return rank(hashText(upstreamId), entryIds, hashText, count).includes(entryId) ? perSecond / count : 0;
}

/** Returns how many requests one entry may send to a cold upstream in which window, if all entries together may send `perSecond`. */
export function shareOfColdRate(perSecond: number, entries: number): { readonly count: number; readonly windowMs: number } {
    const perEntry = perSecond / entries;
    return perEntry >= 1 ? { count: Math.floor(perEntry), windowMs: 1_000 } : { count: 1, windowMs: 1_000 / perEntry };
}
