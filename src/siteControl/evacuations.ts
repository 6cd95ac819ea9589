/**
 * Carries out operators' starts and ends of evacuations.
 *
 * Invariant: none takes effect after a later one was acknowledged. Each command names the revision of evacuations as of which its operator
 * was seen to wait. An operator who has been told of another start or end since then has given up on this call, and that other one has
 * raised the revision, so the command changes nothing, however late it reaches the log.
 *
 * @module
 */

import { type Command, type EvacuationResult, evacuationRevisionOf, type ProposalResult } from "../cluster/index.js";
import type { ConsensusNode } from "../consensus/index.js";
import type { WaitingCaller } from "../http/index.js";
import type { Logger } from "../telemetry/index.js";
import { operatorTimeoutMs } from "./proposals.js";

export interface EvacuationsOptions {
    readonly log: Pick<ConsensusNode, "state" | "term" | "leaderAddress">;
    readonly logger: Logger;
    nowMs(): number;
    propose(command: Command): Promise<ProposalResult>;
}

/** `refused`: it can't be carried out and has changed nothing. `unavailable`: it was not accepted in time, or its operator has left. */
export type EvacuationOutcome = "accepted" | "refused" | "unavailable";

export type Evacuations = (dataCentre: string, isOut: boolean, operator: WaitingCaller) => Promise<EvacuationOutcome>;

/** Every evacuated name is kept in the log, whether or not a data centre has it. */
const maxEvacuated = 1_000;
const maxNameChars = 256;

/** Returns the function that starts or ends an evacuation. */
export function createEvacuations({ log, logger, nowMs, propose }: EvacuationsOptions): Evacuations {
    return async (dataCentre, isOut, operator) => {
        const readAtMs = nowMs();
        const report = (outcome: string, fields: object) => logger.info("evacuation", {
            dataCentre: dataCentre.slice(0, maxNameChars), isOut, outcome, ...fields, term: log.term, leader: log.leaderAddress,
            tookMs: Math.round(nowMs() - readAtMs),
        });
        const { evacuated } = log.state.published;
        const isNameOdd = dataCentre.length === 0 || dataCentre.length > maxNameChars;
        if (!evacuated.includes(dataCentre) && (isNameOdd || (isOut && evacuated.length >= maxEvacuated))) {
            report("refused", { evacuated: evacuated.length });
            return "refused";
        }
        let basedOnRevision = evacuationRevisionOf(log.state.published);
        while (nowMs() - readAtMs < operatorTimeoutMs) {
            // After the revision is read: an operator who waits still hasn't been told of anything that was asked for later.
            if (!await operator.isWaiting()) {
                report("abandoned", { basedOnRevision });
                return "unavailable";
            }
            const proposal = await propose({ kind: "evacuate", dataCentre, isOut, basedOnRevision });
            if (proposal.outcome !== "applied") {
                report(proposal.outcome, { basedOnRevision });
                return "unavailable";
            }
            const { outcome, revision } = proposal.result as EvacuationResult;
            report(outcome, { basedOnRevision, revision, index: proposal.index });
            if (outcome === "evacuation-applied") {
                return "accepted";
            }
            basedOnRevision = revision;
        }
        return "unavailable";
    };
}
