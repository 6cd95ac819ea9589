/**
 * What an entry adds to its report about crashes of upstreams: the shared parts of the prompts that were in flight.
 *
 * @module
 */

import { z } from "zod";
import { maxPartsPerCrash } from "../crashes/index.js";

const maxCrashes = 1_000;
const maxCompletedParts = 10_000;

const partsSchema = z.array(z.string().min(1)).max(maxPartsPerCrash);

/** Unknown fields are ignored, so that later versions can add some. */
export const crashReportSchema = z.object({
    crashes: z.array(z.object({
        /** Id and incarnation of the upstream. */
        upstream: z.string().min(1),
        parts: partsSchema,
        /** Those of `parts` on which this entry has seen completed answers before the crash. */
        provenParts: partsSchema,
    })).max(maxCrashes),
    /** Suspected parts on which answers have been completed since the previous report. */
    completedParts: z.array(z.string().min(1)).max(maxCompletedParts),
});
/** The crashes that one entry has seen lately. */
export type CrashReport = z.infer<typeof crashReportSchema>;
