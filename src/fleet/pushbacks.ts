/**
 * Server pushback: an upstream that turns a request away may state for how long it wants no requests from this VM. The functions are pure;
 * each process keeps the pushbacks that its own VM has received.
 *
 * @module
 */

/** The times until which upstreams want no requests, by upstream id. */
export type PushbackState = ReadonlyMap<string, number>;

/** Returns how much longer an upstream wants no requests, in ms; 0 if it accepts them. */
export function pushbackLeftMs(state: PushbackState, upstreamId: string, nowMs: number): number {
    return Math.max(0, (state.get(upstreamId) ?? 0) - nowMs);
}

/** Records a pushback of `forMs`. It never shortens an earlier one that lasts longer. Expired pushbacks are removed. */
export function recordPushback(state: PushbackState, upstreamId: string, forMs: number, nowMs: number): PushbackState {
    const current = [...state].filter(([, untilMs]) => untilMs > nowMs);
    const untilMs = Math.max(state.get(upstreamId) ?? 0, nowMs + forMs);
    return new Map(current).set(upstreamId, untilMs);
}
