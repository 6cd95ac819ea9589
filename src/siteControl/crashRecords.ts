/**
 * Records in the replicated log under which requests upstreams have crashed, so that the next leader continues the count.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import type { Report } from "../feed/index.js";
import type { Logger } from "../telemetry/index.js";
import { operatorTimeoutMs } from "./proposals.js";

/** Number of upstreams that must crash under a request before it is barred: requests that are not the cause rarely reach three. */
const minCrashesToBar = 3;

/** Records the crashes that the log does not contain yet. */
export async function recordCrashes(log: ConsensusNode, logger: Logger, crashes: Report["crashes"]): Promise<void> {
    const known = log.state.suspects.byFingerprint;
    const unrecorded = crashes.filter(crash => known[crash.fingerprint]?.engineBootIds.includes(crash.upstream) !== true);
    for (const upstream of new Set(unrecorded.map(crash => crash.upstream))) {
        const fingerprints = unrecorded.filter(crash => crash.upstream === upstream).map(crash => crash.fingerprint);
        const counts = fingerprints.map(fingerprint => 1 + (known[fingerprint]?.crashes ?? 0));
        logger.info("crash reported", { upstream, requests: fingerprints.length, mostCrashes: Math.max(...counts) });
        await log.propose({ kind: "report-crash", engineBootId: upstream, fingerprints, atMs: Date.now() }, operatorTimeoutMs);
    }
}

/** Fingerprints of requests under which so many upstreams have crashed that they are the likely cause. */
export function barredFingerprints(log: ConsensusNode): string[] {
    const { byFingerprint } = log.state.suspects;
    return Object.keys(byFingerprint).filter(fingerprint => byFingerprint[fingerprint]!.crashes >= minCrashesToBar);
}
