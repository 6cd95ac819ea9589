/**
 * Records in the replicated log which requests upstreams have crashed under, so that the next leader continues the count.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import type { Report } from "../feed/index.js";
import { operatorTimeoutMs } from "./proposals.js";

/** Number of upstreams that must crash under a request before it is barred: requests that are not the cause rarely reach three. */
const minCrashesToBar = 3;

/** Records the crashes that the log doesn't have yet. */
export async function recordCrashes(log: ConsensusNode, crashes: Report["crashes"]) {
    const known = log.state.suspects.byFingerprint;
    const unrecorded = crashes.filter(crash => known[crash.fingerprint]?.engineBootIds.includes(crash.upstream) !== true);
    for (const upstream of new Set(unrecorded.map(crash => crash.upstream))) {
        const fingerprints = unrecorded.filter(crash => crash.upstream === upstream).map(crash => crash.fingerprint);
        await log.propose({ kind: "report-crash", engineBootId: upstream, fingerprints, atMs: Date.now() }, operatorTimeoutMs);
    }
}

/** Fingerprints of requests under which so many upstreams have crashed that they are the likely cause. */
export function barredFingerprints(log: ConsensusNode): string[] {
    const { byFingerprint } = log.state.suspects;
    return Object.keys(byFingerprint).filter(fingerprint => byFingerprint[fingerprint]!.crashes >= minCrashesToBar);
}
