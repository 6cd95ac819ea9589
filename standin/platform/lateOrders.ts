/**
 * Carries out orders late, each after another delay than the last, so that newer ones overtake them.
 *
 * @module
 */

const [delayStepMs, delaySpreadMs] = [3_700, 10_000];
let lateOrders = 0;

/** Carries out an order `leastMs` later or more, unless the process that received it has ended by then: unless `bornMs` has changed. */
export function carryOutLate(leastMs: number, bornMs: () => number, carryOut: () => void): void {
    const bornAtReceiptMs = bornMs();
    const furtherMs = lateOrders++ * delayStepMs % delaySpreadMs;
    setTimeout(() => bornMs() === bornAtReceiptMs && carryOut(), leastMs + furtherMs).unref();
}
