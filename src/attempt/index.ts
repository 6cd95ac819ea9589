export { type Execution, type Problem, problemOf, type RefusalCode, refusalCodeOf, refusalCodes } from "./refusals.js";
export { type ChunkList, chunksOf, emptyChunks } from "./chunks.js";
export { continuationOf } from "./continuation.js";
export * from "./requestTypes.js";
export { newRequest, reduceRequest } from "./request.js";
export * from "./eventLog.js";
export * from "./registry.js";
export * from "./registryState.js";
