/**
 * The frames that control daemons send to whoever watches them, and the reports that entries send back.
 *
 * @module
 */

import { z } from "zod";
import { carriedUpstreamSchema } from "../fleet/index.js";

/** The newest published site that the sender has applied, as its text. */
const siteFrameSchema = z.strictObject({
    kind: z.literal("site"),
    version: z.number().int(),
    text: z.string(),
});

/** Data centres that get no new work. `index` orders such frames: the place in the log up to which the sender has applied. */
const evacuatedFrameSchema = z.strictObject({
    kind: z.literal("evacuated"),
    index: z.number().int(),
    dataCentres: z.array(z.string()),
});

const upstreamsFrameSchema = z.strictObject({ kind: z.literal("upstreams"), upstreams: z.array(carriedUpstreamSchema) });

/** Upstreams heard lately without news, which answer a probe or not, and a sign of life of the sender. */
const aliveFrameSchema = z.strictObject({
    kind: z.literal("alive"),
    heard: z.array(z.strictObject({ id: z.string(), agoMs: z.number() })),
    /** Whether the sender leads: reports go to it. */
    leads: z.boolean(),
    /** Entries that watch the sender or did lately: bounds that hold for all entries together are split among so many. */
    entries: z.number().int().min(0).optional(),
});

/** The control daemons that the sender knows, by the address of their listener for daemons. */
const controlsFrameSchema = z.strictObject({ kind: z.literal("controls"), addresses: z.array(z.string()) });

/** What the control leader has judged: upstreams that answer nobody, and fingerprints of requests that crash upstreams. */
const judgedFrameSchema = z.strictObject({
    kind: z.literal("judged"),
    lostIds: z.array(z.string()),
    barred: z.array(z.string()),
});

export const frameSchema = z.discriminatedUnion("kind", [
    siteFrameSchema, evacuatedFrameSchema, upstreamsFrameSchema, aliveFrameSchema, controlsFrameSchema, judgedFrameSchema,
]);
export type Frame = z.infer<typeof frameSchema>;

/** What one entry has seen since its last report. */
export const reportSchema = z.strictObject({
    /** Work asked for by model, in milliseconds of one VM. */
    workByModel: z.record(z.string(), z.number()),
    requests: z.number().int(),
    /** Upstreams on which every stream has stopped, or that refuse connections. */
    suspectIds: z.array(z.string()),
    /** Upstreams whose streams have brought events in the last moment: every member of their group works. */
    movingIds: z.array(z.string()),
    /** Fingerprints of requests in flight when an upstream crashed under them, and that upstream's life. */
    crashes: z.array(z.strictObject({ fingerprint: z.string(), upstream: z.string() })),
});
/** What one entry has seen since its last report. */
export type Report = z.infer<typeof reportSchema>;
