/**
 * Claims on non-idempotent requests. A request is claimed under its organisation and idempotency key before it is dispatched, so
 * that a resend through any entry gets the stored outcome, "in progress" or "outcome unknown", and never runs a second time.
 *
 * A key is a version 7 UUID, which contains its creation time. Both the eviction of a record and the rejection of an old key depend
 * on this timestamp alone, so a key is never accepted after its record has been evicted, whatever the client's clock says.
 *
 * @module
 */

import { z } from "zod";
import { emptyMap, mapDelete, mapEntries, mapGet, mapSet, type PersistentMap } from "../runtime/index.js";

export const claimSchema = z.strictObject({
    kind: z.literal("claim"),
    organisation: z.string(),
    /** A version 7 UUID. */
    key: z.string(),
    bodyHash: z.string(),
    /** The id of the request that holds the claim, unique across all entries. */
    owner: z.string(),
    /** The time limit for finishing the claim; after it, the outcome counts as unknown. */
    settleMs: z.number().int().positive().optional(),
    atMs: z.number(),
});

export const finishClaimSchema = z.strictObject({
    kind: z.literal("finish-claim"),
    organisation: z.string(),
    key: z.string(),
    owner: z.string(),
    /** `not-run` frees the key for another attempt, `delivered` stores the response, `unknown` blocks the key. */
    outcome: z.enum(["not-run", "delivered", "unknown"]),
    status: z.number().int().optional(),
    contentType: z.string().optional(),
    /** The response body in base64, if it is small enough to store. */
    body: z.string().optional(),
    atMs: z.number(),
});

export type Claim = z.infer<typeof claimSchema>;
export type FinishClaim = z.infer<typeof finishClaimSchema>;
export type ClaimCommand = Claim | FinishClaim;

export interface ClaimRecord {
    readonly bodyHash: string;
    readonly owner: string;
    readonly state: "in-progress" | "delivered" | "unknown";
    readonly atMs: number;
    readonly settleByMs: number;
    readonly status?: number | undefined;
    readonly contentType?: string | undefined;
    readonly body?: string | undefined;
}

/** The claims whose keys were created in the same minute. */
interface ClaimBucket {
    readonly minute: number;
    readonly records: PersistentMap<ClaimRecord>;
    readonly bodyChars: number;
}

export interface ClaimsState {
    /** One bucket per minute of key creation time within the retention window, unordered. An array, since it is the cheapest to copy. */
    readonly buckets: readonly ClaimBucket[];
    /** The latest timestamp of any applied command: the log's own clock, which never goes backwards. */
    readonly logTimeMs: number;
    /** The total size of the stored bodies, in base64 characters. */
    readonly bodyChars: number;
}

export type ClaimResult =
    | { readonly outcome: "granted" }
    | { readonly outcome: "exists"; readonly record: ClaimRecord }
    | { readonly outcome: "other-body" }
    /** The key's timestamp is before the retention window or too far in the future. */
    | { readonly outcome: "expired" }
    | { readonly outcome: "not-dated" }
    | { readonly outcome: "finished" }
    | { readonly outcome: "refused"; readonly reason: string };

const minuteMs = 60_000;

/** How long a claim is kept after its key was created. docs/mechanisms/claims.md calculates the memory this takes. */
export const claimRetentionMs = 30 * minuteMs;

/**
 * How far a key's timestamp may be ahead of the log time, to allow for clock skew between clients. This limits memory use; safety
 * doesn't depend on it.
 */
export const futureToleranceMs = 5 * minuteMs;

/** The time limit for finishing a claim whose entry sets none. */
export const defaultSettleMs = 5 * minuteMs;

/** The maximum number of records. At the limit, new claims are refused as not run until older records leave the retention window. */
export const maxClaims = 200_000;

/** The maximum total size of stored bodies, in base64 characters. Above it, the oldest bodies are evicted; their records stay. */
export const maxBodyChars = 32 * 1024 * 1024;

/** The maximum size of one stored body, in base64 characters. */
export const maxRecordBodyChars = 16 * 1024;

export const emptyClaims: ClaimsState = { buckets: [], logTimeMs: 0, bodyChars: 0 };

/** Returns the key of a record within its bucket. */
export function claimKey(organisation: string, key: string): string {
    return JSON.stringify([organisation, key]);
}

const uuidV7Pattern = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

/** Returns the timestamp of a lower-case version 7 UUID, or undefined for any other key. */
export function keyTimeMs(key: string): number | undefined {
    const match = uuidV7Pattern.exec(key) ?? undefined;
    return match === undefined ? undefined : Number.parseInt(match[1]! + match[2]!, 16);
}

function minuteOf(timeMs: number): number {
    return Math.floor(timeMs / minuteMs);
}

/** Returns the start of the retention window: keys created before this minute are refused, and their records have been evicted. */
function lowWaterMinute(state: ClaimsState): number {
    return minuteOf(state.logTimeMs - claimRetentionMs);
}

function findBucket(state: ClaimsState, minute: number): ClaimBucket | undefined {
    return state.buckets.find(bucket => bucket.minute === minute);
}

/** Returns the record stored under a key, or undefined if there is none or it has been evicted. */
export function findClaim(state: ClaimsState, organisation: string, key: string): ClaimRecord | undefined {
    const timeMs = keyTimeMs(key);
    const bucket = timeMs === undefined ? undefined : findBucket(state, minuteOf(timeMs));
    return bucket === undefined ? undefined : mapGet(bucket.records, claimKey(organisation, key));
}

/** Returns the number of records. */
export function countClaims(state: ClaimsState): number {
    return state.buckets.reduce((sum, bucket) => sum + bucket.records.size, 0);
}

