/**
 * The trial of a crash suspect: the right to run a fingerprint that was in flight when an engine crashed. The quorum grants it to one
 * request at a time.
 *
 * @module
 */

import type { RefusalCode } from "../attempt/index.js";
import type { SuspectResult } from "../cluster/index.js";
import type { Propose } from "./claims.js";

const proposeTimeoutMs = 2_000;
const unavailableRetryMs = 1_000;

/** Whether the request may be dispatched, and whether it is dispatched as a suspect. */
export type TrialAnswer =
    | { readonly kind: "run"; readonly suspect: boolean }
    | { readonly kind: "refused"; readonly code: RefusalCode; readonly retryAfterMs: number };

export interface Trial {
    /** Requests the trial. A crash that this request observed is reported first, so that its own retry takes the crash into account. */
    acquire(crashedEngineBootId: string | undefined): Promise<TrialAnswer>;
    /** Releases the trial. If `finished`, the fingerprint is no longer a suspect. */
    release(finished: boolean): void;
}

/** Creates the trial of one request. */
export function createTrial(fingerprint: string, owner: string, trialMs: number, propose: Propose): Trial {
    let isHeld = false;

    async function requestTrial(): Promise<SuspectResult | undefined> {
        const command = { kind: "try-suspect" as const, fingerprint, owner, trialMs, atMs: Date.now() };
        const proposal = await propose(command, proposeTimeoutMs).catch(() => undefined);
        return proposal?.outcome === "applied" ? proposal.result as SuspectResult : undefined;
    }

    async function reportCrash(engineBootId: string) {
        const command = { kind: "report-crash" as const, engineBootId, fingerprints: [fingerprint], atMs: Date.now() };
        await propose(command, proposeTimeoutMs).catch(() => undefined);
    }

    return {
        async acquire(crashedEngineBootId) {
            if (crashedEngineBootId !== undefined) {
                await reportCrash(crashedEngineBootId);
            }
            const result = await requestTrial();
            isHeld ||= result?.outcome === "trial-granted";
            switch (result?.outcome) {
                case "trial-granted":
                    return { kind: "run", suspect: true };
                case "not-suspect":
                    return { kind: "run", suspect: false };
                case "barred":
                    return { kind: "refused", code: "crash-suspect", retryAfterMs: result.retryAfterMs };
                case "on-trial":
                    return { kind: "refused", code: "suspect-on-trial", retryAfterMs: result.retryAfterMs };
                default:
                    return { kind: "refused", code: "suspect-on-trial", retryAfterMs: unavailableRetryMs };
            }
        },
        release(finished) {
            if (!isHeld) {
                return;
            }
            isHeld = false;
            const command = { kind: "clear-suspect" as const, fingerprint, owner, finished, atMs: Date.now() };
            propose(command, proposeTimeoutMs).catch(() => undefined);
        },
    };
}
