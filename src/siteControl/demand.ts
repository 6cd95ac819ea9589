/**
 * The work that callers ask for, by model, averaged over a few seconds: what groups are planned against.
 *
 * @module
 */

import type { EngineModel } from "../site/index.js";

/** Long against one request, short against the time that a group takes to form from empty VMs. */
const averageMs = 6_000;

export interface Demand {
    add(workByModel: Readonly<Record<string, number>>, nowMs: number): void;
    /**
     * The part of the work that falls to each model. What is stated counts for what has not been observed yet: a few requests, as the first
     * reports bring them, say little, and groups broken for what they say would be down for seconds.
     */
    read(nowMs: number, models: readonly EngineModel[]): ReadonlyMap<string, number>;
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
        read(nowMs, models) {
            decay(nowMs);
            const observed = models.reduce((sum, { name }) => sum + (sums.get(name) ?? 0), 0);
            const stated = models.reduce((sum, { share }) => sum + share, 0);
            const trust = sinceMs === undefined || observed === 0 ? 0 : 1 - Math.exp(-(nowMs - sinceMs) / averageMs);
            return new Map(models.map(({ name, share }) => {
                const statedPart = stated > 0 ? share / stated : 1 / models.length;
                return [name, trust * (sums.get(name) ?? 0) / Math.max(observed, Number.MIN_VALUE) + (1 - trust) * statedPart];
            }));
        },
    };
}
