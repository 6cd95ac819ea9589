/**
 * Tracks whether groups of engines make progress, based on what entries report about their heads.
 *
 * A member that this leader can't reach may have failed, in which case the head makes no progress, or it may be cut off from this leader
 * only, in which case the group still serves requests. Progress that continues well after the member was lost indicates the latter, and a
 * single late report is then not enough to give the group up.
 *
 * @module
 */

/** How long a progress report is valid. Entries report every 250 ms, and the repair of a failed group waits until the last one expires. */
const movingMs = 400;
/** Events seen within this time after a member was lost may have been in flight when it failed. */
const inFlightMs = 500;
/** How long a progress report is valid for a group that is confirmed to work although this leader can't reach a member. */
const confirmedMovingMs = 2_000;

export interface Progress {
    /** Records that an entry has just received events from the head. */
    recordMoving(headId: string): void;
    /** Records that an entry has reported the head as suspect. */
    recordSuspect(headId: string): void;
    /** Whether the group of `headId` still makes progress although one of its members has been lost since `lostSinceMs`. */
    isMakingProgress(headId: string, lostSinceMs: number): boolean;
}

/** Creates a tracker without any reports. */
export function createProgress(nowMs: () => number): Progress {
    const movingAtMs = new Map<string, number>();
    const suspectAtMs = new Map<string, number>();
    return {
        recordMoving: headId => movingAtMs.set(headId, nowMs()),
        recordSuspect: headId => suspectAtMs.set(headId, nowMs()),
        isMakingProgress(headId, lostSinceMs) {
            const lastMovingAtMs = movingAtMs.get(headId);
            if (lastMovingAtMs === undefined) {
                return false;
            }
            const isSuspect = (suspectAtMs.get(headId) ?? Number.NEGATIVE_INFINITY) > lastMovingAtMs;
            const isConfirmed = lastMovingAtMs - lostSinceMs > inFlightMs && !isSuspect;
            return nowMs() - lastMovingAtMs < (isConfirmed ? confirmedMovingMs : movingMs);
        },
    };
}
