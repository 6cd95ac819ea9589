/**
 * The site text that operators published last, and the data centres that they have taken out. The text is kept as it came, so that it
 * is read back byte for byte; whoever proposes it has decoded and checked it before.
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
});

export type PublishSite = z.infer<typeof publishSiteSchema>;
export type Evacuate = z.infer<typeof evacuateSchema>;
export type PublishedCommand = PublishSite | Evacuate;

export interface PublishedState {
    /** Undefined until a site has been published. */
    readonly site: { readonly version: number; readonly text: string } | undefined;
    /** Data centres that get no new work, sorted. */
    readonly evacuated: readonly string[];
}

/** `version` is the one in the log after the command: a lower or equal one that came late changes nothing. */
export interface PublishedResult {
    readonly outcome: "published";
    readonly version: number;
}

export const nothingPublished: PublishedState = { site: undefined, evacuated: [] };

/** Applies one command. The highest version wins, so a publication that was overtaken is accepted and has no effect. */
export function applyPublishedCommand(
    state: PublishedState, command: PublishedCommand,
): { state: PublishedState; result: PublishedResult } {
    if (command.kind === "publish-site") {
        const isNewer = state.site === undefined || command.version > state.site.version;
        const next = isNewer ? { ...state, site: { version: command.version, text: command.text } } : state;
        return { state: next, result: { outcome: "published", version: next.site!.version } };
    }
    const others = state.evacuated.filter(name => name !== command.dataCentre);
    const evacuated = command.isOut ? [...others, command.dataCentre].sort() : others;
    return { state: { ...state, evacuated }, result: { outcome: "published", version: state.site?.version ?? 0 } };
}
