export { createGateway, type Gateway, type GatewayOptions } from "./gateway.js";
export { type HeaderNames, headerValue } from "./headers.js";
export { readSignals } from "./signals.js";
export { unsendableReason } from "./sendable.js";
