/**
 * Collects what entries report about one crash and records it in the replicated log, so that the next leader knows it too. What is recorded
 * waits until the reports of all entries and those of answers completed in the meantime are in.
 *
 * @module
 */

import type { CrashEvidenceCommand } from "../crashes/index.js";
import { type CrashEvidenceState, emptyCrashEvidence, maxPartsPerCrash, suspectedParts } from "../crashes/index.js";
import type { ConsensusNode } from "../consensus/index.js";
import type { CrashReport } from "../feed/index.js";
import type { Logger } from "../telemetry/index.js";
import { operatorTimeoutMs } from "./proposals.js";

/** Two intervals of reports. */
const settleMs = 500;
/** How long later reports of a recorded crash are ignored. This is longer than entries repeat them. */
const ignoreRepeatsForMs = 15_000;

interface PendingCrash {
    readonly parts: Set<string>;
    readonly provenParts: Set<string>;
    readonly timer: NodeJS.Timeout;
}

export interface CrashCollector {
    report(report: CrashReport): void;
    stop(): void;
}

/** Creates a collector without crashes. */
export function createCrashCollector(log: Pick<ConsensusNode, "propose" | "state">, logger: Logger): CrashCollector {
    const pending = new Map<string, PendingCrash>();
    /** The timers after which a further report of a recorded crash counts as a new one. */
    const recorded = new Map<string, NodeJS.Timeout>();

    function evidence(): CrashEvidenceState {
        return log.state.crashEvidence ?? emptyCrashEvidence;
    }

    function propose(command: CrashEvidenceCommand) {
        const logFailure = (outcome: string) => logger.warn("crash evidence not recorded", { command: command.kind, outcome });
        log.propose(command, operatorTimeoutMs).then(({ outcome }) => {
            if (outcome !== "applied") {
                logFailure(outcome);
            }
        }, (error: Error) => logFailure(error.message));
    }

    function recordCrash(upstream: string) {
        const crash = pending.get(upstream);
        pending.delete(upstream);
        recorded.set(upstream, setTimeout(() => recorded.delete(upstream), ignoreRepeatsForMs));
        if (crash === undefined || crash.parts.size === 0) {
            return;
        }
        const parts = [...crash.parts].slice(0, maxPartsPerCrash);
        const provenParts = parts.filter(part => crash.provenParts.has(part));
        logger.info("crash with prompt parts recorded", { upstream, parts, provenParts });
        propose({ kind: "report-crashed-parts", engineBootId: upstream, parts, provenParts, atMs: Date.now() });
    }

    function collect({ upstream, parts, provenParts }: CrashReport["crashes"][number], completedParts: readonly string[]) {
        if (recorded.has(upstream)) {
            return;
        }
        const crash = pending.get(upstream) ??
            { parts: new Set<string>(), provenParts: new Set<string>(), timer: setTimeout(() => recordCrash(upstream), settleMs) };
        pending.set(upstream, crash);
        parts.filter(part => !completedParts.includes(part)).forEach(part => crash.parts.add(part));
        provenParts.forEach(part => crash.provenParts.add(part));
    }

    function clear(completedParts: readonly string[]) {
        pending.forEach(crash => completedParts.forEach(part => crash.parts.delete(part)));
        const suspected = suspectedParts(evidence());
        const cleared = completedParts.filter(part => suspected.includes(part));
        if (cleared.length > 0) {
            logger.info("prompt parts cleared", { parts: cleared });
            propose({ kind: "clear-crashed-parts", parts: cleared, atMs: Date.now() });
        }
    }

    return {
        report({ crashes, completedParts }) {
            crashes.forEach(crash => collect(crash, completedParts));
            if (completedParts.length > 0) {
                clear(completedParts);
            }
        },
        stop() {
            pending.forEach(({ timer }) => clearTimeout(timer));
            recorded.forEach(timer => clearTimeout(timer));
        },
    };
}
