/**
 * Decides which bodies of callers are read while much is held.
 *
 * Pausing all bodies alike would leave each of them half read, so that none could be sent on and no room would become free. So room is
 * given to the oldest bodies until they are complete.
 *
 * @module
 */

import type { AccountState } from "./account.js";

/** A body that is not complete. */
export interface PendingBody {
    readonly holder: string;
    readonly readBytes: number;
    /** The length that the caller has stated, or the maximum if it has stated none. */
    readonly expectedBytes: number;
}

/** Up to this part of the bound, bodies are completed. */
const completionShare = 0.8;

/**
 * Returns the holders whose bodies are read. `pending` is in the order in which the bodies began. They are read as long as they fit, in
 * order, so that a large one isn't passed over for ever. The oldest need not fit if nothing but incomplete bodies is held, since then no
 * room would become free otherwise.
 */
export function bodiesToRead(
    pending: readonly PendingBody[], { level, totalBytes, boundBytes, byKind }: Omit<AccountState, "holders">,
): ReadonlySet<string> {
    if (level === "normal") {
        return new Set(pending.map(({ holder }) => holder));
    }
    if (level === "full") {
        return new Set();
    }
    let room = completionShare * boundBytes - totalBytes;
    const firstWithoutRoom = pending.findIndex(({ readBytes, expectedBytes }) => (room -= Math.max(0, expectedBytes - readBytes)) < 0);
    const isStuck = byKind.upstream + byKind.answer + byKind.caller === 0;
    const readable = firstWithoutRoom < 0 ? pending : pending.slice(0, Math.max(Number(isStuck), firstWithoutRoom));
    return new Set(readable.map(({ holder }) => holder));
}
