/**
 * Simulates entries that send to one rate-limited upstream, and the control leader that divides the limit among them.
 *
 * @module
 */

import { PassThrough } from "node:stream";
import type { Frame } from "../../src/feed/index.js";
import { createBalancer } from "../../src/gateway/balancer.js";
import { createLimits } from "../../src/gateway/limits.js";
import { createLimitDistributor } from "../../src/siteControl/limitDistributor.js";
import { createLogger } from "../../src/telemetry/index.js";
import { candidate } from "../gateway/candidates.js";

const stepMs = 5;
const [reportIntervalMs, broadcastIntervalMs, responseDelayMs, linkDelayMs] = [250, 500, 150, 5];
const windowMs = 4_000;
/** How often the entries' shares of the limit are summed. */
const sampleIntervalMs = 50;
/** Time after which an entry that has forwarded an answer with the limit is expected to respect it, ms. */
const enforcementDelayMs = 500;

interface Entry {
    readonly id: string;
    readonly requestsPerSecond: number;
    readonly limits: ReturnType<typeof createLimits>;
    readonly balancer: ReturnType<typeof createBalancer>;
    isUp: boolean;
    isFrozen: boolean;
    isDisconnected: boolean;
    requests: number;
    limitKnownAtMs: number | undefined;
}

export function createLimitedSite(seed: number, requestsPerSecond: readonly number[]) {
    const logger = createLogger("error", "test", new PassThrough().resume());
    const { upstream } = candidate("u1");
    const tasks: { readonly atMs: number; run(): void }[] = [];
    const arrivals: { readonly atMs: number; readonly isLimited: boolean }[] = [];
    let nowMs = 0;
    let limitPerSecond: number | undefined;
    let isIdle = false;
    let hasLeader = true;
    let overLimitMs = 0;
    let randomState = seed >>> 0;
    let distributor = createLimitDistributor(() => nowMs);
    const entries: Entry[] = requestsPerSecond.map((rate, index) => createEntry(`e${index}`, rate));

    function random(): number {
        randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
        return randomState / 0x1_0000_0000;
    }

    function createEntry(id: string, rate: number): Entry {
        const limits = createLimits(id, logger, () => nowMs);
        return {
            id, requestsPerSecond: rate, limits,
            balancer: createBalancer({ nowMs: () => nowMs, random, entries: () => entries.length, shareOfLimit: limits.shareOf }),
            isUp: true, isFrozen: false, isDisconnected: false, requests: 0, limitKnownAtMs: undefined,
        };
    }

    function schedule(delayMs: number, run: () => void) {
        tasks.push({ atMs: nowMs + delayMs, run });
    }

    function isActive(entry: Entry): boolean {
        return entry.isUp && !entry.isFrozen && entries.includes(entry);
    }

    function broadcastLimits() {
        for (const frame of distributor.frames(hasLeader)) {
            entries.filter(entry => isActive(entry) && !entry.isDisconnected).forEach(entry =>
                schedule(linkDelayMs, () => entry.limits.applyDivision(frame as Extract<Frame, { kind: "limits" }>)));
        }
    }

    function report(entry: Entry) {
        const counts = { requests: entry.requests, limits: entry.limits.observedLimits() };
        entry.requests = 0;
        schedule(linkDelayMs, () => distributor.recordReport(entry.id, counts, broadcastLimits));
    }

    function sendRequest(entry: Entry) {
        entry.requests++;
        const options = { without: new Set<string>(), coldRequestsPerSecond: 0, dataCentre: "a", hasIdle: () => false };
        if (entry.balancer.choose([{ upstream, model: undefined, isReportedSilent: false }], options) === undefined) {
            return;
        }
        entry.balancer.requestSent(upstream, false);
        const sentAtMs = nowMs;
        arrivals.push({ atMs: nowMs, isLimited: entry.limitKnownAtMs !== undefined && nowMs - entry.limitKnownAtMs > enforcementDelayMs });
        schedule(responseDelayMs, () => {
            entry.balancer.requestEnded(upstream);
            entry.limits.limitSeen(upstream, limitPerSecond, sentAtMs);
            entry.limitKnownAtMs ??= limitPerSecond === undefined ? undefined : nowMs;
        });
    }

    function step() {
        nowMs += stepMs;
        tasks.splice(0, tasks.length, ...tasks.filter(({ atMs, run }) => {
            const isDue = atMs <= nowMs;
            if (isDue) {
                run();
            }
            return !isDue;
        }));
        entries.forEach((entry, index) => {
            if (!isActive(entry)) {
                return;
            }
            if (!isIdle && random() < entry.requestsPerSecond * stepMs / 1_000) {
                sendRequest(entry);
            }
            if ((nowMs + index * 35) % reportIntervalMs === 0 && !entry.isDisconnected) {
                report(entry);
            }
        });
        if (nowMs % broadcastIntervalMs === 0) {
            broadcastLimits();
        }
        if (nowMs % sampleIntervalMs === 0 && limitPerSecond !== undefined) {
            const shares = entries.filter(isActive).reduce((sum, entry) => sum + (entry.limits.shareOf(upstream) ?? 0), 0);
            overLimitMs += shares > limitPerSecond * 1.5 ? sampleIntervalMs : 0;
        }
    }

    return {
        entries,
        get nowMs() {
            return nowMs;
        },
        /** Total time during which the entries' shares summed to more than 1.5 times the limit. */
        get overLimitMs() {
            return overLimitMs;
        },
        /** Stops or resumes the callers' requests. */
        set isIdle(value: boolean) {
            isIdle = value;
        },
        /** Sets the limit that the upstream states from now on; undefined states none. */
        setLimit: (perSecond: number | undefined) => void (limitPerSecond = perSecond),
        advanceTime(ms: number) {
            for (const untilMs = nowMs + ms; nowMs < untilMs;) {
                step();
            }
        },
        restart(index: number) {
            entries[index] = createEntry(entries[index]!.id, entries[index]!.requestsPerSecond);
        },
        /** Sets whether a control daemon leads. The one that leads afterwards has received the reports sent in the meantime. */
        set hasLeader(value: boolean) {
            hasLeader = value;
        },
        /** Makes another control daemon the leader, which starts without any reports. */
        replaceLeader: () => void (distributor = createLimitDistributor(() => nowMs)),
        arrivalCountSince: (fromMs: number) => arrivals.filter(({ atMs }) => atMs >= fromMs).length,
        /** Returns the maximum number of requests in any window since `fromMs` from entries that are expected to respect the limit. */
        maxInWindow(fromMs: number): number {
            const limitedArrivals = arrivals.filter(({ atMs, isLimited }) => isLimited && atMs >= fromMs).map(({ atMs }) => atMs);
            let first = 0;
            return limitedArrivals.reduce((peak, atMs, index) => {
                while (atMs - limitedArrivals[first]! >= windowMs) {
                    first++;
                }
                return Math.max(peak, index - first + 1);
            }, 0);
        },
    };
}
