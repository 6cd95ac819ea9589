/**
 * Groups of engines as the control leader plans them, and the orders that it gives to engines.
 *
 * @module
 */

import type { EngineSpec } from "../site/index.js";
import type { Upstream } from "../fleet/index.js";

/** An order to one engine. All but `stage` name a group and its epoch and touch no other. */
export type EngineOrder =
    | { readonly kind: "join"; readonly group: string; readonly epoch: number; readonly model: string; readonly memberIds: readonly string[] }
    | { readonly kind: "open"; readonly group: string; readonly epoch: number }
    /** `running`: whether requests that run are finished first or stopped. */
    | { readonly kind: "close"; readonly group: string; readonly epoch: number; readonly running: "finish" | "stop" }
    | { readonly kind: "leave"; readonly group: string; readonly epoch: number }
    /** Brings the model's weights onto the VM, beside whatever runs there. */
    | { readonly kind: "stage"; readonly model: string };

/**
 * `forming`: members are joining, the head is not open. `open`: the head was told to open. `ending`: the head is being closed; the
 * members are free once it serves no more.
 */
export type GroupPhase = "forming" | "open" | "ending";

export interface PlannedGroup {
    readonly name: string;
    readonly epoch: number;
    readonly model: string;
    readonly domain: string;
    /** By rank, the head first. A member that a new leader could not make out is an empty text. */
    readonly memberIds: readonly string[];
    /** The lives that were taken in; a member that has started again holds nothing of the group. */
    readonly bornMs: readonly number[];
    readonly phase: GroupPhase;
    readonly sinceMs: number;
    /** True: the running requests are finished before the group ends. */
    readonly isGentle: boolean;
}

/** An order that was sent and whose effect has not been seen yet. */
export interface SentOrder {
    readonly text: string;
    readonly atMs: number;
}

/** A load that was ordered. */
export interface Staging {
    readonly model: string;
    readonly bornMs: number;
    readonly atMs: number;
}

/** A spare that was told to join a group of its own, so that its model's weights stay on the accelerator. */
export interface Heating {
    readonly model: string;
    readonly bornMs: number;
    readonly atMs: number;
}

/** A domain's VMs that are kept for one more group of a model. */
export interface Reservation {
    readonly model: string;
    readonly untilMs: number;
}

export interface GroupsState {
    readonly groups: ReadonlyMap<string, PlannedGroup>;
    /** The epoch of the last group formed. */
    readonly lastEpoch: number;
    /** The last order to each upstream. */
    readonly sent: ReadonlyMap<string, SentOrder>;
    /** The model of the last group of each life, by id: its weights are still on the accelerator, so joining again is quick. */
    readonly lastModels: ReadonlyMap<string, { readonly bornMs: number; readonly model: string }>;
    /** Loads from the weight store that are under way beside whatever the VM does, by its id. */
    readonly staging: ReadonlyMap<string, Staging>;
    /** Spares that were told to take their weights onto the accelerator, by id. */
    readonly heating: ReadonlyMap<string, Heating>;
    /** Since when it would be worth breaking groups for one more of a model; undefined while it is not. */
    readonly shortSince: { readonly model: string; readonly atMs: number } | undefined;
    /** Domains in which groups were broken, and for which model: what is free there is for that one. */
    readonly reserved: ReadonlyMap<string, Reservation>;
    /** The last groups that this leader has seen end: members may still report them and are free all the same. */
    readonly overNames: readonly string[];
}

export interface GroupsView {
    readonly nowMs: number;
    /** Since when this process has led. */
    readonly leadsSinceMs: number;
    readonly engine: EngineSpec;
    /** All living upstreams of the service, by id. */
    readonly upstreams: ReadonlyMap<string, Upstream>;
    /** Upstreams that don't answer this leader, among them those at whose address nothing seems to listen. */
    readonly isLost: (id: string) => boolean;
    readonly isRefusing: (id: string) => boolean;
    /** Lives that are over for certain: another one stands in their place. */
    readonly isLifeOver: (id: string) => boolean;
    /** Whether requests at this head still make progress, which takes every member, although this leader can't reach member `lostId`. */
    readonly isMoving: (headId: string, lostId: string) => boolean;
    readonly evacuated: readonly string[];
    /** How many VMs the work that callers ask for keeps busy, by model. */
    readonly demand: ReadonlyMap<string, number>;
    /** Whether callers' requests have been seen: before that, loads are quick and free. */
    readonly hasTraffic: boolean;
}

export interface OrderTo {
    readonly upstreamId: string;
    readonly order: EngineOrder;
    /** Why, for the log. */
    readonly reason: string;
}

export const noGroups: GroupsState = {
    groups: new Map(), lastEpoch: 0, sent: new Map(), lastModels: new Map(), staging: new Map(), heating: new Map(), shortSince: undefined,
    reserved: new Map(), overNames: [],
};
