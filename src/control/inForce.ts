/**
 * Determines which configuration version is in force: the newest one such that every daemon with a live lease has it or a newer one.
 *
 * @module
 */

import { configLeaseMs, type LeaseHolder } from "../session/index.js";

/** The tolerated drift between the granter's and a holder's clock over one lease. */
export const clockMarginMs = 500;

/**
 * Returns the newest version in force, or undefined while it is not known. A new leader does not know the leases that its predecessor
 * granted, so an unknown holder may still serve under an older version. After one lease duration plus the clock margin, all those leases
 * have expired.
 */
export function inForceVersion(
    holders: Iterable<LeaseHolder>,
    committedVersion: number,
    leaderSinceMs: number,
    nowMs: number,
): number | undefined {
    if (nowMs - leaderSinceMs < configLeaseMs + clockMarginMs) {
        return undefined;
    }
    let version = committedVersion;
    for (const holder of holders) {
        if (holder.leaseUntilMs + clockMarginMs > nowMs) {
            version = Math.min(version, holder.configVersion);
        }
    }
    return version;
}
