/**
 * Parses which parts of its prompt a request may share with others.
 *
 * @module
 */

/** Further parts are ignored, so that a caller can't make crash reports large. */
const maxSharedParts = 16;
const maxIdChars = 64;

/**
 * Returns the ids of the parts that other requests may have too, each once: all but the last, which belongs to the request or its session.
 * Entries without an id are left out.
 */
export function parseSharedParts(header: string | undefined): readonly string[] {
    const ids = (header ?? "").split(",").slice(0, -1).map(entry => entry.split(":")[0]!.trim().toLowerCase());
    return [...new Set(ids.filter(id => id.length > 0 && id.length <= maxIdChars))].slice(0, maxSharedParts);
}
