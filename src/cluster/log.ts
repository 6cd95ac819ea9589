/**
 * The interface of the replicated log that the control role uses. `src/consensus` contains the fault-tolerant implementation.
 *
 * @module
 */

import type { ClusterState, Command, CommandResult } from "./state.js";

/**
 * The result of a proposal. `not-leader`: nothing was appended here, and it is safe to retry at `leaderAddress`.
 * `unknown`: the command may still commit; it is safe to resend it with the same change id.
 */
export type ProposalResult =
    | { readonly outcome: "applied"; readonly result: CommandResult; readonly index: number }
    | { readonly outcome: "not-leader"; readonly leaderAddress: string | undefined }
    | { readonly outcome: "unknown" };

/** One voter's view of the region's log. */
export interface ReplicatedLog {
    propose(command: Command, timeoutMs: number): Promise<ProposalResult>;
    /** Returns the state once a quorum has confirmed it, or undefined when no quorum responds before the timeout. */
    read(timeoutMs: number): Promise<ClusterState | undefined>;
    /** The state after the last command applied here; it may be stale on a partitioned voter. */
    readonly state: ClusterState;
    readonly role: "leader" | "follower" | "candidate";
    /** True while this voter is leader and a quorum has confirmed it within the leader lease. */
    readonly leaseHeld: boolean;
    readonly leaderAddress: string | undefined;
    /** Calls the listener after each applied command and each change of role. Returns a function that unsubscribes it. */
    subscribe(listener: () => void): () => void;
    /** Transfers leadership if this voter is the leader, then stops. */
    stop(): Promise<void>;
}
