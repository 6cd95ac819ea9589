/**
 * The account of bytes held for callers and upstreams, by holder and kind.
 *
 * Each holder states the bytes that it holds of a kind, not their change, so a repeated or missed statement can't make the totals drift.
 * Releasing a holder removes everything that it has stated.
 *
 * @module
 */

import { emptyMap, mapDelete, mapGet, mapSet, type PersistentMap, type Reducer, type Step, step, unchanged } from "../../runtime/index.js";

/**
 * `head`: heads of requests. `body`: bodies that are being read. `upstream`: complete bodies, held until no attempt needs them any more.
 * `answer`: answers buffered until they are complete. `caller`: bytes written that the caller has not taken.
 */
export const heldKinds = ["head", "body", "upstream", "answer", "caller"] as const;
export type HeldKind = typeof heldKinds[number];
export type HeldBytes = Readonly<Record<HeldKind, number>>;

/** In ascending order. See the README of this folder for their effects. */
export const levels = ["normal", "pausing", "refusing", "full"] as const;
export type Level = typeof levels[number];

export interface AccountState {
    readonly boundBytes: number;
    readonly holders: PersistentMap<HeldBytes>;
    readonly byKind: HeldBytes;
    readonly totalBytes: number;
    readonly level: Level;
}

export type AccountEvent =
    | { readonly kind: "hold"; readonly holder: string; readonly part: HeldKind; readonly bytes: number }
    | { readonly kind: "release"; readonly holder: string };

export interface LevelChange {
    readonly kind: "level-changed";
    readonly from: Level;
    readonly to: Level;
}

/** What an idle entry needs. */
const idleBytes = 90e6;
/** The rest of the limit is for the garbage between collections. */
const boundShare = 0.4;
/** With less, a body of 4 MiB would not fit between 0.5 and 0.8 of the bound, where bodies that have begun are completed. */
const minBoundBytes = 16 * 1_048_576;
/** Covers an answer that is buffered at the bound (256 KiB), and reads of 64 KiB that are delivered before a pause takes effect. */
const fullMarginBytes = 524_288;
/** A level is left this part of the bound below the point where it is entered, so that it doesn't change with every chunk. */
const hysteresisShare = 0.05;
export const nothingHeld: HeldBytes = { head: 0, body: 0, upstream: 0, answer: 0, caller: 0 };

/** Returns the bound in bytes for a process that may use `limitMb` (1 MB = 10^6 bytes). */
export function boundFor(limitMb: number): number {
    return Math.max(minBoundBytes, Math.floor(boundShare * (limitMb * 1e6 - idleBytes)));
}

export function createAccount(boundBytes: number): AccountState {
    return { boundBytes, holders: emptyMap(), byKind: nothingHeld, totalBytes: 0, level: "normal" };
}

/** The bytes from which a level applies. */
function levelStart(level: Level, boundBytes: number): number {
    return { normal: 0, pausing: 0.5 * boundBytes, refusing: 0.8 * boundBytes, full: boundBytes - fullMarginBytes }[level];
}

function nextLevel(level: Level, totalBytes: number, boundBytes: number): Level {
    const applies = (candidate: Level) => {
        const isEntered = levels.indexOf(candidate) <= levels.indexOf(level);
        return totalBytes >= levelStart(candidate, boundBytes) - (isEntered ? hysteresisShare * boundBytes : 0);
    };
    return levels.findLast(applies)!;
}

export function isAtLeast(level: Level, other: Level): boolean {
    return levels.indexOf(level) >= levels.indexOf(other);
}

export function heldBy(state: AccountState, holder: string): HeldBytes {
    return mapGet(state.holders, holder) ?? nothingHeld;
}

export function sumOf(held: HeldBytes): number {
    return held.head + held.body + held.upstream + held.answer + held.caller;
}

function withHeld(state: AccountState, holder: string, before: HeldBytes, after: HeldBytes): Step<AccountState, LevelChange> {
    const change = (kind: HeldKind) => state.byKind[kind] + after[kind] - before[kind];
    const byKind = { head: change("head"), body: change("body"), upstream: change("upstream"), answer: change("answer"), caller: change("caller") };
    const totalBytes = sumOf(byKind);
    const level = nextLevel(state.level, totalBytes, state.boundBytes);
    const holders = sumOf(after) === 0 ? mapDelete(state.holders, holder) : mapSet(state.holders, holder, after);
    const next = { ...state, holders, byKind, totalBytes, level };
    return level === state.level ? unchanged(next) : step(next, { kind: "level-changed", from: state.level, to: level });
}

/** Applies a holder's statement. A negative or fractional number of bytes is a programming error. */
export const accountReducer: Reducer<AccountState, AccountEvent, LevelChange> = (state, event) => {
    const before = heldBy(state, event.holder);
    if (event.kind === "release") {
        return before === nothingHeld ? unchanged(state) : withHeld(state, event.holder, before, nothingHeld);
    }
    if (!Number.isInteger(event.bytes) || event.bytes < 0) {
        throw new Error(`${event.bytes} is no number of bytes`);
    }
    if (before[event.part] === event.bytes) {
        return unchanged(state);
    }
    return withHeld(state, event.holder, before, { ...before, [event.part]: event.bytes });
};
