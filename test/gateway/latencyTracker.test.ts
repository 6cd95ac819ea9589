import { PassThrough } from "node:stream";
import { expect } from "chai";
import { startAttempt } from "../../src/gateway/attempt.js";
import type { AttemptDependencies, AttemptOptions } from "../../src/gateway/attemptTypes.js";
import { countEvents, createEventSplitter } from "../../src/gateway/events.js";
import type { ExchangeEvents } from "../../src/gateway/connections.js";
import { createLoopTicks } from "../../src/runtime/index.js";
import { type CallerConnection, createMemory, unboundedMemory } from "../../src/gateway/memory/index.js";
import { createLogger } from "../../src/telemetry/index.js";
import { headerNames } from "../../platform/headers.js";
import { learnedDifferences } from "../latency/measured.js";
import { createEntry, groupHead, streamRequest } from "./groupModel.js";

/** An entry with a group of 10 requests, and a clock. A pass there takes 0.6 * 4 * (6.07 + 10 * 0.34) + 4.05 = 26.8 ms. */
function createWorld() {
    const world = { nowMs: 0, othersAt: 10 as number | undefined, blockedAtMs: -1 };
    const entry = createEntry({
        nowMs: () => world.nowMs, othersAt: () => world.othersAt, hasBlockedSince: sinceMs => world.blockedAtMs >= sinceMs,
    });
    const request = streamRequest();
    const model = entry.tracker.model(request.table.service("pool")!, "lm")!;
    /** Sends a request, whose first event comes after `firstMs`, and then 30 more with the given pause. */
    function stream(head: ReturnType<typeof groupHead>, firstMs: number, pauseMs: number, wasPaused = false) {
        const observation = entry.tracker.requestSent(head.upstream, request, false);
        world.nowMs += firstMs;
        observation?.eventsReceived(1, false);
        for (let index = 0; index < 30; index++) {
            world.nowMs += pauseMs;
            observation?.eventsReceived(1, wasPaused);
        }
    }
    return Object.assign(world, { ...entry, entry, request, model, stream });
}

