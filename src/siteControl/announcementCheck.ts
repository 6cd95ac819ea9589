/**
 * Decides whether a control daemon takes an announcement that was made to it.
 *
 * @module
 */

import type { Announcement, Directory } from "../fleet/index.js";
import type { SiteTable } from "../site/index.js";
import type { RefusedInputs } from "../telemetry/index.js";

/**
 * An announcement is `ignored` if it is of a service that the site doesn't have, `refused` if no upstream can have made it, and
 * `unavailable` if it must be made to another daemon because this one may be cut off from the entries or has no room.
 */
export type AnnouncementOutcome = "taken" | "ignored" | "refused" | "unavailable";

/**
 * Clocks of VMs differ by less. An upstream that states a later start is not believed: no later incarnation under its id would count until
 * then.
 */
const maxClockDifferenceMs = 600_000;
/** Before a site is known, services that it doesn't have can't be told apart; the rest of the directory is kept for those that it has. */
const maxUpstreamsBeforeSite = 20_000;

export interface AnnouncementCheckOptions {
    readonly directory: Pick<Directory, "upstreams" | "hasRoomFor">;
    readonly refusedInputs: RefusedInputs;
    /** The site in force; undefined before the first one. */
    table(): SiteTable | undefined;
    isInTouch(): boolean;
    nowMs(): number;
    nowUnixMs(): number;
}

/** Creates a check, which reports what it doesn't take. */
export function createAnnouncementCheck(options: AnnouncementCheckOptions): (announcement: Announcement) => AnnouncementOutcome {
    const { directory, refusedInputs } = options;
    return ({ id, service, state, bornMs }) => {
        if (bornMs > options.nowUnixMs() + maxClockDifferenceMs) {
            refusedInputs.record("announcement", { upstream: id, reason: "starts in the future", bornMs });
            return "refused";
        }
        if (state === "draining" && !options.isInTouch()) {
            return "unavailable";
        }
        const table = options.table();
        if (table !== undefined && table.service(service) === undefined) {
            refusedInputs.record("unknown-service", { upstream: id, service });
            return "ignored";
        }
        const isBeyondFirst = table === undefined && !directory.upstreams.has(id) && directory.upstreams.size >= maxUpstreamsBeforeSite;
        if (isBeyondFirst || !directory.hasRoomFor(id, options.nowMs())) {
            refusedInputs.record("announcement", { upstream: id, reason: "too many upstreams" });
            return "unavailable";
        }
        return "taken";
    };
}
