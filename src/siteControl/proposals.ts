/**
 * Proposes commands to the replicated log from any control daemon that an operator calls.
 *
 * @module
 */

import { createClient } from "@connectrpc/connect";
import type { Command, ProposalResult } from "../cluster/index.js";
import type { ConsensusNode } from "../consensus/index.js";
import { ConsensusService, type PeerConnections } from "../rpc/index.js";
import type { Logger } from "../telemetry/index.js";

/** Less than the second after which operators' tools call another daemon. */
export const operatorTimeoutMs = 900;
/** Delay between two attempts to reach the leader. */
const leaderRetryMs = 60;

export interface ProposerOptions {
    readonly log: ConsensusNode;
    /** The address on which this daemon listens for other daemons. */
    readonly address: string;
    readonly connections: PeerConnections;
    readonly logger: Logger;
    nowMs(): number;
}

/** Returns a function that proposes a command, here or at the leader. It retries for `operatorTimeoutMs` while there is no leader. */
export function createProposer(options: ProposerOptions): (command: Command) => Promise<ProposalResult> {
    const { log, connections, logger, nowMs } = options;

    async function forward(address: string, command: Command, timeoutMs: number): Promise<ProposalResult> {
        const client = createClient(ConsensusService, connections.get(address).transport);
        const response = await client.propose({ command: Buffer.from(JSON.stringify(command)), timeoutMs }, { timeoutMs });
        return response.outcome === "applied"
            ? { outcome: "applied", result: JSON.parse(Buffer.from(response.result).toString("utf8")), index: Number(response.index) }
            : response.outcome === "not-leader"
                ? { outcome: "not-leader", leaderAddress: response.leaderAddress || undefined }
                : { outcome: "unknown" };
    }

    async function propose(command: Command): Promise<ProposalResult> {
        const giveUpAtMs = nowMs() + operatorTimeoutMs;
        let proposal: ProposalResult = { outcome: "unknown" };
        while (nowMs() < giveUpAtMs) {
            const remainingMs = Math.max(1, Math.round(giveUpAtMs - nowMs()));
            proposal = await log.propose(command, remainingMs);
            if (proposal.outcome === "not-leader" && proposal.leaderAddress !== undefined && proposal.leaderAddress !== options.address) {
                proposal = await forward(proposal.leaderAddress, command, remainingMs).catch((error: Error): ProposalResult => {
                    logger.warn("forwarding to the leader failed", { error: error.message });
                    return { outcome: "unknown" };
                });
            }
            if (proposal.outcome !== "not-leader") {
                return proposal;
            }
            await new Promise(resolve => setTimeout(resolve, leaderRetryMs));
        }
        return proposal;
    }

    return propose;
}
