/**
 * What daemons are sent about requests and parts of prompts that crash engines: the changes of crash suspects as the difference between two
 * states, and the causes of crashes as a whole.
 *
 * @module
 */

import { type CrashEvidenceState, emptyCrashEvidence, findCrashCauses, suspectedParts } from "../crashes/index.js";
import { barDurationMs, type Suspect, type SuspectsState, suspectStatus } from "../cluster/index.js";

/** A change of one fingerprint's state. */
export interface SuspectChange {
    readonly fingerprint: string;
    readonly state: "suspect" | "barred" | "cleared";
    readonly crashes: number;
    readonly retryAfterMs: number;
}

type ByFingerprint = SuspectsState["byFingerprint"];

/** Returns the changes between two states. The start or end of a trial is not a change. */
export function diffSuspects(before: ByFingerprint, after: ByFingerprint, nowMs: number): SuspectChange[] {
    const changed = Object.entries(after)
        .filter(([fingerprint, suspect]) => before[fingerprint]?.crashes !== suspect.crashes)
        .map(([fingerprint, suspect]) => toSuspectChange(fingerprint, suspect, nowMs));
    const cleared = Object.keys(before).filter(fingerprint => after[fingerprint] === undefined)
        .map(fingerprint => ({ fingerprint, state: "cleared" as const, crashes: 0, retryAfterMs: 0 }));
    return [...changed, ...cleared];
}

function toSuspectChange(fingerprint: string, suspect: Suspect, nowMs: number): SuspectChange {
    const status = suspectStatus({ byFingerprint: { [fingerprint]: suspect } }, fingerprint, nowMs);
    const isBarred = status === "barred";
    const retryAfterMs = isBarred ? suspect.lastCrashAtMs + barDurationMs - nowMs : 0;
    return { fingerprint, state: isBarred ? "barred" : "suspect", crashes: suspect.crashes, retryAfterMs };
}

/** Returns the parts of prompts that crash engines by this evidence. */
export function toCrashCauses(evidence: CrashEvidenceState = emptyCrashEvidence) {
    return { causes: findCrashCauses(evidence).map(parts => ({ parts: [...parts] })), suspectedParts: suspectedParts(evidence) };
}
