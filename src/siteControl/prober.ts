/**
 * Detects upstreams that no longer respond. Heartbeats alone detect a failure late: they may be delayed by seconds, and an
 * upstream that crashes sends no message. Therefore the leader directly probes each upstream whose heartbeat is overdue or
 * that entries suspect.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";

/**
 * The result of a probe. `refused`: nothing seems to listen at the upstream's address. The group state in an answer is not used because it
 * lags behind: an outdated answer would free a VM whose group has just opened.
 */
export type ProbeResult = "answered" | "refused" | "silent";

export interface ProberOptions {
    probe(upstream: Upstream): Promise<ProbeResult>;
    /** Called with the result of every probe. */
    onResult(upstream: Upstream, result: ProbeResult): void;
    nowMs(): number;
    /** The interval at which upstreams announce themselves. */
    readonly heartbeatMs: number;
}

/** After this many intervals, the next heartbeat is overdue even with the usual jitter. */
const overdueIntervals = 1.6;
/** Delay before a silent upstream is probed again; doubles with each further unanswered probe. A new heartbeat triggers a probe at once. */
const minRetryDelayMs = 1_000;
const maxRetryDelayMs = 8_000;
/** Consecutive unanswered probes after which an upstream counts as lost. One is not enough since a single packet may be dropped. */
const unansweredProbesUntilLost = 2;

interface ProbeState {
    readonly bornMs: number;
    lastProbeAtMs: number;
    unansweredProbes: number;
    isProbing: boolean;
    result: "silent" | "refusing" | undefined;
    /** When the upstream was last found lost; meaningful only while `result` is set. */
    lostSinceMs: number;
}

export interface Prober {
    /** Probes the upstreams that are due. */
    probeDue(upstreams: Iterable<Upstream>): void;
    /** Makes the upstreams due at the next call of `probeDue`. */
    markSuspect(ids: readonly string[]): void;
    isLost(id: string): boolean;
    isRefusing(id: string): boolean;
    /** When the upstream was found lost; undefined if it is not lost. */
    lostSinceMs(id: string): number | undefined;
    readonly lostIds: readonly string[];
    reset(): void;
}

/**
 * Creates a prober without any results. A lost upstream remains lost until it answers a probe or restarts: if a delayed heartbeat were
 * enough, the upstream would be assigned to the group that is formed because of its loss, and that group could not form.
 */
export function createProber(options: ProberOptions): Prober {
    const states = new Map<string, ProbeState>();
    const suspects = new Set<string>();

    async function probe(upstream: Upstream, state: ProbeState) {
        state.isProbing = true;
        state.lastProbeAtMs = options.nowMs();
        // A probe that fails says no more than one that gets no answer.
        const result = await options.probe(upstream).catch(() => "silent" as const);
        const wasLost = state.result !== undefined;
        state.isProbing = false;
        if (result === "answered") {
            state.unansweredProbes = 0;
            state.result = undefined;
        }
        else if (result === "refused") {
            state.result = "refusing";
        }
        else {
            state.unansweredProbes++;
            state.result = state.unansweredProbes >= unansweredProbesUntilLost ? "silent" : state.result;
        }
        if (!wasLost && state.result !== undefined) {
            state.lostSinceMs = options.nowMs();
        }
        options.onResult(upstream, result);
    }

    function retryDelayMs({ unansweredProbes }: ProbeState): number {
        return Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** Math.max(0, unansweredProbes - unansweredProbesUntilLost));
    }

    function stateOf(upstream: Upstream): ProbeState {
        const known = states.get(upstream.id);
        if (known !== undefined && known.bornMs === upstream.bornMs) {
            return known;
        }
        const created: ProbeState = {
            bornMs: upstream.bornMs, lastProbeAtMs: Number.NEGATIVE_INFINITY, unansweredProbes: 0, isProbing: false, result: undefined,
            lostSinceMs: 0,
        };
        states.set(upstream.id, created);
        return created;
    }

    return {
        probeDue(upstreams) {
            const nowMs = options.nowMs();
            for (const upstream of upstreams) {
                const state = stateOf(upstream);
                const isOverdue = nowMs - upstream.heardAtMs > overdueIntervals * options.heartbeatMs || state.result !== undefined;
                const isSuspected = suspects.has(upstream.id) || (state.unansweredProbes > 0 && state.result === undefined);
                // A heartbeat may be delayed by seconds, so it only triggers a new probe of a lost upstream.
                const hasNewHeartbeat = state.result !== undefined && upstream.heardAtMs > state.lastProbeAtMs;
                const isDue = isSuspected || hasNewHeartbeat || (isOverdue && nowMs - state.lastProbeAtMs > retryDelayMs(state));
                if (isDue && !state.isProbing) {
                    void probe(upstream, state);
                }
            }
            suspects.clear();
        },
        markSuspect(ids) {
            ids.forEach(id => suspects.add(id));
        },
        isLost: id => states.get(id)?.result !== undefined,
        isRefusing: id => states.get(id)?.result === "refusing",
        lostSinceMs(id) {
            const state = states.get(id);
            return state?.result === undefined ? undefined : state.lostSinceMs;
        },
        get lostIds() {
            return [...states].filter(([, state]) => state.result !== undefined).map(([id]) => id);
        },
        reset() {
            states.clear();
            suspects.clear();
        },
    };
}
