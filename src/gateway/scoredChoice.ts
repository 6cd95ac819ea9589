/**
 * Chooses among upstreams by the predicted time to the first event.
 *
 * @module
 */

import type { RoomAtGroup } from "./groupRoom.js";
import type { Candidate } from "./siteView.js";

/** Predictions for one request, by which candidates are compared. */
export interface ChoiceScoring {
    /** Returns the room at a candidate as if `extraRequests` more requests were there. */
    at(candidate: Candidate, extraRequests: number): RoomAtGroup;
    /** The time that opening a connection to a candidate adds. */
    connectMs(candidate: Candidate): number;
    /** The usual error of a prediction. Candidates whose predictions differ by less are not told apart. */
    readonly errorMs: number;
}

export interface ScoredCandidate {
    readonly candidate: Candidate;
    /** Including the network and the opening of a connection. */
    readonly firstEventMs: number;
    readonly allowance: number;
    /** Whether it is chosen only if all others are avoided as well. */
    readonly isAvoided: boolean;
}

/** The weight of a candidate without allowance relative to one with an allowance of one request. */
const minWeight = 0.01;

/** Candidates of a lower rank are preferred whatever the prediction: those that may be sent to, those without allowance, avoided ones. */
function rankOf({ isAvoided, allowance }: ScoredCandidate): number {
    if (isAvoided) {
        return 2;
    }
    return allowance >= 1 ? 0 : 1;
}

/**
 * Chooses at random among the candidates whose prediction is within `errorMs` of the best, so that entries with the same view don't all
 * choose the same group. The weight is the allowance, and falls to 0 as the difference reaches `errorMs`; so a group that is farther away
 * is chosen less often than a near one with the same load. `random` is uniform in [0, 1). Returns undefined if there are no candidates.
 */
export function chooseByFirstEvent(scored: readonly ScoredCandidate[], errorMs: number, random: number): Candidate | undefined {
    let best: ScoredCandidate | undefined;
    let bestRank = Infinity;
    for (const item of scored) {
        const rank = rankOf(item);
        if (best === undefined || rank < bestRank || (rank === bestRank && item.firstEventMs < best.firstEventMs)) {
            best = item;
            bestRank = rank;
        }
    }
    if (best === undefined) {
        return undefined;
    }
    const bestMs = best.firstEventMs;
    const weightOf = (item: ScoredCandidate) => {
        const lagMs = item.firstEventMs - bestMs;
        if (rankOf(item) !== bestRank || (lagMs > 0 && lagMs >= errorMs)) {
            return 0;
        }
        const closeness = lagMs === 0 ? 1 : 1 - lagMs / errorMs;
        return Math.max(minWeight, item.allowance) * closeness * closeness;
    };
    let total = 0;
    for (const item of scored) {
        total += weightOf(item);
    }
    let remaining = random * total;
    for (const item of scored) {
        const weight = weightOf(item);
        if (weight > 0 && remaining < weight) {
            return item.candidate;
        }
        remaining -= weight;
    }
    return best.candidate;
}
