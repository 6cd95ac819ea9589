/**
 * Why none of the candidates may take a request now, and for how long.
 *
 * @module
 */

import type { Pushbacks } from "../fleet/index.js";
import type { Candidate } from "./siteView.js";

/** The time until the first of the candidates accepts requests; 0 if one has not pushed back or there is none. */
export function pushbackLeftMs(candidates: readonly Candidate[], pushbacks: Pick<Pushbacks, "leftMs">): number {
    return candidates.length === 0 ? 0 : Math.min(...candidates.map(({ upstream }) => pushbacks.leftMs(upstream.id)));
}

/** Returns the reason for a refusal if no other candidate may take the request. */
export function reasonWithoutCandidate(candidates: readonly Candidate[], pushbacks: Pick<Pushbacks, "leftMs">): string {
    if (candidates.length === 0) {
        return "no upstream serves this now";
    }
    return pushbackLeftMs(candidates, pushbacks) > 0 ? "every upstream has pushed back" : "no other upstream may take it now";
}
