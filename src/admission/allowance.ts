/**
 * How many requests one entry may send to a group that several entries share, given a view of their requests that may be old.
 *
 * @module
 */

/**
 * Below this part of the limit an entry may use `looseFactor` times its share, at least `minLooseShare` of the room, and at least one
 * request for each view, since few entries have requests for the same group between two views. If each could use all of the room there, a
 * burst that 16 entries see at once would fill a group to 2.4 times its limit. With its share alone, an entry that gets a few requests in
 * a row would refuse them at groups that are nearly idle.
 */
const loosePart = 0.75;
const looseFactor = 2;
const minLooseShare = 0.125;

/** What is carried over from one view to the next, for one group. */
export interface AllowanceState {
    readonly viewNumber: number;
    /** The fraction of a request left over from earlier views, from 0 to 1. */
    readonly carried: number;
    /** The part of the room that the current view gave this entry; negative if the group was over its limit. */
    readonly granted: number;
    /** This entry's requests as the current view counts them. */
    readonly countedOwn: number;
}

export const initialAllowance: AllowanceState = { viewNumber: 0, carried: 0, granted: 0, countedOwn: 0 };

export interface AllowanceInput {
    readonly viewNumber: number;
    /** The number of requests at the group up to which one more is on time. */
    readonly limit: number;
    /** Requests of other entries by the view; undefined if it is too old. */
    readonly others: number | undefined;
    /** Requests of other entries as estimated from the group's answers to this entry; undefined if it has none. Used without a view. */
    readonly estimatedOthers?: number | undefined;
    /** This entry's requests at the group, now and as the view counts them. */
    readonly own: number;
    readonly countedOwn: number;
    /** This entry's share of the requests for the model, from 0 to 1. */
    readonly share: number;
    /** This entry's requests at all groups of the model. */
    readonly ownAtModel: number;
}

export interface Allowance {
    readonly state: AllowanceState;
    /** The number of requests that may be sent now, fractional or negative. An entry adds up those of all groups of a model. */
    readonly allowance: number;
}

function looseShare(share: number): number {
    return Math.min(1, Math.max(minLooseShare, share * looseFactor));
}

/**
 * Without a view an entry keeps to its share of the limit, or to a part of the room that the group's answers show. With the share alone,
 * entries with more callers than before would refuse them beside idle groups whenever the control leader is lost.
 */
function allowanceWithoutView({ limit, own, share, estimatedOthers }: AllowanceInput): number {
    const byShare = limit * share - own;
    return estimatedOthers === undefined ? byShare : Math.max(byShare, (limit - estimatedOthers - own) * looseShare(share));
}

/**
 * Computes the allowance. By one view all entries stay within the limit together, apart from at most one request each by `carried`: each
 * may have its counted requests plus its share of the room. Of the room of its requests that end, an entry may use its share at once; the
 * rest is divided by the next view, so that entries with many requests do not keep all of it.
 */
export function computeAllowance(state: AllowanceState, input: AllowanceInput): Allowance {
    const { viewNumber, limit, others, own, countedOwn, share, ownAtModel } = input;
    if (others === undefined) {
        const allowance = allowanceWithoutView(input);
        return { state, allowance: ownAtModel === 0 ? Math.max(1, allowance) : allowance };
    }
    const room = limit - others - countedOwn;
    const looseRoom = Math.max(0, room - limit * (1 - loosePart));
    const granted = looseRoom * looseShare(share) + (room - looseRoom) * share;
    const unused = state.granted + state.carried - Math.max(0, own - state.countedOwn);
    const carried = viewNumber === state.viewNumber ? state.carried : Math.min(1, Math.max(0, unused));
    const spent = own > countedOwn ? own - countedOwn : (own - countedOwn) * share;
    const allowed = Math.max(granted + carried, looseRoom >= 1 ? 1 : -Infinity);
    return { state: { viewNumber, carried, granted, countedOwn }, allowance: allowed - spent };
}
