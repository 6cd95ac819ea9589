/**
 * Contains exceptions in callbacks of timers, sockets and parsers. What such a callback throws has no caller to handle it and would end the
 * process with everything that it serves.
 *
 * @module
 */

/** Returns a function that calls `callback` and passes what it throws to `onThrown`. */
export type Containment = <Args extends unknown[]>(callback: (...args: Args) => void) => (...args: Args) => void;

/** Creates a containment. `onThrown` must not throw. */
export function createContainment(onThrown: (error: unknown) => void): Containment {
    return callback => (...args) => {
        try {
            callback(...args);
        }
        catch (error) {
            onThrown(error);
        }
    };
}
