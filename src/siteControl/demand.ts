/**
 * The work that callers ask for, by model, averaged over a few seconds: what groups are planned against.
 *
 * @module
 */

/** Long against one request, short against the time that a group takes to form from empty VMs. */
const averageMs = 6_000;

export interface Demand {
    add(workByModel: Readonly<Record<string, number>>, nowMs: number): void;
    /** Work a second by model; empty until some has been reported. */
    read(nowMs: number): ReadonlyMap<string, number>;
}

/** Creates an average without any work in it. */
export function createDemand(): Demand {
    const sums = new Map<string, number>();
    let atMs = 0;
    function decay(nowMs: number) {
        const kept = Math.exp(-Math.max(0, nowMs - atMs) / averageMs);
        sums.forEach((sum, model) => sums.set(model, sum * kept));
        atMs = nowMs;
    }
    return {
        add(workByModel, nowMs) {
            decay(nowMs);
            Object.entries(workByModel).forEach(([model, work]) => sums.set(model, (sums.get(model) ?? 0) + work));
        },
        read(nowMs) {
            decay(nowMs);
            return new Map([...sums].map(([model, sum]) => [model, sum / (averageMs / 1_000)]));
        },
    };
}
