export * from "./callers.js";
export * from "./daemons.js";
export * from "./runner.js";
export type * from "./runnerTypes.js";
