/**
 * The requests under which upstreams have crashed, counted in the replicated log so that the next leader continues the count.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import type { Report } from "../feed/index.js";
import { operatorTimeoutMs } from "./proposals.js";

/** Number of upstreams that must crash under a request before it is barred: requests that are not the cause rarely reach three. */
const minCrashesToBar = 3;

export interface CrashCounts {
    /** Records the crashes that are new. */
    record(crashes: Report["crashes"]): Promise<void>;
    /** Fingerprints of requests under which so many upstreams have crashed that they are the likely cause. */
    readonly barredFingerprints: readonly string[];
}

/** Creates the counts that are kept in `log`. */
export function createCrashCounts(log: ConsensusNode): CrashCounts {
    return {
        async record(crashes) {
            const known = log.state.suspects.byFingerprint;
            const unrecorded = crashes.filter(crash => known[crash.fingerprint]?.engineBootIds.includes(crash.upstream) !== true);
            for (const upstream of new Set(unrecorded.map(crash => crash.upstream))) {
                const fingerprints = unrecorded.filter(crash => crash.upstream === upstream).map(crash => crash.fingerprint);
                await log.propose({ kind: "report-crash", engineBootId: upstream, fingerprints, atMs: Date.now() }, operatorTimeoutMs);
            }
        },
        get barredFingerprints() {
            const { byFingerprint } = log.state.suspects;
            return Object.keys(byFingerprint).filter(fingerprint => byFingerprint[fingerprint]!.crashes >= minCrashesToBar);
        },
    };
}
