/**
 * Decodes the parts of messages that daemons of another version may lack or write differently.
 *
 * @module
 */

import type { z } from "zod";

/** Decodes messages of one schema. Empty bytes are undefined; so are unreadable ones, of which only the first calls `onUnreadable`. */
export function createLenientDecoder<T>(schema: z.ZodType<T>, onUnreadable: (error: string) => void) {
    let hasReported = false;
    return (bytes: Uint8Array): T | undefined => {
        if (bytes.length === 0) {
            return undefined;
        }
        try {
            return schema.parse(JSON.parse(Buffer.from(bytes).toString("utf8")));
        }
        catch (error) {
            if (!hasReported) {
                hasReported = true;
                onUnreadable(String(error).slice(0, 300));
            }
            return undefined;
        }
    };
}
