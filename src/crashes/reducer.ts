/**
 * Applies commands to the evidence of crashes. A part on which an answer has been completed is cleared: one that crashes engines crashes
 * each that begins to write on it.
 *
 * @module
 */

import { findCrashCauses, hasCrashCause } from "./causes.js";
import type { CrashEvidenceCommand, CrashEvidenceState, EngineCrash, ReportParts } from "./evidence.js";

/** How long a crash counts. */
const crashTtlMs = 3_600_000;
/** The maximum number of crashes. */
const maxCrashes = 64;

/** Applies one command. */
export function applyCrashEvidence(state: CrashEvidenceState, command: CrashEvidenceCommand): CrashEvidenceState {
    return command.kind === "report-crashed-parts" ? recordCrash(state, command) : clearParts(state, command.parts);
}

function recordCrash({ crashes }: CrashEvidenceState, report: ReportParts): CrashEvidenceState {
    const { engineBootId, parts, provenParts, isTrial, atMs } = report;
    const others = crashes.filter(crash => crash.engineBootId !== engineBootId && atMs - crash.atMs < crashTtlMs);
    const known = crashes.find(crash => crash.engineBootId === engineBootId);
    const recorded: EngineCrash = { engineBootId, atMs: known?.atMs ?? atMs, parts, provenParts, isTrial };
    return evictCrashes([...others, recorded].sort((a, b) => a.atMs - b.atMs));
}

/** Drops the oldest crashes beyond the maximum, those that no cause explains first: otherwise its requests would be sent again. */
function evictCrashes(crashes: readonly EngineCrash[]): CrashEvidenceState {
    const excess = crashes.length - maxCrashes;
    if (excess <= 0) {
        return { crashes };
    }
    const causes = findCrashCauses({ crashes });
    const isExplained = ({ parts }: EngineCrash) => hasCrashCause(parts, causes);
    const evicted = new Set([...crashes.filter(crash => !isExplained(crash)), ...crashes.filter(isExplained)].slice(0, excess));
    return { crashes: crashes.filter(crash => !evicted.has(crash)) };
}

function clearParts({ crashes }: CrashEvidenceState, cleared: readonly string[]): CrashEvidenceState {
    const withoutCleared = (parts: readonly string[]) => parts.filter(part => !cleared.includes(part));
    return {
        crashes: crashes
            .map(crash => ({ ...crash, parts: withoutCleared(crash.parts), provenParts: withoutCleared(crash.provenParts) }))
            .filter(({ parts }) => parts.length > 0),
    };
}
