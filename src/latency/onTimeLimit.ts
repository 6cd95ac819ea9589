/**
 * The number of requests at a group up to which a further one is probably on time.
 *
 * @module
 */

import { type ModelCosts, passMs, predictFirstEventMs, usualUnreadTokens } from "./firstEvent.js";
import { type Differences, shareUpTo } from "./quantiles.js";

/** What requests at a group have to meet, and what is added to the prediction. */
export interface OnTimeTerms {
    /** The time within which the first event is on time. */
    readonly latenessMs: number;
    /** The pause between two events that is still on time; undefined if the route states none. */
    readonly pauseMs: number | undefined;
    /** The network's round trip. */
    readonly networkMs: number;
    /** Observed minus predicted times of the model. */
    readonly differences: Differences;
    /** The speed factor of the group. */
    readonly factor: number;
}

/** A further request is sent to a group as long as it is more likely to be on time than not. */
const minOnTimeShare = 0.5;

/** Returns the share of requests that are expected to be on time at a group that runs `requests`, from 0 to 1. */
export function onTimeShare(costs: ModelCosts, requests: number, terms: OnTimeTerms): number {
    const { latenessMs, networkMs, differences, factor } = terms;
    const firstMs = predictFirstEventMs(costs, requests, costs.usualPromptTokens, usualUnreadTokens(costs, requests));
    return shareUpTo(differences, latenessMs - networkMs - firstMs * factor, passMs(costs, requests) * factor);
}

/**
 * Returns the largest number of requests, at least 1 and at most the slots, at which most of them are on time and no pass takes longer
 * than the pause. With a lower limit, callers would be refused whom the group can probably serve on time. Where most are late at any
 * number, it is as many as the pause allows.
 */
export function onTimeLimit(costs: ModelCosts, terms: OnTimeTerms): number {
    const { pauseMs = Infinity, factor } = terms;
    let limit = 0;
    let allowed = 1;
    for (let requests = 1; requests <= costs.slots && (requests === 1 || passMs(costs, requests) * factor <= pauseMs); requests++) {
        allowed = requests;
        limit = onTimeShare(costs, requests, terms) >= minOnTimeShare ? requests : limit;
    }
    return limit === 0 ? allowed : limit;
}
