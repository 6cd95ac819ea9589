/**
 * Checks of what upstreams say about themselves: that they want no requests, only some, or leave.
 *
 * @module
 */

import type { Check } from "./checks.js";
import { isDisturbed } from "./history.js";

/** A pushback allows this many requests from this time after it until its end. */
const [pushbackActivationMs, pushbackAllowance] = [500, 2];
/** An entry doesn't read what an upstream answers to a request whose caller has left; until then it may not know. */
export const pushbacksAreKept: Check = ({ upstreams, calls, outages }, { inFlightMs }) => {
    const entryOf = new Map(calls.map(({ id, entry }) => [id, entry]));
    const leftAtMs = new Map(calls.map(call => [call.id, call.leftAtMs ?? Infinity]));
    return upstreams.flatMap(({ id: upstream, pushbacks, arrivals }) => pushbacks.flatMap(({ id, atMs, forMs }) => {
        const entry = entryOf.get(id);
        const [fromMs, toMs] = [atMs + pushbackActivationMs, atMs + forMs];
        if (entry === undefined || leftAtMs.get(id)! + inFlightMs < atMs || isDisturbed(outages, entry, atMs, toMs)) {
            return [];
        }
        const count = arrivals.filter(arrival => entryOf.get(arrival.id) === entry && arrival.atMs > fromMs && arrival.atMs < toMs).length;
        return count > pushbackAllowance ? [`${upstream} asked ${entry} for none for ${forMs} ms and got ${count} requests`] : [];
    }));
};

export const leavingUpstreamsGetNothing: Check = ({ upstreams, calls, outages }, { drainMs }) => calls.flatMap(notice => {
    const { leavingUpstream, entry, endedAtMs } = notice;
    const upstream = upstreams.find(({ id }) => id === leavingUpstream);
    if (upstream === undefined) {
        return [];
    }
    const arrived = new Set(upstream.arrivals.map(({ id }) => id));
    const late = calls.filter(call => call.entry === entry && call.sentAtMs > endedAtMs + drainMs && arrived.has(call.id));
    return late.filter(call => !isDisturbed(outages, entry, endedAtMs, call.endedAtMs))
        .map(({ id }) => `${upstream.id} told ${entry} that it leaves and got ${id}`);
});

const coldWindowMs = 1_000;

/** Counts requests that were sent and have arrived inside the same second. */
export const coldUpstreamsAreSpared: Check = ({ upstreams, calls }, { coldPerSecond }) => {
    const sentAtMs = new Map(calls.map(call => [call.id, call.sentAtMs]));
    return upstreams.flatMap(({ id: upstream, arrivals }) => {
        const cold = arrivals.filter(({ isCold }) => isCold);
        const counts = cold.map(first => cold.filter(({ id, atMs }) =>
            (sentAtMs.get(id) ?? 0) >= first.atMs && atMs < first.atMs + coldWindowMs).length);
        const most = Math.max(0, ...counts);
        return most > coldPerSecond ? [`${upstream} was cold and got ${most} requests in a second`] : [];
    });
};

const limitWindowMs = 4_000;
/** What an upstream bears in the window above the limit that it states. */
const [limitFactor, limitAllowance] = [1.5, 5];
/** From then on an entry that has passed on an answer with a limit knows it. */
const limitKnownMs = 500;

/** Counts requests of entries that know the limit and were not disturbed since the upstream first named it. */
export const statedLimitsAreKept: Check = ({ upstreams, calls, outages }, { contactMs }) => {
    const entryOf = new Map(calls.map(({ id, entry }) => [id, entry]));
    return upstreams.flatMap(({ id: upstream, arrivals }) => {
        let namedAtMs: number | undefined;
        let knownFromMs = new Map<string | undefined, number>();
        const counted: number[] = [];
        let most = 0;
        for (const { id, atMs, limitPerSecond } of arrivals) {
            if (limitPerSecond === undefined) {
                [namedAtMs, knownFromMs, counted.length] = [undefined, new Map(), 0];
                continue;
            }
            namedAtMs ??= atMs;
            const entry = entryOf.get(id);
            const isKnown = (knownFromMs.get(entry) ?? Infinity) <= atMs && atMs >= namedAtMs + contactMs;
            knownFromMs.set(entry, knownFromMs.get(entry) ?? atMs + limitKnownMs);
            if (entry === undefined || !isKnown || isDisturbed(outages, entry, namedAtMs, atMs)) {
                continue;
            }
            counted.push(atMs);
            const countInWindow = counted.filter(earlierMs => earlierMs > atMs - limitWindowMs).length;
            most = Math.max(most, countInWindow - limitFactor * limitPerSecond * limitWindowMs / 1_000 - limitAllowance);
        }
        return most > 0 ? [`${upstream} got ${most} requests more in ${limitWindowMs} ms than its stated limit allows`] : [];
    });
};
