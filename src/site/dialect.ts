/**
 * The interface of a dialect, which decodes the format in which an operator writes a site.
 *
 * @module
 */

import type { SiteFinding } from "./check.js";
import type { Site } from "./types.js";

/** A decoded site, or all problems found in its text. */
export type DecodedSite =
    | { readonly site: Site; readonly findings?: undefined }
    | { readonly site?: undefined; readonly findings: readonly SiteFinding[] };

export interface SiteDialect {
    /** Decodes a published text. Never throws, whatever the text contains. */
    decodeSite(text: string): DecodedSite;
}
