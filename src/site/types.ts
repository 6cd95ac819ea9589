/**
 * The decoded form of a published site: routes, services, organisations and input limits. Durations are in milliseconds. The types are
 * inferred from schemas. The decoder of a dialect creates values of these types, so no other part of the program depends on a dialect.
 *
 * @module
 */

import { z } from "zod";
import { listOf } from "./boundedText.js";

const name = z.string().min(1);

/** A service to which a route sends requests, and its share of them relative to the route's other targets. */
export const targetSchema = z.strictObject({ service: name, weight: z.number().min(0) });

/** Determines whether requests may be retried. An event stream may only be resumed after its last event, if the route allows it. */
export const requestKindSchema = z.enum(["idempotent", "non-idempotent", "stream"]);

export const routeSchema = z.strictObject({
    name,
    host: name,
    /** Begins and ends with a slash. */
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    kind: requestKindSchema,
    /** The maximum time to the final response of a request. */
    timeoutMs: z.number().positive(),
    /** The maximum time to the first event, or to the complete response of a plain service, that counts as on time. */
    latenessMs: z.number().positive().optional(),
    /** The maximum pause between two events of a stream that counts as on time. */
    pauseMs: z.number().positive().optional(),
    /** How long callers wait for the next event of a stream, also for the first one, before they abandon it. */
    patienceMs: z.number().positive().default(2_000),
    /** 0 is the highest priority. */
    priority: z.number().int().min(0).default(0),
    targets: listOf(targetSchema).refine(targets => targets.length > 0, "a route needs a target"),
    /** The maximum number of upstreams to which one attempt of a caller may be sent. */
    maxAttempts: z.number().int().min(1).default(1),
    /** Whether requests are accepted without a key. */
    isPublic: z.boolean().default(false),
    /** Whether an interrupted stream may be resumed after its last event at another upstream. */
    isResumable: z.boolean().default(false),
});

/** A model that a service's engines can serve, and the size and timing of its groups. */
export const engineModelSchema = z.strictObject({
    name,
    /** Number of VMs in a group. */
    size: z.number().int().min(1),
    /** The model's share of the service's work when the site starts, from 0 to 1. */
    share: z.number().min(0).default(0),
    /** The factor by which the time that a group takes for a request is multiplied. */
    pace: z.number().positive().default(1),
    loadMs: z.number().min(0),
    /** The time to join a group if the weights are already on the VM. */
    warmMs: z.number().min(0),
});

/** The capacity and timing of a service's engines. */
export const engineSchema = z.strictObject({
    /** Number of requests that a group runs concurrently. */
    slots: z.number().int().min(1),
    models: listOf(engineModelSchema),
    stepMs: z.number().min(0),
    stepPerRequestMs: z.number().min(0),
    stepPerThousandTokensMs: z.number().min(0),
    promptTokensPerSecond: z.number().positive(),
    /** Decoding steps in one pass of the batch. Prompts are read and events are sent once per pass. */
    stepsPerPass: z.number().int().min(1).default(1),
    /** The maximum number of prompt tokens read in one pass; undefined if the engine states none. */
    promptTokensPerPass: z.number().int().positive().optional(),
    /** Added to the reading time of a prompt for each million pairs of a token and an earlier one. */
    millionPairsMs: z.number().min(0).default(0),
    /** One-way network delays between data centres. */
    delays: listOf(z.strictObject({ from: name, to: name, delayMs: z.number().min(0) })).default([]),
    /** Mean prompt and answer sizes of a request, in tokens. */
    usualPromptTokens: z.number().min(0),
    usualAnswerTokens: z.number().min(0),
    loadsPerSecond: z.number().positive(),
    loadsAtOnce: z.number().int().min(1),
    /** The time to open a group that is ready. */
    formMs: z.number().min(0),
});

export const siteServiceSchema = z.strictObject({
    name,
    healthPath: z.string().default("/"),
    /** The maximum number of connections that an upstream accepts from all callers together. */
    maxConnections: z.number().int().min(1),
    /** How long an upstream is cold after its start, and how many requests per second it can handle meanwhile; 0 for no limit. */
    coldMs: z.number().min(0),
    coldRequestsPerSecond: z.number().min(0),
    engine: engineSchema.optional(),
});

export const siteOrganisationSchema = z.strictObject({
    name,
    keys: listOf(name),
    /** Takes precedence over the route's priority. */
    priority: z.number().int().min(0).optional(),
});

export const inputLimitsSchema = z.strictObject({
    maxHeaderBytes: z.number().int().positive().default(16_384),
    maxBodyBytes: z.number().int().positive().default(4_194_304),
    headerTimeoutMs: z.number().positive().default(3_000),
    idleTimeoutMs: z.number().positive().default(15_000),
});

export const siteSchema = z.strictObject({
    version: z.number().int().min(0),
    routes: listOf(routeSchema),
    services: listOf(siteServiceSchema),
    limits: inputLimitsSchema,
    /** If undefined, no route requires a key. */
    organisations: listOf(siteOrganisationSchema).optional(),
});

export type Route = z.infer<typeof routeSchema>;
export type EngineModel = z.infer<typeof engineModelSchema>;
export type EngineSpec = z.infer<typeof engineSchema>;
export type SiteService = z.infer<typeof siteServiceSchema>;
export type Site = z.infer<typeof siteSchema>;
