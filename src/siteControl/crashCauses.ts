/**
 * The frames about prompt parts that crash engines. Every control daemon sends them from its replicated state, so that entries have them
 * also while there is no leader.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import { type CrashEvidenceState, emptyCrashEvidence, findCrashCauses, suspectedParts } from "../crashes/index.js";
import type { Frame } from "../feed/index.js";

export interface CrashCauses {
    /** The frame for new watchers. */
    frame(): Frame;
    /** The frames of the changes since the previous call. */
    changed(): readonly Frame[];
}

/** Creates the source of the frames of a log. */
export function createCrashCauses(log: Pick<ConsensusNode, "appliedIndex" | "state">): CrashCauses {
    let published: CrashEvidenceState | undefined;

    function frame(): Frame {
        const evidence = log.state.crashEvidence ?? emptyCrashEvidence;
        return {
            kind: "crash-causes", index: log.appliedIndex, causes: findCrashCauses(evidence).map(cause => [...cause]),
            suspectedParts: suspectedParts(evidence),
        };
    }

    return {
        frame,
        changed() {
            const { crashEvidence } = log.state;
            if (crashEvidence === published) {
                return [];
            }
            published = crashEvidence;
            return [frame()];
        },
    };
}