/** Advances the log time and evicts the buckets that have left the retention window. */
function advanceLogTime(state: ClaimsState, atMs: number): ClaimsState {
    if (atMs <= state.logTimeMs) {
        return state;
    }
    const next = { ...state, logTimeMs: atMs };
    const lowWater = lowWaterMinute(next);
    if (lowWater === lowWaterMinute(state)) {
        return next;
    }
    const buckets = state.buckets.filter(bucket => bucket.minute >= lowWater);
    return { ...next, buckets, bodyChars: buckets.reduce((sum, bucket) => sum + bucket.bodyChars, 0) };
}

function withBucket(state: ClaimsState, bucket: ClaimBucket): ClaimsState {
    const index = state.buckets.findIndex(other => other.minute === bucket.minute);
    const previousChars = state.buckets[index]?.bodyChars ?? 0;
    const buckets = state.buckets.slice();
    buckets[index < 0 ? buckets.length : index] = bucket;
    return { ...state, buckets, bodyChars: state.bodyChars + bucket.bodyChars - previousChars };
}

/** Stores a record, or deletes it when `record` is undefined. */
function putRecord(state: ClaimsState, command: ClaimCommand, record: ClaimRecord | undefined): ClaimsState {
    const minute = minuteOf(keyTimeMs(command.key)!);
    const bucket = findBucket(state, minute) ?? { minute, records: emptyMap<ClaimRecord>(), bodyChars: 0 };
    const id = claimKey(command.organisation, command.key);
    const freedChars = mapGet(bucket.records, id)?.body?.length ?? 0;
    const records = record === undefined ? mapDelete(bucket.records, id) : mapSet(bucket.records, id, record);
    return withBucket(state, { minute, records, bodyChars: bucket.bodyChars - freedChars + (record?.body?.length ?? 0) });
}

/** Evicts the stored bodies of the oldest buckets until the total size is within the limit. The outcomes stay. */
function evictOldestBodies(state: ClaimsState): ClaimsState {
    let next = state;
    const oldestFirst = state.bodyChars <= maxBodyChars ? [] : [...state.buckets].sort((a, b) => a.minute - b.minute);
    for (const bucket of oldestFirst) {
        if (next.bodyChars <= maxBodyChars) {
            return next;
        }
        let records = emptyMap<ClaimRecord>();
        for (const [id, record] of mapEntries(bucket.records)) {
            records = mapSet(records, id, { ...record, body: undefined });
        }
        next = withBucket(next, { minute: bucket.minute, records, bodyChars: 0 });
    }
    return next;
}

/**
 * Marks an unfinished claim as unknown once its time limit has passed: the entry that held it has probably crashed, and a resend must
 * not get "in progress" forever.
 */
function expireClaim(record: ClaimRecord, logTimeMs: number): ClaimRecord {
    return record.state === "in-progress" && logTimeMs > record.settleByMs ? { ...record, state: "unknown" } : record;
}

function applyClaim(state: ClaimsState, command: Claim, timeMs: number): { state: ClaimsState; result: ClaimResult } {
    if (minuteOf(timeMs) < lowWaterMinute(state) || timeMs > state.logTimeMs + futureToleranceMs) {
        return { state, result: { outcome: "expired" } };
    }
    const existing = findClaim(state, command.organisation, command.key);
    if (existing === undefined && countClaims(state) >= maxClaims) {
        return { state, result: { outcome: "refused", reason: "too many claims in the retention window" } };
    }
    if (existing === undefined) {
        const { bodyHash, owner, atMs } = command;
        const settleByMs = state.logTimeMs + (command.settleMs ?? defaultSettleMs);
        const newRecord: ClaimRecord = { bodyHash, owner, state: "in-progress", atMs, settleByMs };
        return { state: putRecord(state, command, newRecord), result: { outcome: "granted" } };
    }
    if (existing.bodyHash !== command.bodyHash) {
        return { state, result: { outcome: "other-body" } };
    }
    const record = expireClaim(existing, state.logTimeMs);
    if (record.owner === command.owner && record.state === "in-progress") {
        // The proposal was retried because its first result was lost. This is safe: nothing is dispatched before the result arrives.
        return { state, result: { outcome: "granted" } };
    }
    return { state: record === existing ? state : putRecord(state, command, record), result: { outcome: "exists", record } };
}

function applyFinishClaim(state: ClaimsState, command: FinishClaim): { state: ClaimsState; result: ClaimResult } {
    const record = findClaim(state, command.organisation, command.key);
    if (record === undefined || record.owner !== command.owner || record.state === "delivered") {
        return { state, result: { outcome: "refused", reason: "no such claim of this owner" } };
    }
    if (command.outcome === "not-run") {
        return { state: putRecord(state, command, undefined), result: { outcome: "finished" } };
    }
    const { status, contentType, outcome } = command;
    const body = command.body !== undefined && command.body.length <= maxRecordBodyChars ? command.body : undefined;
    const finished: ClaimRecord = { ...record, state: outcome, status, contentType, body };
    return { state: evictOldestBodies(putRecord(state, command, finished)), result: { outcome: "finished" } };
}

/**
 * Applies one claim command. The log's leader sets `atMs`, because it advances the retention window: an entry with a wrong clock must
 * not expire the keys of other callers.
 */
export function applyClaimCommand(state: ClaimsState, command: ClaimCommand): { state: ClaimsState; result: ClaimResult } {
    const timeMs = keyTimeMs(command.key);
    if (timeMs === undefined) {
        return { state, result: { outcome: "not-dated" } };
    }
    const advanced = advanceLogTime(state, command.atMs);
    return command.kind === "claim" ? applyClaim(advanced, command, timeMs) : applyFinishClaim(advanced, command);
}
