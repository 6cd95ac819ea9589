/**
 * Requests in flight when an upstream broke off. One of them may be the cause, and its caller sends it again: each entry tells the control
 * leader, which counts over all entries and bars a request under which several upstreams have crashed.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Upstream } from "../fleet/index.js";
import type { Asked } from "./asked.js";

/** How long a crash is told again and again, in ms: past the election of another leader. */
const tellMs = 6_000;

interface Crash {
    readonly fingerprint: string;
    readonly upstream: string;
    readonly atMs: number;
}

/** What makes two requests the same work: path, caller and body, whatever their ids. */
export function fingerprintOf(asked: Asked): string {
    const hash = createHash("sha1").update(`${asked.method} ${asked.path}\n${asked.organisation ?? ""}\n`);
    return hash.update(asked.body ?? "").digest("hex");
}

export interface Crashes {
    note(asked: Asked, upstream: Upstream): void;
    /** Those that are to be told now. */
    readonly recent: readonly { readonly fingerprint: string; readonly upstream: string }[];
}

/** Creates an empty memory. */
export function createCrashes(nowMs: () => number): Crashes {
    let crashes: Crash[] = [];
    return {
        note(asked, upstream) {
            crashes.push({ fingerprint: fingerprintOf(asked), upstream: `${upstream.id}@${upstream.bornMs}`, atMs: nowMs() });
        },
        get recent() {
            crashes = crashes.filter(crash => nowMs() - crash.atMs < tellMs);
            return crashes.map(({ fingerprint, upstream }) => ({ fingerprint, upstream }));
        },
    };
}
