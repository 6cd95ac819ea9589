/**
 * The orders to join groups that engines have not answered. An engine may carry out such an order seconds later and after newer ones; if it
 * names the engine's revision, at most once and not after any other order. Other kinds of orders do no harm late: an engine that has left a
 * group can't be in it again without a join.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { EngineOrder } from "./types.js";

/** An order without an answer is not carried out later than this. */
const maxOrderDelayMs = 15_000;
/** How long an order is remembered: an engine that was cut off for so long may report what it held before the order was carried out. */
const retentionMs = 600_000;

interface SentJoin {
    readonly bornMs: number;
    readonly order: Extract<EngineOrder, { kind: "join" }>;
    readonly namesRevision: boolean;
    readonly sentAtMs: number;
}

export interface UnansweredOrders {
    /**
     * Records an order when it is sent, with the revision that it names, if any. Returns the function to call once the engine has answered
     * it.
     */
    recordSent(upstreamId: string, bornMs: number, order: EngineOrder, expectedRevision: number | undefined): () => void;
    /** Records the group that an engine reports: it has carried out an order to join it and refuses the others that name a revision. */
    recordReported(upstream: Upstream): void;
    /** Until when a process may still carry out an order to join the group; undefined if it has answered or refuses all of them. */
    mayJoinUntilMs(upstreamId: string, bornMs: number, group: string): number | undefined;
    /** Whether a process may still carry out an order to join a group of a later epoch. */
    mayJoinAfter(upstreamId: string, bornMs: number, epoch: number): boolean;
}

export function createUnansweredOrders(nowMs: () => number): UnansweredOrders {
    const joinsById = new Map<string, Set<SentJoin>>();

    function removeForgotten() {
        for (const [id, sent] of joinsById) {
            sent.forEach(item => nowMs() - item.sentAtMs > retentionMs && sent.delete(item));
            if (sent.size === 0) {
                joinsById.delete(id);
            }
        }
    }

    function joinsOf(upstreamId: string, bornMs: number): SentJoin[] {
        return [...joinsById.get(upstreamId) ?? []].filter(item => item.bornMs === bornMs);
    }

    return {
        recordSent(upstreamId, bornMs, order, expectedRevision) {
            if (order.kind !== "join") {
                return () => undefined;
            }
            removeForgotten();
            const item: SentJoin = { bornMs, order, namesRevision: expectedRevision !== undefined, sentAtMs: nowMs() };
            const sent = joinsById.get(upstreamId) ?? new Set();
            joinsById.set(upstreamId, sent.add(item));
            return () => void sent.delete(item);
        },
        recordReported({ id, bornMs, group }) {
            const sent = joinsById.get(id);
            sent?.forEach(item => item.bornMs === bornMs && item.namesRevision && item.order.group === group?.name && sent.delete(item));
        },
        mayJoinUntilMs(upstreamId, bornMs, group) {
            const sent = joinsOf(upstreamId, bornMs).filter(({ order }) => order.group === group);
            return sent.length === 0 ? undefined : Math.max(...sent.map(({ sentAtMs }) => sentAtMs)) + maxOrderDelayMs;
        },
        mayJoinAfter: (upstreamId, bornMs, epoch) => joinsOf(upstreamId, bornMs).some(({ order, sentAtMs }) =>
            order.epoch > epoch && nowMs() - sentAtMs <= maxOrderDelayMs),
    };
}
