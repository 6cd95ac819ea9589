/**
 * The settings of one daemon, as read from its INI file. The name of every duration and size ends in its unit.
 *
 * @module
 */

import { z } from "zod";
import { isAddress } from "../runtime/index.js";

/** An IPv4 address or host name, and a port. */
export const addressSchema = z.string().refine(isAddress, "host:port");

const hashSchema = z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 in hexadecimal");

const peerSchema = z.strictObject({
    id: z.string().min(1),
    /** The address of the peer's listener for other daemons. */
    address: addressSchema,
});

export const roleSchema = z.enum(["entry", "sidecar", "control"]);

export const settingsSchema = z.strictObject({
    daemon: z.strictObject({
        id: z.string().min(1),
        region: z.string().min(1),
        dataCentre: z.string().min(1),
        roles: z.array(roleSchema).min(1),
        /** The folder for durable state; required by the control role. */
        dataFolder: z.string().optional(),
        /** How long a stopping daemon answers "not ready" before it closes its listeners, so that the load balancer notices. */
        balancerWaitMs: z.number().int().min(0).max(3_600_000).default(1_000),
        /** Allows listeners beyond loopback without TLS; otherwise such a listener is a finding. */
        allowPlaintext: z.boolean().default(false),
    }),
    /** The listener for other daemons. */
    rpc: z.strictObject({
        listen: addressSchema,
        /** The address at which other daemons reach this one, if it differs from `listen`. */
        advertise: addressSchema.optional(),
    }),
    /** The listener for callers; required by the entry role. */
    callers: z.strictObject({
        listen: addressSchema,
        maxBodyBytes: z.number().int().positive().default(1_048_576),
        maxQueued: z.number().int().positive().default(1_000),
    }).optional(),
    /** The listener for operators; required by the control role. */
    operators: z.strictObject({
        listen: addressSchema,
        /** The SHA-256 hash of each token, in hexadecimal. */
        tokenHashes: z.array(hashSchema).min(1),
    }).optional(),
    /** The region's voters; every daemon attaches its session to one of them. */
    control: z.strictObject({
        voters: z.array(peerSchema).min(1),
        /** Entries that sidecars attach to; if unset, they attach to the voters. */
        relays: z.array(peerSchema).min(1).optional(),
    }),
    /** The VM that the sidecar runs beside; required by the sidecar role. */
    vm: z.strictObject({
        id: z.string().min(1),
        fabricDomain: z.string().min(1),
        service: z.string().min(1),
        kind: z.enum(["model", "plain"]),
        /** The engine or plain service on this VM. */
        upstream: addressSchema,
    }).optional(),
    telemetry: z.strictObject({
        /** The StatsD address to which metrics are sent by UDP; if unset, none are sent. */
        statsd: addressSchema.optional(),
        /** Spans are written to a file, one JSON line each, or sent to the URL of an OTLP/HTTP collector. At most one may be set. */
        tracesFile: z.string().optional(),
        tracesUrl: z.string().optional(),
        /** The share, from 0 to 1, of requests without a trace context from the caller that are traced. */
        tracesShare: z.number().min(0).max(1).default(1),
        logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
    }).prefault({}),
    tls: z.strictObject({
        certificateFile: z.string(),
        keyFile: z.string(),
        authorityFile: z.string(),
    }).optional(),
});

export type Settings = z.infer<typeof settingsSchema>;
export type Role = z.infer<typeof roleSchema>;
export type Peer = z.infer<typeof peerSchema>;
