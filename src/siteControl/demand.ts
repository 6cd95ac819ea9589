/**
 * Estimates the demand for each model as an exponentially decaying average of the requested work. Groups are planned for this demand.
 *
 * @module
 */

import type { EngineModel } from "../site/index.js";
import { addWork, advance, emptyForecastState, type Forecast, forecast, type ForecastState } from "./forecast.js";

/** Long compared with one request, short compared with the time that a group takes to form from empty VMs. */
const timeConstantMs = 6_000;

/** The share of all VMs that is assumed to be busy before any work has been observed. */
const assumedUtilisation = 0.6;

export interface DemandEstimator {
    /** Adds requested work by model, in milliseconds of one VM. */
    addWork(workByModel: Readonly<Record<string, number>>, nowMs: number): void;
    /**
     * Returns the number of VMs that the work of each model keeps busy; `vms` is the number of VMs available. The shares in the site's
     * configuration stand in for the part of the averaging window that has not been observed yet: the first reports hold only a few
     * requests, and groups ended because of so small a sample would be down for seconds.
     */
    estimateVms(nowMs: number, models: readonly EngineModel[], vms: number): ReadonlyMap<string, number>;
}

export interface DemandForecaster {
    /** Adds requested work by model, in milliseconds of one VM. */
    addWork(workByModel: Readonly<Record<string, number>>, nowMs: number): void;
    /** Returns the forecast of the VMs that the work of each observed model will keep busy at `nowMs + horizonMs`. */
    forecastVms(nowMs: number, horizonMs: number): ReadonlyMap<string, Forecast>;
}

/** Work of one report above this multiple of all VMs' time in `maxReportedMs` is an error of the reporting process. */
const maxWorkFactor = 100;
/** Entries report several times a second; a report after a short break holds the work of at most about a second. */
const maxReportedMs = 1_000;

/** Whether the work in a report, in milliseconds of one VM, can have been requested from a site of `vms` VMs. */
export function isPlausibleWork(workMs: number, vms: number): boolean {
    return workMs >= 0 && workMs <= maxWorkFactor * Math.max(vms, 1) * maxReportedMs;
}

/** Creates a forecaster without any observed work. */
export function createDemandForecaster(): DemandForecaster {
    const states = new Map<string, ForecastState>();
    return {
        addWork(workByModel, nowMs) {
            Object.entries(workByModel).forEach(([model, workMs]) =>
                states.set(model, addWork(states.get(model) ?? emptyForecastState, workMs, nowMs)));
        },
        forecastVms(nowMs, horizonMs) {
            states.forEach((state, model) => states.set(model, advance(state, nowMs)));
            return new Map([...states].map(([model, state]) => [model, forecast(state, nowMs, horizonMs)]));
        },
    };
}

/** Creates an estimator without any observed work. */
export function createDemandEstimator(): DemandEstimator {
    const sums = new Map<string, number>();
    let updatedAtMs = 0;
    let firstWorkAtMs: number | undefined;

    function decay(nowMs: number) {
        const decayFactor = Math.exp(-Math.max(0, nowMs - updatedAtMs) / timeConstantMs);
        sums.forEach((sum, model) => sums.set(model, sum * decayFactor));
        updatedAtMs = nowMs;
    }

    return {
        addWork(workByModel, nowMs) {
            decay(nowMs);
            firstWorkAtMs ??= Object.keys(workByModel).length > 0 ? nowMs : undefined;
            Object.entries(workByModel).forEach(([model, work]) => sums.set(model, (sums.get(model) ?? 0) + work));
        },
        estimateVms(nowMs, models, vms) {
            decay(nowMs);
            const totalShare = models.reduce((sum, { share }) => sum + share, 0);
            // The part of the averaging window that lies before the first observed work.
            const unobservedShare = firstWorkAtMs === undefined ? 1 : Math.exp(-(nowMs - firstWorkAtMs) / timeConstantMs);
            return new Map(models.map(({ name, share }) => {
                const configuredVms = vms * assumedUtilisation * (totalShare > 0 ? share / totalShare : 1 / models.length);
                return [name, (sums.get(name) ?? 0) / timeConstantMs + unobservedShare * configuredVms];
            }));
        },
    };
}
