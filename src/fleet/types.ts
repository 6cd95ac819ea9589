/**
 * Decoded announcements of upstreams: their address, whether they accept work, the weights on their VM and their group.
 *
 * @module
 */

import { z } from "zod";

const name = z.string().min(1);

export const groupStateSchema = z.enum(["joining", "ready", "open", "closing", "broken"]);

/** An upstream's membership of a group from its own point of view; it doesn't know the state of the other members. */
export const groupMembershipSchema = z.strictObject({
    name,
    epoch: z.number().int().min(0),
    /** 0 is the head, the only member that accepts requests. */
    rank: z.number().int().min(0),
    state: groupStateSchema,
});

/** An upstream's announcement. */
export const announcementSchema = z.strictObject({
    id: name,
    service: name,
    address: name,
    dataCentre: name,
    /** The wall-clock time at which this incarnation started. It is compared only with that of other incarnations of the same id. */
    bornMs: z.number().int(),
    /** Increases with each announcement of an incarnation. */
    sequence: z.number().int(),
    state: z.enum(["ready", "draining"]),
    coldForMs: z.number().min(0),
    slots: z.number().int().min(0),
    /** The fabric domain; undefined for upstreams that don't form groups. */
    domain: z.string().optional(),
    /** Models whose weights are on the VM. */
    stagedModels: z.array(z.string()),
    group: groupMembershipSchema.optional(),
});

export type GroupMembership = z.infer<typeof groupMembershipSchema>;
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * An upstream as known to this process. `heardAtMs` and `coldUntilMs` refer to this process's clock. Other processes receive them as
 * durations, since clocks of different VMs are never compared.
 */
export interface Upstream extends Announcement {
    readonly heardAtMs: number;
    readonly coldUntilMs: number;
    /** Whether it has left or has been replaced by another incarnation or upstream; if so, it receives no work. */
    readonly isGone: boolean;
    /** Whether it is gone because it has left; if so, its process may continue to serve for some seconds. */
    readonly hasLeft: boolean;
}

/** One life of an upstream's process. */
export const incarnationSchema = z.strictObject({ id: name, bornMs: z.number().int() });
export type Incarnation = z.infer<typeof incarnationSchema>;

/** An upstream in the form that is relayed to other processes. */
export const relayedUpstreamSchema = z.strictObject({
    ...announcementSchema.shape,
    heardAgoMs: z.number().min(0),
    isGone: z.boolean(),
    hasLeft: z.boolean(),
});
export type RelayedUpstream = z.infer<typeof relayedUpstreamSchema>;
