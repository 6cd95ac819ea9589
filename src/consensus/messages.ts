/**
 * Identities, memberships, log entries and messages that the voters of one region exchange and store. The types are inferred from
 * the schemas, because all of this data crosses a process boundary.
 *
 * @module
 */

import { z } from "zod";
import { isAddress } from "../runtime/index.js";

const index = z.number().int().min(0);
/** Terms count elections. Groups are numbered by term and 2^20 epochs in each, which has to stay a safe integer. */
const maxTerm = 2 ** 32;
const term = z.number().int().min(0).max(maxTerm);

/** A voter id from the settings and the id of its disk: after its disk is wiped, a voter has a new identity. */
export const identitySchema = z.strictObject({ voterId: z.string().min(1), diskId: z.string().min(1) });

/** A voter of the membership, and the address at which its peers reach it. */
export const voterSchema = z.strictObject({ ...identitySchema.shape, address: z.string() });

/** The set of voters, as recorded in the log. */
export const membershipSchema = z.strictObject({
    /** Generated when the cluster forms; messages of other clusters are dropped. */
    clusterId: z.string().min(1),
    /** False until every initial voter holds the first entry; until then commits need all of them instead of a majority. */
    formed: z.boolean(),
    voters: z.array(voterSchema).min(1),
    /** The process that the leader adds as a voter once it has caught up, whatever its disk id. */
    admitting: z.strictObject({ voterId: z.string().min(1), address: z.string() }).optional(),
});

export const payloadSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("no-op") }),
    z.strictObject({ kind: z.literal("command"), command: z.unknown() }),
    z.strictObject({ kind: z.literal("membership"), membership: membershipSchema }),
]);

export const entrySchema = z.strictObject({ index, term, payload: payloadSchema });

export const snapshotSchema = z.strictObject({
    index,
    term,
    membership: membershipSchema,
    /** The state of the state machine after applying `index`. */
    data: z.unknown(),
});

/** Where a process can be reached; empty if it doesn't know that itself. */
const announcedAddress = z.string().refine(address => address === "" || isAddress(address), "not an address");

/** Sent periodically by a process that has no vote, or that may have lost it. */
const helloSchema = z.strictObject({
    kind: z.literal("hello"),
    empty: z.boolean(),
    address: announcedAddress,
    /** The ids of the processes in the sender's settings, sorted. */
    voterIds: z.array(z.string()),
    /** Set when the sender has no disk and can't vote. `empty` then means that it knows of no voters. */
    diskless: z.literal(true).optional(),
    /** Set when the sender's settings allow an open cluster to form. */
    mayForm: z.literal(true).optional(),
});

const helloResponseSchema = z.strictObject({
    kind: z.literal("hello-response"),
    empty: z.boolean(),
    voterIds: z.array(z.string()),
    /** The voters of the newest membership known to the sender: the receiver's settings may no longer name any of them. */
    voters: z.array(z.strictObject({ id: z.string(), address: announcedAddress })).optional(),
    diskless: z.literal(true).optional(),
    /** The disk that the sender, which has none itself, has chosen to form the cluster alone. */
    firstDiskId: z.string().optional(),
});

const preVoteSchema = z.strictObject({
    kind: z.literal("pre-vote"),
    clusterId: z.string(),
    /** The term in which the sender would campaign. */
    term,
    lastIndex: index,
    lastTerm: term,
});

const preVoteResponseSchema = z.strictObject({ kind: z.literal("pre-vote-response"), term, forTerm: term, granted: z.boolean() });

const voteSchema = z.strictObject({
    kind: z.literal("vote"),
    clusterId: z.string(),
    term,
    lastIndex: index,
    lastTerm: term,
    /** Set when the leader requested this election; voters then grant their vote despite the leader's lease. */
    transfer: z.boolean(),
});

const voteResponseSchema = z.strictObject({ kind: z.literal("vote-response"), term, granted: z.boolean() });

function hasConsecutiveEntries({ term: sentTerm, prevIndex, prevTerm, entries }: z.infer<typeof appendFieldsSchema>): boolean {
    return entries.every((entry, offset) => entry.index === prevIndex + 1 + offset &&
        entry.term >= (entries[offset - 1]?.term ?? prevTerm) && entry.term <= sentTerm);
}

const appendFieldsSchema = z.strictObject({
    kind: z.literal("append"),
    clusterId: z.string(),
    term,
    prevIndex: index,
    prevTerm: term,
    entries: z.array(entrySchema),
    commitIndex: index,
    /** The leader's broadcast counter, and the send time on the leader's clock; the response echoes both. */
    round: z.number().int(),
    sentAtMs: z.number(),
});

/** Entries out of order would be written to the disk, from which no voter could start then. */
const appendSchema = appendFieldsSchema.refine(hasConsecutiveEntries, "the entries don't follow one another");

const snapshotMessageSchema = z.strictObject({
    kind: z.literal("snapshot"),
    clusterId: z.string(),
    term,
    snapshot: snapshotSchema,
    round: z.number().int(),
    sentAtMs: z.number(),
});

const appendResponseSchema = z.strictObject({
    kind: z.literal("append-response"),
    term,
    success: z.boolean(),
    /** On success: every entry up to this index is on the sender's disk and matches the leader's log. */
    matchIndex: index,
    /** On rejection: the `prevIndex` of the request, and the highest index that may match. */
    prevIndex: index,
    hintIndex: index,
    round: z.number().int(),
    sentAtMs: z.number(),
});

const readIndexSchema = z.strictObject({ kind: z.literal("read-index"), readId: z.string() });
const readIndexResponseSchema = z.strictObject({ kind: z.literal("read-index-response"), readId: z.string(), index });
const timeoutNowSchema = z.strictObject({ kind: z.literal("timeout-now"), term });

export const messageSchema = z.discriminatedUnion("kind", [
    helloSchema,
    helloResponseSchema,
    preVoteSchema,
    preVoteResponseSchema,
    voteSchema,
    voteResponseSchema,
    appendSchema,
    snapshotMessageSchema,
    appendResponseSchema,
    readIndexSchema,
    readIndexResponseSchema,
    timeoutNowSchema,
]);

/** A message with its sender and, if set, the disk it is meant for; a voter that now has another disk drops it. */
export const addressedMessageSchema = z.strictObject({
    from: identitySchema,
    toDiskId: z.string().optional(),
    message: messageSchema,
});

export type Identity = z.infer<typeof identitySchema>;
export type Voter = z.infer<typeof voterSchema>;
export type Membership = z.infer<typeof membershipSchema>;
export type Payload = z.infer<typeof payloadSchema>;
export type Entry = z.infer<typeof entrySchema>;
export type Snapshot = z.infer<typeof snapshotSchema>;
export type Message = z.infer<typeof messageSchema>;
export type AddressedMessage = z.infer<typeof addressedMessageSchema>;
export type MessageOf<Kind extends Message["kind"]> = Extract<Message, { kind: Kind }>;
