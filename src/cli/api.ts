/**
 * Schemas of the answers of the operators' listener. `zinnia` validates every answer before it displays it.
 *
 * @module
 */

import { z } from "zod";
import { configurationSchema, editSchema } from "../cluster/configuration.js";

const acceptedChangeSchema = z.object({
    changeId: z.string(),
    version: z.number().int(),
    author: z.string(),
    atMs: z.number(),
    /** A short description of each edit; the edits themselves are kept for the newest changes only. */
    summary: z.array(z.string()),
    edits: z.array(editSchema),
});

export const configurationViewSchema = z.object({
    version: z.number().int(),
    configuration: configurationSchema,
    /** The newest version that every lease holder has acknowledged or lost its lease under; unknown without a leader. */
    inForceVersion: z.number().int().optional(),
    /** Regions that have not yet committed a change, and lease holders that have not yet acknowledged it. */
    pending: z.array(z.string()).optional(),
});

export const historySchema = z.object({ changes: z.array(acceptedChangeSchema) });

export const acceptedSchema = z.object({
    outcome: z.literal("accepted"),
    version: z.number().int(),
    repeated: z.boolean(),
    inForce: z.boolean(),
});

export const conflictSchema = z.object({
    outcome: z.literal("conflict"),
    version: z.number().int(),
    winner: acceptedChangeSchema.optional(),
});

export const invalidSchema = z.object({ findings: z.array(z.string()) });

/** Any other refusal, with a readable reason if the daemon gave one. */
export const refusalSchema = z.object({
    code: z.string().optional(),
    detail: z.string().optional(),
    findings: z.array(z.string()).optional(),
});

/** A server error: the leader's listener, if known, and whether the change may have been applied anyway. */
export const serverErrorSchema = z.object({
    code: z.string(),
    /** "not-run" only if the change can't have been applied. */
    execution: z.string().optional(),
    leaderOperators: z.string().optional(),
});

export const statusSchema = z.object({
    region: z.string(),
    daemonId: z.string(),
    role: z.string(),
    /** Whether the answering daemon leads; only the leader receives reports from VMs and lease holders. */
    leads: z.boolean(),
    /** The address of the leader's listener for daemons. */
    leaderAddress: z.string().optional(),
    configurationVersion: z.number(),
    inForceVersion: z.number().optional(),
    holders: z.array(z.object({ daemonId: z.string(), configurationVersion: z.number(), leaseRemainingMs: z.number() })),
    replicas: z.array(z.object({
        replicaId: z.string(),
        service: z.string(),
        epoch: z.number(),
        dataCentre: z.string(),
        fabricDomain: z.string(),
        leaderVmId: z.string(),
        memberVmIds: z.array(z.string()),
        ready: z.boolean(),
        downtimeMs: z.number().optional(),
    })),
    vms: z.array(z.object({
        vmId: z.string(),
        service: z.string(),
        kind: z.string(),
        dataCentre: z.string(),
        fabricDomain: z.string(),
        state: z.string(),
        replicaId: z.string().optional(),
        epoch: z.number().optional(),
        heardAgoMs: z.number(),
        strandedMs: z.number().optional(),
    })),
    upstreams: z.array(z.object({
        upstreamId: z.string(),
        service: z.string(),
        ready: z.boolean(),
        leaving: z.boolean(),
        running: z.number().optional(),
        capacity: z.number(),
        limit: z.number().optional(),
    })),
    totals: z.object({ replicaDowntimeMs: z.number(), strandedVmMs: z.number() }),
});

/** The claim of one request; additional fields are displayed as they are. */
export const requestSchema = z.looseObject({ state: z.string() });

export const votersSchema = z.object({
    /** Whether the answering daemon leads; the list of any other daemon may be outdated. */
    leads: z.boolean(),
    voters: z.array(z.looseObject({ id: z.string(), address: z.string(), voting: z.boolean().optional() })),
});

export type ConfigurationView = z.infer<typeof configurationViewSchema>;
export type Status = z.infer<typeof statusSchema>;
export type AcceptedAnswer = z.infer<typeof acceptedSchema>;
