/**
 * Running quantiles of the differences between observed and predicted times. They are the quantiles of the latest differences, so that
 * a single outlier moves them by no more than one rank.
 *
 * @module
 */

interface Difference {
    readonly ms: number;
    readonly atMs: number;
}

/** The latest differences, the oldest first, and their quantiles. */
export interface Differences {
    readonly latest: readonly Difference[];
    /** The same in ms, in ascending order. */
    readonly sortedMs: readonly number[];
    readonly medianMs: number;
    readonly upperMs: number;
}

/** Differences of an earlier load are forgotten after this time. */
const retentionMs = 10_000;
/** With fewer differences the upper quantile is not usable. As many are kept even if they are old. */
const minCount = 20;
/** Bounds the cost of an observation. */
const maxCount = 128;
const upperQuantile = 0.75;

export const noDifferences: Differences = { latest: [], sortedMs: [], medianMs: 0, upperMs: 0 };

/** Whether there are enough differences to rely on their quantiles. */
export function isLearned({ latest }: Differences): boolean {
    return latest.length >= minCount;
}

/** Returns a quantile of sorted values by linear interpolation. */
function quantileOf(sorted: readonly number[], quantile: number): number {
    const rank = (sorted.length - 1) * quantile;
    const below = sorted[Math.floor(rank)]!;
    return below + (sorted[Math.ceil(rank)]! - below) * (rank - Math.floor(rank));
}

/** Adds a difference that was observed at `atMs`. A value that is not finite is ignored. */
export function addDifference({ latest, ...rest }: Differences, ms: number, atMs: number): Differences {
    if (!Number.isFinite(ms)) {
        return { latest, ...rest };
    }
    const all = [...latest, { ms, atMs }];
    const firstRecent = all.findIndex(difference => atMs - difference.atMs <= retentionMs);
    const kept = all.slice(Math.max(all.length - maxCount, Math.min(firstRecent, all.length - minCount), 0));
    const sortedMs = kept.map(difference => difference.ms).sort((a, b) => a - b);
    return { latest: kept, sortedMs, medianMs: quantileOf(sortedMs, 0.5), upperMs: quantileOf(sortedMs, upperQuantile) };
}

/** Returns the share of the differences that are at most `ms`, from 0 to 1. */
export function shareUpTo({ sortedMs }: Differences, ms: number): number {
    let [count, above] = [0, sortedMs.length];
    while (count < above) {
        const middle = (count + above) >> 1;
        [count, above] = sortedMs[middle]! <= ms ? [middle + 1, above] : [count, middle];
    }
    return sortedMs.length === 0 ? 0 : count / sortedMs.length;
}
