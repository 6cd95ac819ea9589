/**
 * Creates the prediction of first events of an entry, and its metrics. Used where overload control is active.
 *
 * @module
 */

import type { Site } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import type { Balancer } from "./balancer.js";
import { type AllowanceInput, createGroupRoom, type PredictingGroupRoom } from "./groupRoom.js";
import { createLatencyTracker, type LatencyObserver } from "./latencyTracker.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { SharedLoads } from "./sharedLoads.js";

export interface GroupPredictionOptions {
    readonly dataCentre: string;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    readonly balancer: Balancer;
    nowMs(): number;
    /** Whether overload control acts for a service. */
    isActive(service: string, site: Site): boolean;
    hasBlockedSince(sinceMs: number): boolean;
    readonly sharedLoads: SharedLoads;
    allowanceOf(input: AllowanceInput): number;
    /** Returns this entry's requests at all groups of a model. */
    ownAtModel(service: string, model: string): number;
}

/** Creates the group room and the observer of streams, and registers their gauges. */
export function createGroupPrediction(
    options: GroupPredictionOptions,
): { readonly groupRoom: PredictingGroupRoom; readonly latency: LatencyObserver } {
    const { balancer, metrics, sharedLoads } = options;
    const isActive = (service: string, { table: { site } }: ParsedRequest) => options.isActive(service, site);
    const latency = createLatencyTracker({
        dataCentre: options.dataCentre, logger: options.logger, nowMs: options.nowMs, hasBlockedSince: options.hasBlockedSince, isActive,
        knownLoad: upstream => balancer.knownLoad(upstream, sharedLoads.othersAt(upstream.id)),
        ownRequests: balancer.ownRequests,
    });
    const groupRoom = createGroupRoom({
        nowMs: options.nowMs, balancer, sharedLoads, tracker: latency, isActive,
        allowanceOf: options.allowanceOf, ownAtModel: options.ownAtModel,
    });
    const differences = (read: "medianMs" | "upperMs") => () =>
        new Map([...latency.models].map(([name, { learned }]) => [name, learned.differences[read]]));
    metrics.registerModelGauge("zinnialanding_model_on_time_limit", () => groupRoom.onTimeLimits);
    metrics.registerModelGauge("zinnialanding_model_first_event_difference_p50_ms", differences("medianMs"));
    metrics.registerModelGauge("zinnialanding_model_first_event_difference_p75_ms", differences("upperMs"));
    metrics.registerModelGauge("zinnialanding_model_highest_speed_factor", () => latency.highestFactors);
    return { groupRoom, latency };
}
