/**
 * The crashes of engines with the parts of the prompts that were in flight, from which `causes.ts` infers the parts that crash engines,
 * and the commands that change them.
 *
 * @module
 */

import { z } from "zod";

/** The maximum number of parts in the report of a crash. */
export const maxPartsPerCrash = 256;

export const reportPartsSchema = z.strictObject({
    kind: z.literal("report-crashed-parts"),
    /** The incarnation of the engine that crashed. A later report of it replaces the parts that are still suspected. */
    engineBootId: z.string().min(1),
    /** The shared parts of the prompts in flight. */
    parts: z.array(z.string().min(1)).max(maxPartsPerCrash),
    /** Those of them on which the reporter has seen completed answers before the crash. */
    provenParts: z.array(z.string().min(1)).max(maxPartsPerCrash),
    /** Whether the only request in flight was the trial of a crash suspect. */
    isTrial: z.boolean().optional(),
    atMs: z.number(),
});

export const clearPartsSchema = z.strictObject({
    kind: z.literal("clear-crashed-parts"),
    parts: z.array(z.string().min(1)).max(4096),
    atMs: z.number(),
});

export type ReportParts = z.infer<typeof reportPartsSchema>;
export type ClearParts = z.infer<typeof clearPartsSchema>;
export type CrashEvidenceCommand = ReportParts | ClearParts;

export interface EngineCrash {
    readonly engineBootId: string;
    readonly atMs: number;
    readonly parts: readonly string[];
    /** Those of `parts` on which answers had been completed before the crash. */
    readonly provenParts: readonly string[];
    readonly isTrial?: boolean | undefined;
}

export interface CrashEvidenceState {
    /** Ordered by time. */
    readonly crashes: readonly EngineCrash[];
}

export type CrashEvidenceResult = { readonly outcome: "recorded" };

export const emptyCrashEvidence: CrashEvidenceState = { crashes: [] };

/** Lists the parts that were in flight at a crash and have not been cleared since. */
export function suspectedParts({ crashes }: CrashEvidenceState): string[] {
    return [...new Set(crashes.flatMap(({ parts }) => parts))];
}
