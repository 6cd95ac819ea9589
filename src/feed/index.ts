export { type CrashReport, crashReportSchema } from "./crashReports.js";
export * from "./frames.js";
export type { LogPosition } from "./logPosition.js";
export { createLenientDecoder, decodeItems, type RefusalHandler } from "./lenientDecoder.js";
export { type EntryLoads, entryLoadsSchema, type SharedLoadsAnswer, sharedLoadsSchema } from "./loads.js";
export {
    createFeedServer, type DirectoryPosition, type FeedServer, type FrameKind, type PositionedFrame, type WatcherRole,
} from "./server.js";
export { aliveIntervalMs, createFeedWatcher, type FeedWatcher } from "./watcher.js";
