/**
 * This entry's allowance at each group, from the view of the requests of all entries.
 *
 * @module
 */

import { type AllowanceState, computeAllowance, initialAllowance } from "../admission/index.js";
import type { AllowanceInput } from "./groupRoom.js";
import type { SharedLoadsView } from "./sharedLoads.js";

/** What is carried over at a group that was not asked about in this many views is dropped, since the group has probably ended. */
const retainedViews = 100;

/** Creates the function that computes allowances; it keeps the fractions that are carried over from one view to the next. */
export function createAllowances(sharedLoads: SharedLoadsView): (input: AllowanceInput) => number {
    const states = new Map<string, AllowanceState>();
    let prunedAtView = 0;

    function prune(viewNumber: number) {
        if (viewNumber - prunedAtView < retainedViews) {
            return;
        }
        prunedAtView = viewNumber;
        [...states].filter(([, state]) => viewNumber - state.viewNumber >= retainedViews).forEach(([headId]) => states.delete(headId));
    }

    return ({ headId, limit, own, share, estimatedOthers, ownAtModel }) => {
        const { viewNumber } = sharedLoads;
        prune(viewNumber);
        const others = sharedLoads.othersAt(headId);
        const { state, allowance } = computeAllowance(states.get(headId) ?? initialAllowance, {
            viewNumber, limit, others, estimatedOthers, own, countedOwn: sharedLoads.countedOwnAt(headId), share,
            ownAtModel: others === undefined ? ownAtModel() : own,
        });
        states.set(headId, state);
        return allowance;
    };
}
