/**
 * The decoded form of a published site: routes, services, organisations and input limits. Durations are in milliseconds. The types are
 * inferred from schemas. The decoder of a dialect creates values of these types, so no other part of the program depends on a dialect.
 *
 * @module
 */

import { z } from "zod";
import { listOf } from "./boundedText.js";

const name = z.string().min(1);

// Numbers beyond what they can be used for count as the nearest usable ones, since a site that was once accepted must stay readable.

/** Twelve days: half of what timers bear, since Node's HTTP server adds to its time-outs. With a longer delay, they fire at once. */
export const maxDurationMs = 2 ** 30;
/** Far above the slots, VMs and steps of any engine, and small enough to count up to for a request. */
const maxCount = 16_384;
const maxAmount = 1e9;
const minRate = 1e-6;
/** Leaves sums of weights finite. */
const maxWeight = 1e100;
/** Bodies are held in one buffer each. */
const maxBodyBytesBound = 2 ** 30;

const atMost = (max: number) => (value: number) => Math.min(value, max);
const duration = z.number().min(0).transform(atMost(maxDurationMs));
const positiveDuration = z.number().positive().transform(atMost(maxDurationMs));
/** In whole ms, as Node's HTTP server takes a fraction of one for no timeout. */
const timeout = z.number().positive().transform(ms => Math.min(Math.ceil(ms), maxDurationMs));
const amount = z.number().min(0).transform(atMost(maxAmount));
const weight = z.number().min(0).transform(atMost(maxWeight));
const count = z.number().int().min(1).transform(atMost(maxCount));
/** Never so small that what is divided by it becomes infinite. */
const rate = z.number().positive().transform(value => Math.min(Math.max(value, minRate), maxAmount));

/** A service to which a route sends requests, and its share of them relative to the route's other targets. */
export const targetSchema = z.strictObject({ service: name, weight });

/** Determines whether requests may be retried. An event stream may only be resumed after its last event, if the route allows it. */
export const requestKindSchema = z.enum(["idempotent", "non-idempotent", "stream"]);

export const routeSchema = z.strictObject({
    name,
    host: name,
    /** Begins and ends with a slash. */
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    kind: requestKindSchema,
    /** The maximum time to the final response of a request. */
    timeoutMs: positiveDuration,
    /** The maximum time to the first event, or to the complete response of a plain service, that counts as on time. */
    latenessMs: positiveDuration.optional(),
    /** The maximum pause between two events of a stream that counts as on time. */
    pauseMs: positiveDuration.optional(),
    /** How long callers wait for the next event of a stream, also for the first one, before they abandon it. */
    patienceMs: positiveDuration.default(2_000),
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
    size: count,
    /** The model's share of the service's work when the site starts, from 0 to 1. */
    share: weight.default(0),
    /** The factor by which the time that a group takes for a request is multiplied. */
    pace: rate.default(1),
    loadMs: duration,
    /** The time to join a group if the weights are already on the VM. */
    warmMs: duration,
});

/** The capacity and timing of a service's engines. */
export const engineSchema = z.strictObject({
    /** Number of requests that a group runs concurrently. */
    slots: count,
    models: listOf(engineModelSchema),
    stepMs: duration,
    stepPerRequestMs: duration,
    stepPerThousandTokensMs: duration,
    promptTokensPerSecond: rate,
    /** Decoding steps in one pass of the batch. Prompts are read and events are sent once per pass. */
    stepsPerPass: count.default(1),
    /** The maximum number of prompt tokens read in one pass; undefined if the engine states none. */
    promptTokensPerPass: z.number().int().positive().transform(atMost(maxAmount)).optional(),
    /** Added to the reading time of a prompt for each million pairs of a token and an earlier one. */
    millionPairsMs: duration.default(0),
    /** One-way network delays between data centres. */
    delays: listOf(z.strictObject({ from: name, to: name, delayMs: duration })).default([]),
    /** Mean prompt and answer sizes of a request, in tokens. */
    usualPromptTokens: amount,
    usualAnswerTokens: amount,
    loadsPerSecond: rate,
    loadsAtOnce: count,
    /** The time to open a group that is ready. */
    formMs: duration,
});

export const siteServiceSchema = z.strictObject({
    name,
    healthPath: z.string().default("/"),
    /** The maximum number of connections that an upstream accepts from all callers together. */
    maxConnections: count,
    /** How long an upstream is cold after its start, and how many requests per second it can handle meanwhile; 0 for no limit. */
    coldMs: duration,
    coldRequestsPerSecond: amount,
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
    maxBodyBytes: z.number().int().positive().transform(atMost(maxBodyBytesBound)).default(4_194_304),
    headerTimeoutMs: timeout.default(3_000),
    idleTimeoutMs: timeout.default(15_000),
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
