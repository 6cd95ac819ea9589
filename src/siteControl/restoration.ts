/**
 * Decides which remembered upstreams a restarted control daemon asks, and which of them count as heard by their answer.
 *
 * @module
 */

import { type Announcement, announcementSchema, type GroupMembership, type UpstreamSignals } from "../fleet/index.js";
import type { SiteService } from "../site/index.js";
import type { UpstreamHint } from "./upstreamHints.js";

/** The answer of an upstream that was asked about itself. */
export type InquiryAnswer =
    /** An engine states the incarnation that answers, and its own state. */
    | { readonly kind: "report"; readonly report: EngineReport; readonly signals: UpstreamSignals }
    /** A plain service is healthy; it doesn't state its incarnation. */
    | { readonly kind: "healthy"; readonly id: string | undefined; readonly signals: UpstreamSignals }
    /** No answer, an answer of another upstream or incarnation, or one that can't be read. */
    | { readonly kind: "unusable"; readonly reason: string; readonly signals?: UpstreamSignals | undefined };

/** What an engine reports about itself. */
export interface EngineReport {
    /** When this incarnation started, Unix time in ms. */
    readonly bornMs: number;
    readonly domain: string | undefined;
    readonly stagedModels: readonly string[];
    readonly group: GroupMembership | undefined;
    /** Number of orders that this incarnation has accepted; undefined if it doesn't state that. */
    readonly revision?: number | undefined;
}

/** Asks upstreams about themselves. */
export interface UpstreamInquirer {
    /** Asks an engine for its report or, if `healthPath` is given, a plain service for its health. Never rejects. */
    inquire(upstream: Pick<UpstreamHint, "id" | "address">, healthPath: string | undefined): Promise<InquiryAnswer>;
}

export type RestorationDecision = { readonly announcement: Announcement } | { readonly reason: string };

/** What a restarted daemon knows beside the remembered upstream. */
export interface RestorationContext {
    /** The upstream's service in the site in force; undefined if the site doesn't have it. */
    readonly service: SiteService | undefined;
    readonly evacuatedDataCentres: readonly string[];
    readonly nowUnixMs: number;
}

/** The `bornMs` of upstreams that don't state when they started. */
const unknownBornMs = 0;

/** Returns why a remembered upstream is not asked and so waits for its heartbeat; undefined if it may be asked. */
export function reasonNotToAsk(hint: UpstreamHint, context: RestorationContext): string | undefined {
    if (context.service === undefined) {
        return "unknown service";
    }
    if (hint.state === "draining") {
        return "draining";
    }
    if (context.evacuatedDataCentres.includes(hint.dataCentre)) {
        return "evacuated";
    }
    if (hint.bornMs === unknownBornMs) {
        return "unknown incarnation";
    }
    return hint.coldUntilUnixMs > context.nowUnixMs ? "cold" : undefined;
}

function isColdRateLimited({ coldMs, coldRequestsPerSecond }: SiteService): boolean {
    return coldMs > 0 && coldRequestsPerSecond > 0;
}

/**
 * Returns the announcement that the answer stands for, with the remembered sequence number, so that each later heartbeat supersedes it.
 *
 * A plain service doesn't state its incarnation. If its upstreams are limited while they are cold, it may have restarted and be cold, so it
 * is used only if its answer states that it is not.
 */
export function decideRestoration(hint: UpstreamHint, answer: InquiryAnswer, context: RestorationContext): RestorationDecision {
    // The state may have changed while the upstream was asked.
    const reason = reasonNotToAsk(hint, context);
    if (reason !== undefined) {
        return { reason };
    }
    if (answer.kind === "unusable") {
        return { reason: answer.reason };
    }
    const { signals } = answer;
    if (signals.isLeaving) {
        return { reason: "leaving" };
    }
    if (signals.pushbackMs !== undefined) {
        return { reason: "pushed back" };
    }
    if ((signals.coldForMs ?? 0) > 0) {
        return { reason: "cold" };
    }
    if (answer.kind === "healthy") {
        if (answer.id !== hint.id) {
            return { reason: "another upstream" };
        }
        const isUnknown = isColdRateLimited(context.service!) && signals.coldForMs === undefined;
        return isUnknown ? { reason: "unknown incarnation" } : toDecision(hint, { domain: hint.domain, stagedModels: [], group: undefined });
    }
    const { bornMs, domain = hint.domain, stagedModels, group } = answer.report;
    return bornMs === hint.bornMs ? toDecision(hint, { domain, stagedModels, group }) : { reason: "another incarnation" };
}

/** Checks the values that the upstream has stated: one that is out of range would make entries reject the frame that relays it. */
function toDecision(hint: UpstreamHint, stated: Omit<EngineReport, "bornMs" | "revision">): RestorationDecision {
    const { id, service, address, dataCentre, bornMs, sequence, state, slots } = hint;
    const remembered = { id, service, address, dataCentre, bornMs, sequence, state, slots };
    const announcement = announcementSchema.safeParse({ ...remembered, coldForMs: 0, ...stated });
    return announcement.success ? { announcement: announcement.data } : { reason: "unreadable report" };
}
