/**
 * A set that keeps the values added most recently.
 *
 * @module
 */

export interface RecentSet<T> {
    /** Adds a value, or makes it the most recent one. */
    add(value: T): void;
    has(value: T): boolean;
}

/** Creates an empty set that keeps `maxSize` values. */
export function createRecentSet<T>(maxSize: number): RecentSet<T> {
    const values = new Set<T>();
    return {
        add(value) {
            values.delete(value);
            values.add(value);
            if (values.size > maxSize) {
                values.delete(values.values().next().value!);
            }
        },
        has: value => values.has(value),
    };
}
