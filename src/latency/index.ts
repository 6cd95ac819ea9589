export * from "./backlog.js";
export * from "./firstEvent.js";
export * from "./network.js";
export * from "./onTimeLimit.js";
export * from "./quantiles.js";
export * from "./speed.js";
