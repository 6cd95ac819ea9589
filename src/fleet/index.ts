export { addressSchema, isAddress } from "./address.js";
export * from "./directory.js";
export * from "./groups.js";
export * from "./limits.js";
export * from "./pushbacks.js";
export * from "./signals.js";
export * from "./types.js";
