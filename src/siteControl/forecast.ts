/**
 * Forecasts the demand for a model. The state is a value; its transitions are functions without side effects.
 *
 * Designed for demand that swings by half within 8 to 40 s. The average of the last seconds follows such a swing late, so that groups are
 * formed for a peak when it is over. The forecast is the level and trend of the last seconds or, where one is seen, a periodic wave. Each
 * forecast is compared with the demand that followed. Where it was no better than the average, the average is used.
 *
 * @module
 */

import { type Wave, findWave, valueOfWave } from "./wave.js";

/** Short compared with the shortest period, long compared with the interval of reports. */
export const binMs = 500;
/** Two of the longest periods. */
const historyBins = 160;
/** After a gap of this length in the reports, nothing is known of the demand in between, and the history starts over. */
const maxGapBins = 10;
/** The window of the plain average, as in `demand.ts`. */
const averageWindowMs = 6_000;
/** The window over which level and trend are fitted. */
const trendWindowBins = 6;
/** The trend is assumed to flatten with this time constant, so that a short rise is not extended over the time of a load. */
const trendDampingMs = 2_000;
/** The window over which the errors are averaged: long enough for several forecasts to be checked, shorter than most periods. */
const errorWindowMs = 10_000;
/** Errors are kept for these horizons; a question about another one uses the nearest. */
const errorHorizonsMs = [500, 1_500, 4_000, 16_000] as const;
/** Forecasts of a horizon that must have been checked before one is used. */
const minChecks = 10;
/**
 * A forecast is used if its squared error is below this share of that of the average. Where demand has no pattern, noise alone makes the
 * forecast look better in up to a tenth of the steps; with this share it did in none of 12 runs.
 */
const maxErrorShare = 0.8;
/** How often a wave is looked for, in bins. */
const waveIntervalBins = 2;
/** A forecast never exceeds the largest average of the history by more than this factor. */
const maxGrowth = 1.5;
/** The least forecast relative to the average: a model must not lose its groups to one low extrapolation. */
const minShrink = 0.25;

/** Squared errors over the last seconds for one horizon, in VMs squared. */
interface HorizonErrors {
    readonly checks: number;
    readonly forecast: number;
    readonly average: number;
}

/** What was expected for a bin. */
interface Expectation {
    readonly dueBin: number;
    readonly horizon: number;
    readonly forecastVms: number;
    readonly averageVms: number;
}

export interface ForecastState {
    /** The number of the bin that is being filled; bin `n` starts at `n * binMs`. Undefined before the first work. */
    readonly openBin: number | undefined;
    readonly openWorkMs: number;
    /** VMs kept busy in the finished bins, oldest first. */
    readonly bins: readonly number[];
    readonly averageVms: number;
    readonly peakAverageVms: number;
    readonly wave: Wave | undefined;
    readonly expectations: readonly Expectation[];
    readonly errors: readonly HorizonErrors[];
}

export interface Forecast {
    /** VMs that requests will keep busy: by the forecast if `isUsed`, by the average otherwise. */
    readonly vms: number;
    readonly forecastVms: number;
    readonly averageVms: number;
    /** Root mean square errors over the last seconds, in VMs. */
    readonly forecastErrorVms: number;
    readonly averageErrorVms: number;
    /** Whether the forecast has been more accurate than the average. */
    readonly isUsed: boolean;
    /** The period of the wave that was seen, if any. */
    readonly periodMs: number | undefined;
}

export const emptyForecastState: ForecastState = {
    openBin: undefined, openWorkMs: 0, bins: [], averageVms: 0, peakAverageVms: 0, wave: undefined, expectations: [],
    errors: errorHorizonsMs.map(() => ({ checks: 0, forecast: 0, average: 0 })),
};

/** Returns the level at the end of `bins` and the change per bin, by least squares with weights that decay towards older bins. */
function fitTrend(bins: readonly number[]): { readonly level: number; readonly slope: number } {
    const recent = bins.slice(-4 * trendWindowBins);
    let [weights, sumX, sumY, sumXx, sumXy] = [0, 0, 0, 0, 0];
    recent.forEach((y, index) => {
        const x = index - recent.length + 1;
        const weight = Math.exp(x / trendWindowBins);
        weights += weight;
        sumX += weight * x;
        sumY += weight * y;
        sumXx += weight * x * x;
        sumXy += weight * x * y;
    });
    const determinant = weights * sumXx - sumX * sumX;
    if (determinant < 1e-9) {
        return { level: weights === 0 ? 0 : sumY / weights, slope: 0 };
    }
    const slope = (weights * sumXy - sumX * sumY) / determinant;
    return { level: (sumY - slope * sumX) / weights, slope };
}

