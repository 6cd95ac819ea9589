/**
 * The loads that entries exchange through the control leader: what an entry adds to its report, and what the leader answers.
 *
 * @module
 */

import { z } from "zod";

/** Bounds far above what a site can have. A message beyond them is treated as unreadable. */
const maxRequests = 100_000;
const maxRecordKeys = 10_000;

const countSchema = z.number().int().min(0).max(maxRequests);
const countsSchema = z.record(z.string(), countSchema).refine(counts => Object.keys(counts).length <= maxRecordKeys);
/** Identifies one view: the leader that made it and its number at that leader. */
const viewIdSchema = z.object({ leader: z.string(), number: z.number().int().min(0) });

/** What an entry observes. Unknown fields are ignored, so that later versions can add some. */
export const entryLoadsSchema = z.object({
    /** The entry's own requests by the id of the head at which they run or wait; heads without any are left out. */
    running: countsSchema,
    /** Callers' requests by model since the previous report. */
    arrivals: countsSchema,
});
export type EntryLoads = z.infer<typeof entryLoadsSchema>;

/** The leader's answer. */
export const sharedLoadsSchema = z.object({
    /** The part that is the same for all entries. */
    all: z.object({
        view: viewIdSchema,
        /** The sum over all entries by head id; heads without any requests are left out. */
        running: countsSchema,
        /** The number of entries in the sum. */
        entries: z.number().int().min(1).max(maxRequests),
        nextReportMs: z.number().min(0).max(60_000),
    }),
    /** How long ago the sum was taken. */
    ageMs: z.number().min(0),
    /** The asking entry's part of the sum by head id. */
    own: countsSchema,
    /** The asking entry's share of the arrivals by model, from 0 to 1. */
    shares: z.record(z.string(), z.number().min(0).max(1)),
});
export type SharedLoadsAnswer = z.infer<typeof sharedLoadsSchema>;
