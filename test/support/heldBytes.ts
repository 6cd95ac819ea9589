/**
 * Measures the memory that a test holds.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Returns the bytes that this process holds, without garbage. */
export function measureHeldBytes(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}
