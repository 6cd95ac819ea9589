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

export type Evacuations = (dataCentre: string, isOut: boolean, operator: WaitingCaller) => Promise<boolean>;

/** Returns the function that starts or ends an evacuation; it resolves to whether that was accepted. */
export function createEvacuations({ log, logger, nowMs, propose }: EvacuationsOptions): Evacuations {
    return async (dataCentre, isOut, operator) => {
        const readAtMs = nowMs();
        const report = (outcome: string, fields: object) => logger.info("evacuation", {
            dataCentre, isOut, outcome, ...fields, term: log.term, leader: log.leaderAddress, tookMs: Math.round(nowMs() - readAtMs),
        });
        let basedOnRevision = evacuationRevisionOf(log.state.published);
        while (nowMs() - readAtMs < operatorTimeoutMs) {
            // After the revision is read: an operator who waits still hasn't been told of anything that was asked for later.
            if (!await operator.isWaiting()) {
                report("abandoned", { basedOnRevision });
                return false;
            }
            const proposal = await propose({ kind: "evacuate", dataCentre, isOut, basedOnRevision });
            if (proposal.outcome !== "applied") {
                report(proposal.outcome, { basedOnRevision });
                return false;
            }
            const { outcome, revision } = proposal.result as EvacuationResult;
            report(outcome, { basedOnRevision, revision, index: proposal.index });
            if (outcome === "evacuation-applied") {
                return true;
            }
            basedOnRevision = revision;
        }
        return false;
    };
}
