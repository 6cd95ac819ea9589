/**
 * Creates the prediction of first events of an entry, and its metrics. Used where overload control is active.
 *
 * @module
 */

import { callsForOverloadControl, type OverloadMode, type Site } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import type { Balancer } from "./balancer.js";
import { type AllowanceInput, createGroupRoom, type PredictingGroupRoom } from "./groupRoom.js";
import { createLatencyTracker, type LatencyObserver } from "./latencyTracker.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { SharedLoads } from "./sharedLoads.js";

export interface GroupPredictionOptions {
    readonly dataCentre: string;
    readonly overloadMode?: OverloadMode;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    readonly balancer: Balancer;
    nowMs(): number;
    hasBlockedSince(sinceMs: number): boolean;
    readonly sharedLoads: SharedLoads;
    allowanceOf(input: AllowanceInput): number;
    /** Returns this entry's requests at all groups of a model. */
    ownAtModel(service: string, model: string): number;
}

/** Returns whether overload control is active for a service. The answer is computed once for each site and service. */
export function createActivityCheck(mode: OverloadMode): (service: string, request: ParsedRequest) => boolean {
    const bySite = new WeakMap<Site, Map<string, boolean>>();
    return (service, { table: { site } }) => {
        let byService = bySite.get(site);
        if (byService === undefined) {
            byService = new Map(site.services.map(({ name }) => [name, callsForOverloadControl(name, site, mode)]));
            bySite.set(site, byService);
        }
        return byService.get(service) ?? false;
    };
}

/** Creates the group room and the observer of streams, and registers their gauges. */
export function createGroupPrediction(
    options: GroupPredictionOptions,
): { readonly groupRoom: PredictingGroupRoom; readonly latency: LatencyObserver } {
    const { balancer, metrics, sharedLoads } = options;
    const isActive = createActivityCheck(options.overloadMode ?? "auto");
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
