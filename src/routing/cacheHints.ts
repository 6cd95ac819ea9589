/**
 * Hints about which upstream has which prompt prefix in its cache. Cache events arrive late and with gaps, so a hint may improve a choice
 * but never decides it alone. A gap in the sequence numbers of an upstream drops all of its hints: a removal may have been lost, and the
 * entry would keep preferring the upstream for a prefix that it no longer holds.
 *
 * @module
 */

/** An event from the cache feed of an upstream. */
export interface CacheEvent {
    readonly upstreamId: string;
    /** Contiguous per upstream, except where events were lost. */
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    readonly prefixKey: string;
}

interface UpstreamHints {
    readonly sequence: number;
    /** The time at which each prefix was stored, oldest first. */
    readonly storedAtMs: ReadonlyMap<string, number>;
}

export type CacheHints = ReadonlyMap<string, UpstreamHints>;

export const emptyCacheHints: CacheHints = new Map();

const maxPrefixes = 512;
/** A prefix without an event for this long has probably been evicted, and the removal event lost. */
const hintTtlMs = 120_000;

/** Applies one event. An event with an old sequence number is ignored; a gap drops all earlier hints of the upstream. */
export function applyCacheEvent(hints: CacheHints, event: CacheEvent, nowMs: number): CacheHints {
    const previous = hints.get(event.upstreamId);
    if (previous !== undefined && event.sequence <= previous.sequence) {
        return hints;
    }
    const hasGap = previous !== undefined && event.sequence !== previous.sequence + 1;
    const storedAtMs = new Map(hasGap ? [] : previous?.storedAtMs ?? []);
    storedAtMs.delete(event.prefixKey);
    if (event.kind === "stored") {
        storedAtMs.set(event.prefixKey, nowMs);
    }
    if (storedAtMs.size > maxPrefixes) {
        storedAtMs.delete(storedAtMs.keys().next().value!);
    }
    return new Map(hints).set(event.upstreamId, { sequence: event.sequence, storedAtMs });
}

/** Removes the hints of one upstream. */
export function removeUpstreamHints(hints: CacheHints, upstreamId: string): CacheHints {
    if (!hints.has(upstreamId)) {
        return hints;
    }
    const rest = new Map(hints);
    rest.delete(upstreamId);
    return rest;
}

/** Returns whether an unexpired hint says that the upstream holds the prefix. */
export function isHinted(hints: CacheHints, upstreamId: string, prefixKey: string, nowMs: number): boolean {
    const storedAtMs = hints.get(upstreamId)?.storedAtMs.get(prefixKey);
    return storedAtMs !== undefined && nowMs - storedAtMs < hintTtlMs;
}
