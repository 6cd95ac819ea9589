/**
 * The rules by which a sidecar admits an attempt, whatever the entry assumes. Each refusal is decided before anything is sent to the
 * upstream, so `not-run` is true.
 *
 * @module
 */

import type { RefusalCode } from "./refusals.js";
import type { RegistryState } from "./registryState.js";

/** The properties of a dispatch. */
export interface DispatchParams {
    readonly attemptId: string;
    /** The boot id of the sidecar that the entry chose. */
    readonly sidecarBootId: string;
    readonly epoch: number;
    /** The time left until the caller's deadline when the dispatch was sent. */
    readonly deadlineMs: number;
    readonly idempotent: boolean;
    readonly fingerprint: string;
    /** Ids of the parts of the prompt that other requests may have too. */
    readonly sharedParts: readonly string[];
    readonly suspect: boolean;
}

/** The state of the sidecar at the time of the dispatch. */
export interface AdmissionContext {
    readonly leaving: boolean;
    /** The epoch that the sidecar serves; 0 for a plain upstream. */
    readonly epoch: number;
    /** Whether the leases of all members are live. */
    readonly membersLive: boolean;
    /** Whether a configuration lease is live at the sidecar or proven by the entry. */
    readonly configurationLive: boolean;
    /** Whether this data centre is drained in the configuration in force. */
    readonly drained: boolean;
    /** Whether the fingerprint of the request is barred, or its prompt has parts that crash engines. */
    readonly barred: boolean;
    /** How much longer the upstream wants no requests, as it has stated when it turned one away; 0 if it accepts them. */
    readonly pushbackLeftMs: number;
}

function firstRefusal(state: RegistryState, dispatch: DispatchParams, admission: AdmissionContext): RefusalCode | undefined {
    // After a restart, a sidecar does not know whether an earlier copy of the dispatch was run: only the chosen boot may run it.
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

/** Enforces that a suspect runs alone, so that a second crash identifies it with certainty and affects no other request. */
function isolationRefusal(state: RegistryState, suspect: boolean): RefusalCode | undefined {
    const breaksIsolation = suspect ? state.live.size > 0 : [...state.live.values()].some(attempt => attempt.suspect);
    return breaksIsolation ? "upstream-busy" : undefined;
}

/** Returns why the attempt must not start; undefined if only the start limiter has to decide. */
export function admissionRefusal(state: RegistryState, dispatch: DispatchParams, admission: AdmissionContext): RefusalCode | undefined {
    return firstRefusal(state, dispatch, admission) ?? isolationRefusal(state, dispatch.suspect);
}
