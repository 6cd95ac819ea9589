/**
 * Decides which callers are disconnected because they don't take what is held for them.
 *
 * @module
 */

import { isAtLeast, type Level } from "./account.js";

/** A caller for whom bytes wait. */
export interface WaitingCaller {
    readonly holder: string;
    /** Bytes of the answer that are held. */
    readonly heldBytes: number;
    /** When the caller took a byte last, or when bytes began to wait if that was later. */
    readonly lastTakenAtMs: number;
    /** Whether another request can continue the answer, so that the caller loses nothing. */
    readonly isResumable: boolean;
    /** Whether the answer has been read from its upstream completely. */
    readonly isComplete: boolean;
}

export type CutReason = "takes-nothing" | "memory-short";

export interface Cut {
    readonly caller: WaitingCaller;
    readonly reason: CutReason;
}

/** A caller that reads at all takes a byte within this time, even if segments are lost several times in a row. */
const maxIdleMs = 2_000;
/**
 * Upstreams aren't affected by a complete answer that waits, so while there is room its caller has longer: an answer that is ready is to be
 * delivered, even if late.
 */
const maxCompleteIdleMs = 10_000;
/** Less is usual while a caller reads: a connection buffers 16 KiB before it pauses, and one read brings up to 64 KiB. */
const toleratedBytes = 65_536;
/** While memory is short, a caller counts as taking nothing after two retransmissions of a lost segment. */
const shortIdleMs = 500;
/** To disconnect a caller who holds less frees too little. */
const minFreedBytes = 16_384;

function isCutAnyway({ heldBytes, lastTakenAtMs, isComplete }: WaitingCaller, level: Level, nowMs: number): boolean {
    const allowedMs = isComplete && level === "normal" ? maxCompleteIdleMs : maxIdleMs;
    return heldBytes > toleratedBytes && nowMs - lastTakenAtMs >= allowedMs;
}

/** Compares callers to disconnect while memory is short: resumable ones first, then those who have taken nothing for longest. */
function compareWorst(one: WaitingCaller, other: WaitingCaller): number {
    return Number(other.isResumable) - Number(one.isResumable) || one.lastTakenAtMs - other.lastTakenAtMs ||
        other.heldBytes - one.heldBytes;
}

/** Returns the callers to disconnect now: all that take nothing, and from the level `refusing` on at least one if one is idle. */
export function chooseCuts(callers: readonly WaitingCaller[], level: Level, nowMs: number): readonly Cut[] {
    const idle = callers.filter(caller => isCutAnyway(caller, level, nowMs));
    if (idle.length > 0 || !isAtLeast(level, "refusing")) {
        return idle.map(caller => ({ caller, reason: "takes-nothing" }));
    }
    const worst = callers
        .filter(({ heldBytes, lastTakenAtMs }) => heldBytes > minFreedBytes && nowMs - lastTakenAtMs >= shortIdleMs)
        .sort(compareWorst)[0];
    return worst === undefined ? [] : [{ caller: worst, reason: "memory-short" }];
}
