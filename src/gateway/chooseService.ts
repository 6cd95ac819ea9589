/**
 * Chooses the service of a request among its route's targets by their weights.
 *
 * @module
 */

import type { Route } from "../site/index.js";

/** Returns the service for a request; `random` is uniform in [0, 1). */
export function chooseService({ targets }: Route, random: number): string {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = random * total;
    return (targets.find(target => (remaining -= target.weight) < 0) ?? targets.findLast(target => target.weight > 0)!).service;
}