/** Returns the demand that level and trend, or the wave, give for `horizonMs` after the last finished bin. */
function expectVms({ bins, wave, averageVms, peakAverageVms }: ForecastState, horizonMs: number): number {
    const { level, slope } = fitTrend(bins);
    const trendVms = level + slope * (trendDampingMs / binMs) * (1 - Math.exp(-horizonMs / trendDampingMs));
    const vms = wave === undefined ? trendVms : valueOfWave(wave, bins.length - 1 + horizonMs / binMs);
    return Math.min(Math.max(vms, averageVms * minShrink), peakAverageVms * maxGrowth);
}

function horizonIndexOf(horizonMs: number): number {
    const distances = errorHorizonsMs.map(candidate => Math.abs(Math.log(candidate / Math.max(horizonMs, 1))));
    return distances.indexOf(Math.min(...distances));
}

/** Compares the expectations for a finished bin with its demand. */
function updateErrors(errors: readonly HorizonErrors[], due: readonly Expectation[], vms: number): readonly HorizonErrors[] {
    return errors.map((error, horizon) => {
        const expectation = due.find(candidate => candidate.horizon === horizon);
        if (expectation === undefined) {
            return error;
        }
        const checks = error.checks + 1;
        const weight = Math.max(1 / checks, binMs / errorWindowMs);
        const update = (old: number, expectedVms: number) => old + weight * ((expectedVms - vms) ** 2 - old);
        const { forecastVms, averageVms } = expectation;
        return { checks, forecast: update(error.forecast, forecastVms), average: update(error.average, averageVms) };
    });
}

function closeBin(state: ForecastState, openBin: number): ForecastState {
    const vms = state.openWorkMs / binMs;
    const isDropping = state.bins.length === historyBins;
    const bins = [...isDropping ? state.bins.slice(1) : state.bins, vms];
    // Until the window has been observed once, each bin has the same weight.
    const averageVms = state.averageVms + Math.max(1 / bins.length, 1 - Math.exp(-binMs / averageWindowMs)) * (vms - state.averageVms);
    const isDue = ({ dueBin }: Expectation) => dueBin === openBin;
    const closed: ForecastState = {
        openBin: openBin + 1, openWorkMs: 0, bins, averageVms,
        peakAverageVms: Math.max(state.peakAverageVms * Math.exp(-binMs / (historyBins * binMs)), averageVms),
        wave: openBin % waveIntervalBins === 0 ? findWave(bins) : shiftWave(state.wave, isDropping),
        expectations: state.expectations.filter(expectation => !isDue(expectation)),
        errors: updateErrors(state.errors, state.expectations.filter(isDue), vms),
    };
    const expectations = errorHorizonsMs.map((horizonMs, horizon): Expectation =>
        ({ dueBin: openBin + horizonMs / binMs, horizon, forecastVms: expectVms(closed, horizonMs), averageVms }));
    return { ...closed, expectations: [...closed.expectations, ...expectations] };
}

/** The wave's time counts from the oldest bin. */
function shiftWave(wave: Wave | undefined, isDropping: boolean): Wave | undefined {
    return wave === undefined || !isDropping ? wave : { ...wave, startBin: wave.startBin - 1 };
}

/** Finishes the bins that have ended at `nowMs`. */
export function advance(state: ForecastState, nowMs: number): ForecastState {
    const currentBin = Math.floor(nowMs / binMs);
    if (state.openBin === undefined || currentBin <= state.openBin) {
        return state;
    }
    let next = state;
    for (let bin = state.openBin; bin < currentBin && bin < state.openBin + maxGapBins; bin++) {
        next = closeBin(next, bin);
    }
    return currentBin - state.openBin > maxGapBins ? emptyForecastState : next;
}

/** Adds requested work, in milliseconds of one VM. */
export function addWork(state: ForecastState, workMs: number, nowMs: number): ForecastState {
    const advanced = advance(state, nowMs);
    return { ...advanced, openBin: advanced.openBin ?? Math.floor(nowMs / binMs), openWorkMs: advanced.openWorkMs + workMs };
}

/** Forecasts the demand at `nowMs + horizonMs`. */
export function forecast(state: ForecastState, nowMs: number, horizonMs: number): Forecast {
    const advanced = advance(state, nowMs);
    const { checks, forecast: forecastError, average } = advanced.errors[horizonIndexOf(horizonMs)]!;
    const isUsed = checks >= minChecks && forecastError < maxErrorShare * average;
    const forecastVms = expectVms(advanced, horizonMs);
    return {
        vms: isUsed ? forecastVms : advanced.averageVms, forecastVms, averageVms: advanced.averageVms,
        forecastErrorVms: Math.sqrt(forecastError), averageErrorVms: Math.sqrt(average), isUsed,
        periodMs: advanced.wave === undefined ? undefined : advanced.wave.periodBins * binMs,
    };
}
