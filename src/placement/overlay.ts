/**
 * A copy-on-write overlay over an immutable map. Most steps change no VM, and copying all 11,000 entries made up most of a step's cost.
 *
 * @module
 */

/** A read-only lookup by key. */
export interface Lookup<Value> {
    get(key: string): Value | undefined;
}

/** A map whose changes leave the map it is based on unchanged. */
export interface Overlay<Value> extends Lookup<Value> {
    set(key: string, value: Value): void;
    delete(key: string): void;
    entries(): [string, Value][];
    /** Returns the map with the changes applied, or the base map itself if there are none. */
    toMap(): ReadonlyMap<string, Value>;
}

/** Creates an overlay that copies `base` on the first change. */
export function createOverlay<Value>(base: ReadonlyMap<string, Value>): Overlay<Value> {
    let copy: Map<string, Value> | undefined;

    function writableCopy(): Map<string, Value> {
        copy ??= new Map(base);
        return copy;
    }

    return {
        get: key => (copy ?? base).get(key),
        set: (key, value) => void writableCopy().set(key, value),
        delete: key => void writableCopy().delete(key),
        entries: () => [...(copy ?? base)],
        toMap: () => copy ?? base,
    };
}
