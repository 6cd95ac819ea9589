/**
 * The replicated state of a region and the commands that change it.
 *
 * @module
 */

import { z } from "zod";
import { type ClaimResult, type ClaimsState, claimSchema, finishClaimSchema, emptyClaims } from "./claims.js";
import { clearPartsSchema, type CrashEvidenceResult, type CrashEvidenceState, emptyCrashEvidence, reportPartsSchema } from "../crashes/index.js";
import { type ChangeResult, type ConfigurationState, changeConfigurationSchema, emptyConfiguration } from "./configuration.js";
import { emptyPublished, evacuateSchema, type EvacuationResult, type PublishedResult, type PublishedState, publishSiteSchema } from "./published.js";
import { dissolveReplicaSchema, formReplicaSchema, freeVmSchema, emptyReplicas, type ReplicaResult, type ReplicasState } from "./replicas.js";
import {
    clearSuspectSchema, emptySuspects, reportCrashSchema, type SuspectResult, type SuspectsState, trySuspectSchema,
} from "./suspects.js";

export const commandSchema = z.discriminatedUnion("kind", [
    changeConfigurationSchema,
    formReplicaSchema,
    dissolveReplicaSchema,
    freeVmSchema,
    claimSchema,
    finishClaimSchema,
    reportCrashSchema,
    trySuspectSchema,
    clearSuspectSchema,
    reportPartsSchema,
    clearPartsSchema,
    publishSiteSchema,
    evacuateSchema,
]);
export type Command = z.infer<typeof commandSchema>;

export interface ClusterState {
    readonly configuration: ConfigurationState;
    readonly replicas: ReplicasState;
    readonly claims: ClaimsState;
    readonly suspects: SuspectsState;
    /** Absent in snapshots of daemons that did not have it. */
    readonly crashEvidence?: CrashEvidenceState;
    readonly published: PublishedState;
}

export type CommandResult =
    | ChangeResult | ReplicaResult | ClaimResult | SuspectResult | CrashEvidenceResult | PublishedResult | EvacuationResult;

export const emptyCluster: ClusterState = {
    configuration: emptyConfiguration,
    replicas: emptyReplicas,
    claims: emptyClaims,
    suspects: emptySuspects,
    crashEvidence: emptyCrashEvidence,
    published: emptyPublished,
};
