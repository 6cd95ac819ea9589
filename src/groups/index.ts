export type { Coverage, ModelCoverage } from "./coverage.js";
export { firstEpochOf, type GroupsPlan, planGroups } from "./plan.js";
export * from "./types.js";
export { createUnansweredOrders, type UnansweredOrders } from "./unansweredOrders.js";
