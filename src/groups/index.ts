export type { Coverage, ModelCoverage } from "./coverage.js";
export { firstEpochOf, type GroupsPlan, planGroups } from "./plan.js";
export * from "./types.js";
export { createRevisions, type EngineState, isAsPlanned, type Revisions, withoutLastOrder } from "./revisions.js";
export { createUnansweredOrders, type UnansweredOrders } from "./unansweredOrders.js";
