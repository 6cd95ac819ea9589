/**
 * How many entries share the bounds that hold for all of them together, and what this entry's part of each is. Bounds that must hold
 * from the first request on are split among all entries in equal parts; limits that upstreams state later are divided among a few.
 *
 * The pattern it answers: entries can't ask each other before each send, and some are cut off from the others for seconds. Each therefore
 * keeps to a fixed part, so that the sum stays within the bound whoever is cut off; control daemons count the entries that watch them, also
 * those that did lately and may serve on unseen.
 *
 * @module
 */

import { hashText, rank } from "../routing/index.js";

/** Taken until a control daemon has told: more than sites of today have. */
const untoldEntries = 24;
/** Entries that may have been added since the count was told. */
const newcomers = 2;
/** A count told by a control daemon holds for so long, in ms: one that is out of reach may still count entries that others don't. */
const countHoldsMs = 60_000;

export interface EntryCount {
    /** What a control daemon counts. */
    told(address: string, entries: number): void;
    /** The most that any control daemon has counted lately, and newcomers. */
    readonly most: number;
}

/** Creates a count that has been told nothing. */
export function createEntryCount(nowMs: () => number): EntryCount {
    const counts = new Map<string, { readonly entries: number; readonly atMs: number }>();
    return {
        told(address, entries) {
            counts.set(address, { entries, atMs: nowMs() });
        },
        get most() {
            const held = [...counts.values()].filter(({ atMs }) => nowMs() - atMs < countHoldsMs);
            return held.length === 0 ? untoldEntries : Math.max(1, ...held.map(({ entries }) => entries)) + newcomers;
        },
    };
}

/** The part of an entry's share that it may save up; half as much again is what it starts with, so that one restart a window fits in. */
const savedShare = 2 / 3;

/** One entry's part of the second sends that one window may have beyond their ratio: the most saved up, and what it starts with. */
export function shareOfSlack(slack: number, entries: number): { readonly most: number; readonly start: number } {
    const most = slack / entries * savedShare;
    return { most, start: most / 2 };
}

/**
 * One entry's part of the requests a second that an upstream takes from all entries together; 0 where others hold all of it. With one
 * part for each request a second no part is so small that its entry's callers come too rarely to use it, and the bursts of all
 * parts together stay below half of the limit.
 */
export function shareOfLimit(perSecond: number, upstreamId: string, entryId: string, entryIds: readonly string[]): number {
    const count = Math.max(1, Math.min(entryIds.length, Math.floor(perSecond)));
    return rank(hashText(upstreamId), entryIds, hashText, count).includes(entryId) ? perSecond / count : 0;
}

/** How many requests one entry may send to a cold upstream in how long, where all entries together may send `perSecond` in a second. */
export function shareOfCold(perSecond: number, entries: number): { readonly count: number; readonly windowMs: number } {
    const own = perSecond / entries;
    return own >= 1 ? { count: Math.floor(own), windowMs: 1_000 } : { count: 1, windowMs: 1_000 / own };
}