describe("observing the streams of this entry", () => {
    it("learns how far predictions are off, and the speed of a group", () => {
        const world = createWorld();
        const head = groupHead("g0");
        world.stream(head, 180, 26.8);
        const [difference] = world.model.learned.differences.latest;
        expect(difference!.ms).to.be.within(80, 120);
        expect(world.tracker.factorOf(head.upstream, world.nowMs)).to.be.closeTo(1, 0.02);
        world.stream(head, 180, 3 * 26.8);
        expect(world.tracker.factorOf(head.upstream, world.nowMs)).to.be.above(1.8);
    });

    it("logs once when a group becomes slow and once when it recovers, with the figures", () => {
        const world = createWorld();
        const head = groupHead("g0");
        world.stream(head, 300, 4 * 26.8);
        world.stream(head, 300, 4 * 26.8);
        expect(world.logged.map(({ message }) => message)).to.deep.equal(["group is slower than predicted"]);
        expect(world.logged[0]!.fields).to.include.keys("upstream", "group", "model", "factor", "requests", "observedMs", "predictedMs");
        expect(Math.max(...world.tracker.highestFactors.values())).to.be.above(2);
        for (let index = 0; index < 20; index++) {
            world.stream(head, 180, 26.8);
        }
        expect(world.logged.map(({ message }) => message)).to.deep.equal([
            "group is slower than predicted", "group is about as fast as predicted again",
        ]);
    });

    // A read that brings the events of two passes at once is no sign of a slow group.
    it("counts the passes of events that come together", () => {
        const world = createWorld();
        const { upstream } = groupHead("g0");
        const observation = world.tracker.requestSent(upstream, world.request, false)!;
        for (let index = 0; index < 40; index++) {
            world.nowMs += 2 * 26.8;
            observation.eventsReceived(2, false);
        }
        expect(world.tracker.factorOf(upstream, world.nowMs)).to.be.closeTo(1, 0.02);
    });

    it("starts anew with a new incarnation of the head and with a new epoch of its group", () => {
        const world = createWorld();
        const factors = [groupHead("g0"), groupHead("g0", { bornMs: 2 }), groupHead("g0", { bornMs: 2, epoch: 2 })].map(head => {
            const before = world.tracker.factorOf(head.upstream, world.nowMs);
            world.stream(head, 300, 4 * 26.8);
            return [before, world.tracker.factorOf(head.upstream, world.nowMs) > 2];
        });
        expect(factors).to.deep.equal([[1, true], [1, true], [1, true]]);
    });

    // Late reads of an entry that was frozen, or that waits for a slow caller, look like a slow group.
    it("ignores events while this process was blocked or didn't read, and those at an unknown load", () => {
        const world = createWorld();
        const head = groupHead("g0");
        world.model.learned.differences = learnedDifferences;
        world.stream(head, 100, 200, true);
        const { differences } = world.model.learned;
        world.blockedAtMs = Infinity;
        world.stream(head, 2_000, 200);
        world.blockedAtMs = -1;
        world.othersAt = undefined;
        world.stream(head, 2_000, 200);
        expect(world.model.learned.differences).to.equal(differences);
        expect(world.tracker.factorOf(head.upstream, world.nowMs)).to.be.closeTo(1, 0.1);
    });

    // A slow group must not lower the limits of the others: its factor explains its times.
    it("learns nearly the same differences from a group that is three times as slow", () => {
        const world = createWorld();
        const predictedMs = world.tracker.predictMs(world.model, groupHead("g0").upstream, 10, world.request, 1, 0);
        for (let index = 0; index < 30; index++) {
            world.stream(groupHead("g0"), 100 + predictedMs, 26.8);
            world.stream(groupHead("slow"), 100 + 3 * predictedMs, 3 * 26.8);
        }
        expect(world.model.learned.differences.upperMs).to.be.within(90, 130);
    });

    it("learns no first events of requests that waited for a slot", () => {
        const world = createWorld();
        world.othersAt = 40;
        world.stream(groupHead("g0"), 900, 56);
        expect(world.model.learned.differences.latest).to.deep.equal([]);
    });

    // A late stream waits behind others, and a continued one has already brought events.
    it("observes on-time streams from their start on, and tells which events came after reading was paused", () => {
        const observed: string[] = [];
        const connection = { unsentBytes: 0, queuedBytes: 0 } as CallerConnection;
        let events: ExchangeEvents | undefined;
        const world = createWorld();
        const dependencies = {
            names: headerNames, balancer: world.balancer, nowMs: () => 0, recordLimit: () => undefined,
            pushbacks: { record: () => undefined }, view: {},
            connections: { hasIdle: () => true, start: (_address: string, _request: unknown, given: ExchangeEvents) => {
                events = given;
                return { abort: () => undefined, pause: () => observed.push("pause"), resume: () => undefined };
            } },
            latency: { requestSent: (_upstream: unknown, _request: unknown, isNew: boolean) => {
                observed.push(`sent ${isNew}`);
                return { eventsReceived: (count: number, wasPaused: boolean) => observed.push(`${count} ${wasPaused}`) };
            } },
        } as unknown as AttemptDependencies;
        const attempt = (change: Partial<AttemptOptions>) => startAttempt({
            request: { ...world.request, attemptId: "r1", method: "POST", path: "/caption/1" }, upstream: groupHead("g0").upstream, splitter: createEventSplitter(),
            answer: { start: () => undefined, write: () => false }, isRepeatable: false, stallTimeoutMs: 1_000, headers: [],
            holder: unboundedMemory.open(connection), onEvents: () => undefined, ...change,
        } as unknown as AttemptOptions, dependencies);
        const continued = createEventSplitter();
        continued.push(Buffer.from("id: 3\ndata: x\n\n"));
        attempt({ isLate: true });
        attempt({ splitter: continued });
        expect(observed).to.deep.equal([]);
        const serve = (change: Partial<AttemptOptions>) => {
            attempt(change);
            events!.head(200, [headerNames.attemptId, "r1", headerNames.signature, "s"]);
            events!.data(Buffer.from("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n"));
            events!.data(Buffer.from("id: 3\ndata: z\n\n"));
            return observed.splice(0);
        };
        expect(serve({})).to.deep.equal(["sent true", "2 false", "pause", "1 true", "pause"]);
        // With room in the account, reading goes on although the caller is slow.
        const logger = createLogger("error", "test", new PassThrough().resume());
        const memory = createMemory({ limitMb: 250, logger, nowMs: () => 0, count: () => undefined });
        expect(serve({ holder: memory.open(connection) })).to.deep.equal(["sent true", "2 false", "1 false"]);
        // A pause by the full account counts like one by the caller, though not for the events with which it begins.
        const filler = memory.open(connection);
        filler.hold("upstream", memory.boundBytes);
        const whileFull = serve({ holder: memory.open(connection) });
        expect(whileFull.filter(entry => entry !== "pause")).to.deep.equal(["sent true", "2 false", "1 true"]);
        expect(whileFull).to.include("pause");
    });

    it("counts events with any line breaks", () => {
        expect(["data: a\n\n", "id: 1\r\ndata: a\r\n\r\ndata: b\n\n", ""].map(text => countEvents(Buffer.from(text)))).to.deep.equal([1, 2, 0]);
    });
});

describe("a blocked event loop", () => {
    it("is seen by a late tick and before that tick, and counts for times before its end", () => {
        let nowMs = 0;
        const ticks = createLoopTicks(() => nowMs, 75);
        for (nowMs of [50, 100]) {
            ticks.tick();
        }
        const before = ticks.hasBlockedSince(0);
        nowMs = 400;
        const during = ticks.hasBlockedSince(90);
        ticks.tick();
        nowMs = 440;
        expect([before, during, ticks.hasBlockedSince(90), ticks.hasBlockedSince(401)]).to.deep.equal([false, true, true, false]);
    });
});
