export * from "./boundedText.js";
export * from "./check.js";
export * from "./dialect.js";
export * from "./overload.js";
export * from "./table.js";
export * from "./types.js";
