export { type Allowance, type AllowanceInput, type AllowanceState, computeAllowance, initialAllowance } from "./allowance.js";
export {
    type ColdStartEffect, type ColdStartEvent, type ColdStartPolicy, type ColdStartState, coldStartReducer, coldStartDefaults,
    initialColdStart, startingCount,
} from "./coldStart.js";
export { FixedLimiter, SlowStartLimiter, type StartDecision, type StartLimiter } from "./startLimiter.js";
export {
    initialQueue, type QueueEffect, type QueueEvent, type QueueRefusal, queueReducer,
} from "./queue.js";
export {
    initialPriorityQueue, nextWaiting, type PriorityQueueEffect, type PriorityQueueEvent, priorityQueueReducer, type PriorityQueueState,
    type QueueBounds, type WaitingRefusal, type WaitingRequest,
} from "./priorityQueue.js";
export {
    initialReserve, priorityClass, reservedFor, type ReserveEvent, reserveReducer, type ReserveState, type RoomRates, roomRates,
} from "./reserve.js";
export { type QueuedRequest, type QueuePolicy, type QueueState } from "./queueState.js";
export { FairDeadlineQueue, FifoQueue, type RequestQueue } from "./requestQueue.js";
export { jitteredRetryAfterMs } from "./retryAfter.js";
export {
    defaultRetryBudget, initialRetryBudget, RetryBudget, type RetryBudgetEvent, type RetryBudgetPolicy, retryBudgetReducer,
    type RetryBudgetState,
} from "./retryBudget.js";
