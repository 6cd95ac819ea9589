/**
 * Whether a sidecar may start an attempt: the rules that hold whatever an entry believes. Every refusal here is made before the
 * upstream has seen a byte, so that its not-run is true.
 *
 * @module
 */

import type { RefusalCode } from "./refusals.js";
import type { RegistryState } from "./registryState.js";

/** What a dispatch says of itself. */
export interface DispatchFacts {
    readonly attemptId: string;
    /** The boot of the sidecar that the entry chose. */
    readonly sidecarBootId: string;
    readonly epoch: number;
    /** Time left until the caller's deadline when the dispatch was sent. */
    readonly deadlineMs: number;
    readonly idempotent: boolean;
    readonly fingerprint: string;
    readonly suspect: boolean;
}

/** What the sidecar knows at that moment. */
export interface AdmissionFacts {
    readonly leaving: boolean;
    /** The epoch served; 0 for a plain upstream. */
    readonly epoch: number;
    /** Every member's lease is live. */
    readonly membersLive: boolean;
    /** A configuration lease is live here or proven by the entry. */
    readonly configurationLive: boolean;
    /** The configuration in force has this data centre taken out. */
    readonly drained: boolean;
    /** The fingerprint stands barred. */
    readonly barred: boolean;
}

function firstRefusal(state: RegistryState, dispatch: DispatchFacts, admission: AdmissionFacts): RefusalCode | undefined {
    // A restarted sidecar has forgotten what the dispatch's first copy did: only the boot that was chosen may run it.
    if (dispatch.sidecarBootId !== state.bootId) {
        return "other-boot";
    }
    if (dispatch.deadlineMs <= 0) {
        return "deadline-exceeded";
    }
    if (admission.leaving) {
        return "upstream-leaving";
    }
    if (dispatch.epoch !== admission.epoch) {
        return "epoch-not-served";
    }
    if (!admission.membersLive) {
        return "member-missing";
    }
    if (!admission.configurationLive) {
        return "configuration-lease-expired";
    }
    if (admission.drained) {
        return "data-centre-drained";
    }
    return admission.barred ? "crash-suspect" : undefined;
}

/** A suspect runs alone, so that a second crash names it beyond doubt and takes nobody else's answer with it. */
function isolationRefusal(state: RegistryState, suspect: boolean): RefusalCode | undefined {
    const disturbed = suspect ? state.live.size > 0 : [...state.live.values()].some(attempt => attempt.suspect);
    return disturbed ? "upstream-busy" : undefined;
}

/** The reason not to start the attempt; undefined leaves it to the start limiter. */
export function admissionRefusal(state: RegistryState, dispatch: DispatchFacts, admission: AdmissionFacts): RefusalCode | undefined {
    return firstRefusal(state, dispatch, admission) ?? isolationRefusal(state, dispatch.suspect);
}
