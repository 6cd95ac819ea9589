/**
 * What the product needs from whatever translates an operator's manner of writing a site.
 *
 * @module
 */

import type { SiteFinding } from "./check.js";
import type { Site } from "./types.js";

/** A decoded site, or everything that is wrong with its text. */
export type DecodedSite =
    | { readonly site: Site; readonly findings?: undefined }
    | { readonly site?: undefined; readonly findings: readonly SiteFinding[] };

export interface SiteDialect {
    /** Reads a published text in full. Never throws for what is in it. */
    decodeSite(text: string): DecodedSite;
}
