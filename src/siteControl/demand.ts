/**
 * The work that callers ask for, by model, averaged over a few seconds: what groups are planned against.
 *
 * @module
 */

import type { EngineModel } from "../site/index.js";

/** Long against one request, short against the time that a group takes to form from empty VMs. */
const averageMs = 6_000;

/** The part of all VMs that the work is taken to need before any has been observed. */
const statedLoad = 0.6;

export interface Demand {
    /** Takes in work that callers have asked for, in ms of a VM, by model. */
    add(workByModel: Readonly<Record<string, number>>, nowMs: number): void;
    /**
     * How many VMs the work of each model keeps busy. What the site states counts for what has not been observed yet: a few requests, as
     * the first reports bring them, say little, and groups broken for what they say would be down for seconds. `vms`: those there are.
     */
    read(nowMs: number, models: readonly EngineModel[], vms: number): ReadonlyMap<string, number>;
}

/** Creates an average without any work in it. */
export function createDemand(): Demand {
    const sums = new Map<string, number>();
    let atMs = 0;
    let sinceMs: number | undefined;

    function decay(nowMs: number) {
        const kept = Math.exp(-Math.max(0, nowMs - atMs) / averageMs);
        sums.forEach((sum, model) => sums.set(model, sum * kept));
        atMs = nowMs;
    }

    return {
        add(workByModel, nowMs) {
            decay(nowMs);
            sinceMs ??= Object.keys(workByModel).length > 0 ? nowMs : undefined;
            Object.entries(workByModel).forEach(([model, work]) => sums.set(model, (sums.get(model) ?? 0) + work));
        },
        read(nowMs, models, vms) {
            decay(nowMs);
            const shares = models.reduce((sum, { share }) => sum + share, 0);
            // The part of the average's window that has not been observed.
            const unseen = sinceMs === undefined ? 1 : Math.exp(-(nowMs - sinceMs) / averageMs);
            return new Map(models.map(({ name, share }) => {
                const stated = vms * statedLoad * (shares > 0 ? share / shares : 1 / models.length);
                return [name, (sums.get(name) ?? 0) / averageMs + unseen * stated];
            }));
        },
    };
}
