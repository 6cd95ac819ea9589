/**
 * The rate limits that upstreams state in their responses to entries. The control leader collects them and distributes them to all
 * entries, since an entry that sends no requests to an upstream would not notice when its limit changes or ends.
 *
 * @module
 */

import { z } from "zod";
import { maxAmount } from "./signals.js";
import { agoMsSchema, incarnationSchema } from "./types.js";

/** A limit in the form that is relayed to other processes. */
export const relayedLimitSchema = z.strictObject({
    upstreamId: incarnationSchema.shape.id,
    bornMs: incarnationSchema.shape.bornMs,
    /** Requests per second that the upstream accepts from all entries together; undefined if it no longer states a limit. */
    perSecond: z.number().min(0).max(maxAmount).optional(),
    /** How long ago the response was received. */
    agoMs: agoMsSchema,
});
export type RelayedLimit = z.infer<typeof relayedLimitSchema>;

/** The limit stated by the newest response of an upstream. */
export interface Limit {
    /** The upstream's incarnation, as in its announcements. */
    readonly bornMs: number;
    readonly perSecond: number | undefined;
    readonly seenAtMs: number;
}

/** The newest limits by upstream id. */
export type LimitState = ReadonlyMap<string, Limit>;

/** How long an entry uses its full shares after it last received a division of the limits from the control leader. */
export const divisionValidityMs = 3_000;
/** How long a limit is kept after it was last seen. An upstream that receives no requests may still have it. */
const retentionMs = 600_000;

function isNewer(limit: Limit, known: Limit | undefined): boolean {
    return known === undefined || limit.bornMs > known.bornMs || (limit.bornMs === known.bornMs && limit.seenAtMs > known.seenAtMs);
}

/** Records the limit stated by a response, unless a newer one is known. */
export function updateLimit(state: LimitState, upstreamId: string, limit: Limit): LimitState {
    return isNewer(limit, state.get(upstreamId)) ? new Map(state).set(upstreamId, limit) : state;
}

/** Merges limits relayed by another process into `state`, in place. Returns whether an upstream now states another limit. */
export function mergeRelayedLimits(state: Map<string, Limit>, relayed: readonly RelayedLimit[], nowMs: number): boolean {
    let hasChanged = false;
    for (const { upstreamId, bornMs, perSecond, agoMs } of relayed) {
        const limit = { bornMs, perSecond, seenAtMs: nowMs - agoMs };
        const known = state.get(upstreamId);
        if (isNewer(limit, known)) {
            state.set(upstreamId, limit);
            hasChanged ||= known?.perSecond !== perSecond;
        }
    }
    return hasChanged;
}

export function toRelayedLimits(state: LimitState, nowMs: number): RelayedLimit[] {
    return [...state].map(([upstreamId, { bornMs, perSecond, seenAtMs }]) => ({
        upstreamId, bornMs, ...perSecond === undefined ? {} : { perSecond }, agoMs: Math.max(0, Math.round(nowMs - seenAtMs)),
    }));
}

/** Removes limits that have not been seen for the retention time. */
export function removeExpiredLimits(state: LimitState, nowMs: number): LimitState {
    const kept = [...state].filter(([, { seenAtMs }]) => nowMs - seenAtMs < retentionMs);
    return kept.length === state.size ? state : new Map(kept);
}

/** Returns the limit of an upstream's incarnation; undefined if there is none. */
export function limitOf(state: LimitState, upstreamId: string, bornMs: number): Limit | undefined {
    const limit = state.get(upstreamId);
    return limit?.bornMs === bornMs ? limit : undefined;
}
