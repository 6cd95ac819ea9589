/**
 * The schema of a line in a traces file: one span, as the file exporter writes it and `zinnia trace` reads it.
 *
 * @module
 */

import { z } from "zod";

const attributeSchema = z.union([z.string(), z.number(), z.boolean()]);

export const spanRecordSchema = z.object({
    traceId: z.string(),
    spanId: z.string(),
    parentSpanId: z.string().optional(),
    name: z.string(),
    startMs: z.number(),
    durationMs: z.number(),
    failed: z.boolean(),
    message: z.string().optional(),
    attributes: z.record(z.string(), attributeSchema),
    events: z.array(z.object({ name: z.string(), atMs: z.number() })),
});

export type SpanRecord = z.infer<typeof spanRecordSchema>;
