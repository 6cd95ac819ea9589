export * from "./frames.js";
export { createFeedServer, type FeedServer } from "./server.js";
export { aliveMs, createFeedWatcher, type FeedWatcher } from "./watcher.js";
