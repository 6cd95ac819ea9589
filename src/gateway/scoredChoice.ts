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

/**
 * The weight of a candidate without allowance relative to one with an allowance of one request. It is not ruled out: first attempts
 * are offered only candidates with room, and a second one is served sooner at a full group than at one that is several times as slow.
 */
const minWeight = 0.01;

/**
 * Chooses at random among the candidates whose prediction is within `errorMs` of the best, so that entries with the same view don't all
 * choose the same group. The weight is the allowance, and falls to 0 as the difference reaches `errorMs`; so a group that is farther away
 * is chosen less often than a near one with the same load. `random` is uniform in [0, 1). Returns undefined if there are no candidates.
 */
export function chooseByFirstEvent(scored: readonly ScoredCandidate[], errorMs: number, random: number): Candidate | undefined {
    let best: ScoredCandidate | undefined;
    for (const item of scored) {
        if (best === undefined || (best.isAvoided && !item.isAvoided) ||
            (best.isAvoided === item.isAvoided && item.firstEventMs < best.firstEventMs)) {
            best = item;
        }
    }
    if (best === undefined) {
        return undefined;
    }
    const { firstEventMs: bestMs, isAvoided } = best;
    const weightOf = (item: ScoredCandidate) => {
        const lagMs = item.firstEventMs - bestMs;
        if (item.isAvoided !== isAvoided || (lagMs > 0 && lagMs >= errorMs)) {
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
