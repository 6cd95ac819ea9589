/**
 * What an entry reports to the control leader about its own requests at groups, and how often.
 *
 * @module
 */

import type { EntryLoads } from "../feed/index.js";
import type { Upstream } from "../fleet/index.js";
import { callsForOverloadControl, type OverloadMode } from "../site/index.js";
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
    readonly mode: OverloadMode;
}

interface Head {
    readonly upstream: Upstream;
    /** The number of requests that the group runs at once. */
    readonly slots: number;
}

/** Creates reports without any arrivals. */
export function createLoadReports({ view, balancer, sharedLoads, mode }: LoadReportsOptions): LoadReports {
    let arrivals: Record<string, number> = {};
    let participants: { readonly site: object; readonly names: ReadonlySet<string> } | undefined;

    /** The services with overload control, cached for each published site. */
    function participatingServices(): ReadonlySet<string> {
        const site = view.table?.site;
        if (site === undefined) {
            return new Set();
        }
        if (participants?.site !== site) {
            const names = site.services.map(({ name }) => name).filter(name => callsForOverloadControl(name, site, mode));
            participants = { site, names: new Set(names) };
        }
        return participants.names;
    }

    function heads(): Head[] {
        return [...participatingServices()].flatMap(service => {
            const { models, slots } = view.table!.service(service)!.engine!;
            return models.flatMap(({ name }) => view.candidates(service, name).map(({ upstream }) => ({ upstream, slots })));
        });
    }

    function isAnyBusy(): boolean {
        return heads().some(({ upstream, slots }) =>
            (sharedLoads.othersAt(upstream.id) ?? 0) + balancer.ownRequests(upstream) > slots * busyPart);
    }

    return {
        requestArrived({ model, route }) {
            if (model !== undefined && route.targets.some(({ service }) => participatingServices().has(service))) {
                arrivals[model] = (arrivals[model] ?? 0) + 1;
            }
        },
        drain() {
            const drained = arrivals;
            arrivals = {};
            if (participatingServices().size === 0) {
                return undefined;
            }
            const running = heads()
                .map(({ upstream }) => [upstream.id, balancer.ownRequests(upstream)] as const)
                .filter(([, count]) => count > 0);
            return { running: Object.fromEntries(running), arrivals: drained };
        },
        intervalMs(usualMs) {
            if (participatingServices().size === 0) {
                return usualMs;
            }
            return Math.max(sharedLoads.nextReportMs, isAnyBusy() ? busyIntervalMs : usualMs);
        },
    };
}
