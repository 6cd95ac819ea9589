/**
 * A published site indexed for lookups: the route of a host and path, the organisation of a key, a service by name. The table is built
 * once per version, and each request uses a single table, so that no request sees parts of two versions.
 *
 * @module
 */

import type { Route, Site, SiteService } from "./types.js";

/** The holder of an API key. */
export interface KeyHolder {
    readonly organisation: string;
    readonly priority: number | undefined;
}

export interface SiteTable {
    readonly site: Site;
    /** Returns the route of `host` with the longest prefix of `path`. */
    route(host: string, path: string): Route | undefined;
    /** Returns the holder of a key; undefined if the key belongs to no organisation. */
    keyHolder(key: string): KeyHolder | undefined;
    service(name: string): SiteService | undefined;
    /** Whether requests to `route` require a key. */
    requiresKey(route: Route): boolean;
}

function normaliseHost(host: string): string {
    return host.replace(/:\d+$/, "").toLowerCase();
}

/** The routes of one host. */
interface HostRoutes {
    readonly byPrefix: Map<string, Route>;
    longestPrefixChars: number;
}

const noRoutes: HostRoutes = { byPrefix: new Map(), longestPrefixChars: 0 };

/** Builds the table of `site`. */
export function createSiteTable(site: Site): SiteTable {
    const routesByHost = new Map<string, HostRoutes>();
    for (const route of site.routes) {
        const host = normaliseHost(route.host);
        const ofHost = routesByHost.get(host) ?? { byPrefix: new Map(), longestPrefixChars: 0 };
        ofHost.byPrefix.set(route.pathPrefix, route);
        ofHost.longestPrefixChars = Math.max(ofHost.longestPrefixChars, route.pathPrefix.length);
        routesByHost.set(host, ofHost);
    }
    const holders = new Map<string, KeyHolder>();
    for (const organisation of site.organisations ?? []) {
        organisation.keys.forEach(key => holders.set(key, { organisation: organisation.name, priority: organisation.priority }));
    }
    const services = new Map(site.services.map(service => [service.name, service]));
    return {
        site,
        route(host, path) {
            const { byPrefix, longestPrefixChars } = routesByHost.get(normaliseHost(host)) ?? noRoutes;
            // Prefixes end with a slash, so a matching prefix ends at a slash of the path. Tries the longest first, but none that is longer
            // than all prefixes: a path may consist of thousands of slashes.
            for (let end = path.lastIndexOf("/", longestPrefixChars - 1); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
                const route = byPrefix.get(path.slice(0, end + 1));
                if (route !== undefined) {
                    return route;
                }
            }
            return undefined;
        },
        keyHolder: key => holders.get(key),
        service: serviceName => services.get(serviceName),
        requiresKey: route => site.organisations !== undefined && !route.isPublic,
    };
}
