/**
 * Types of the model of engines that carry out orders late.
 *
 * @module
 */

import type { GroupMembership } from "../../src/fleet/index.js";
import type { EngineSpec } from "../../src/site/index.js";

export interface LateEnginesOptions {
    readonly seed: number;
    readonly engine: EngineSpec;
    /** VMs by domain. */
    readonly domains: Readonly<Record<string, number>>;
    /** The share of orders that get no answer; they are carried out late, at once and late, at once, or never. */
    readonly unansweredShare: number;
    /** Mean times between disruptions of each kind; unset for none. */
    readonly crashEveryMs?: number;
    readonly cutEveryMs?: number;
    readonly newLeaderEveryMs?: number;
    readonly evacuationEveryMs?: number;
}

/** One simulated engine. */
export interface LateEngine {
    readonly id: string;
    readonly domain: string;
    readonly address: string;
    bornMs: number;
    isRunning: boolean;
    returnsAtMs: number;
    /** Whether the leader reaches it, and it the leader; callers and other engines always do. */
    cutUntilMs: number;
    membership: (GroupMembership & { readonly memberIds: readonly string[]; readonly model: string; changesAtMs: number }) | undefined;
    highestEpoch: number;
    lastModel: string | undefined;
    stagedModels: readonly string[];
    sequence: number;
    nextReportMs: number;
    stillSinceMs: number | undefined;
    /** Number of orders that this life has accepted. */
    revision: number;
}

/** Something that happens at a time. */
export interface Delivery {
    readonly atMs: number;
    readonly run: () => void;
}

export interface LateEngines {
    run(forMs: number): void;
    /** What must not happen and did. */
    readonly broken: readonly string[];
    /** How often engines have opened a group, by model. */
    readonly openings: ReadonlyMap<string, number>;
    readonly openGroups: readonly string[];
}
