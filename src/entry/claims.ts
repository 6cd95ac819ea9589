/**
 * Claims the idempotency key of a request with the quorum and records the request's outcome there.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type AnswerHead, type ChunkList, chunksOf, type ClaimAnswer } from "../attempt/index.js";
import { type ClaimResult, type Command, type FinishClaim, keyTimeMs, maxRecordBodyChars, type ProposalResult } from "../cluster/index.js";

/** Proposes a command to the region's quorum, whichever voter is its leader. */
export type Propose = (command: Command, timeoutMs: number) => Promise<ProposalResult>;

const proposeTimeoutMs = 2_000;
const maxClaimAttempts = 3;
const maxFinishAttempts = 8;
const retryDelayMs = 250;
const bytesPerBase64Group = 3;
const charsPerBase64Group = 4;

export interface ClaimParams {
    readonly organisation: string;
    readonly key: string;
    /** The content that the body hash covers. */
    readonly hashedContent: Uint8Array;
    readonly owner: string;
    /** The maximum time until the outcome is stored. */
    readonly settleMs: number;
    /** Whether the stored body can be replayed unchanged. */
    readonly replayable: boolean;
}

export interface RequestClaim {
    acquire(): Promise<ClaimAnswer>;
    finish(outcome: "not-run" | "unknown"): Promise<void>;
    deliver(head: AnswerHead, chunks: ChunkList): Promise<void>;
}

function toClaimAnswer(result: ClaimResult): ClaimAnswer {
    switch (result.outcome) {
        case "exists":
            return recordedAnswer(result);
        case "granted":
        case "other-body":
        case "expired":
        case "not-dated":
            return { outcome: result.outcome };
        default:
            return { outcome: "unavailable" };
    }
}

function recordedAnswer({ record }: Extract<ClaimResult, { outcome: "exists" }>): ClaimAnswer {
    if (record.state !== "delivered") {
        return { outcome: record.state };
    }
    const headers = record.contentType === undefined ? [] : [{ name: "content-type", value: record.contentType }];
    const body = record.body === undefined ? undefined : Buffer.from(record.body, "base64");
    return { outcome: "delivered", head: { status: record.status ?? 200, headers }, body };
}

/** Creates the claim of one request. Proposes nothing until `acquire` is called. */
export function createRequestClaim(params: ClaimParams, propose: Propose): RequestClaim {
    const { organisation, key, owner, settleMs, replayable } = params;

    /** Retries the proposal until it is applied or the attempts run out. Both commands are safe to repeat. */
    async function proposeUntilApplied(command: Command, maxAttempts: number): Promise<ClaimResult | undefined> {
        for (let attemptsLeft = maxAttempts; attemptsLeft > 0; attemptsLeft--) {
            const proposal = await propose(command, proposeTimeoutMs).catch(() => undefined);
            if (proposal?.outcome === "applied") {
                return proposal.result as ClaimResult;
            }
            await sleep(retryDelayMs);
        }
        return undefined;
    }

    async function proposeOutcome(outcome: Partial<FinishClaim> & Pick<FinishClaim, "outcome">) {
        await proposeUntilApplied({ kind: "finish-claim", organisation, key, owner, atMs: Date.now(), ...outcome }, maxFinishAttempts);
    }

    return {
        async acquire() {
            if (keyTimeMs(key) === undefined) {
                return { outcome: "not-dated" };
            }
            const bodyHash = createHash("sha256").update(params.hashedContent).digest("hex");
            const result = await proposeUntilApplied(
                { kind: "claim", organisation, key, bodyHash, owner, settleMs, atMs: Date.now() }, maxClaimAttempts,
            );
            return result === undefined ? { outcome: "unavailable" } : toClaimAnswer(result);
        },
        finish: outcome => proposeOutcome({ outcome }),
        deliver(head, chunks) {
            const contentType = head.headers.find(header => header.name === "content-type")?.value;
            const fits = chunks.bytes * charsPerBase64Group / bytesPerBase64Group <= maxRecordBodyChars - charsPerBase64Group;
            const body = replayable && fits ? Buffer.concat(chunksOf(chunks)).toString("base64") : undefined;
            return proposeOutcome({ outcome: "delivered", status: head.status, contentType, body });
        },
    };
}
