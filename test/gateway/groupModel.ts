import { type Balancer, createBalancer } from "../../src/gateway/balancer.js";
import { createGroupRoom, type PredictingGroupRoom } from "../../src/gateway/groupRoom.js";
import { createLatencyTracker, type LatencyTracker } from "../../src/gateway/latencyTracker.js";
import type { ParsedRequest } from "../../src/gateway/parsedRequest.js";
import type { Candidate } from "../../src/gateway/siteView.js";
import { createSiteTable, type EngineSpec } from "../../src/site/index.js";
import { createRandom, measuredEngine } from "../latency/measured.js";
import { createGroupHead, createSite } from "../support/gatewaySite.js";

/** Creates the head of a group of the measured model. */
export function groupHead(
    id: string, change: { readonly dataCentre?: string; readonly bornMs?: number; readonly epoch?: number } = {},
): Candidate {
    const { epoch = 1, ...rest } = change;
    const { heardAgoMs, ...relayed } = createGroupHead("127.0.0.1:1", id, epoch);
    return { upstream: { ...relayed, ...rest, heardAtMs: -heardAgoMs, coldUntilMs: 0 }, model: "lm", isReportedSilent: false };
}

/** Creates a request that is on time within 251 ms. */
export function streamRequest(engine: EngineSpec = measuredEngine, promptTokens = 714): ParsedRequest {
    const site = createSite();
    const services = site.services.map(service => service.name === "pool" ? { ...service, engine } : service);
    const route = { ...site.routes.find(({ kind }) => kind === "stream")!, latenessMs: 251, pauseMs: 200 };
    return { route, table: createSiteTable({ ...site, services }), model: "lm", promptTokens, answerTokens: 92 } as unknown as ParsedRequest;
}

/** The parts of one entry in data centre "a" that choose a group. */
export interface ModelEntry {
    readonly balancer: Balancer;
    readonly tracker: LatencyTracker;
    readonly room: PredictingGroupRoom;
    readonly logged: { readonly message: string; readonly fields: Record<string, unknown> }[];
}

export interface EntryOptions {
    nowMs(): number;
    random?(): number;
    /** The requests of other entries, by head. */
    othersAt?(headId: string): number | undefined;
    hasBlockedSince?(sinceMs: number): boolean;
}

/** Creates an entry that may use all the room that it sees. */
export function createEntry(options: EntryOptions): ModelEntry {
    const { nowMs, random = () => 0, othersAt = () => undefined, hasBlockedSince = () => false } = options;
    const logged: ModelEntry["logged"] = [];
    const log = (message: string, fields: Record<string, unknown>) => logged.push({ message, fields });
    const balancer = createBalancer({ nowMs, random, entries: () => 1 });
    const tracker = createLatencyTracker({
        dataCentre: "a", logger: { info: log, warn: log } as never, nowMs, hasBlockedSince, isActive: () => true,
        knownLoad: upstream => balancer.knownLoad(upstream, othersAt(upstream.id)), ownRequests: balancer.ownRequests,
    });
    const room = createGroupRoom({
        nowMs, balancer, tracker, isActive: () => true, sharedLoads: { othersAt, shareOf: () => 1, ageMs: 0 },
        ownAtModel: () => 0, allowanceOf: ({ limit, estimatedOthers = 0, own }) => limit - estimatedOthers - own,
    });
    return { balancer, tracker, room, logged };
}

export const chooseOptions = { without: new Set<string>(), coldRequestsPerSecond: 0, dataCentre: "a", hasIdle: () => true };

interface RunningStream {
    unreadTokens: number;
    eventsLeft: number;
    eventsReceived(): void;
}

/** A group that works in passes as the measured engine states, `factor` times as slowly. */
function createModelGroup(factor: number, after: (delayMs: number, run: () => void) => void) {
    const streams: RunningStream[] = [];
    let isRunning = false;
    function pass() {
        isRunning = streams.length > 0;
        if (!isRunning) {
            return;
        }
        const running = streams.slice(0, 34);
        const writing = running.filter(({ unreadTokens }) => unreadTokens === 0);
        let tokensLeft = 2_048;
        for (const stream of running) {
            const tokens = Math.min(tokensLeft, stream.unreadTokens);
            stream.unreadTokens -= tokens;
            tokensLeft -= tokens;
        }
        after(factor * 0.6 * (4 * (6.07 + 0.34 * running.length) + (2_048 - tokensLeft) / 46), () => {
            writing.forEach(stream => {
                stream.eventsLeft--;
                stream.eventsReceived();
            });
            streams.splice(0, streams.length, ...streams.filter(({ eventsLeft }) => eventsLeft > 0));
            pass();
        });
    }
    return {
        streams,
        add(stream: RunningStream) {
            streams.push(stream);
            if (!isRunning) {
                pass();
            }
        },
    };
}

/**
 * Runs four groups for 20 s, the first of them `slowFactor` times as slow, under `perSecond` requests of one entry. Returns the share of
 * requests whose first event came after 251 ms and the share that the first group got, both without the first 4 s.
 */
export function runGroups(
    run: { readonly seed: number; readonly perSecond: number; readonly slowFactor: number; readonly isScored: boolean },
): { readonly late: number; readonly atFirst: number } {
    const random = createRandom(run.seed);
    const pending: { readonly atMs: number; readonly run: () => void }[] = [];
    let nowMs = 0;
    const after = (delayMs: number, callback: () => void) => {
        const atMs = nowMs + delayMs;
        const index = pending.findIndex(item => item.atMs > atMs);
        pending.splice(index < 0 ? pending.length : index, 0, { atMs, run: callback });
    };
    const { balancer, tracker, room } = createEntry({ nowMs: () => nowMs, random });
    const heads = ["g0", "g1", "g2", "g3"].map(id => groupHead(id));
    const groups = heads.map((_, index) => createModelGroup(index === 0 ? run.slowFactor : 1, after));
    const counts = { all: 0, late: 0, atFirst: 0 };

    function send() {
        after(-Math.log(1 - random()) / run.perSecond * 1_000, send);
        const request = streamRequest(measuredEngine, Math.ceil(-Math.log(1 - random()) * 714));
        const scoring = run.isScored ? { scoring: room.scoringFor("pool", request) } : {};
        const { upstream } = balancer.choose(heads, { ...chooseOptions, ...scoring })!;
        const index = heads.findIndex(head => head.upstream === upstream);
        const observation = tracker.requestSent(upstream, request, false);
        balancer.requestSent(upstream, false);
        // The part of the time to the first event that no stated figure shows.
        const baseMs = 60 + random() * 80;
        const sentAtMs = nowMs;
        let events = 0;
        const onEvent = () => {
            observation?.eventsReceived(1, false);
            if (events++ === 0) {
                balancer.loadReported(upstream, groups[index]!.streams.length, 0);
                counts.all += sentAtMs > 4_000 ? 1 : 0;
                counts.late += sentAtMs > 4_000 && nowMs - sentAtMs > 251 ? 1 : 0;
                counts.atFirst += sentAtMs > 4_000 && index === 0 ? 1 : 0;
            }
            if (events === 23) {
                balancer.requestEnded(upstream);
            }
        };
        groups[index]!.add({ unreadTokens: request.promptTokens, eventsLeft: 23, eventsReceived: () => after(baseMs, onEvent) });
    }

    send();
    while (nowMs < 20_000) {
        const next = pending.shift()!;
        nowMs = next.atMs;
        next.run();
    }
    return { late: counts.late / counts.all, atFirst: counts.atFirst / counts.all };
}
