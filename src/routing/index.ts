export { applyCacheEvent, type CacheEvent, type CacheHints, isHinted, emptyCacheHints } from "./cacheHints.js";
export { AffinityTwoChoices, RandomChoice, RoundRobin, type UpstreamPolicy } from "./policies.js";
export { hashText, prefixKeyOf, rank } from "./rendezvous.js";
export { chooseUpstream, freeSlotsForService, UpstreamRouter } from "./router.js";
export { defaultRoutingPolicy, initialRouting, observe, type RoutingEvent, type RoutingPolicy, type RoutingState } from "./state.js";
export type { RouteRequest, RouteChoice, RoutedUpstream } from "./types.js";
