/**
 * Rate limits that upstreams state in their answers, and this entry's share of each in requests a second.
 *
 * The control leader divides each limit among entries, and a share is valid in full for a short time only. An entry without contact to a
 * leader reduces its use before the leader can give the share to another entry, so that both together stay below 1.5 times the limit, which
 * an upstream tolerates for seconds.
 *
 * @module
 */

import type { Frame } from "../feed/index.js";
import {
    divisionValidityMs, type Limit, limitOf, type LimitState, mergeRelayedLimits, type RelayedLimit, removeExpiredLimits, toRelayedLimits,
    updateLimit, type Upstream,
} from "../fleet/index.js";
import type { Logger } from "../telemetry/index.js";
import { shareOfLimit } from "./entryCount.js";

/** Smaller limits are raised to this one: without any requests no entry would notice the end of the limit. */
const minPerSecond = 0.25;
/** The part of its share that an entry uses once the last division from the control leader has expired. */
const staleDivisionShare = 0.4;

export interface Limits {
    /** Records that the answer to a request sent at `sentAtMs` states a limit of `perSecond`, or none. */
    limitSeen(upstream: Upstream, perSecond: number | undefined, sentAtMs: number): void;
    /** Applies the limits and the list of entries that the control leader has sent. */
    applyDivision(frame: Extract<Frame, { kind: "limits" }>): void;
    /** Requests a second that this entry may send to an upstream; undefined if it states no limit. */
    shareOf(upstream: Upstream): number | undefined;
    /** The limits that this entry has observed itself, to be reported to the control leader. */
    observedLimits(): RelayedLimit[];
    /** The number of upstreams that currently state a limit. */
    readonly count: number;
}

interface Division {
    readonly entryIds: readonly string[];
    readonly limits: LimitState;
    readonly receivedAtMs: number;
}

/** Creates the limits of the entry `entryId`; none is known at first. */
export function createLimits(entryId: string, logger: Logger, nowMs: () => number): Limits {
    let observed: LimitState = new Map();
    let division: Division | undefined;

    function newestLimit({ id, bornMs }: Pick<Upstream, "id" | "bornMs">): Limit | undefined {
        const [ownLimit, dividedLimit] =
            [limitOf(observed, id, bornMs), division === undefined ? undefined : limitOf(division.limits, id, bornMs)];
        return ownLimit === undefined || (dividedLimit !== undefined && dividedLimit.seenAtMs > ownLimit.seenAtMs)
            ? dividedLimit
            : ownLimit;
    }

    return {
        limitSeen(upstream, perSecond, sentAtMs) {
            const known = newestLimit(upstream);
            // An answer without a limit ends a known one only if its request was sent after that limit was seen.
            if (perSecond === undefined && (known?.perSecond === undefined || sentAtMs <= known.seenAtMs)) {
                return;
            }
            observed = updateLimit(removeExpiredLimits(observed, nowMs()), upstream.id, {
                bornMs: upstream.bornMs, perSecond, seenAtMs: nowMs(),
            });
            if (known?.perSecond !== perSecond) {
                logger.info("upstream states another limit", { upstream: upstream.id, perSecond, before: known?.perSecond });
            }
        },
        applyDivision(frame) {
            const limits = new Map<string, Limit>();
            mergeRelayedLimits(limits, frame.limits, nowMs());
            division = { entryIds: frame.entryIds, limits, receivedAtMs: nowMs() };
        },
        shareOf(upstream) {
            const perSecond = newestLimit(upstream)?.perSecond;
            if (perSecond === undefined) {
                return undefined;
            }
            if (division === undefined) {
                return 0;
            }
            const share = shareOfLimit(Math.max(minPerSecond, perSecond), upstream.id, entryId, division.entryIds);
            return nowMs() - division.receivedAtMs < divisionValidityMs ? share : share * staleDivisionShare;
        },
        observedLimits: () => toRelayedLimits(observed, nowMs()),
        get count() {
            const ids = new Set([...observed.keys(), ...division?.limits.keys() ?? []]);
            return [...ids].filter(id => {
                const bornMs = Math.max(observed.get(id)?.bornMs ?? 0, division?.limits.get(id)?.bornMs ?? 0);
                return newestLimit({ id, bornMs })?.perSecond !== undefined;
            }).length;
        },
    };
}
