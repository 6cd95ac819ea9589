/**
 * Distributes the limits stated by upstreams from the control leader to the entries: the newest limit of each upstream, and the entries
 * among which each limit is divided.
 *
 * Only entries that have reported recently and serve a fair share of the callers participate. The share of any other entry would remain
 * unused.
 *
 * @module
 */

import type { Frame, Report } from "../feed/index.js";
import { divisionValidityMs, type Limit, mergeRelayedLimits, removeExpiredLimits, toRelayedLimits } from "../fleet/index.js";

/** How long an entry keeps its share after its last report. By then, an entry that is cut off uses less than its full share. */
const entryExpiryMs = divisionValidityMs + 2_000;
/** Age of an entry's last report from which the entry counts as silent. Entries report every 250 ms. */
const reportOverdueMs = 400;
/** Time constant of the decaying average by which the request rates of entries are compared. */
const timeConstantMs = 10_000;
/**
 * An entry joins when its requests reach `minShareToJoin` of the mean of all entries, and leaves when they drop below `minShareToStay` of
 * the mean.
 */
const minShareToJoin = 0.8;
const minShareToStay = 0.4;

export interface LimitDistributor {
    /** Records an entry's report; calls `onChange` if a limit is new, has changed or has ended. */
    recordReport(entryId: string, report: Pick<Report, "requests" | "limits">, onChange?: () => void): void;
    /** Returns the frames for entries: none unless this daemon leads, nor while the previous leader's division may still be in use. */
    frames(leads: boolean): Extract<Frame, { kind: "limits" }>[];
}

interface EntryRecord {
    readonly heardAtMs: number;
    /** Decaying sum of requests; only its ratio to that of the other entries matters. */
    readonly requests: number;
    readonly isParticipant: boolean;
}

/** Creates a distributor without any reports. */
export function createLimitDistributor(nowMs: () => number): LimitDistributor {
    let limits = new Map<string, Limit>();
    const entries = new Map<string, EntryRecord>();
    let leadsSinceMs: number | undefined;

    function decayedRequests({ requests, heardAtMs }: EntryRecord): number {
        return requests * Math.exp(-(nowMs() - heardAtMs) / timeConstantMs);
    }

    function updateParticipants(): string[] {
        [...entries].filter(([, { heardAtMs }]) => nowMs() - heardAtMs > entryExpiryMs).forEach(([id]) => entries.delete(id));
        const mean = [...entries.values()].reduce((sum, entry) => sum + decayedRequests(entry), 0) / Math.max(1, entries.size);
        // A silent participant may be cut off and would keep using its share of the present division next to the shares of a new one.
        const canChangeParticipants = [...entries.values()].every(({ isParticipant, heardAtMs }) =>
            !isParticipant || nowMs() - heardAtMs < reportOverdueMs);
        for (const [id, entry] of canChangeParticipants ? entries : []) {
            entries.set(id, {
                ...entry, isParticipant: decayedRequests(entry) >= mean * (entry.isParticipant ? minShareToStay : minShareToJoin),
            });
        }
        return [...entries].filter(([, { isParticipant }]) => isParticipant).map(([id]) => id).sort();
    }

    return {
        recordReport(entryId, report, onChange) {
            const known = entries.get(entryId);
            const requests = (known === undefined ? 0 : decayedRequests(known)) + report.requests;
            entries.set(entryId, { heardAtMs: nowMs(), requests, isParticipant: known?.isParticipant ?? false });
            if (mergeRelayedLimits(limits, report.limits, nowMs())) {
                onChange?.();
            }
        },
        frames(isLeader) {
            leadsSinceMs = isLeader ? leadsSinceMs ?? nowMs() : undefined;
            // Until then, entries not yet heard by this leader may still use the division of the previous leader.
            if (leadsSinceMs === undefined || nowMs() - leadsSinceMs < divisionValidityMs) {
                return [];
            }
            limits = new Map(removeExpiredLimits(limits, nowMs()));
            return [{ kind: "limits", entryIds: limits.size === 0 ? [] : updateParticipants(), limits: toRelayedLimits(limits, nowMs()) }];
        },
    };
}
