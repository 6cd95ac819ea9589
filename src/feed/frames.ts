/**
 * The frames that control daemons send to whoever watches them, and the reports that entries send back.
 *
 * @module
 */

import { z } from "zod";
import { carriedLimitSchema, carriedUpstreamSchema } from "../fleet/index.js";

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

/** Upstreams heard since the previous frame of this kind, whether or not anything about them changed. */
const heardFrameSchema = z.strictObject({
    kind: z.literal("heard"),
    heard: z.array(z.strictObject({ id: z.string(), agoMs: z.number() })),
});

/** The sender's heartbeat, with the state from which watchers choose the control daemon to follow. */
const aliveFrameSchema = z.strictObject({
    kind: z.literal("alive"),
    /** Whether the sender leads: reports go to it. */
    leads: z.boolean(),
    /** Entries that watch the sender or did lately: bounds that hold for all entries together are split among so many. */
    entries: z.number().int().min(0).optional(),
    dataCentre: z.string(),
    /** Whether the sender serves published sites and upstreams; daemons without a disk have neither. */
    hasContent: z.boolean(),
    /** Whether the sender knows a leader, and so receives what a majority commits. */
    isInTouch: z.boolean(),
    /** Version of the newest published site that the sender has applied; -1 if there is none. */
    siteVersion: z.number().int(),
});

/** The control daemons that the sender knows, by the address of their listener for daemons. */
const controlsFrameSchema = z.strictObject({ kind: z.literal("controls"), addresses: z.array(z.string()) });

/** What the control leader has judged: upstreams that answer nobody, and fingerprints of requests that crash upstreams. */
const judgedFrameSchema = z.strictObject({
    kind: z.literal("judged"),
    lostIds: z.array(z.string()),
    barred: z.array(z.string()),
});

/** Limits that upstreams state, and the entries among which each is divided; from the control leader. */
const limitsFrameSchema = z.strictObject({
    kind: z.literal("limits"),
    entryIds: z.array(z.string()),
    limits: z.array(carriedLimitSchema),
});

export const frameSchema = z.discriminatedUnion("kind", [
    siteFrameSchema, evacuatedFrameSchema, upstreamsFrameSchema, heardFrameSchema, aliveFrameSchema, controlsFrameSchema, judgedFrameSchema,
    limitsFrameSchema,
]);
export type Frame = z.infer<typeof frameSchema>;
export type AliveFrame = z.infer<typeof aliveFrameSchema>;

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
    /** Limits that upstreams have stated in answers to this entry. */
    limits: z.array(carriedLimitSchema),
});
/** What one entry has seen since its last report. */
export type Report = z.infer<typeof reportSchema>;
