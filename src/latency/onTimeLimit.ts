/**
 * The number of requests at a group beyond which a further one costs more than it brings.
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

/**
 * Returns the requests per ms that a group completes on time while it runs `requests`, up to a factor that is the same for any number of
 * them.
 */
export function onTimeThroughput(costs: ModelCosts, requests: number, terms: OnTimeTerms): number {
    const { latenessMs, networkMs, differences, factor } = terms;
    const firstMs = predictFirstEventMs(costs, requests, costs.usualPromptTokens, usualUnreadTokens(costs, requests));
    const pass = passMs(costs, requests);
    return requests / pass * shareUpTo(differences, latenessMs - networkMs - firstMs * factor, pass * factor);
}

/** The part of the highest on-time throughput that a group has to keep. */
const keptPart = 0.95;

/**
 * Returns the largest number of requests, at least 1 and at most the slots, at which a group completes nearly as many on time as it can.
 * With fewer it completes fewer in all, and refuses callers whom it could serve; with more, most are late. No pass takes longer than the
 * pause. Where none can be on time, it is as many as the pause allows.
 */
export function onTimeLimit(costs: ModelCosts, terms: OnTimeTerms): number {
    const { pauseMs = Infinity, factor } = terms;
    const throughputs: number[] = [];
    for (let requests = 1; requests <= costs.slots && (requests === 1 || passMs(costs, requests) * factor <= pauseMs); requests++) {
        throughputs.push(onTimeThroughput(costs, requests, terms));
    }
    const enough = Math.max(...throughputs) * keptPart;
    return throughputs.findLastIndex(throughput => throughput >= enough) + 1;
}
