/**
 * The orders to join and to open groups that engines have not answered. An engine may carry out such an order seconds later and after newer
 * ones. So an engine that has left a group may be in it again, and serve if it is the head. Other orders do no harm late.
 *
 * @module
 */

import type { EngineOrder } from "./types.js";

/** An order without an answer is not carried out later than this. */
const maxOrderDelayMs = 15_000;
/** How long an order is remembered: an engine that was cut off for so long may report what it held before the order was carried out. */
const retentionMs = 600_000;

interface SentOrder {
    readonly bornMs: number;
    readonly order: Extract<EngineOrder, { kind: "join" | "open" }>;
    readonly sentAtMs: number;
}

export interface UnansweredOrders {
    /** Records an order when it is sent. Returns the function to call once the engine has answered it. */
    recordSent(upstreamId: string, bornMs: number, order: EngineOrder): () => void;
    /** Until when a process may still carry out an order of this kind for the group; undefined if it has answered all of them. */
    mayRunUntilMs(kind: "join" | "open", upstreamId: string, bornMs: number, group: string): number | undefined;
    /** Whether a process may still carry out an order to join a group of a later epoch. */
    mayJoinAfter(upstreamId: string, bornMs: number, epoch: number): boolean;
}

export function createUnansweredOrders(nowMs: () => number): UnansweredOrders {
    const ordersById = new Map<string, Set<SentOrder>>();

    function removeForgotten() {
        for (const [id, sent] of ordersById) {
            sent.forEach(item => nowMs() - item.sentAtMs > retentionMs && sent.delete(item));
            if (sent.size === 0) {
                ordersById.delete(id);
            }
        }
    }

    function ordersOf(upstreamId: string, bornMs: number): SentOrder[] {
        return [...ordersById.get(upstreamId) ?? []].filter(item => item.bornMs === bornMs);
    }

    return {
        recordSent(upstreamId, bornMs, order) {
            if (order.kind !== "join" && order.kind !== "open") {
                return () => undefined;
            }
            removeForgotten();
            const item: SentOrder = { bornMs, order, sentAtMs: nowMs() };
            const sent = ordersById.get(upstreamId) ?? new Set();
            ordersById.set(upstreamId, sent.add(item));
            return () => void sent.delete(item);
        },
        mayRunUntilMs(kind, upstreamId, bornMs, group) {
            const sent = ordersOf(upstreamId, bornMs).filter(({ order }) => order.kind === kind && order.group === group);
            return sent.length === 0 ? undefined : Math.max(...sent.map(({ sentAtMs }) => sentAtMs)) + maxOrderDelayMs;
        },
        mayJoinAfter: (upstreamId, bornMs, epoch) => ordersOf(upstreamId, bornMs).some(({ order, sentAtMs }) =>
            order.kind === "join" && order.epoch > epoch && nowMs() - sentAtMs <= maxOrderDelayMs),
    };
}
