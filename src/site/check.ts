/**
 * Checks the consistency between the parts of a published site, beyond the schema of each part. A site with any finding is refused as a
 * whole, since a partially applied change would route requests in a way that nobody intended.
 *
 * @module
 */

import { boundedFindings } from "./boundedText.js";
import type { Site } from "./types.js";

/** A problem found in a published site. */
export interface SiteFinding {
    /** The location of the problem, as a path such as `routes[3].targets[0]`. */
    readonly place: string;
    readonly problem: string;
}

function checkRoutes(site: Site): SiteFinding[] {
    const services = new Set(site.services.map(service => service.name));
    const indexByKey = new Map<string, number>();
    return site.routes.flatMap((route, index) => {
        const place = `routes[${index}]`;
        const findings: SiteFinding[] = [];
        const key = `${route.host.toLowerCase()} ${route.pathPrefix}`;
        if (indexByKey.has(key)) {
            findings.push({ place, problem: `has the host and prefix of routes[${indexByKey.get(key)}]` });
        }
        indexByKey.set(key, index);
        route.targets.forEach((target, targetIndex) => {
            if (!services.has(target.service)) {
                findings.push({ place: `${place}.targets[${targetIndex}]`, problem: `names the unknown service "${target.service}"` });
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
        const isDuplicate = seen.has(name);
        seen.add(name);
        return isDuplicate ? [{ place: `${list}[${index}]`, problem: `the name "${name}" stands twice` }] : [];
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

/** Returns all inconsistencies between the parts of `site`. */
export function checkSite(site: Site): SiteFinding[] {
    return [
        ...checkRoutes(site),
        ...checkNames(site.services.map(service => service.name), "services"),
        ...checkNames((site.organisations ?? []).map(organisation => organisation.name), "organisations"),
        ...checkKeys(site),
    ];
}

/** Names stand in every line of the log and every metric that concerns them. */
const maxNameChars = 1_024;
/** Requests with longer paths or keys could not be sent. */
const maxHeadPartChars = 8_192;

/**
 * Returns what is too long in a site that is to be published. It is no part of `checkSite`, since a site that an older daemon has accepted
 * must stay readable.
 */
export function checkLengths({ routes, services, organisations = [] }: Site): SiteFinding[] {
    const check = (place: string, text: string, maxChars = maxNameChars): SiteFinding[] =>
        text.length <= maxChars ? [] : [{ place, problem: `is ${text.length} characters long, of at most ${maxChars}` }];
    return boundedFindings([
        ...routes.flatMap(({ name, host, pathPrefix }, index) => [
            ...check(`routes[${index}].name`, name), ...check(`routes[${index}].host`, host),
            ...check(`routes[${index}].pathPrefix`, pathPrefix, maxHeadPartChars),
        ]),
        ...services.flatMap(({ name, healthPath, engine }, index) => [
            ...check(`services[${index}].name`, name), ...check(`services[${index}].healthPath`, healthPath, maxHeadPartChars),
            ...(engine?.models ?? []).flatMap((model, position) => check(`services[${index}].engine.models[${position}].name`, model.name)),
        ]),
        ...organisations.flatMap(({ name, keys }, index) => [
            ...check(`organisations[${index}].name`, name),
            ...keys.flatMap((key, position) => check(`organisations[${index}].keys[${position}]`, key, maxHeadPartChars)),
        ]),
    ]);
}
