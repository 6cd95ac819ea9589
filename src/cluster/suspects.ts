/**
 * Crash suspects: the fingerprints of requests that were in flight when an engine crashed. A request that crashes every engine it
 * runs on, retried by its caller, would take down the fleet replica by replica. So a suspect runs in isolation, in one trial at a time
 * across the whole region. If its request finishes, the fingerprint is cleared; a second crash bars it. However often the request is
 * resent after the first crash, its fingerprint crashes at most two engines before it is barred.
 *
 * @module
 */

import { z } from "zod";

export const reportCrashSchema = z.strictObject({
    kind: z.literal("report-crash"),
    /** The boot id of the crashed engine. Reports of the same boot by its sidecar and by entries count as one crash. */
    engineBootId: z.string().min(1),
    fingerprints: z.array(z.string().min(1)).max(4096),
    atMs: z.number(),
});

export const trySuspectSchema = z.strictObject({
    kind: z.literal("try-suspect"),
    fingerprint: z.string().min(1),
    owner: z.string(),
    /** The maximum duration of the trial. */
    trialMs: z.number().int().positive(),
    atMs: z.number(),
});

export const clearSuspectSchema = z.strictObject({
    kind: z.literal("clear-suspect"),
    fingerprint: z.string().min(1),
    owner: z.string(),
    /** True if the request finished; false if it was never started, which makes the trial available to other owners. */
    finished: z.boolean(),
    atMs: z.number(),
});

export type ReportCrash = z.infer<typeof reportCrashSchema>;
export type TrySuspect = z.infer<typeof trySuspectSchema>;
export type ClearSuspect = z.infer<typeof clearSuspectSchema>;
export type SuspectCommand = ReportCrash | TrySuspect | ClearSuspect;

export interface Suspect {
    readonly crashes: number;
    /** The engine boots that crashed while the request was in flight, without duplicates; the newest 8. */
    readonly engineBootIds: readonly string[];
    readonly lastCrashAtMs: number;
    readonly trial?: { readonly owner: string; readonly untilMs: number } | undefined;
}

export interface SuspectsState {
    readonly byFingerprint: Readonly<Record<string, Suspect>>;
}

export type SuspectResult =
    | { readonly outcome: "reported" }
    | { readonly outcome: "trial-granted" }
    | { readonly outcome: "not-suspect" }
    | { readonly outcome: "on-trial"; readonly retryAfterMs: number }
    | { readonly outcome: "barred"; readonly retryAfterMs: number }
    | { readonly outcome: "cleared" };

/** The number of crashes after which a fingerprint is refused everywhere. */
export const crashesBeforeBar = 2;

/** How long a barred fingerprint is refused. Another crash, in a trial after that time, bars it for as long again. */
export const barDurationMs = 24 * 3_600_000;

/** How long a suspect that is not yet barred is kept after its last crash. */
export const suspectTtlMs = 3_600_000;

/** The maximum number of fingerprints. Those with the fewest crashes are evicted first, then those whose last crash is the oldest. */
export const maxSuspects = 10_000;

export const emptySuspects: SuspectsState = { byFingerprint: {} };

/** Returns the status of a fingerprint at `atMs`. */
export function suspectStatus(state: SuspectsState, fingerprint: string, atMs: number): "clear" | "suspect" | "barred" {
    const suspect = state.byFingerprint[fingerprint];
    if (suspect === undefined) {
        return "clear";
    }
    return barredForMs(suspect, atMs) > 0 ? "barred" : "suspect";
}

function barredForMs(suspect: Suspect, atMs: number): number {
    return suspect.crashes < crashesBeforeBar ? 0 : Math.max(0, suspect.lastCrashAtMs + barDurationMs - atMs);
}

function withSuspect(state: SuspectsState, fingerprint: string, suspect: Suspect): SuspectsState {
    return { byFingerprint: { ...state.byFingerprint, [fingerprint]: suspect } };
}

/** Applies one suspect command. */
export function applySuspectCommand(state: SuspectsState, command: SuspectCommand): { state: SuspectsState; result: SuspectResult } {
    switch (command.kind) {
        case "report-crash":
            return { state: reportCrash(state, command), result: { outcome: "reported" } };
        case "try-suspect":
            return trySuspect(state, command);
        case "clear-suspect":
            return clearSuspect(state, command);
    }
}

function reportCrash(state: SuspectsState, { fingerprints, engineBootId, atMs }: ReportCrash): SuspectsState {
    const byFingerprint = { ...state.byFingerprint };
    for (const fingerprint of fingerprints) {
        const previous = byFingerprint[fingerprint];
        if (previous?.engineBootIds.includes(engineBootId) === true) {
            continue;
        }
        byFingerprint[fingerprint] = {
            crashes: (previous?.crashes ?? 0) + 1,
            engineBootIds: [...previous?.engineBootIds ?? [], engineBootId].slice(-8),
            lastCrashAtMs: atMs,
        };
    }
    return { byFingerprint: evictSuspects(byFingerprint, atMs) };
}

/** Removes expired suspects, and evicts others while there are more than `maxSuspects`. */
function evictSuspects(byFingerprint: Readonly<Record<string, Suspect>>, atMs: number): Readonly<Record<string, Suspect>> {
    const live = Object.entries(byFingerprint).filter(([, suspect]) =>
        atMs - suspect.lastCrashAtMs < (suspect.crashes < crashesBeforeBar ? suspectTtlMs : 2 * barDurationMs));
    const excess = live.length - maxSuspects;
    if (excess <= 0) {
        return Object.fromEntries(live);
    }
    const evictionOrder = [...live].sort(([, a], [, b]) => a.crashes - b.crashes || a.lastCrashAtMs - b.lastCrashAtMs);
    return Object.fromEntries(evictionOrder.slice(excess));
}

/**
 * Grants one trial at a time. Otherwise concurrent resends through many entries would each run in isolation on a different replica, and
 * each would crash one.
 */
function trySuspect(state: SuspectsState, command: TrySuspect): { state: SuspectsState; result: SuspectResult } {
    const { fingerprint, owner, trialMs, atMs } = command;
    const suspect = state.byFingerprint[fingerprint];
    if (suspect === undefined) {
        return { state, result: { outcome: "not-suspect" } };
    }
    const barredMs = barredForMs(suspect, atMs);
    if (barredMs > 0) {
        return { state, result: { outcome: "barred", retryAfterMs: barredMs } };
    }
    if (suspect.trial !== undefined && suspect.trial.owner !== owner && suspect.trial.untilMs > atMs) {
        return { state, result: { outcome: "on-trial", retryAfterMs: suspect.trial.untilMs - atMs } };
    }
    const withTrial = { ...suspect, trial: { owner, untilMs: atMs + trialMs } };
    return { state: withSuspect(state, fingerprint, withTrial), result: { outcome: "trial-granted" } };
}

function clearSuspect(state: SuspectsState, command: ClearSuspect): { state: SuspectsState; result: SuspectResult } {
    const suspect = state.byFingerprint[command.fingerprint];
    if (suspect?.trial?.owner !== command.owner) {
        return { state, result: { outcome: "not-suspect" } };
    }
    if (!command.finished) {
        return { state: withSuspect(state, command.fingerprint, { ...suspect, trial: undefined }), result: { outcome: "cleared" } };
    }
    const remaining = Object.entries(state.byFingerprint).filter(([fingerprint]) => fingerprint !== command.fingerprint);
    return { state: { byFingerprint: Object.fromEntries(remaining) }, result: { outcome: "cleared" } };
}
