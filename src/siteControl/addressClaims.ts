/**
 * Decides between upstreams of different services that state the same address. Addresses are reused, so the later upstream at one ends the
 * other for its life; one of a service that the site doesn't have, or before the first site, must not do so.
 *
 * @module
 */

import type { Announcement, Directory, Upstream } from "../fleet/index.js";
import type { SiteTable } from "../site/index.js";

/** More are forgotten; those that are sound announce themselves again. */
const maxHeldBack = 1_000;

export interface AddressClaimsOptions {
    readonly directory: Pick<Directory, "runningAt" | "markEnded">;
    /** The site in force; undefined before the first one. */
    table(): SiteTable | undefined;
    /** Called with upstreams whose end must be published. */
    onEnded(upstreams: readonly Upstream[]): void;
}

export interface AddressClaims {
    /**
     * Returns whether an upstream may enter the directory now. If not, `retry` is called with the next site. An upstream of a service that
     * the site has ends those of unknown services at its address.
     */
    admits(upstream: Announcement, retry: () => void): boolean;
    /** Must be called when another site is in force. */
    siteChanged(): void;
}

/** Creates claims of which none is held back. */
export function createAddressClaims({ directory, table, onEnded }: AddressClaimsOptions): AddressClaims {
    const heldBack = new Map<string, () => void>();

    function isNamed(service: string): boolean {
        return table()?.service(service) !== undefined;
    }

    return {
        admits({ id, service, address }, retry) {
            heldBack.delete(id);
            const others = directory.runningAt(address).filter(other => other.id !== id && other.service !== service);
            if (others.length === 0) {
                return true;
            }
            if (isNamed(service)) {
                onEnded(others.filter(other => !isNamed(other.service)).flatMap(other => directory.markEnded(other.id)));
                return true;
            }
            if (heldBack.size < maxHeldBack) {
                heldBack.set(id, retry);
            }
            return false;
        },
        siteChanged() {
            const retries = [...heldBack.values()];
            heldBack.clear();
            retries.forEach(retry => retry());
        },
    };
}
