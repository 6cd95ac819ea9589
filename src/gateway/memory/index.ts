export { type HeldKind, heldKinds } from "./account.js";
export { createMemory } from "./memory.js";
export type { AttachedSource, BodyReading, CallerConnection, Holder, Memory, Source } from "./types.js";
export { unboundedMemory } from "./unbounded.js";
