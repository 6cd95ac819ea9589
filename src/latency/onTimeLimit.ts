/**
 * The number of requests at a group up to which a further one is expected to be on time.
 *
 * @module
 */

import { type ModelCosts, passMs, predictFirstEventMs, usualUnreadTokens } from "./firstEvent.js";

/** What requests at a group have to meet, and what is added to the prediction. */
export interface OnTimeTerms {
    /** The time within which the first event is on time. */
    readonly latenessMs: number;
    /** The pause between two events that is still on time; undefined if the route states none. */
    readonly pauseMs: number | undefined;
    /** The upper quantile of observed minus predicted times, and the network's round trip. */
    readonly addedMs: number;
    /** The speed factor of the group. */
    readonly factor: number;
}

/**
 * Returns the largest number of requests at which a usual request is still on time and no pass takes longer than the pause: at least 1, at
 * most the slots.
 */
export function onTimeLimit(costs: ModelCosts, { latenessMs, pauseMs = Infinity, addedMs, factor }: OnTimeTerms): number {
    const isOnTime = (requests: number) => {
        const firstMs = predictFirstEventMs(costs, requests, costs.usualPromptTokens, usualUnreadTokens(costs, requests));
        return firstMs * factor + addedMs <= latenessMs && passMs(costs, requests) * factor <= pauseMs;
    };
    // Both times grow with the number of requests.
    let [limit, tooMany] = [1, costs.slots + 1];
    while (tooMany - limit > 1) {
        const middle = Math.floor((limit + tooMany) / 2);
        [limit, tooMany] = isOnTime(middle) ? [middle, tooMany] : [limit, middle];
    }
    return limit;
}
