/**
 * What an upstream says of itself, decoded: where it is, whether it takes work, which weights its VM holds and which group it is in.
 *
 * @module
 */

import { z } from "zod";

const name = z.string().min(1);

export const groupStateSchema = z.enum(["joining", "ready", "open", "closing", "broken"]);

/** An upstream's place in a group, as that upstream sees it: it does not know how the other members fare. */
export const groupPlaceSchema = z.strictObject({
    name,
    epoch: z.number().int().min(0),
    /** 0 is the head, the one member that takes requests. */
    rank: z.number().int().min(0),
    state: groupStateSchema,
});

/** An upstream's announcement. */
export const announcementSchema = z.strictObject({
    id: name,
    service: name,
    address: name,
    dataCentre: name,
    /** The time of day at which this life began, in ms: it tells lives of one id apart and is compared with nothing else. */
    bornMs: z.number().int(),
    /** Grows with each announcement of one life. */
    sequence: z.number().int(),
    state: z.enum(["ready", "draining"]),
    coldForMs: z.number().min(0),
    slots: z.number().int().min(0),
    /** The fabric domain; undefined for upstreams that form no groups. */
    domain: z.string().optional(),
    /** Models whose weights are on the VM. */
    stagedModels: z.array(z.string()),
    group: groupPlaceSchema.optional(),
});

export type GroupPlace = z.infer<typeof groupPlaceSchema>;
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * An upstream as it is known here. `heardAtMs` and `coldUntilMs` are on this process's clock: what crosses to another process
 * travels as an age, since clocks of two VMs are never compared.
 */
export interface Upstream extends Announcement {
    readonly heardAtMs: number;
    readonly coldUntilMs: number;
    /** It said goodbye, or another life or upstream has taken its place: it gets no work. */
    readonly isGone: boolean;
    /** It is gone because it said goodbye: its process may serve on for some seconds. */
    readonly hasLeft: boolean;
}

/** An upstream on its way to another process. */
export const carriedUpstreamSchema = z.strictObject({
    ...announcementSchema.shape,
    heardAgoMs: z.number().min(0),
    isGone: z.boolean(),
    hasLeft: z.boolean(),
});
export type CarriedUpstream = z.infer<typeof carriedUpstreamSchema>;
