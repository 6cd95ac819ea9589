/**
 * Running quantiles of the differences between observed and predicted times. They are the quantiles of the latest differences, so that
 * a single outlier moves them by no more than one rank.
 *
 * @module
 */

interface Difference {
    readonly ms: number;
    /** The expected time of a pass at the load at which it was observed. */
    readonly passMs: number;
    readonly atMs: number;
}

/** The latest differences, the oldest first, and their quantiles. */
export interface Differences {
    readonly latest: readonly Difference[];
    /** What they differ from their median by, in passes at the load of each, in ascending order. */
    readonly sortedDeviations: readonly number[];
    readonly medianMs: number;
    readonly upperMs: number;
}

/** Differences of an earlier load are forgotten after this time. */
const retentionMs = 10_000;
/** With fewer differences no share of them is usable. As many are kept even if they are old. */
const minCount = 20;
/** Bounds the cost of an observation. */
const maxCount = 128;
const upperQuantile = 0.75;

export const noDifferences: Differences = { latest: [], sortedDeviations: [], medianMs: 0, upperMs: 0 };

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

/** Adds a difference that was observed at `atMs`, at a load with passes of `passMs`. A value that is not finite is ignored. */
export function addDifference({ latest, ...rest }: Differences, ms: number, passMs: number, atMs: number): Differences {
    if (!Number.isFinite(ms) || !(passMs > 0)) {
        return { latest, ...rest };
    }
    const all = [...latest, { ms, passMs, atMs }];
    const firstRecent = all.findIndex(difference => atMs - difference.atMs <= retentionMs);
    const kept = all.slice(Math.max(all.length - maxCount, Math.min(firstRecent, all.length - minCount), 0));
    const sortedMs = kept.map(difference => difference.ms).sort((a, b) => a - b);
    const medianMs = quantileOf(sortedMs, 0.5);
    const sortedDeviations = kept.map(difference => (difference.ms - medianMs) / difference.passMs).sort((a, b) => a - b);
    return { latest: kept, sortedDeviations, medianMs, upperMs: quantileOf(sortedMs, upperQuantile) };
}

/**
 * Returns the expected share of differences of at most `ms`, from 0 to 1, at a load with passes of `passMs`. Times vary with the passes: a
 * request that just misses one waits for the next.
 */
export function shareUpTo({ sortedDeviations, medianMs }: Differences, ms: number, passMs: number): number {
    const deviation = (ms - medianMs) / passMs;
    let [count, above] = [0, sortedDeviations.length];
    while (count < above) {
        const middle = (count + above) >> 1;
        [count, above] = sortedDeviations[middle]! <= deviation ? [middle + 1, above] : [count, middle];
    }
    return sortedDeviations.length === 0 ? 0 : count / sortedDeviations.length;
}
