import type { EngineSpec } from "../site/index.js";

/** Returns the network's round trip between two data centres; 0 if the engine states no delay for either direction. */
export function roundTripMs({ delays }: EngineSpec, from: string, to: string): number {
    const there = delays.find(delay => delay.from === from && delay.to === to)?.delayMs;
    const back = delays.find(delay => delay.from === to && delay.to === from)?.delayMs;
    return (there ?? back ?? 0) + (back ?? there ?? 0);
}
