/**
 * Finds a periodic wave in the demand for a model.
 *
 * @module
 */

/** A wave `level + cosine * cos(x) + sine * sin(x)` with `x` growing by a full turn in each period. */
export interface Wave {
    readonly periodBins: number;
    /** The bin at which `x` is 0, counted from the oldest bin. */
    readonly startBin: number;
    readonly level: number;
    readonly cosine: number;
    readonly sine: number;
}

/** 8 to 40 s, in bins of 0.5 s. */
const minPeriodBins = 16;
const maxPeriodBins = 80;
/** Periods are tried in steps of this ratio, so the closest one differs from the true period by at most 2 %. */
const periodRatio = 1.04;
/** A wave counts as seen after this many of its periods: before that, a single peak looks like one. */
const minPeriods = 1.5;
/** The window over which a wave is fitted, in periods: its shape and period drift. */
const maxPeriods = 4;
/**
 * The least ratio of explained to unexplained variance, per degree of freedom. Noise alone exceeds it in less than one of a thousand fits
 * even though the best of some 40 periods is chosen.
 */
const minVarianceRatio = 14;

function phaseOf(bin: number, periodBins: number, startBin: number): number {
    return 2 * Math.PI * (bin - startBin) / periodBins;
}

/** Returns a wave's value at a bin, which may lie in the future and between two bins. */
export function valueOfWave({ periodBins, startBin, level, cosine, sine }: Wave, bin: number): number {
    const phase = phaseOf(bin, periodBins, startBin);
    return level + cosine * Math.cos(phase) + sine * Math.sin(phase);
}

/** Solves three linear equations, given with their right sides, by Cramer's rule; undefined if they are not independent. */
function solve(rows: readonly (readonly [number, number, number, number])[]): readonly [number, number, number] | undefined {
    const determinantWith = (replaced: number) => {
        const replace = (row: readonly number[]) => [0, 1, 2].map(column => row[column === replaced ? 3 : column]!);
        const [a, b, c] = rows.map(replace) as [number[], number[], number[]];
        const minorOf = (left: number, right: number) => b[left]! * c[right]! - b[right]! * c[left]!;
        return a[0]! * minorOf(1, 2) - a[1]! * minorOf(0, 2) + a[2]! * minorOf(0, 1);
    };
    const determinant = determinantWith(-1);
    return Math.abs(determinant) < 1e-6
        ? undefined
        : [determinantWith(0) / determinant, determinantWith(1) / determinant, determinantWith(2) / determinant];
}

/** Fits a wave of one period by least squares and returns it with its variance ratio. */
function fitPeriod(bins: readonly number[], periodBins: number): { readonly wave: Wave; readonly varianceRatio: number } | undefined {
    const count = Math.min(bins.length, Math.floor(periodBins * maxPeriods));
    const startBin = bins.length - count;
    const [sums, right] = [new Array<number>(9).fill(0), [0, 0, 0]];
    let total = 0;
    for (let bin = startBin; bin < bins.length; bin++) {
        const phase = phaseOf(bin, periodBins, startBin);
        const terms = [1, Math.cos(phase), Math.sin(phase)];
        terms.forEach((term, row) => {
            terms.forEach((other, column) => sums[3 * row + column]! += term * other);
            right[row]! += term * bins[bin]!;
        });
        total += bins[bin]!;
    }
    const solution = solve([0, 1, 2].map(row => [sums[3 * row]!, sums[3 * row + 1]!, sums[3 * row + 2]!, right[row]!] as const));
    if (solution === undefined) {
        return undefined;
    }
    const wave: Wave = { periodBins, startBin, level: solution[0], cosine: solution[1], sine: solution[2] };
    let [unexplained, variation] = [0, 0];
    for (let bin = startBin; bin < bins.length; bin++) {
        unexplained += (bins[bin]! - valueOfWave(wave, bin)) ** 2;
        variation += (bins[bin]! - total / count) ** 2;
    }
    return { wave, varianceRatio: ((variation - unexplained) / 2) / Math.max(unexplained / (count - 3), 1e-9) };
}

/** Returns the wave with the most evidence in the demand of equal bins, oldest first; undefined if there is too little for any. */
export function findWave(bins: readonly number[]): Wave | undefined {
    let best: ReturnType<typeof fitPeriod>;
    for (let periodBins = minPeriodBins; periodBins <= maxPeriodBins && bins.length >= periodBins * minPeriods; periodBins *= periodRatio) {
        const fit = fitPeriod(bins, periodBins);
        if (fit !== undefined && fit.varianceRatio >= minVarianceRatio && fit.varianceRatio > (best?.varianceRatio ?? 0)) {
            best = fit;
        }
    }
    return best?.wave;
}
