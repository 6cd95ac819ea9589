export { addCacheEvent, type CacheEvent, type CacheHints, isHinted, noCacheHints } from "./cacheHints.js";
export { AffinityTwoChoices, RandomChoice, RoundRobin, type UpstreamPolicy } from "./policies.js";
export { hashText, prefixKeyOf, rank } from "./rendezvous.js";
export { choose, freeSlotsOf, UpstreamRouter } from "./router.js";
export { defaultRoutingPolicy, initialRouting, observe, type RoutingEvent, type RoutingPolicy, type RoutingState } from "./state.js";
export type { RouteAsk, RouteChoice, RoutedUpstream } from "./types.js";
