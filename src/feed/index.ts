export * from "./frames.js";
export { createFeedServer, type FeedServer, type FrameKind } from "./server.js";
export { aliveIntervalMs, createFeedWatcher, type FeedWatcher } from "./watcher.js";
