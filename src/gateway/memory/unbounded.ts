/**
 * Stands in for the account in a process without a memory limit.
 *
 * @module
 */

import { nothingHeld } from "./account.js";
import type { BodyReading, Holder, Memory } from "./types.js";

const nothing = () => undefined;

/** The reading of a body that isn't counted. */
export const uncountedBody: BodyReading = { received: nothing, completed: nothing, dropped: nothing };
const uncountedHolder: Holder = {
    hold: nothing,
    mayReadOn: false,
    attach: source => ({ isPaused: false, pause: () => source.pause(), drained: () => source.resume(), detach: nothing }),
    readBody: () => uncountedBody,
    retain: () => nothing,
    callerClosed: nothing,
};

/** For a process without a memory limit: nothing is counted, and exchanges are paused while their caller has bytes to take. */
export const unboundedMemory: Memory = {
    isBounded: false, refusesBodies: false, boundBytes: 0, held: nothingHeld,
    open: () => uncountedHolder, countRefusal: nothing, check: nothing,
};
