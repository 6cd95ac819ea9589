export { createGateway, type Gateway, type GatewayOptions } from "./gateway.js";
export { type HeaderNames } from "./headers.js";
export { readSignals } from "./signals.js";
