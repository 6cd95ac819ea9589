/**
 * The engine stand-in's prefix cache: a bounded number of fixed-size blocks of prompt text with LRU eviction.
 *
 * @module
 */

/** Characters per cached block. */
export const blockChars = 64;

export interface PrefixCacheEvents {
    stored(prefixHash: string): void;
    removed(prefixHash: string): void;
}

export interface PrefixCache {
    /** Returns the length in characters of the cached prefix of `prompt`, then caches all complete blocks of the prompt. */
    matchAndInsert(prompt: string): number;
    clear(): void;
    /** The number of prompts looked up, and of those whose first block was cached. */
    readonly counts: { readonly lookups: number; readonly hits: number };
}

/** A short, stable hash (FNV-1a) of a prompt's prefix; identifies the last block of the prefix. */
export function prefixHash(prefix: string): string {
    let hash = 0x811c9dc5;
    for (let index = 0; index < prefix.length; index++) {
        hash = Math.imul(hash ^ prefix.charCodeAt(index), 0x01000193) >>> 0;
    }
    return hash.toString(16).padStart(8, "0");
}

/** Creates a cache of at most `maxBlocks` blocks. */
export function createPrefixCache(maxBlocks: number, events: PrefixCacheEvents): PrefixCache {
    const blocks = new Map<string, true>();
    const counts = { lookups: 0, hits: 0 };

    function touch(hash: string): boolean {
        const wasCached = blocks.delete(hash);
        blocks.set(hash, true);
        if (!wasCached) {
            events.stored(hash);
        }
        return wasCached;
    }

    function evict() {
        while (blocks.size > maxBlocks) {
            const oldest = blocks.keys().next().value!;
            blocks.delete(oldest);
            events.removed(oldest);
        }
    }

    return {
        counts,
        matchAndInsert(prompt) {
            let cachedChars = 0;
            let isContiguous = true;
            for (let end = blockChars; end <= prompt.length; end += blockChars) {
                isContiguous = touch(prefixHash(prompt.slice(0, end))) && isContiguous;
                cachedChars = isContiguous ? end : cachedChars;
            }
            evict();
            counts.lookups++;
            counts.hits += cachedChars > 0 ? 1 : 0;
            return cachedChars;
        },
        clear() {
            for (const hash of blocks.keys()) {
                events.removed(hash);
            }
            blocks.clear();
        },
    };
}
