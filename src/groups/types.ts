/**
 * Types for planning groups of engines on the control leader, and the orders that it sends to engines.
 *
 * @module
 */

import type { EngineSpec } from "../site/index.js";
import type { Upstream } from "../fleet/index.js";
import type { UnansweredOrders } from "./unansweredOrders.js";

/** An order to one engine. All but `stage` name a group and its epoch and affect no other group. */
export type EngineOrder =
    | { readonly kind: "join"; readonly group: string; readonly epoch: number; readonly model: string; readonly memberIds: readonly string[] }
    | { readonly kind: "open"; readonly group: string; readonly epoch: number }
    /** `running`: whether running requests are finished first or stopped. */
    | { readonly kind: "close"; readonly group: string; readonly epoch: number; readonly running: "finish" | "stop" }
    | { readonly kind: "leave"; readonly group: string; readonly epoch: number }
    /** Loads the model's weights onto the VM without disturbing what runs there. */
    | { readonly kind: "stage"; readonly model: string };

/**
 * `forming`: members are joining, the head is not open yet. `open`: the head has been ordered to open. `ending`: the head is being closed;
 * the members become free once it no longer serves.
 */
export type GroupPhase = "forming" | "open" | "ending";

export interface PlannedGroup {
    readonly name: string;
    readonly epoch: number;
    readonly model: string;
    readonly domain: string;
    /** By rank, the head first. The empty string stands for a member that has been released or that is unknown to the leader. */
    readonly memberIds: readonly string[];
    /** Start times of the member processes, by rank. A member that has restarted holds nothing of the group. */
    readonly bornMs: readonly number[];
    readonly phase: GroupPhase;
    readonly sinceMs: number;
    /** Whether running requests are finished before the group ends. */
    readonly isGraceful: boolean;
}

/** An order that was sent and may not have taken effect yet. */
export interface SentOrder {
    readonly serializedOrder: string;
    readonly atMs: number;
}

/** A load of a model's weights that was ordered. */
export interface PendingLoad {
    readonly model: string;
    readonly bornMs: number;
    readonly atMs: number;
}

/** An order to a spare to join a standby group of its own, which keeps its model's weights on the accelerator. */
export interface StandbyJoin {
    readonly model: string;
    readonly bornMs: number;
    readonly atMs: number;
}

/** Reserves the free VMs of a domain for one more group of a model. */
export interface Reservation {
    readonly model: string;
    readonly untilMs: number;
}

export interface GroupsState {
    readonly groups: ReadonlyMap<string, PlannedGroup>;
    /** The epoch of the group formed last. */
    readonly lastEpoch: number;
    /** The last order to each upstream, by id. */
    readonly lastOrders: ReadonlyMap<string, SentOrder>;
    /** The model of the last group of each process, by upstream id: its weights are still on the accelerator, so joining again is quick. */
    readonly lastModels: ReadonlyMap<string, { readonly bornMs: number; readonly model: string }>;
    /** Loads from the weight store that are in progress, by upstream id. The VM may be serving meanwhile. */
    readonly pendingLoads: ReadonlyMap<string, PendingLoad>;
    /** Orders to spares to join a standby group, by upstream id. */
    readonly standbyJoins: ReadonlyMap<string, StandbyJoin>;
    /** The model for which breaking up other groups is worthwhile, and since when; undefined while there is none. */
    readonly shortSince: { readonly model: string; readonly atMs: number } | undefined;
    /** Reservations by domain, made when groups there are broken up for a model. */
    readonly reservations: ReadonlyMap<string, Reservation>;
    /** By domain: its usable VMs in the last step, and when their number last grew. */
    readonly arrivals: ReadonlyMap<string, { readonly usableVms: number; readonly grownAtMs: number }>;
    /** The last groups that this leader has seen end. Members that still report one of them are free while its head does not. */
    readonly endedGroupNames: readonly string[];
}

export interface GroupsView {
    readonly nowMs: number;
    /** When this process became the leader. */
    readonly leadsSinceMs: number;
    /** The interval at which upstreams announce themselves. */
    readonly heartbeatMs: number;
    readonly engine: EngineSpec;
    /** All running upstreams of the service, by id. */
    readonly upstreams: ReadonlyMap<string, Upstream>;
    /** Whether an upstream does not answer this leader. Includes upstreams whose address refuses connections. */
    readonly isLost: (id: string) => boolean;
    /** Whether connections to an upstream's address are refused. */
    readonly isRefusing: (id: string) => boolean;
    /** Whether an upstream wants no requests from this VM for now. Orders to it are held back. */
    readonly hasPushedBack: (id: string) => boolean;
    /** Whether an upstream's process has certainly ended: it is unknown, or another process or upstream has replaced it. */
    readonly hasIncarnationEnded: (id: string) => boolean;
    /** The joins that this leader has ordered and engines have not answered. */
    readonly unansweredOrders: Pick<UnansweredOrders, "mayJoinUntilMs" | "mayJoinAfter">;
    /** Whether requests at this head still make progress, which requires every member, although this leader can't reach member `lostId`. */
    readonly isMakingProgress: (headId: string, lostId: string) => boolean;
    /** Data centres that are being evacuated. */
    readonly evacuatedDataCentres: readonly string[];
    /** Number of VMs that callers' requests keep busy, by model. */
    readonly demand: ReadonlyMap<string, number>;
    /**
     * Whether the rules for a shortage of capacity apply: spares are given up, weights are chosen and moves are valued for a short model by
     * forecast demand. Without it, `forecastDemand` is not used.
     */
    readonly plansForShortage: boolean;
    /** Returns what `demand` will be after `horizonMs`, by model. */
    readonly forecastDemand: (horizonMs: number) => ReadonlyMap<string, number>;
    /** Whether requests of callers have been seen. Before that, loads are fast and delay nobody. */
    readonly hasTraffic: boolean;
}

export interface AddressedOrder {
    readonly upstreamId: string;
    readonly order: EngineOrder;
    /** Why the order is sent, for the log. */
    readonly reason: string;
}

export const emptyGroupsState: GroupsState = {
    groups: new Map(), lastEpoch: 0, lastOrders: new Map(), lastModels: new Map(), pendingLoads: new Map(), standbyJoins: new Map(),
    shortSince: undefined, reservations: new Map(), arrivals: new Map(), endedGroupNames: [],
};
