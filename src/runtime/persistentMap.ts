/**
 * A persistent map with string keys, implemented as a 16-way hash trie. An update copies only the path to the changed leaf, whatever the
 * size of the map. The nodes are plain data, so that a snapshot of the replicated state can be stored as JSON.
 *
 * @module
 */

/** A node of the trie: either a leaf with entries or an inner node with sixteen branches, where 0 stands for an empty branch. */
export interface PersistentMap<Value> {
    readonly size: number;
    readonly entries?: readonly (readonly [string, Value])[];
    readonly branches?: readonly (PersistentMap<Value> | 0)[];
}

const branchCount = 16;
const branchBits = 4;
const maxLeafEntries = 16;
/** At this depth all 32 bits of the hash have been used. */
const maxDepth = 8;

/** Returns a map without entries. */
export function emptyMap<Value>(): PersistentMap<Value> {
    return { size: 0, entries: [] };
}

/** Computes an FNV-1a hash with a finalizer, so that the low bits also differ for keys that differ only at their end. */
function hashKey(key: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < key.length; index++) {
        hash = Math.imul(hash ^ key.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    return (hash ^ (hash >>> 13)) >>> 0;
}

function branchIndex(hash: number, depth: number): number {
    return (hash >>> (depth * branchBits)) & (branchCount - 1);
}

/** Returns the value of a key, or undefined if the map does not have it. */
export function mapGet<Value>(map: PersistentMap<Value>, key: string): Value | undefined {
    const hash = hashKey(key);
    let node: PersistentMap<Value> | 0 | undefined = map;
    for (let depth = 0; node && node.branches !== undefined; depth++) {
        node = node.branches[branchIndex(hash, depth)];
    }
    return node ? node.entries?.find(entry => entry[0] === key)?.[1] : undefined;
}

/** Returns a copy of the map with a key set. */
export function mapSet<Value>(map: PersistentMap<Value>, key: string, value: Value): PersistentMap<Value> {
    return setAt(map, hashKey(key), 0, key, value);
}

function setAt<Value>(node: PersistentMap<Value> | 0, hash: number, depth: number, key: string, value: Value): PersistentMap<Value> {
    if (node === 0) {
        return { size: 1, entries: [[key, value]] };
    }
    if (node.branches !== undefined) {
        const index = branchIndex(hash, depth);
        const before = node.branches[index]!;
        const after = setAt(before, hash, depth + 1, key, value);
        const branches = node.branches.slice();
        branches[index] = after;
        return { size: node.size + after.size - (before === 0 ? 0 : before.size), branches };
    }
    const entries: readonly (readonly [string, Value])[] = [...node.entries!.filter(entry => entry[0] !== key), [key, value]];
    const leaf: PersistentMap<Value> = { size: entries.length, entries };
    return entries.length > maxLeafEntries && depth < maxDepth ? split(leaf, depth) : leaf;
}

function split<Value>(leaf: PersistentMap<Value>, depth: number): PersistentMap<Value> {
    const empty: PersistentMap<Value> = { size: 0, branches: new Array<0>(branchCount).fill(0) };
    return leaf.entries!.reduce((node, [key, value]) => setAt(node, hashKey(key), depth, key, value), empty);
}

/** Returns a copy of the map without a key. */
export function mapDelete<Value>(map: PersistentMap<Value>, key: string): PersistentMap<Value> {
    return mapGet(map, key) === undefined ? map : deleteAt(map, hashKey(key), 0, key);
}

function deleteAt<Value>(node: PersistentMap<Value>, hash: number, depth: number, key: string): PersistentMap<Value> {
    if (node.branches === undefined) {
        return { size: node.size - 1, entries: node.entries!.filter(entry => entry[0] !== key) };
    }
    const index = branchIndex(hash, depth);
    const branches = node.branches.slice();
    const after = deleteAt(branches[index] as PersistentMap<Value>, hash, depth + 1, key);
    branches[index] = after.size === 0 ? 0 : after;
    return { size: node.size - 1, branches };
}

/** Yields all entries, in an order that depends on the map's history. */
export function* mapEntries<Value>(map: PersistentMap<Value>): Generator<readonly [string, Value]> {
    if (map.branches === undefined) {
        yield* map.entries ?? [];
        return;
    }
    for (const branch of map.branches) {
        if (branch !== 0) {
            yield* mapEntries(branch);
        }
    }
}
