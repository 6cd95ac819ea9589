/**
 * What operators see of the voters.
 *
 * @module
 */

import { isAnswering } from "./diskless.js";
import type { ConsensusState } from "./state.js";

/** One voter or voter to be, as operators see it. */
export interface VoterView {
    readonly voterId: string;
    readonly diskId: string;
    readonly address: string;
    /** False while it is being caught up. */
    readonly voting: boolean;
    /** The highest index known to be on its disk; known to the leader only. */
    readonly matchIndex: number | undefined;
    /** Whether it has answered within the election timeout; known to the leader only. */
    readonly reachable: boolean | undefined;
}

/** Lists the voters and those that are being caught up. */
export function voterViews(state: ConsensusState): readonly VoterView[] {
    const { membership, role, nowMs, options } = state;
    const progress = role.kind === "leader" ? Object.values(role.progress) : [];
    const voting = membership?.voters ?? [];
    const learners = progress.map(item => item.voter).filter(voter => !voting.some(other => other.diskId === voter.diskId));
    return [...voting, ...learners].map(voter => {
        const known = progress.find(item => item.voter.diskId === voter.diskId);
        const leading = voter.diskId === options.self.diskId && role.kind === "leader";
        return {
            voterId: voter.voterId,
            diskId: voter.diskId,
            address: voter.address,
            voting: !learners.includes(voter),
            matchIndex: leading ? role.ownMatchIndex : known?.matchIndex,
            reachable: leading ? true : known && nowMs - known.lastContactMs < options.timings.electionTimeoutMinMs,
        };
    });
}

/** Where voters are reached; without a disk those that have answered lately, if any, or else all that are known. */
export function voterAddresses(state: ConsensusState): readonly string[] {
    if (!state.options.diskless) {
        return state.membership?.voters.map(voter => voter.address) ?? [];
    }
    const answering = state.knownVoters.filter(voter => isAnswering(state, voter));
    return (answering.length > 0 ? answering : state.knownVoters).map(voter => voter.address);
}
