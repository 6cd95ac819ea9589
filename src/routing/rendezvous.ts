/**
 * Rendezvous hashing. Every key ranks all upstreams by a hash of the pair, so that adding or removing an upstream moves only the keys for
 * which it ranks first.
 *
 * @module
 */

/** Returns a 32-bit hash of a text (FNV-1a with a final mix). It is not collision-resistant against an attacker. */
export function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return mix(hash);
}

function mix(value: number): number {
    let hash = value ^ (value >>> 16);
    hash = Math.imul(hash, 0x85ebca6b);
    hash ^= hash >>> 13;
    hash = Math.imul(hash, 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns the score of a key and an item, given their hashes. */
export function pairScore(keyHash: number, itemHash: number): number {
    return mix(keyHash ^ Math.imul(itemHash, 0x9e3779b1));
}

/** Returns at most `count` items with the highest scores for the key, best first. */
export function rank<Item>(keyHash: number, items: readonly Item[], hashOf: (item: Item) => number, count: number): Item[] {
    return items
        .map(item => ({ item, score: pairScore(keyHash, hashOf(item)) }))
        .sort((a, b) => b.score - a.score)
        .slice(0, count)
        .map(({ item }) => item);
}

const prefixChars = 256;

/** Returns the key under which requests share a cached prefix: the organisation and the start of the prompt. */
export function prefixKeyOf(organisation: string, prompt: string): string {
    return `${organisation}\n${prompt.slice(0, prefixChars)}`;
}
