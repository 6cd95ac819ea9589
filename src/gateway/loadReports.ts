/**
 * What an entry reports to the control leader about its own requests at groups, and how often.
 *
 * @module
 */

import type { EntryLoads } from "../feed/index.js";
import type { Upstream } from "../fleet/index.js";
import type { Route, Site, SiteService } from "../site/index.js";
import type { Balancer } from "./balancer.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { SharedLoadsView } from "./sharedLoads.js";
import type { SiteView } from "./siteView.js";

/** Interval of reports while a group is over half of its limit. */
const busyIntervalMs = 100;
const busyPart = 0.5;

export interface LoadReports {
    /** Counts a caller's request. */
    requestArrived(request: ParsedRequest): void;
    /** Returns the loads since the last call; undefined if no service of the site calls for overload control. */
    drain(): EntryLoads | undefined;
    /** The time from one report to the next; `usualMs` if no group is busy and the leader does not ask for fewer reports. */
    intervalMs(usualMs: number): number;
}

export interface LoadReportsOptions {
    readonly view: Pick<SiteView, "table" | "candidates">;
    readonly balancer: Pick<Balancer, "ownRequests">;
    readonly sharedLoads: Pick<SharedLoadsView, "othersAt" | "nextReportMs">;
    /** Whether overload control acts for a service. */
    isActive(service: string, site: Site): boolean;
}

interface Head {
    readonly upstream: Upstream;
    /** The number of requests that the group runs at once. */
    readonly slots: number;
}

/** Creates reports without any arrivals. */
export function createLoadReports({ view, balancer, sharedLoads, isActive }: LoadReportsOptions): LoadReports {
    let arrivals: Record<string, number> = {};

    function participatingServices(): readonly SiteService[] {
        const site = view.table?.site;
        return site === undefined ? [] : site.services.filter(({ name }) => isActive(name, site));
    }

    function heads(): Head[] {
        return participatingServices().flatMap(({ name: service, engine }) => engine!.models.flatMap(model =>
            view.candidates(service, model.name).map(({ upstream }) => ({ upstream, slots: engine!.slots }))));
    }

    function isAnyBusy(): boolean {
        return heads().some(({ upstream, slots }) =>
            (sharedLoads.othersAt(upstream.id) ?? 0) + balancer.ownRequests(upstream) > slots * busyPart);
    }

    return {
        requestArrived({ model, route, table }) {
            const isServed = ({ service }: Route["targets"][number]) =>
                isActive(service, table.site) && table.service(service)?.engine?.models.some(({ name }) => name === model);
            // Callers may name any model.
            if (model !== undefined && route.targets.some(isServed)) {
                arrivals[model] = (arrivals[model] ?? 0) + 1;
            }
        },
        drain() {
            const drained = arrivals;
            arrivals = {};
            if (participatingServices().length === 0) {
                return undefined;
            }
            const running = heads()
                .map(({ upstream }) => [upstream.id, balancer.ownRequests(upstream)] as const)
                .filter(([, count]) => count > 0);
            return { running: Object.fromEntries(running), arrivals: drained };
        },
        intervalMs(usualMs) {
            if (participatingServices().length === 0) {
                return usualMs;
            }
            return Math.max(sharedLoads.nextReportMs, isAnyBusy() ? busyIntervalMs : usualMs);
        },
    };
}
