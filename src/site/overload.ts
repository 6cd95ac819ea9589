/**
 * Decides whether a published site calls for overload control of a service: admission by urgency and load balancing by predicted time to
 * the first event. Sites that call for neither are served by fixed bounds on the queues of groups.
 *
 * @module
 */

import type { EngineSpec, Site } from "./types.js";

/** The operators' setting: `auto` follows the published site. */
export type OverloadMode = "auto" | "on" | "off";

/** Whether two routes to the service differ in priority, so that one has to give way to the other when capacity is short. */
function hasDifferentPriorities(service: string, site: Site): boolean {
    const routes = site.routes.filter(route => route.targets.some(target => target.service === service));
    return new Set(routes.map(route => route.priority)).size > 1;
}

/** Whether a round trip to another data centre takes longer than a step of the engine, so that the choice of a group has to weigh both. */
function hasDistantDataCentres({ delays, stepMs }: EngineSpec): boolean {
    return delays.some(({ delayMs }) => 2 * delayMs > stepMs);
}

/** Whether overload control acts for requests to the service. It never does for services without engines. */
export function callsForOverloadControl(serviceName: string, site: Site, mode: OverloadMode = "auto"): boolean {
    const engine = site.services.find(service => service.name === serviceName)?.engine;
    if (engine === undefined || engine.models.length === 0 || mode === "off") {
        return false;
    }
    return mode === "on" || hasDifferentPriorities(serviceName, site) || hasDistantDataCentres(engine);
}

/** Returns a function that tells whether overload control acts for a service; the answer is computed once for each site and service. */
export function createOverloadCheck(mode?: OverloadMode): (serviceName: string, site: Site) => boolean {
    const bySite = new WeakMap<Site, ReadonlyMap<string, boolean>>();
    return (serviceName, site) => {
        let byService = bySite.get(site);
        if (byService === undefined) {
            byService = new Map(site.services.map(({ name }) => [name, callsForOverloadControl(name, site, mode)]));
            bySite.set(site, byService);
        }
        return byService.get(serviceName) ?? false;
    };
}
