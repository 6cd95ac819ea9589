/**
 * Decoded announcements of upstreams: their address, whether they accept work, the weights on their VM and their group.
 *
 * @module
 */

import { z } from "zod";
import { addressSchema } from "./address.js";

/** Ids are sent in headers, so they have visible ASCII characters alone. */
const maxIdChars = 128;
const maxNameChars = 256;
/** Unix time in ms; the year 2286. */
const maxBornMs = 1e13;
/** Above any count and any Unix time in us, and far enough from the largest exact integer that later numbers are exact too. */
const maxSequence = 2 ** 52;
/** Epochs are at most a term of the log times the epochs of a term. */
const maxEpoch = 2 ** 52;
/** Lists by rank are as long as the highest rank. */
const maxRank = 4_095;
const maxSlots = 1_000_000;
const maxStagedModels = 1_000;
const maxColdForMs = 86_400_000;
/** Longer than any process runs: ten years. */
const maxAgoMs = 315_360_000_000;

// One check a field: these schemas decode each upstream that is relayed.
const outOfBounds = "is out of bounds";
const integer = (max: number) => z.number().refine(value => Number.isInteger(value) && value >= 0 && value <= max, outOfBounds);
const amount = (max: number) => z.number().refine(value => value >= 0 && value <= max, outOfBounds);

const visibleAscii = /^[\x21-\x7e]+$/;
const invisible = /\p{C}/u;

/** The id of an upstream. */
export const upstreamIdSchema = z.string().refine(text => text.length <= maxIdChars && visibleAscii.test(text), outOfBounds);
/** A name that upstreams state: text without control characters and halves of characters. */
const name = z.string().refine(
    text => text.length <= maxNameChars && (visibleAscii.test(text) || (text !== "" && !invisible.test(text))), outOfBounds,
);
const bornMsSchema = integer(maxBornMs);
/** How long ago something was, in ms. */
export const agoMsSchema = amount(maxAgoMs);

export const groupStateSchema = z.enum(["joining", "ready", "open", "closing", "broken"]);

/** An upstream's membership of a group from its own point of view; it doesn't know the state of the other members. */
export const groupMembershipSchema = z.strictObject({
    name,
    epoch: integer(maxEpoch),
    /** 0 is the head, the only member that accepts requests. */
    rank: integer(maxRank),
    state: groupStateSchema,
});

/** An upstream's announcement. Each field is bounded, since it is kept and relayed to every daemon. */
export const announcementSchema = z.strictObject({
    id: upstreamIdSchema,
    service: name,
    address: addressSchema,
    dataCentre: name,
    /** The wall-clock time at which this incarnation started. It is compared only with that of other incarnations of the same id. */
    bornMs: bornMsSchema,
    /** Increases with each announcement of an incarnation. */
    sequence: integer(maxSequence),
    state: z.enum(["ready", "draining"]),
    coldForMs: amount(maxColdForMs),
    slots: integer(maxSlots),
    /** The fabric domain; undefined for upstreams that don't form groups. */
    domain: z.string().max(maxNameChars).optional(),
    /** Models whose weights are on the VM. */
    stagedModels: z.array(name).max(maxStagedModels),
    group: groupMembershipSchema.optional(),
});

export type GroupMembership = z.infer<typeof groupMembershipSchema>;
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * An upstream as known to this process. `heardAtMs` and `coldUntilMs` refer to this process's clock. Other processes receive them as
 * durations, since clocks of different VMs are never compared.
 */
export interface Upstream extends Announcement {
    readonly heardAtMs: number;
    readonly coldUntilMs: number;
    /** Whether it has left or has been replaced by another incarnation or upstream; if so, it receives no work. */
    readonly isGone: boolean;
    /** Whether it is gone because it has left; if so, its process may continue to serve for some seconds. */
    readonly hasLeft: boolean;
}

/** One life of an upstream's process. */
export const incarnationSchema = z.strictObject({ id: upstreamIdSchema, bornMs: bornMsSchema });
export type Incarnation = z.infer<typeof incarnationSchema>;

/** An upstream in the form that is relayed to other processes. */
export const relayedUpstreamSchema = z.strictObject({
    ...announcementSchema.shape,
    heardAgoMs: agoMsSchema,
    isGone: z.boolean(),
    hasLeft: z.boolean(),
});
export type RelayedUpstream = z.infer<typeof relayedUpstreamSchema>;
