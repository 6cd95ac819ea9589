export * from "./frames.js";
export {
    createFeedServer, type DirectoryPosition, type FeedServer, type FrameKind, type PositionedFrame, type WatcherRole,
} from "./server.js";
export { aliveIntervalMs, createFeedWatcher, type FeedWatcher } from "./watcher.js";
