export * from "./frames.js";
export { createLoadsDecoder, type EntryLoads, entryLoadsSchema, type SharedLoadsAnswer, sharedLoadsSchema } from "./loads.js";
export { createFeedServer, type FeedServer, type FrameKind } from "./server.js";
export { aliveIntervalMs, createFeedWatcher, type FeedWatcher } from "./watcher.js";
