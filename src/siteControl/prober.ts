/**
 * Finds out which upstreams are still there. Heartbeats alone tell late: they come about every 1.2 s and may be seconds on their way, and
 * one that crashes says nothing. An upstream that is overdue, or that entries suspect, is asked directly.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";

/**
 * What a direct question to an upstream gave. `refused`: nothing seems to listen at its address. What an answer says of
 * groups is not used: it lags behind, and an old one taken for new would free a VM whose group has just opened.
 */
export type ProbeResult = "answered" | "refused" | "silent";

export interface ProberOptions {
    probe(upstream: Upstream): Promise<ProbeResult>;
    /** Takes every answer, for the log. */
    judged(upstream: Upstream, result: ProbeResult): void;
    nowMs(): number;
}

/** One heartbeat and a half without news: by then the next one is overdue also with its usual spread. */
const overdueMs = 1_900;
/** Delay before a silent upstream is asked again; doubles with each further unanswered probe. A new heartbeat triggers a probe at once. */
const againMs = 1_000;
const maxAgainMs = 8_000;
/** Questions in a row without an answer before an upstream counts as lost: a single packet may be lost. */
const silentProbes = 2;

interface Asked {
    readonly bornMs: number;
    atMs: number;
    silent: number;
    isAsking: boolean;
    result: "silent" | "refusing" | undefined;
    /** When the upstream was last found lost; meaningful only while `result` is set. */
    lostSinceMs: number;
}

export interface Prober {
    /** Asks those that are due. */
    look(upstreams: Iterable<Upstream>): void;
    /** Asks about these at once. */
    suspect(ids: readonly string[]): void;
    isLost(id: string): boolean;
    isRefusing(id: string): boolean;
    /** When the upstream was found lost; undefined if it is not lost. */
    lostSinceMs(id: string): number | undefined;
    readonly lostIds: readonly string[];
    forget(): void;
}

/**
 * Creates a prober that has asked nobody yet. One that counts as lost does so until it answers or starts again: taken back for a late
 * heartbeat, it would be put into the very group that its loss has broken, which could not come together.
 */
export function createProber(options: ProberOptions): Prober {
    const asked = new Map<string, Asked>();
    const suspects = new Set<string>();

    async function ask(upstream: Upstream, memory: Asked) {
        memory.isAsking = true;
        memory.atMs = options.nowMs();
        const result = await options.probe(upstream);
        const wasLost = memory.result !== undefined;
        memory.isAsking = false;
        if (result === "answered") {
            memory.silent = 0;
            memory.result = undefined;
        }
        else if (result === "refused") {
            memory.result = "refusing";
        }
        else {
            memory.silent++;
            memory.result = memory.silent >= silentProbes ? "silent" : memory.result;
        }
        if (!wasLost && memory.result !== undefined) {
            memory.lostSinceMs = options.nowMs();
        }
        options.judged(upstream, result);
    }

    function retryDelayMs({ silent }: Asked): number {
        return Math.min(maxAgainMs, againMs * 2 ** Math.max(0, silent - silentProbes));
    }

    function memoryOf(upstream: Upstream): Asked {
        const known = asked.get(upstream.id);
        if (known !== undefined && known.bornMs === upstream.bornMs) {
            return known;
        }
        const fresh: Asked = {
            bornMs: upstream.bornMs, atMs: Number.NEGATIVE_INFINITY, silent: 0, isAsking: false, result: undefined, lostSinceMs: 0,
        };
        asked.set(upstream.id, fresh);
        return fresh;
    }

    return {
        look(upstreams) {
            const nowMs = options.nowMs();
            for (const upstream of upstreams) {
                const memory = memoryOf(upstream);
                const isOverdue = nowMs - upstream.heardAtMs > overdueMs || memory.result !== undefined;
                const isDoubted = suspects.has(upstream.id) || (memory.silent > 0 && memory.result === undefined);
                // A heartbeat may have been seconds on its way, so one that is lost is asked again rather than believed.
                const isHeardAgain = memory.result !== undefined && upstream.heardAtMs > memory.atMs;
                const isDue = isDoubted || isHeardAgain || (isOverdue && nowMs - memory.atMs > retryDelayMs(memory));
                if (isDue && !memory.isAsking) {
                    void ask(upstream, memory);
                }
            }
            suspects.clear();
        },
        suspect(ids) {
            ids.forEach(id => suspects.add(id));
        },
        isLost: id => asked.get(id)?.result !== undefined,
        isRefusing: id => asked.get(id)?.result === "refusing",
        lostSinceMs(id) {
            const memory = asked.get(id);
            return memory?.result === undefined ? undefined : memory.lostSinceMs;
        },
        get lostIds() {
            return [...asked].filter(([, memory]) => memory.result !== undefined).map(([id]) => id);
        },
        forget() {
            asked.clear();
            suspects.clear();
        },
    };
}
