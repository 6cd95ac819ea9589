/**
 * The holder's side of the configuration lease. While the lease is live, no configuration newer than the one held has been in force
 * elsewhere for longer than the lease. After the lease expires, the holder accepts no new work on its own authority.
 *
 * @module
 */

/** The duration of a grant, counted from the moment the holder sent its request. */
export const configLeaseMs = 4_000;

/** The interval at which a holder requests a renewal. */
export const renewIntervalMs = 1_000;

/** The state of a lease at its holder. */
export interface HeldLease {
    readonly nextNonce: number;
    /** Requests without a grant yet, with their send times on the holder's clock. */
    readonly pendingRequests: readonly { readonly nonce: number; readonly sentAtMs: number }[];
    readonly expiresAtMs: number;
}

export const initialLease: HeldLease = { nextNonce: 1, pendingRequests: [], expiresAtMs: 0 };

const maxPendingRequests = 8;

/** Records a lease request that is about to be sent and returns its nonce. */
export function requestLease(lease: HeldLease, nowMs: number): { lease: HeldLease; nonce: number } {
    const nonce = lease.nextNonce;
    const pendingRequests = [...lease.pendingRequests, { nonce, sentAtMs: nowMs }].slice(-maxPendingRequests);
    return { lease: { ...lease, nextNonce: nonce + 1, pendingRequests }, nonce };
}

/**
 * Applies a grant. The lease counts from the time at which the request was sent, on the holder's clock: otherwise a delayed grant
 * would outlive the granter's record of it, and the holder would serve under a configuration that has been replaced. A grant for a
 * version that the holder does not have yet is dropped for the same reason.
 */
export function applyGrant(
    lease: HeldLease,
    grant: { nonce: number; leaseMs: number; configVersion: number },
    heldVersion: number,
): HeldLease {
    const request = lease.pendingRequests.find(item => item.nonce === grant.nonce);
    if (request === undefined || grant.configVersion > heldVersion) {
        return lease;
    }
    const pendingRequests = lease.pendingRequests.filter(item => item.nonce > grant.nonce);
    return { ...lease, pendingRequests, expiresAtMs: Math.max(lease.expiresAtMs, request.sentAtMs + grant.leaseMs) };
}

/** Returns the remaining duration of the lease, or 0 if it has expired. */
export function leaseRemainingMs(lease: HeldLease, nowMs: number): number {
    return Math.max(0, lease.expiresAtMs - nowMs);
}
