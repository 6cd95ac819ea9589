export { BodyTooLargeError, readBoundedText } from "./boundedBody.js";
export { waitForPendingReads, type RequestPosition, createHttpConnections, type HttpConnections } from "./connections.js";
export { createGracefulListener, type GracefulListener } from "./gracefulListener.js";
export { startListening } from "./listening.js";
export { createWaitingCallers, type WaitingCaller, type WaitingCallers } from "./waitingCallers.js";
export { parseAmount, parseRetryAfterMs } from "./retryAfter.js";
