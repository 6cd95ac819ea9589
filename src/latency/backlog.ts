/**
 * The prompt tokens that this entry has sent to a group and that the group can't have read yet. Heads report requests but not tokens, so a
 * burst of long prompts would otherwise be seen only by its late first events.
 *
 * @module
 */

import { decodeMs, type ModelCosts } from "./firstEvent.js";

/** Unread tokens at a time. */
export interface Backlog {
    readonly tokens: number;
    readonly atMs: number;
}

export const emptyBacklog: Backlog = { tokens: 0, atMs: 0 };

/** The prompt tokens that a group with `requests` requests reads per ms if enough of them wait. */
function readTokensPerMs(costs: ModelCosts, requests: number): number {
    const { promptTokensPerPass, readMsPerToken } = costs;
    const perTokenMs = promptTokensPerPass === Infinity ? 0 : decodeMs(costs, requests) / promptTokensPerPass;
    return 1 / (perTokenMs + readMsPerToken);
}

/** Returns the tokens of the backlog that are unread at `nowMs`. `factor`: the speed factor of the group. */
export function unreadTokens(backlog: Backlog, costs: ModelCosts, requests: number, factor: number, nowMs: number): number {
    if (backlog.tokens === 0) {
        return 0;
    }
    return Math.max(0, backlog.tokens - (nowMs - backlog.atMs) * readTokensPerMs(costs, requests) / factor);
}
