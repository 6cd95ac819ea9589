/**
 * What an entry knows about the requests of all entries at the heads of groups, from the control leader's answers to its reports.
 *
 * @module
 */

import type { SharedLoadsAnswer } from "../feed/index.js";
import type { Logger } from "../telemetry/index.js";

/** A view of the loads of all entries. */
export interface SharedLoads {
    /** The requests of the other entries at a head; undefined if the latest view is too old to be used. */
    othersAt(headId: string): number | undefined;
    /** Returns this entry's share of the requests for a model, from 0 to 1. As the view ages, it moves to an equal share for each entry. */
    shareOf(model: string): number;
    /** The age of the latest view; Infinity if there is none. */
    readonly ageMs: number;
}

/** The view with what the allowance rule and the reports need of it. */
export interface SharedLoadsView extends SharedLoads {
    /** This entry's own requests at a head as the view counts them. */
    countedOwnAt(headId: string): number;
    /** Changes whenever a new view is applied; 0 if there is none. */
    readonly viewNumber: number;
    /** The interval of reports that the leader asks for; 0 if it has not asked lately. */
    readonly nextReportMs: number;
    /** Applies the leader's answer to a report. */
    apply(answer: SharedLoadsAnswer): void;
    /** Logs when the view has become old. */
    checkAge(): void;
}

/** A view is usable for two report intervals, and for at least this long. */
const minViewLifetimeMs = 500;
/** How long after that the share takes to become equal for each entry. */
const equalShareAfterMs = 10_000;
/** The leader's interval is kept for this long after its last answer. */
const intervalLifetimeMs = 2_000;

export interface SharedLoadsOptions {
    nowMs(): number;
    /** The number of entries, used until a view states one. */
    entries(): number;
    readonly logger: Pick<Logger, "info">;
}

/** Creates shared loads without a view. */
export function createSharedLoads({ nowMs, entries, logger }: SharedLoadsOptions): SharedLoadsView {
    let latest: SharedLoadsAnswer | undefined;
    let takenAtMs = 0;
    let answeredAtMs = 0;
    let viewNumber = 0;
    let isFresh = false;

    const viewLifetimeMs = () => Math.max(minViewLifetimeMs, 2 * (latest?.all.nextReportMs ?? 0));
    const ageMs = () => latest === undefined ? Infinity : Math.max(0, nowMs() - takenAtMs);

    return {
        othersAt(headId) {
            return latest === undefined || ageMs() >= viewLifetimeMs()
                ? undefined
                : Math.max(0, (latest.all.running[headId] ?? 0) - (latest.own[headId] ?? 0));
        },
        countedOwnAt: headId => latest?.own[headId] ?? 0,
        shareOf(model) {
            const equalShare = 1 / Math.max(1, latest?.all.entries ?? entries());
            const stated = latest?.shares[model] ?? equalShare;
            const equalPart = Math.min(1, Math.max(0, (ageMs() - viewLifetimeMs()) / equalShareAfterMs));
            return stated + (equalShare - stated) * equalPart;
        },
        get ageMs() {
            return ageMs();
        },
        get viewNumber() {
            return viewNumber;
        },
        get nextReportMs() {
            return nowMs() - answeredAtMs > intervalLifetimeMs ? 0 : latest?.all.nextReportMs ?? 0;
        },
        apply(answer) {
            const { leader, number } = answer.all.view;
            const known = latest?.all.view;
            if (known?.leader === leader && number < known.number) {
                return;
            }
            viewNumber += known?.leader === leader && known.number === number ? 0 : 1;
            latest = answer;
            answeredAtMs = nowMs();
            takenAtMs = nowMs() - answer.ageMs;
            if (!isFresh && ageMs() < viewLifetimeMs()) {
                isFresh = true;
                logger.info("view of shared loads is fresh", { leader, number, entries: answer.all.entries });
            }
        },
        checkAge() {
            if (isFresh && ageMs() >= viewLifetimeMs()) {
                isFresh = false;
                logger.info("view of shared loads is old", { ageMs: Math.round(ageMs()), ...latest?.all.view });
            }
        },
    };
}
