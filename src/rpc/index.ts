export * from "./client.js";
export * from "./gen/zinnialanding/v1/consensus_pb.js";
export * from "./gen/zinnialanding/v1/control_pb.js";
export * from "./gen/zinnialanding/v1/sidecar_pb.js";
export * from "./gen/zinnialanding/v1/site_pb.js";
export * from "./server.js";
export { createSessionManager, type SessionManager } from "./sessionManager.js";
