export * from "./lease.js";
export { createRelay, createReportFilter, type Relay, serializeStableFields, sidecarSilenceTimeoutMs } from "./relay.js";
export * from "./server.js";
export { createSession, type Session, type SessionOptions } from "./session.js";
export { applyMessage, emptyView, type SessionView } from "./view.js";
