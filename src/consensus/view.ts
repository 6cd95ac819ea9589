/**
 * The view of the voters that operators get.
 *
 * @module
 */

import { isAnswering } from "./diskless.js";
import type { ConsensusState } from "./state.js";

/** A voter, or a learner that may become one, as shown to operators. */
export interface VoterView {
    readonly voterId: string;
    readonly diskId: string;
    readonly address: string;
    /** False while it is catching up. */
    readonly voting: boolean;
    /** The highest index known to be on its disk; known to the leader only. */
    readonly matchIndex: number | undefined;
    /** Whether it has responded within the election timeout; known to the leader only. */
    readonly reachable: boolean | undefined;
}

/** Lists the voters and the learners that are catching up. */
export function voterViews(state: ConsensusState): readonly VoterView[] {
    const { membership, role, nowMs, options } = state;
    const progress = role.kind === "leader" ? Object.values(role.progress) : [];
    const voting = membership?.voters ?? [];
    const learners = progress.map(item => item.voter).filter(voter => !voting.some(other => other.diskId === voter.diskId));
    return [...voting, ...learners].map(voter => {
        const voterProgress = progress.find(item => item.voter.diskId === voter.diskId);
        const isLeader = voter.diskId === options.self.diskId && role.kind === "leader";
        return {
            voterId: voter.voterId,
            diskId: voter.diskId,
            address: voter.address,
            voting: !learners.includes(voter),
            matchIndex: isLeader ? role.ownMatchIndex : voterProgress?.matchIndex,
            reachable: isLeader ? true : voterProgress && nowMs - voterProgress.lastContactAtMs < options.timings.electionTimeoutMinMs,
        };
    });
}

/** Returns the addresses of the voters; without a disk, of those that answered recently, or of all known ones if none did. */
export function voterAddresses(state: ConsensusState): readonly string[] {
    if (!state.options.diskless) {
        return state.membership?.voters.map(voter => voter.address) ?? [];
    }
    const answering = state.knownVoters.filter(voter => isAnswering(state, voter));
    return (answering.length > 0 ? answering : state.knownVoters).map(voter => voter.address);
}
