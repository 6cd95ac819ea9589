/**
 * The latest published site configuration and the data centres that operators have evacuated. The text is stored unchanged, so that it
 * can be read back byte for byte; the proposer has parsed and validated it.
 *
 * A published text has a version, so one that is carried out late changes nothing. Evacuations have no order of their own: their starts and
 * ends are counted, and one that was asked for before another was carried out is superseded by that.
 *
 * @module
 */

import { z } from "zod";

export const publishSiteSchema = z.strictObject({
    kind: z.literal("publish-site"),
    version: z.number().int().min(0),
    text: z.string(),
});

export const evacuateSchema = z.strictObject({
    kind: z.literal("evacuate"),
    dataCentre: z.string().min(1),
    isOut: z.boolean(),
    /** The revision at which its operator was known to wait for it. Absent in logs of older daemons: it is applied at any revision. */
    basedOnRevision: z.number().int().min(0).optional(),
});

export type PublishSite = z.infer<typeof publishSiteSchema>;
export type Evacuate = z.infer<typeof evacuateSchema>;
export type PublishedCommand = PublishSite | Evacuate;

export interface PublishedState {
    /** Undefined until a site has been published. */
    readonly site: { readonly version: number; readonly text: string } | undefined;
    /** The data centres that get no new requests, sorted. */
    readonly evacuated: readonly string[];
    /** How many starts and ends of evacuations have been applied. Absent in snapshots of daemons that did not count them. */
    readonly evacuationRevision?: number;
}

/** `version` is the published version after the command, which is unchanged if the command's version wasn't higher. */
export interface PublishedResult {
    readonly outcome: "published";
    readonly version: number;
}

/** `superseded`: another start or end was applied since the revision on which this one is based, and nothing has changed. */
export interface EvacuationResult {
    readonly outcome: "evacuation-applied" | "superseded";
    /** The revision after the command. */
    readonly revision: number;
}

export const emptyPublished: PublishedState = { site: undefined, evacuated: [] };

export function evacuationRevisionOf({ evacuationRevision = 0 }: PublishedState): number {
    return evacuationRevision;
}

function applyPublishSite(state: PublishedState, { version, text }: PublishSite): { state: PublishedState; result: PublishedResult } {
    const isNewer = state.site === undefined || version > state.site.version;
    const next = isNewer ? { ...state, site: { version, text } } : state;
    return { state: next, result: { outcome: "published", version: next.site!.version } };
}

/** Counts commands that change nothing as well: whoever was told that they hold must not lose them to an earlier one. */
function applyEvacuate(
    state: PublishedState, { dataCentre, isOut, basedOnRevision }: Evacuate,
): { state: PublishedState; result: EvacuationResult } {
    const revision = evacuationRevisionOf(state);
    if (basedOnRevision !== undefined && basedOnRevision !== revision) {
        return { state, result: { outcome: "superseded", revision } };
    }
    const others = state.evacuated.filter(name => name !== dataCentre);
    const evacuated = isOut ? [...others, dataCentre].sort() : others;
    const evacuationRevision = revision + 1;
    return { state: { ...state, evacuated, evacuationRevision }, result: { outcome: "evacuation-applied", revision: evacuationRevision } };
}

/** Applies one command. The highest version wins: publishing an older version is accepted but has no effect. */
export function applyPublishedCommand(
    state: PublishedState, command: PublishedCommand,
): { state: PublishedState; result: PublishedResult | EvacuationResult } {
    return command.kind === "publish-site" ? applyPublishSite(state, command) : applyEvacuate(state, command);
}
