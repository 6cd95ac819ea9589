/**
 * The types and constants that the two membership reducers share: memberships, the messages of the member lease, and its durations.
 *
 * @module
 */

/** The duration of a granted lease, which is also the longest time that a replica serves while a member is missing. */
export const memberLeaseMs = 1_500;
/** The margin that a member adds to the lease duration; it covers clock rates that differ by 10% over one lease. */
export const clockMarginMs = 150;
/** How often the leader VM asks each member for a lease: two asks in a row can be lost before the lease expires. */
export const askIntervalMs = 500;
/** How often the leader VM checks its leases between asks. */
export const checkIntervalMs = 250;
/** A longer gap between two ticks of the leader VM counts as a process pause. */
export const maxTimerGapMs = 1_000;

/** One VM of a replica, and the address of its sidecar (host:port). */
export interface Member {
    readonly vmId: string;
    readonly address: string;
}

/** A replica in one epoch. The epoch is also the fencing token of the engine orders for this membership. */
export interface Membership {
    readonly replicaId: string;
    readonly epoch: number;
    readonly members: readonly Member[];
    readonly leaderVmId: string;
    readonly model: string | undefined;
}

/** The leader VM's lease request to one member. */
export interface LeaseAsk {
    readonly replicaId: string;
    readonly epoch: number;
    readonly leaderVmId: string;
    /** The boot id of the asking sidecar. A release drops only the grants to this boot. */
    readonly leaderBootId: string;
    readonly nonce: number;
    /** The leader VM has ended this epoch permanently, so the member doesn't have to wait for its grants to expire. */
    readonly release: boolean;
}

/** A member's answer to an ask or, with nonce 0, an unsolicited withdrawal. */
export interface LeaseGrant {
    readonly vmId: string;
    readonly epoch: number;
    readonly nonce: number;
    readonly granted: boolean;
    /** The lease duration, which the leader VM counts from the time it sent the ask. */
    readonly leaseMs: number;
    readonly reason: string;
    readonly engineBootId: string;
    readonly stepLatencyMs: number;
    /** The member is shutting down: the replica finishes its running attempts and admits no more. */
    readonly leaving: boolean;
}

/** Writes a log line. Used for state changes only. */
export interface LogEffect {
    readonly kind: "log-change";
    readonly what: string;
    readonly epoch: number;
    readonly detail: string;
}

/** Increments a counter metric. */
export interface CountEffect {
    readonly kind: "count";
    readonly metric: string;
}

/** Schedules one timer event at `atMs` on the reducer's own clock, replacing any pending timer. */
export interface ArmTimerEffect {
    readonly kind: "arm-timer";
    readonly atMs: number;
}
