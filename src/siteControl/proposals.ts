/**
 * Proposes changes to the replicated log from whichever control daemon an operator calls.
 *
 * @module
 */

import { createClient } from "@connectrpc/connect";
import type { Command, Proposal } from "../cluster/index.js";
import type { ConsensusNode } from "../consensus/index.js";
import { ConsensusService, type PeerConnections } from "../rpc/index.js";
import type { Logger } from "../telemetry/index.js";

/** Operators call another daemon after a second without an answer. */
export const operatorTimeoutMs = 900;
/** Between two tries to find the leader. */
const leaderRetryMs = 60;

export interface ProposerOptions {
    readonly log: ConsensusNode;
    /** This daemon's listener for other daemons. */
    readonly address: string;
    readonly connections: PeerConnections;
    readonly logger: Logger;
    nowMs(): number;
}

/** Creates the way to propose, here or at the leader, until it is accepted or the operator will have gone elsewhere. */
export function createProposer(options: ProposerOptions): (command: Command) => Promise<Proposal> {
    const { log, connections, logger, nowMs } = options;

    async function forward(address: string, command: Command, timeoutMs: number): Promise<Proposal> {
        const client = createClient(ConsensusService, connections.get(address).transport);
        const answer = await client.propose({ command: Buffer.from(JSON.stringify(command)), timeoutMs }, { timeoutMs });
        return answer.outcome === "applied"
            ? { outcome: "applied", result: JSON.parse(Buffer.from(answer.result).toString("utf8")), index: 0 }
            : answer.outcome === "not-leader" ? { outcome: "not-leader", leaderAddress: answer.leaderAddress || undefined } : { outcome: "unknown" };
    }

    async function propose(command: Command): Promise<Proposal> {
        const untilMs = nowMs() + operatorTimeoutMs;
        let last: Proposal = { outcome: "unknown" };
        while (nowMs() < untilMs) {
            const leftMs = Math.max(1, Math.round(untilMs - nowMs()));
            last = await log.propose(command, leftMs);
            if (last.outcome === "not-leader" && last.leaderAddress !== undefined && last.leaderAddress !== options.address) {
                last = await forward(last.leaderAddress, command, leftMs).catch((error: Error): Proposal => {
                    logger.warn("the leader could not be asked", { error: error.message });
                    return { outcome: "unknown" };
                });
            }
            if (last.outcome !== "not-leader") {
                return last;
            }
            await new Promise(resolve => setTimeout(resolve, leaderRetryMs));
        }
        return last;
    }

    return propose;
}
