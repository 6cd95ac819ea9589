/**
 * How many more requests a group can serve on time, and how many of them this entry may send.
 *
 * @module
 */

import type { ParsedRequest } from "./parsedRequest.js";
import type { Candidate } from "./siteView.js";

/** The room at one group for one request. */
export interface RoomAtGroup {
    /** The estimated requests of all entries at the group, running and queued. */
    readonly running: number;
    /** The number of requests at the group up to which this one is expected to be on time. */
    readonly limit: number;
    /** The number of requests that this entry may send to the group now. It can be fractional or negative. */
    readonly allowance: number;
    /** The expected time to the first event if the request were sent now, including the network. */
    readonly firstEventMs: number;
    /** The age of the view of the other entries' requests; Infinity if there is none. */
    readonly ageMs: number;
}

export interface GroupRoom {
    /** Returns the room at a candidate; undefined if the site lacks the figures to predict it, in which case fixed bounds apply. */
    at(candidate: Candidate, request: ParsedRequest): RoomAtGroup | undefined;
}
