/**
 * What the voters of one region say to each other and keep on disk: identities, membership, entries and messages. Types are
 * inferred from the schemas, because all of it crosses a process boundary.
 *
 * @module
 */

import { z } from "zod";

const index = z.number().int().min(0);
const term = z.number().int().min(0);

/** A voter id from the settings together with the disk that stands for it: a wiped disk is another identity. */
export const identitySchema = z.strictObject({ voterId: z.string().min(1), diskId: z.string().min(1) });

/** A voter that counts. */
export const voterSchema = z.strictObject({ ...identitySchema.shape, address: z.string() });

/** Who votes, as written in the log. */
export const membershipSchema = z.strictObject({
    /** Drawn when the cluster forms; messages of another cluster are dropped. */
    clusterId: z.string().min(1),
    /** False until every first voter holds the first entry; until then only all of them together are a quorum. */
    formed: z.boolean(),
    voters: z.array(voterSchema).min(1),
    /** A voter that the leader shall add once it has caught up, whatever its disk. */
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
    /** The state machine's state after `index`. */
    data: z.unknown(),
});

/** Sent by a process that does not vote, until it does. */
const helloSchema = z.strictObject({
    kind: z.literal("hello"),
    empty: z.boolean(),
    address: z.string(),
    /** The voters that the sender's settings name, sorted. */
    voterIds: z.array(z.string()),
    /** The sender has no disk and can't vote. `empty` then says that it knows no voters. */
    diskless: z.literal(true).optional(),
    /** The sender's settings allow that an open cluster forms. */
    mayForm: z.literal(true).optional(),
});

const helloResponseSchema = z.strictObject({
    kind: z.literal("hello-response"),
    empty: z.boolean(),
    voterIds: z.array(z.string()),
    /** Who votes by the newest membership that the sender knows: the settings of the asker may name none of them any more. */
    voters: z.array(z.strictObject({ id: z.string(), address: z.string() })).optional(),
    diskless: z.literal(true).optional(),
    /** The disk that the sender, itself without one, has chosen to form the cluster alone. */
    firstDiskId: z.string().optional(),
});

const preVoteSchema = z.strictObject({
    kind: z.literal("pre-vote"),
    clusterId: z.string(),
    /** The term that the sender would campaign in. */
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
    /** Set when the leader itself asked for this election, so that its lease does not stand against it. */
    transfer: z.boolean(),
});

const voteResponseSchema = z.strictObject({ kind: z.literal("vote-response"), term, granted: z.boolean() });

const appendSchema = z.strictObject({
    kind: z.literal("append"),
    clusterId: z.string(),
    term,
    prevIndex: index,
    prevTerm: term,
    entries: z.array(entrySchema),
    commitIndex: index,
    /** Counts the leader's sendings, and the time of this one on the leader's clock; both are echoed. */
    round: z.number().int(),
    sentAtMs: z.number(),
});

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
    /** On success: everything up to here is on the sender's disk and equals the leader's log. */
    matchIndex: index,
    /** On refusal: the place that was asked about, and the highest place that may match. */
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

/** One message with its sender; a message for a disk that is gone is dropped by whoever stands in its place. */
export const letterSchema = z.strictObject({
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
export type Letter = z.infer<typeof letterSchema>;
export type MessageOf<Kind extends Message["kind"]> = Extract<Message, { kind: Kind }>;
