/**
 * How many entries share the bounds that hold for all of them together, and what this entry's part of each is.
 *
 * The pattern it answers: entries can't ask each other before each send, and some are cut off from the others for seconds. Each therefore
 * keeps to a fixed part, so that the sum stays within the bound whoever is cut off; control daemons count the entries that watch them, also
 * those that did lately and may serve on unseen.
 *
 * @module
 */

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

/** How many requests one entry may send to a cold upstream in how long, where all entries together may send `perSecond` in a second. */
export function shareOfCold(perSecond: number, entries: number): { readonly count: number; readonly windowMs: number } {
    const own = perSecond / entries;
    return own >= 1 ? { count: Math.floor(own), windowMs: 1_000 } : { count: 1, windowMs: 1_000 / own };
}
