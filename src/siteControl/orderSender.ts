/**
 * Sends planned orders to engines. An order to join a group names the revision at which the engine is as planned. Where this process
 * doesn't know it, the engine's state is read first, and the order is sent only if the engine is as planned.
 *
 * @module
 */

import type { Upstream, UpstreamSignals } from "../fleet/index.js";
import { type AddressedOrder, createRevisions, isAsPlanned, type UnansweredOrders } from "../groups/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import type { EngineClient } from "./groupLeader.js";
import type { EngineReport, UpstreamInquirer } from "./restoration.js";

export interface OrderSenderOptions {
    readonly engines: Pick<EngineClient, "order"> & UpstreamInquirer;
    readonly unansweredOrders: Pick<UnansweredOrders, "recordSent">;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    nowMs(): number;
    recordSignals(upstream: Upstream, signals: UpstreamSignals | undefined): void;
}

/** What the sender asks of the plan that an order belongs to, and tells it. */
export interface OrderPlan {
    /** Whether the order is still to be sent, after the engine's state has been read. */
    isWanted(): boolean;
    /** The order was not sent or has no effect, since the engine was not as planned or its state could not be read. */
    onVoid(): void;
}

export interface OrderSender {
    /** Sends an order to an upstream, as it was when the order was planned. */
    send(upstream: Upstream, order: AddressedOrder, plan: OrderPlan): void;
}

/** Creates a sender of orders. */
export function createOrderSender(options: OrderSenderOptions): OrderSender {
    const { engines, unansweredOrders, logger, metrics, nowMs } = options;
    const revisions = createRevisions();

    function post(upstream: Upstream, { order, reason }: AddressedOrder, plan: OrderPlan, expectedRevision?: number) {
        const sentAtMs = nowMs();
        const fields = { upstream: upstream.id, order, reason };
        const onAnswered = unansweredOrders.recordSent(upstream.id, upstream.bornMs, order, expectedRevision);
        const onAccepted = revisions.recordSent(upstream.id, order);
        engines.order(upstream, order, expectedRevision).then(({ outcome, signals }) => {
            onAnswered();
            options.recordSignals(upstream, signals);
            metrics.recordOrder(order.kind, outcome.slice(0, 3));
            logger.info("order answered", { ...fields, outcome, tookMs: Math.round(nowMs() - sentAtMs) });
            if (outcome.startsWith("202")) {
                onAccepted();
            }
            if (expectedRevision !== undefined && outcome.startsWith("409")) {
                revisions.forget(upstream.id);
                plan.onVoid();
            }
        }, (error: Error) => {
            metrics.recordOrder(order.kind, "none");
            logger.warn("order was not answered", { ...fields, error: error.message });
        });
    }

    /** Returns what the engine reports; undefined if it doesn't answer or can't be read. */
    async function readReport(upstream: Upstream): Promise<EngineReport | undefined> {
        const answer = await engines.inquire(upstream, undefined);
        options.recordSignals(upstream, answer.signals);
        return answer.kind === "report" ? answer.report : undefined;
    }

    async function sendJoin(upstream: Upstream, item: AddressedOrder, plan: OrderPlan) {
        const revision = revisions.revisionOf(upstream);
        if (revision !== undefined) {
            post(upstream, item, plan, revision);
            return;
        }
        const report = await readReport(upstream);
        if (!plan.isWanted()) {
            return;
        }
        if (report !== undefined && isAsPlanned(upstream, report)) {
            revisions.recordState(upstream.id, report);
            post(upstream, item, plan, report.revision);
            return;
        }
        logger.info("order was not sent", { upstream: upstream.id, order: item.order, report });
        plan.onVoid();
    }

    return {
        send(upstream, item, plan) {
            if (item.order.kind === "join") {
                void sendJoin(upstream, item, plan);
                return;
            }
            post(upstream, item, plan);
        },
    };
}
