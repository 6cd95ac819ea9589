/**
 * Infers from crashes which parts of prompts crash engines: pure. Requests with such a part differ from one another, so that counting
 * crashes by request never finds them, and each takes further engines down.
 *
 * A part explains a crash if it was in flight. The part that explains the most crashes is a cause; the crashes that it explains count for
 * no other part, so requests that only shared an engine with it are not blamed.
 *
 * @module
 */

import type { CrashEvidenceState, EngineCrash } from "./evidence.js";

/**
 * Parts of prompts that crash engines together: a request that has all of them is not sent. There are several if the crashes so far can't
 * tell them apart, so that requests with only some of them are still sent.
 */
export type CrashCause = readonly string[];

/**
 * Crashes within this time of the first one count once: engines lost together, with a domain or data centre, have another cause. The crash
 * of a trial counts by itself, since the trial began only after an earlier crash.
 */
const windowMs = 100;
/** A part that only shares engines with a cause is rarely in flight at so many crashes without an answer completed meanwhile. */
const minCrashes = 3;
/**
 * The number for a part on which answers have been completed before, such as a system prompt that all requests share. Of several causes at
 * once, each explains fewer crashes than such a part does.
 */
const minCrashesOfProvenPart = 7;

/** The crashes of one window. */
interface CrashWindow {
    readonly startedAtMs: number;
    readonly parts: ReadonlySet<string>;
    readonly provenParts: ReadonlySet<string>;
}

/** Parts that were in flight in the same windows. */
interface Suspects {
    readonly parts: string[];
    readonly windows: readonly CrashWindow[];
}

function toWindows(crashes: readonly EngineCrash[]): CrashWindow[] {
    const isTrialCrash = ({ isTrial }: EngineCrash) => isTrial === true;
    const ofTrials = crashes.filter(isTrialCrash).map(toWindow);
    return [...mergeCrashes(crashes.filter(crash => !isTrialCrash(crash))), ...ofTrials];
}

function toWindow({ atMs, parts, provenParts }: EngineCrash): CrashWindow {
    return { startedAtMs: atMs, parts: new Set(parts), provenParts: new Set(provenParts) };
}

function mergeCrashes(crashes: readonly EngineCrash[]): CrashWindow[] {
    const windows: CrashWindow[] = [];
    for (const crash of crashes) {
        const { atMs, parts, provenParts } = crash;
        const last = windows.at(-1);
        if (last === undefined || atMs - last.startedAtMs >= windowMs) {
            windows.push(toWindow(crash));
            continue;
        }
        windows[windows.length - 1] = {
            ...last, parts: new Set([...last.parts, ...parts]), provenParts: new Set([...last.provenParts, ...provenParts]),
        };
    }
    return windows;
}

function groupByWindows(windows: readonly CrashWindow[]): Suspects[] {
    const groups = new Map<string, Suspects>();
    for (const part of new Set(windows.flatMap(window => [...window.parts]))) {
        const indexes = windows.flatMap((window, index) => window.parts.has(part) ? [index] : []);
        const key = indexes.join(",");
        const group = groups.get(key) ?? { parts: [], windows: indexes.map(index => windows[index]!) };
        group.parts.push(part);
        groups.set(key, group);
    }
    return [...groups.values()];
}

function isCause({ parts, windows }: Suspects): boolean {
    const isProven = (part: string) => windows.some(window => window.provenParts.has(part));
    return windows.length >= (parts.every(isProven) ? minCrashesOfProvenPart : minCrashes);
}

/** Infers the causes of the crashes. */
export function findCrashCauses({ crashes }: CrashEvidenceState): CrashCause[] {
    const causes: CrashCause[] = [];
    let unexplained = toWindows(crashes);
    for (;;) {
        const [cause] = groupByWindows(unexplained).filter(isCause).sort((a, b) => b.windows.length - a.windows.length);
        if (cause === undefined) {
            return causes;
        }
        causes.push(cause.parts);
        unexplained = unexplained.filter(window => !cause.windows.includes(window));
    }
}

/** Whether a prompt with these shared parts has all the parts of a cause. */
export function hasCrashCause(parts: readonly string[], causes: readonly CrashCause[]): boolean {
    return causes.some(cause => cause.every(part => parts.includes(part)));
}
