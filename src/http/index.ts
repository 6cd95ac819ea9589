export { BodyTooLargeError, readBoundedText } from "./boundedBody.js";
export { createHttpConnections, type HttpConnections, type RequestPosition, waitForPendingReads } from "./connections.js";
export { createGracefulListener, type GracefulListener } from "./gracefulListener.js";
export { startListening } from "./listening.js";
export { createReadGate, type ReadGate } from "./readGate.js";
export { createWaitingCallers, type WaitingCaller, type WaitingCallers } from "./waitingCallers.js";
export { parseAmount, parseRetryAfterMs } from "./retryAfter.js";
export { maxInformationalAnswers, maxStatus } from "./status.js";
