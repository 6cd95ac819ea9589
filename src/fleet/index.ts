export * from "./directory.js";
export * from "./groups.js";
export * from "./types.js";
