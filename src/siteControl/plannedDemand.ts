/**
 * The demand that the control leader plans for: the average, and a forecast where that has been more accurate.
 *
 * @module
 */

import type { EngineModel } from "../site/index.js";
import type { Logger } from "../telemetry/index.js";
import { createDemandEstimator, createDemandForecaster, isPlausibleWork } from "./demand.js";
import type { Forecast } from "./forecast.js";

export interface PlannedDemand {
    /** Adds the work of a report, by model, in milliseconds of one VM. Implausible work is ignored; `vms` is the number of VMs known. */
    addWork(workByModel: Readonly<Record<string, number>>, vms: number): void;
    /** Returns the average number of VMs that each model keeps busy; `vms` is the number of VMs available. */
    averageVms(models: readonly EngineModel[], vms: number): ReadonlyMap<string, number>;
    /** Returns the demand after `horizonMs`: the forecast for models for which it has been more accurate, otherwise `averages`. */
    forecastVms(horizonMs: number, averages: ReadonlyMap<string, number>): ReadonlyMap<string, number>;
    /** The latest forecast that was asked for, by model. */
    readonly latest: ReadonlyMap<string, Forecast>;
}

const logIntervalMs = 1_000;
/** A forecast that is closer to the average than this changes no plan. */
const minLoggedDifference = 0.1;

function roundToTenth(value: number): number {
    return Math.round(value * 10) / 10;
}

/** Creates the planned demand without any observed work. */
export function createPlannedDemand(nowMs: () => number, logger: Logger): PlannedDemand {
    const estimator = createDemandEstimator();
    const forecaster = createDemandForecaster();
    const loggedAtMs = new Map<string, number>();
    /** Forecasts cost some time, so work is recorded for them only once they are asked for. */
    let isForecasting = false;
    let latest: ReadonlyMap<string, Forecast> = new Map();

    /** Whether a line of this kind is due. */
    function mayLog(kind: string): boolean {
        if (nowMs() - (loggedAtMs.get(kind) ?? Number.NEGATIVE_INFINITY) < logIntervalMs) {
            return false;
        }
        loggedAtMs.set(kind, nowMs());
        return true;
    }

    function logDifferences(horizonMs: number, averages: ReadonlyMap<string, number>) {
        const differing = [...latest].filter(([model, { isUsed, vms }]) => {
            const average = averages.get(model);
            return isUsed && average !== undefined && Math.abs(vms - average) > minLoggedDifference * average;
        });
        if (differing.length > 0 && mayLog("forecast")) {
            logger.info("demand is planned by forecast", {
                horizonMs,
                models: differing.map(([model, { vms, forecastErrorVms, averageErrorVms, periodMs }]) => ({
                    model, forecastVms: roundToTenth(vms), errorVms: roundToTenth(forecastErrorVms),
                    averageVms: roundToTenth(averages.get(model)!), averageErrorVms: roundToTenth(averageErrorVms), periodMs,
                })),
            });
        }
    }

    return {
        addWork(workByModel, vms) {
            const implausible = Object.entries(workByModel).filter(([, workMs]) => !isPlausibleWork(workMs, vms));
            if (implausible.length > 0 && mayLog("implausible")) {
                logger.warn("implausible work in a report is ignored", { work: Object.fromEntries(implausible), vms });
            }
            const plausible = implausible.length === 0
                ? workByModel
                : Object.fromEntries(Object.entries(workByModel).filter(([, workMs]) => isPlausibleWork(workMs, vms)));
            estimator.addWork(plausible, nowMs());
            if (isForecasting) {
                forecaster.addWork(plausible, nowMs());
            }
        },
        averageVms: (models, vms) => estimator.estimateVms(nowMs(), models, vms),
        forecastVms(horizonMs, averages) {
            isForecasting = true;
            latest = forecaster.forecastVms(nowMs(), horizonMs);
            logDifferences(horizonMs, averages);
            return new Map([...averages].map(([model, average]) => {
                const forecast = latest.get(model);
                return [model, forecast?.isUsed === true ? forecast.vms : average];
            }));
        },
        get latest() {
            return latest;
        },
    };
}
