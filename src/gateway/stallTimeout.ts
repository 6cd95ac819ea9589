/**
 * How long an attempt may make no progress even if others at the upstream do: an upstream that hangs on some requests still answers the
 * rest.
 *
 * @module
 */

import type { Route } from "../site/index.js";

/**
 * How long a stream may bring no event before another upstream is tried, as a part of the time after which callers abandon it. A queued
 * stream that is on time gets its first event well before.
 */
const streamStallShare = 0.5;
/** The stall timeout of repeatable requests to plain services, as a multiple of the route's latency target; 1 % take longer than this. */
const plainStallFactor = 2;

/** Returns the stall timeout of an attempt of a request to `route`, in ms. */
export function stallTimeoutMs(route: Route): number {
    return route.kind === "stream" ? route.patienceMs * streamStallShare : plainStallFactor * (route.latenessMs ?? route.timeoutMs);
}
