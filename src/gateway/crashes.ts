/**
 * Records the requests that were in flight when an upstream crashed. One of them may be the cause, and its caller retries it; or the cause
 * is a part of its prompt, which other requests have too. Each entry reports them to the control leader, which counts over all entries.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { maxPartsPerCrash } from "../crashes/index.js";
import type { CrashReport } from "../feed/index.js";
import type { Upstream } from "../fleet/index.js";
import { createRecentSet } from "../runtime/index.js";
import type { Logger } from "../telemetry/index.js";
import type { ParsedRequest } from "./parsedRequest.js";

/** How long a crash is included in reports. This is longer than the election of a new leader takes. */
const reportForMs = 6_000;
/** Interval at which the parts of a crash are reported again, for a leader that has not received them. */
const repeatPartsMs = 1_000;
/** Connections to an upstream that break within this time of one another have broken in the same crash. */
const collectForMs = 250;
/** Parts on which answers have been completed, of which so many are remembered. */
const maxProvenParts = 4_096;

interface Crash {
    /** Id and incarnation of the upstream. */
    readonly upstream: string;
    lastBreakAtMs: number;
    readonly fingerprints: Set<string>;
    requests: number;
    /** Shared parts of the prompts of these requests. */
    readonly parts: Set<string>;
    readonly provenParts: Set<string>;
    /** When the parts were last included in a report; undefined if some have not been yet. */
    partsReportedAtMs: number | undefined;
    isLogged: boolean;
}

/** Returns a hash of method, path, organisation and body, which identifies a request across retries. */
export function fingerprintOf(request: ParsedRequest): string {
    const hash = createHash("sha1").update(`${request.method} ${request.path}\n${request.organisation ?? ""}\n`);
    return hash.update(request.body ?? "").digest("hex");
}

export interface CrashLog {
    /** Records that the connection to an upstream broke while it had the request. */
    record(request: ParsedRequest, upstream: Upstream): void;
    /** Records that the answer to a request has been completed: no part of its prompt crashes upstreams. */
    completed(request: ParsedRequest): void;
    /** Whether a report should be sent at once, because it states a crash that none has stated. */
    readonly hasNews: boolean;
    /** The fingerprints in flight at crashes, to include in a report now. */
    readonly recent: readonly { readonly fingerprint: string; readonly upstream: string }[];
    /** Returns the parts of prompts to include in a report now; undefined if there are none. */
    drain(): CrashReport | undefined;
    /** Logs the crashes whose requests are all known. */
    logCollected(): void;
}

export interface CrashLogOptions {
    readonly logger: Logger;
    nowMs(): number;
    /** The parts for whose completion the control leader waits. */
    suspectedParts(): ReadonlySet<string>;
}

/** Creates an empty log. */
export function createCrashLog({ logger, nowMs, suspectedParts }: CrashLogOptions): CrashLog {
    let crashes: Crash[] = [];
    let completedParts = new Set<string>();
    const proven = createRecentSet<string>(maxProvenParts);

    function findOrAdd(upstream: string): Crash {
        const known = crashes.find(crash => crash.upstream === upstream && nowMs() - crash.lastBreakAtMs <= collectForMs);
        if (known !== undefined) {
            return known;
        }
        const added: Crash = {
            upstream, lastBreakAtMs: nowMs(), fingerprints: new Set(), requests: 0, parts: new Set(), provenParts: new Set(),
            partsReportedAtMs: undefined, isLogged: false,
        };
        crashes.push(added);
        return added;
    }

    function dropOld() {
        crashes = crashes.filter(crash => nowMs() - crash.lastBreakAtMs < reportForMs);
    }

    return {
        record(request, { id, bornMs }) {
            const crash = findOrAdd(`${id}@${bornMs}`);
            crash.lastBreakAtMs = nowMs();
            crash.fingerprints.add(fingerprintOf(request));
            crash.requests++;
            crash.partsReportedAtMs = undefined;
            for (const part of request.sharedParts.slice(0, maxPartsPerCrash - crash.parts.size)) {
                crash.parts.add(part);
                if (proven.has(part)) {
                    crash.provenParts.add(part);
                }
            }
        },
        completed({ sharedParts }) {
            sharedParts.forEach(part => proven.add(part));
            const awaited = sharedParts.filter(part => suspectedParts().has(part) || crashes.some(crash => crash.parts.has(part)));
            awaited.forEach(part => completedParts.add(part));
        },
        get hasNews() {
            return crashes.some(crash => crash.parts.size > 0 && crash.partsReportedAtMs === undefined);
        },
        get recent() {
            dropOld();
            return crashes.flatMap(({ upstream, fingerprints }) => [...fingerprints].map(fingerprint => ({ fingerprint, upstream })));
        },
        drain() {
            dropOld();
            const due = crashes.filter(({ parts, partsReportedAtMs }) =>
                parts.size > 0 && nowMs() - (partsReportedAtMs ?? Number.NEGATIVE_INFINITY) >= repeatPartsMs);
            if (due.length === 0 && completedParts.size === 0) {
                return undefined;
            }
            const report: CrashReport = {
                crashes: due.map(({ upstream, parts, provenParts }) => ({ upstream, parts: [...parts], provenParts: [...provenParts] })),
                completedParts: [...completedParts],
            };
            due.forEach(crash => {
                crash.partsReportedAtMs = nowMs();
            });
            completedParts = new Set();
            return report;
        },
        logCollected() {
            for (const crash of crashes) {
                if (!crash.isLogged && nowMs() - crash.lastBreakAtMs > collectForMs) {
                    crash.isLogged = true;
                    const { upstream, requests, parts, provenParts } = crash;
                    logger.info("upstream crashed under requests", { upstream, requests, parts: [...parts], provenParts: [...provenParts] });
                }
            }
        },
    };
}
