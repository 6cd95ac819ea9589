/**
 * What an entry knows about the requests of all entries at the heads of groups, from the control leader's answers to its reports.
 *
 * @module
 */

/** A view of the loads of all entries. */
export interface SharedLoads {
    /** The requests of the other entries at a head; undefined if the latest view is too old to be used. */
    othersAt(headId: string): number | undefined;
    /** Returns this entry's share of the requests for a model, from 0 to 1. As the view ages, it moves to an equal share for each entry. */
    shareOf(model: string): number;
    /** The age of the latest view; Infinity if there is none. */
    readonly ageMs: number;
}
