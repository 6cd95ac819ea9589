/**
 * Relays between the entries of a site and its sidecars.
 *
 * @module
 */

import { type Relay, startRelay } from "../../standin/relay.js";

/** Relays in front of a site's sidecars, by VM; `startSite` advertises their addresses in place of the sidecars' own. */
export interface SidecarRelays {
    readonly byVm: ReadonlyMap<string, Relay>;
    advertise(vmId: string, address: string): Promise<string>;
    stop(): void;
}

/** Creates a relay for each sidecar whose address the site advertises. */
export function createSidecarRelays(): SidecarRelays {
    const byVm = new Map<string, Relay>();
    return {
        byVm,
        async advertise(vmId, address) {
            const relay = await startRelay(address);
            byVm.set(vmId, relay);
            return relay.address;
        },
        stop: () => byVm.forEach(relay => relay.stop()),
    };
}
