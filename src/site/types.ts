/**
 * What operators publish for a whole site, decoded: routes, services, organisations and limits on input. Times are milliseconds. The
 * types are inferred from schemas; the decoder of a dialect builds values of them, so no part of the product reads a dialect's names.
 *
 * @module
 */

import { z } from "zod";

const name = z.string().min(1);

/** One service that a route sends to, with its share of the requests relative to the other targets of the route. */
export const targetSchema = z.strictObject({ service: name, weight: z.number().min(0) });

/** What may be repeated: an event stream is repeated only from its last event on, and only where the route says so. */
export const requestKindSchema = z.enum(["idempotent", "non-idempotent", "stream"]);

export const routeSchema = z.strictObject({
    name,
    host: name,
    /** Begins and ends with a slash. */
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    kind: requestKindSchema,
    /** The longest time that a request may be kept waiting for its final answer. */
    timeoutMs: z.number().positive(),
    /** The time to the first event, or to the whole answer of a plain service, that counts as on time. */
    latenessMs: z.number().positive().optional(),
    /** The longest pause between two events of a stream that counts as on time. */
    pauseMs: z.number().positive().optional(),
    /** 0 is the most urgent. */
    priority: z.number().int().min(0).default(0),
    targets: z.array(targetSchema).min(1),
    /** The most upstreams that one attempt of a caller may be sent to. */
    maxAttempts: z.number().int().min(1).default(1),
    /** True: no key is asked for. */
    isPublic: z.boolean().default(false),
    /** True: an interrupted stream may be continued after its last event at another upstream. */
    isResumable: z.boolean().default(false),
});

/** One model that a service's engines can serve, and what a group for it takes. */
export const engineModelSchema = z.strictObject({
    name,
    /** VMs in one group. */
    size: z.number().int().min(1),
    /** The model's share of the service's work when the site starts, from 0 to 1. */
    share: z.number().min(0).default(0),
    /** A factor on all of the group's times. */
    pace: z.number().positive().default(1),
    loadMs: z.number().min(0),
    /** Joining with the weights on the VM already. */
    warmMs: z.number().min(0),
});

/** How the engines of a service work. */
export const engineSchema = z.strictObject({
    /** Requests that one group runs at once. */
    slots: z.number().int().min(1),
    models: z.array(engineModelSchema),
    stepMs: z.number().min(0),
    stepPerRequestMs: z.number().min(0),
    stepPerThousandTokensMs: z.number().min(0),
    promptTokensPerSecond: z.number().positive(),
    /** Mean sizes of a request, in tokens. */
    usualPromptTokens: z.number().min(0),
    usualAnswerTokens: z.number().min(0),
    loadsPerSecond: z.number().positive(),
    loadsAtOnce: z.number().int().min(1),
    /** Opening a group that is ready. */
    formMs: z.number().min(0),
});

export const siteServiceSchema = z.strictObject({
    name,
    healthPath: z.string().default("/"),
    /** Connections that one upstream takes from all callers together. */
    maxConnections: z.number().int().min(1),
    /** How long a started upstream stays cold, and the requests per second that it bears meanwhile; 0 for no limit. */
    coldMs: z.number().min(0),
    coldRequestsPerSecond: z.number().min(0),
    engine: engineSchema.optional(),
});

export const siteOrganisationSchema = z.strictObject({
    name,
    keys: z.array(name),
    /** Goes before the route's priority. */
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
    routes: z.array(routeSchema),
    services: z.array(siteServiceSchema),
    limits: inputLimitsSchema,
    /** Undefined: no route asks for a key. */
    organisations: z.array(siteOrganisationSchema).optional(),
});

export type Route = z.infer<typeof routeSchema>;
export type EngineModel = z.infer<typeof engineModelSchema>;
export type EngineSpec = z.infer<typeof engineSchema>;
export type SiteService = z.infer<typeof siteServiceSchema>;
export type Site = z.infer<typeof siteSchema>;
