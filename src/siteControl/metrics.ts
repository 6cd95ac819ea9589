/**
 * The gauges of a control daemon.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import type { DirectoryState } from "../fleet/index.js";
import type { ModelCoverage } from "../groups/index.js";
import type { SiteMetrics } from "../telemetry/index.js";
import type { Forecast } from "./forecast.js";
import type { GroupLeader } from "./groupLeader.js";

export interface ControlMetricsSources {
    readonly log: ConsensusNode;
    readonly groupLeader: GroupLeader;
    readonly upstreams: DirectoryState;
}

/** Registers the gauges, which read their sources when the metrics are fetched. */
export function registerControlMetrics(metrics: SiteMetrics, { log, groupLeader, upstreams }: ControlMetricsSources): void {
    metrics.registerGauge("zinnialanding_term", () => log.term);
    metrics.registerGauge("zinnialanding_voters", () => log.voters().filter(voter => voter.voting).length);
    metrics.registerGauge("zinnialanding_voters_silent", () => log.voters().filter(voter => voter.voting && voter.reachable === false).length);
    metrics.registerGauge("zinnialanding_leads", () => Number(log.leaseHeld));
    metrics.registerGauge("zinnialanding_log_index", () => log.appliedIndex);
    metrics.registerGauge("zinnialanding_data_centres_evacuated", () => log.state.published.evacuated.length);
    metrics.registerGauge("zinnialanding_site_version", () => log.state.published.site?.version ?? 0);
    metrics.registerGauge("zinnialanding_upstreams_known", () => [...upstreams.values()].filter(upstream => !upstream.isGone).length);
    metrics.registerGauge("zinnialanding_upstreams_lost", () => groupLeader.lostIds.length);
    for (const phase of ["open", "forming", "ending"] as const) {
        metrics.registerGauge(`zinnialanding_groups_${phase}`, () => groupLeader.groupCount(phase));
    }
    const byModel = (valueOf: (coverage: ModelCoverage) => number) =>
        new Map(groupLeader.coverage.map(coverage => [coverage.model, valueOf(coverage)]));
    metrics.registerModelGauge("zinnialanding_model_groups_open", () => byModel(({ groups }) => groups.open));
    metrics.registerModelGauge("zinnialanding_model_vms", () => byModel(({ vms }) => vms));
    metrics.registerModelGauge("zinnialanding_model_demand_vms", () => byModel(({ demandVms }) => demandVms));
    const byForecast = (valueOf: (forecast: Forecast) => number) =>
        new Map([...groupLeader.forecasts].map(([model, forecast]) => [model, valueOf(forecast)]));
    metrics.registerModelGauge("zinnialanding_model_forecast_vms", () => byForecast(({ forecastVms }) => forecastVms));
    metrics.registerModelGauge("zinnialanding_model_forecast_error_vms", () => byForecast(({ forecastErrorVms }) => forecastErrorVms));
}
