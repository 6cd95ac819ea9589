/**
 * Applies committed commands to the replicated state. It is deterministic, so voters that apply the same log have the same state.
 *
 * @module
 */

import { applyClaimCommand } from "./claims.js";
import { applyConfigurationChange } from "./configuration.js";
import { applyCrashEvidence, emptyCrashEvidence } from "../crashes/index.js";
import { applyPublishedCommand } from "./published.js";
import { applyReplicaCommand } from "./replicas.js";
import { applySuspectCommand } from "./suspects.js";
import type { ClusterState, Command, CommandResult } from "./state.js";

/** Applies one committed command. */
export function applyCommand(state: ClusterState, command: Command): { state: ClusterState; result: CommandResult } {
    switch (command.kind) {
        case "change-configuration": {
            const { state: configuration, result } = applyConfigurationChange(state.configuration, command);
            return { state: { ...state, configuration }, result };
        }
        case "form-replica":
        case "dissolve-replica":
        case "free-vm": {
            const { state: replicas, result } = applyReplicaCommand(state.replicas, command);
            return { state: { ...state, replicas }, result };
        }
        case "claim":
        case "finish-claim": {
            const { state: claims, result } = applyClaimCommand(state.claims, command);
            return { state: { ...state, claims }, result };
        }
        case "report-crash":
        case "try-suspect":
        case "clear-suspect": {
            const { state: suspects, result } = applySuspectCommand(state.suspects, command);
            return { state: { ...state, suspects }, result };
        }
        case "report-crashed-parts":
        case "clear-crashed-parts": {
            const crashEvidence = applyCrashEvidence(state.crashEvidence ?? emptyCrashEvidence, command);
            return { state: { ...state, crashEvidence }, result: { outcome: "recorded" } };
        }
        case "publish-site":
        case "evacuate": {
            const { state: published, result } = applyPublishedCommand(state.published, command);
            return { state: { ...state, published }, result };
        }
    }
}
