/**
 * Decodes the parts of messages that daemons of another version may lack or write differently.
 *
 * @module
 */

import type { z } from "zod";

/** An item of a list that can't be read. */
export interface ItemRefusal {
    readonly id: string | undefined;
    readonly error: string;
}

/** Decodes the items of a list one by one, so that those which can't be read don't make the others unusable. */
export function decodeItems<T>(schema: z.ZodType<T>, items: unknown): { readonly items: T[]; readonly refused: readonly ItemRefusal[] } {
    const decoded: T[] = [];
    const refused: ItemRefusal[] = [];
    for (const item of Array.isArray(items) ? items : []) {
        const result = schema.safeParse(item);
        if (result.success) {
            decoded.push(result.data);
        }
        else {
            refused.push(refusalOf(item, result.error));
        }
    }
    return { items: decoded, refused };
}

const maxRefusalChars = 100;

/** States the id of an item, if it has one, and the first thing that is wrong with it. */
function refusalOf(item: unknown, { issues }: z.ZodError): ItemRefusal {
    const { id } = (item ?? {}) as { readonly id?: unknown };
    const { path = [], message } = issues[0] ?? {};
    return { id: typeof id === "string" ? id.slice(0, maxRefusalChars) : undefined, error: `${path.join(".")}: ${message}`.slice(0, maxRefusalChars) };
}

/** The schemas of the items of lists by the name of the list's field. */
export type ListSchemas = Readonly<Record<string, z.ZodType>>;

/** Decodes an object with lists whose unreadable items are left out. Throws if the rest can't be read. */
export function parseWithLists<T extends object>(
    schema: z.ZodType<T>, lists: ListSchemas, value: unknown,
): { readonly decoded: T; readonly refused: readonly ItemRefusal[] } {
    const raw = (value ?? {}) as Readonly<Record<string, unknown>>;
    const present = Object.entries(lists).filter(([field]) => Array.isArray(raw[field]));
    const parts = present.map(([field, item]) => ({ field, ...decodeItems(item, raw[field]) }));
    const withoutItems = { ...raw, ...Object.fromEntries(parts.map(({ field }) => [field, []])) };
    const items = Object.fromEntries(parts.map(part => [part.field, part.items]));
    return { decoded: Object.assign(schema.parse(withoutItems), items), refused: parts.flatMap(({ refused }) => refused) };
}

/** Is told of what was refused: a frame, or `count` items of a list of which `fields` describes the first. */
export type RefusalHandler = (kind: "frame" | "relayed-item", fields: object, count?: number) => void;

/** Reports the items that were refused, if any. */
export function reportRefusedItems(refused: readonly ItemRefusal[], fields: object, onRefused: RefusalHandler | undefined): void {
    if (refused.length > 0) {
        onRefused?.("relayed-item", { ...fields, ...refused[0] }, refused.length);
    }
}

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
