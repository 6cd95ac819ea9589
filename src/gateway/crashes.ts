/**
 * Records the requests that were in flight when an upstream crashed. One of them may be the cause, and its caller retries it; or the cause
 * is a part of its prompt, which other requests have too. Each entry reports them to the control leader, which counts over all entries.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Upstream } from "../fleet/index.js";
import type { Logger } from "../telemetry/index.js";
import type { ParsedRequest } from "./parsedRequest.js";

/** How long a crash is included in reports. This is longer than the election of a new leader takes. */
const reportForMs = 6_000;
/** Connections to an upstream that break within this time of one another have broken in the same crash. */
const collectForMs = 250;

interface Crash {
    /** Id and incarnation of the upstream. */
    readonly upstream: string;
    lastBreakAtMs: number;
    readonly fingerprints: Set<string>;
    requests: number;
    /** Number of requests by shared part of their prompts. */
    readonly parts: Map<string, number>;
    isLogged: boolean;
}

/** Returns a hash of method, path, organisation and body, which identifies a request across retries. */
export function fingerprintOf(request: ParsedRequest): string {
    const hash = createHash("sha1").update(`${request.method} ${request.path}\n${request.organisation ?? ""}\n`);
    return hash.update(request.body ?? "").digest("hex");
}

export interface CrashLog {
    record(request: ParsedRequest, upstream: Upstream): void;
    /** The crashes to include in a report now. */
    readonly recent: readonly { readonly fingerprint: string; readonly upstream: string }[];
    /** Logs the crashes whose requests are all known. */
    logCollected(): void;
}

/** Creates an empty log. */
export function createCrashLog(nowMs: () => number, logger: Logger): CrashLog {
    let crashes: Crash[] = [];

    function findOrAdd(upstream: string): Crash {
        const known = crashes.find(crash => crash.upstream === upstream && nowMs() - crash.lastBreakAtMs <= collectForMs);
        if (known !== undefined) {
            return known;
        }
        const added: Crash = { upstream, lastBreakAtMs: nowMs(), fingerprints: new Set(), requests: 0, parts: new Map(), isLogged: false };
        crashes.push(added);
        return added;
    }

    return {
        record(request, { id, bornMs }) {
            const crash = findOrAdd(`${id}@${bornMs}`);
            crash.lastBreakAtMs = nowMs();
            crash.fingerprints.add(fingerprintOf(request));
            crash.requests++;
            request.sharedParts.forEach(part => crash.parts.set(part, (crash.parts.get(part) ?? 0) + 1));
        },
        get recent() {
            crashes = crashes.filter(crash => nowMs() - crash.lastBreakAtMs < reportForMs);
            return crashes.flatMap(({ upstream, fingerprints }) => [...fingerprints].map(fingerprint => ({ fingerprint, upstream })));
        },
        logCollected() {
            for (const crash of crashes) {
                if (!crash.isLogged && nowMs() - crash.lastBreakAtMs > collectForMs) {
                    crash.isLogged = true;
                    const { upstream, requests, parts } = crash;
                    logger.info("upstream crashed under requests", { upstream, requests, parts: Object.fromEntries(parts) });
                }
            }
        },
    };
}
