export { startAnswerTimeout } from "./answerTimeout.js";
export { type Reducer, type Step, step, unchanged } from "./reducer.js";
export { type Clock, createLeaseClock } from "./clock.js";
export { type Containment, createContainment } from "./containment.js";
export { createLoopTicks, type LoopTicks } from "./loopTicks.js";
export { createHost, type Host } from "./host.js";
export { type AsyncQueue, createAsyncQueue } from "./queue.js";
export { createRecentSet, type RecentSet } from "./recentSet.js";
export { emptyMap, mapDelete, mapEntries, mapGet, mapSet, type PersistentMap } from "./persistentMap.js";
