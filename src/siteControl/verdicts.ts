/**
 * When the control leader publishes its verdicts about upstreams and requests. Entries keep those of the last leader, which may have
 * stopped before it could withdraw one, so each new leader publishes its own, also if it has none.
 *
 * @module
 */

/** A new leader needs this long to probe what seems silent. Before that, having no verdicts means nothing. */
const firstProbesMs = 1_000;

export interface Verdicts {
    /** Must be called often. `isLeading` is whether this daemon leads, and `judged` names what it holds against whom. */
    update(isLeading: boolean, judged: readonly string[]): void;
}

/** Creates the verdicts of a daemon that doesn't lead yet. */
export function createVerdicts(options: { nowMs(): number; publish(): void }): Verdicts {
    let leadsSinceMs: number | undefined;
    let published: string | undefined;
    return {
        update(isLeading, judged) {
            if (!isLeading) {
                leadsSinceMs = undefined;
                published = undefined;
                return;
            }
            leadsSinceMs ??= options.nowMs();
            const current = judged.join(",");
            const isTooEarly = judged.length === 0 && published === undefined && options.nowMs() - leadsSinceMs < firstProbesMs;
            if (current !== published && !isTooEarly) {
                published = current;
                options.publish();
            }
        },
    };
}
