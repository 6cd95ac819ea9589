/**
 * The frames that control daemons send to their watchers, and the reports that entries send back.
 *
 * @module
 */

import { z } from "zod";
import {
    agoMsSchema, incarnationSchema, relayedLimitSchema, relayedPushbackSchema, relayedUpstreamSchema, upstreamIdSchema,
} from "../fleet/index.js";
import { type ItemRefusal, type ListSchemas, parseWithLists } from "./lenientDecoder.js";

/** The text of the newest published site that the sender has applied. */
const siteFrameSchema = z.strictObject({
    kind: z.literal("site"),
    version: z.number().int(),
    text: z.string(),
});

/** Data centres that receive no new work. `index` orders these frames: it is the index up to which the sender has applied the log. */
const evacuatedFrameSchema = z.strictObject({
    kind: z.literal("evacuated"),
    index: z.number().int(),
    dataCentres: z.array(z.string()),
});

const upstreamsFrameSchema = z.strictObject({ kind: z.literal("upstreams"), upstreams: z.array(relayedUpstreamSchema) });

export const heardUpstreamSchema = z.strictObject({ id: upstreamIdSchema, agoMs: agoMsSchema });

/** Upstreams heard since the previous frame of this kind, whether or not anything about them changed. */
const heardFrameSchema = z.strictObject({ kind: z.literal("heard"), heard: z.array(heardUpstreamSchema) });

/** The sender's heartbeat, with the state from which watchers choose the control daemon to follow. */
const aliveFrameSchema = z.strictObject({
    kind: z.literal("alive"),
    /** Whether the sender is the leader, which receives the reports. */
    leads: z.boolean(),
    /** Number of entries that watch the sender or did recently. Limits on all entries together are divided by it. */
    entries: z.number().int().min(0).optional(),
    dataCentre: z.string(),
    /** Whether the sender serves published sites and upstreams; daemons without a disk have neither. */
    hasContent: z.boolean(),
    /** Whether the sender knows a leader, and so receives what a majority commits. */
    isInTouch: z.boolean(),
    /** Version of the newest published site that the sender has applied; -1 if there is none. */
    siteVersion: z.number().int(),
});

/** The control daemons known to the sender, by the address on which they listen for other daemons. */
const controlsFrameSchema = z.strictObject({ kind: z.literal("controls"), addresses: z.array(z.string()) });

/** Verdicts of the control leader: upstreams that do not respond, and fingerprints of requests that crash upstreams. */
const judgedFrameSchema = z.strictObject({
    kind: z.literal("judged"),
    lostIds: z.array(z.string()),
    barred: z.array(z.string()),
});

/** Sent by the control leader: limits stated by upstreams, and the entries among which each limit is divided. */
const limitsFrameSchema = z.strictObject({
    kind: z.literal("limits"),
    entryIds: z.array(z.string()),
    limits: z.array(relayedLimitSchema),
});

/** Pushbacks that the control daemon on the VM `vm` has received, for the entry on the same VM. */
const pushbacksFrameSchema = z.strictObject({ kind: z.literal("pushbacks"), vm: z.string(), pushbacks: z.array(relayedPushbackSchema) });

/**
 * Parts of prompts that crash engines. `index` orders these frames like those of evacuated data centres. Older entries skip the frame.
 */
const crashCausesFrameSchema = z.strictObject({
    kind: z.literal("crash-causes"),
    index: z.number().int(),
    /** A request with all the shared parts of one cause is refused. */
    causes: z.array(z.array(z.string()).min(1)),
    /** Parts that were in flight at a crash. Entries report when answers on them are completed. */
    suspectedParts: z.array(z.string()),
});

export const frameSchema = z.discriminatedUnion("kind", [
    siteFrameSchema, evacuatedFrameSchema, upstreamsFrameSchema, heardFrameSchema, aliveFrameSchema, controlsFrameSchema, judgedFrameSchema,
    limitsFrameSchema, pushbacksFrameSchema, crashCausesFrameSchema,
]);
export type Frame = z.infer<typeof frameSchema>;

const knownKinds: ReadonlySet<unknown> = new Set(frameSchema.options.map(({ shape }) => shape.kind.value));

/** The lists of what others have stated, by the kind of the frame. Their items are decoded one by one. */
const listsByKind: Readonly<Record<string, ListSchemas>> = {
    upstreams: { upstreams: relayedUpstreamSchema },
    heard: { heard: heardUpstreamSchema },
    limits: { limits: relayedLimitSchema },
    pushbacks: { pushbacks: relayedPushbackSchema },
};

/**
 * A frame without the items that can't be read, which are in `refused`; the kind of a frame that a newer control daemon has sent; or why
 * the whole frame can't be read.
 */
export type DecodedFrame =
    | { readonly frame: Frame; readonly refused: readonly ItemRefusal[] }
    | { readonly unknownKind: string }
    | { readonly error: string };

const maxErrorChars = 300;

/** Decodes a frame. Never throws. */
export function decodeFrame(bytes: Uint8Array): DecodedFrame {
    try {
        const value = JSON.parse(Buffer.from(bytes).toString("utf8")) as { readonly kind?: unknown };
        if (typeof value.kind === "string" && !knownKinds.has(value.kind)) {
            return { unknownKind: value.kind };
        }
        const { decoded: frame, refused } = parseWithLists(frameSchema, listsByKind[String(value.kind)] ?? {}, value);
        return { frame, refused };
    }
    catch (error) {
        return { error: String(error).slice(0, maxErrorChars) };
    }
}

export type AliveFrame = z.infer<typeof aliveFrameSchema>;

const crashSchema = z.strictObject({ fingerprint: z.string(), upstream: z.string() });

/** The observations of one entry since its previous report. */
export const reportSchema = z.strictObject({
    /** Requested work by model, in milliseconds of one VM. */
    workByModel: z.record(z.string(), z.number()),
    requests: z.number().int(),
    /** Upstreams on which every stream has stalled, or that refuse connections. */
    suspectIds: z.array(z.string()),
    /** Upstreams whose streams have just received events, which means that every member of their group works. */
    movingIds: z.array(z.string()),
    /** Fingerprints of requests in flight when an upstream crashed, each with the id and incarnation of that upstream. */
    crashes: z.array(crashSchema),
    /** Limits that upstreams have stated in their responses to this entry. */
    limits: z.array(relayedLimitSchema),
    /** Upstreams that have said in a response to this entry that they leave. */
    draining: z.array(incarnationSchema).default([]),
    /** The host address of the entry's VM, and the pushbacks that it has received. They bind the control daemon on the same VM as well. */
    vm: z.string().optional(),
    pushbacks: z.array(relayedPushbackSchema).default([]),
});
/** The observations of one entry since its previous report. */
export type Report = z.infer<typeof reportSchema>;

const reportLists: ListSchemas = {
    crashes: crashSchema, limits: relayedLimitSchema, draining: incarnationSchema, pushbacks: relayedPushbackSchema,
};

/** Decodes a report without the items that can't be read, which are in `refused`. Throws if the rest can't be read. */
export function decodeReport(bytes: Uint8Array): { readonly report: Report; readonly refused: readonly ItemRefusal[] } {
    const { decoded: report, refused } = parseWithLists(reportSchema, reportLists, JSON.parse(Buffer.from(bytes).toString("utf8")));
    return { report, refused };
}
