export * from "./claims.js";
export * from "./configuration.js";
export * from "./log.js";
export * from "./published.js";
export { applyCommand } from "./reducer.js";
export * from "./replicas.js";
export * from "./state.js";
export * from "./suspects.js";
