export { defaultMaxConcurrentLoads } from "./loads.js";
export { type PlacementOptions, planPlacement } from "./plan.js";
export { RebuildAtRandom, type RepairPolicy, SpareFirst, WaitForReturn } from "./policy.js";
export { initialPlacement, type PlacementState } from "./state.js";
export { type PlacementOrder, type PlacementView, type Plan, startWindowMs, vmSilenceTimeoutMs, type VmView } from "./view.js";
