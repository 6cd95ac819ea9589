/**
 * The chunks of an answer as an immutable linked list. Appending a chunk allocates one small object, whatever the length of the list.
 *
 * @module
 */

export interface ChunkList {
    readonly count: number;
    readonly bytes: number;
    readonly last?: { readonly data: Uint8Array; readonly previous: ChunkList } | undefined;
}

export const emptyChunks: ChunkList = { count: 0, bytes: 0 };

/** Returns the list with one more chunk. */
export function appendChunk(list: ChunkList, data: Uint8Array): ChunkList {
    return { count: list.count + 1, bytes: list.bytes + data.length, last: { data, previous: list } };
}

/** Returns the counts of the list with one more chunk, but no data: for an answer that can be neither continued nor stored. */
export function countChunk(list: ChunkList, data: Uint8Array): ChunkList {
    return { count: list.count + 1, bytes: list.bytes + data.length };
}

/** Returns the chunks, oldest first. */
export function chunksOf(list: ChunkList): Uint8Array[] {
    const chunks: Uint8Array[] = [];
    for (let rest = list; rest.last !== undefined; rest = rest.last.previous) {
        chunks.push(rest.last.data);
    }
    return chunks.reverse();
}
