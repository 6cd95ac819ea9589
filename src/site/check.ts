/**
 * What must hold between the parts of a published site beyond the form of each part. Every finding names its place; a site with a
 * finding is refused whole, since half of a change in force would route requests as nobody asked for.
 *
 * @module
 */

import type { Site } from "./types.js";

/** Something wrong with a published site. */
export interface SiteFinding {
    /** Where, as a path such as `routes[3].targets[0]`. */
    readonly place: string;
    readonly problem: string;
}

function checkRoutes(site: Site): SiteFinding[] {
    const services = new Set(site.services.map(service => service.name));
    const taken = new Map<string, number>();
    return site.routes.flatMap((route, index) => {
        const place = `routes[${index}]`;
        const findings: SiteFinding[] = [];
        const key = `${route.host.toLowerCase()} ${route.pathPrefix}`;
        if (taken.has(key)) {
            findings.push({ place, problem: `has the host and prefix of routes[${taken.get(key)}]` });
        }
        taken.set(key, index);
        route.targets.forEach((target, at) => {
            if (!services.has(target.service)) {
                findings.push({ place: `${place}.targets[${at}]`, problem: `names the unknown service "${target.service}"` });
            }
        });
        if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
            findings.push({ place, problem: "its weights add up to 0" });
        }
        return findings;
    });
}

function checkNames(names: readonly string[], list: string): SiteFinding[] {
    const seen = new Set<string>();
    return names.flatMap((name, index) => {
        const isDouble = seen.has(name);
        seen.add(name);
        return isDouble ? [{ place: `${list}[${index}]`, problem: `the name "${name}" stands twice` }] : [];
    });
}

function checkKeys(site: Site): SiteFinding[] {
    const owners = new Map<string, string>();
    return (site.organisations ?? []).flatMap((organisation, index) => organisation.keys.flatMap(key => {
        const owner = owners.get(key);
        owners.set(key, organisation.name);
        return owner === undefined || owner === organisation.name
            ? []
            : [{ place: `organisations[${index}].keys`, problem: `shares a key with "${owner}"` }];
    }));
}

/** Everything that is wrong between the parts of `site`. */
export function checkSite(site: Site): SiteFinding[] {
    return [
        ...checkRoutes(site),
        ...checkNames(site.services.map(service => service.name), "services"),
        ...checkNames((site.organisations ?? []).map(organisation => organisation.name), "organisations"),
        ...checkKeys(site),
    ];
}
