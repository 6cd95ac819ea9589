/**
 * The planner's state between steps. It is soft state: a new control leader starts from `initialPlacement`.
 *
 * @module
 */

import type { Configuration, ReplicasState } from "../cluster/index.js";
import { emptyReplicas } from "../cluster/index.js";
import type { VmHealth } from "./health.js";

/** A VM without its model's weights. Requests with a lower rank are granted first. */
export interface LoadRequest {
    readonly vmId: string;
    readonly rank: number;
}

/** The planner's state of one domain. */
export interface DomainState {
    readonly key: string;
    readonly vmIds: readonly string[];
    readonly peakReplicas: number;
    /** The domain has unfinished work and must be planned in every step. */
    readonly needsPlanning: boolean;
    readonly strandedVms: number;
    /** The domain has enough present VMs for a replica. */
    readonly canHoldReplica: boolean;
    readonly loadRequests: readonly LoadRequest[];
    /** Since when each replica has not been serving although its VMs are present, by replica id. */
    readonly notServingSinceMs: Readonly<Record<string, number>>;
    /** Since when each VM has been releasing its replica, by VM id. */
    readonly releasingSinceMs: Readonly<Record<string, number>>;
    /** The reasons of the replicas that are being drained, by replica id. */
    readonly draining: Readonly<Record<string, string>>;
    /** The last order sent to each VM whose report doesn't match it yet, by VM id. */
    readonly pendingOrders: Readonly<Record<string, { readonly signature: string; readonly atMs: number }>>;
}

export interface PlacementState {
    readonly vms: ReadonlyMap<string, VmHealth>;
    readonly domains: ReadonlyMap<string, DomainState>;
    /** When each VM was granted a load from the weight store, by VM id. */
    readonly loads: ReadonlyMap<string, number>;
    readonly replicas: ReplicasState;
    readonly replicaCounts: ReadonlyMap<string, number>;
    readonly configuration: Configuration | undefined;
    readonly strandedVms: number;
    readonly sweepAtMs: number;
}

export const initialPlacement: PlacementState = {
    vms: new Map(),
    domains: new Map(),
    loads: new Map(),
    replicas: emptyReplicas,
    replicaCounts: new Map(),
    configuration: undefined,
    strandedVms: 0,
    sweepAtMs: -Infinity,
};

export function emptyDomainState(key: string): DomainState {
    return {
        key,
        vmIds: [],
        peakReplicas: 0,
        needsPlanning: true,
        strandedVms: 0,
        canHoldReplica: true,
        loadRequests: [],
        notServingSinceMs: {},
        releasingSinceMs: {},
        draining: {},
        pendingOrders: {},
    };
}
