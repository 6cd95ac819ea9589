import { expect } from "chai";
import * as fc from "fast-check";
import { boundFor, sumOf } from "../../../src/gateway/memory/account.js";
import { createMemory, type Memory, unboundedMemory } from "../../../src/gateway/memory/index.js";
import { answerHead, createWorld, type FakeExchange, logger, type RouteKind, seededRandom, type WorldRequest } from "./world.js";

const limitMb = 140;

interface Counted {
    readonly memory: Memory;
    readonly actions: string[];
}

function createCounted(nowMs: () => number): Counted {
    const actions: string[] = [];
    return { actions, memory: createMemory({ limitMb, logger, nowMs, count: (action, reason) => actions.push(`${action} ${reason}`) }) };
}

const callers = 200;
const bodyBytes = 65_536;
const eventBytes = 65_536;
const stepMs = 20;
const arrivalMs = 2_000;
const durationMs = 10_000;

/**
 * 200 callers of streams of 64 KiB each 60 to 100 ms: of ten, one reads all at once, one reads 8 KiB each 100 ms, and eight read nothing.
 * Returns the most that was held at any time.
 */
function runSlowReaders(seed: number, createFor: (nowMs: () => number) => Memory) {
    let nowMs = 0;
    const memory = createFor(() => nowMs);
    const random = seededRandom(seed);
    const world = createWorld(memory);
    const requests: (WorldRequest & { readonly kind: "reads" | "trickles" | "idle"; sentBytes: number; nextAtMs: number })[] = [];
    let mostBytes = 0;
    let refused = 0;
    const noteHeld = () => {
        const open = requests.filter(({ caller }) => !caller.isDestroyed);
        mostBytes = Math.max(mostBytes, open.reduce((sum, { caller }) => sum + caller.unsentBytes + bodyBytes, 0));
    };
    function startOne(index: number) {
        if (memory.refusesBodies) {
            refused++;
            return;
        }
        const request = world.start("caption", bodyBytes);
        request.exchanges[0]!.events.head(200, answerHead(request));
        const kind = (["reads", "trickles"] as const)[index % 10] ?? "idle";
        requests.push({ ...request, kind, sentBytes: 0, nextAtMs: nowMs });
    }
    for (let started = 0; nowMs < durationMs; nowMs += stepMs) {
        for (; started < Math.min(callers, nowMs / arrivalMs * callers); started++) {
            startOne(started);
        }
        for (const request of requests) {
            const { caller, kind, exchanges: [exchange] } = request;
            if (request.nextAtMs <= nowMs && !exchange!.isPaused && !exchange!.isAborted) {
                const event = Buffer.from("id: 1\ndata: ".padEnd(eventBytes - 2, "x") + "\n\n");
                request.nextAtMs = nowMs + 60 + random() * 40;
                request.sentBytes += event.length;
                exchange!.events.data(event);
                noteHeld();
            }
            if (kind !== "idle" && (kind === "reads" || nowMs % 100 === 0)) {
                caller.take(kind === "reads" ? Infinity : 8_192);
            }
        }
        if (nowMs % 100 === 0) {
            memory.check();
        }
    }
    const cutOff = requests.filter(({ caller }) => caller.isDestroyed);
    requests.forEach(({ running }) => running.endNow("the test has ended"));
    return { cutOff, requests, mostBytes, refused, memory };
}

describe("requests of slow readers", () => {
    // Guards against a process that is killed because 200 callers do not read what is held for them, and against cutting off those who do.
    for (const seed of [1, 2, 3, 4, 5]) {
        it(`never hold more than the bound, and no caller that reads is cut off (seed ${seed})`, () => {
            const actions: string[] = [];
            const { cutOff, requests, mostBytes } = runSlowReaders(seed, nowMs =>
                createMemory({ limitMb, logger, nowMs, count: (action, reason) => actions.push(`${action} ${reason}`) }));
            expect(mostBytes).to.be.within(0.5 * boundFor(limitMb), boundFor(limitMb));
            const reading = requests.filter(({ kind }) => kind === "reads");
            expect(reading).to.not.have.length(0);
            reading.forEach(({ caller, sentBytes }) => expect(sentBytes - caller.takenBytes).to.be.at.most(eventBytes));
            expect(Math.min(...reading.map(({ sentBytes }) => sentBytes))).to.be.above(50 * eventBytes);
            const trickling = requests.filter(({ kind }) => kind === "trickles");
            trickling.forEach(({ caller }) => expect(caller.takenBytes).to.be.above(7_000 / 100 * 8_192));
            expect(new Set(cutOff.map(({ kind }) => kind))).to.deep.equal(new Set(["idle"]));
            expect(cutOff.every(({ exchanges: [exchange] }) => exchange!.isAborted)).to.equal(true);
            expect(actions.filter(action => action.startsWith("cut-off"))).to.have.length(cutOff.length);
        });
    }

    it("pass the bound while the part is off", () => {
        expect(runSlowReaders(1, () => unboundedMemory).mostBytes).to.be.above(1.2 * boundFor(limitMb));
    });
});

describe("an answer whose caller is slow", () => {
    // Guards against answers that all stop half read when the account is full of them, until their deadlines pass.
    it("is finished one by one when the account is full of incomplete answers", () => {
        let nowMs = 0;
        const { memory } = createCounted(() => nowMs);
        const world = createWorld(memory);
        const requests = Array.from({ length: 200 }, () => world.start("read", 1_000));
        const sentBytes = new Map<WorldRequest, number>();
        const answerBytes = 200_000;
        let mostBytes = 0;
        requests.forEach(request => request.exchanges[0]!.events.head(200, answerHead(request)));
        const isOpen = (request: WorldRequest) => sentBytes.get(request) !== answerBytes;
        for (let open = requests; open.length > 0 && nowMs < 60_000; open = open.filter(isOpen)) {
            for (const request of open) {
                const { events, isPaused } = request.exchanges[0]!;
                if (isPaused) {
                    continue;
                }
                sentBytes.set(request, (sentBytes.get(request) ?? 0) + 20_000);
                events.data(Buffer.alloc(20_000));
                mostBytes = Math.max(mostBytes, sumOf(memory.held));
                if (sentBytes.get(request) === answerBytes) {
                    events.end();
                    request.caller.take(Infinity);
                }
            }
            nowMs += 10;
            if (nowMs % 100 === 0) {
                memory.check();
            }
        }
        expect(requests.every(({ caller }) => caller.takenBytes === answerBytes)).to.equal(true);
        expect(mostBytes).to.be.within(0.9 * boundFor(limitMb), boundFor(limitMb));
        expect(sumOf(memory.held)).to.equal(0);
    });

    // Guards against an upstream that cuts off the rest of an answer because it stays unread.
    it("of 600 KiB is read whole at once, and not while the part is off", () => {
        const isPausedAfterAll = (memory: Memory) => {
            const request = createWorld(memory).start("read", 0);
            const { exchanges: [exchange] } = request;
            exchange!.events.head(200, answerHead(request));
            for (let sentBytes = 0; sentBytes < 600 * 1_024; sentBytes += 65_536) {
                exchange!.events.data(Buffer.alloc(65_536));
            }
            request.running.endNow("the test has ended");
            return exchange!.isPaused;
        };
        expect([isPausedAfterAll(createCounted(() => 0).memory), isPausedAfterAll(unboundedMemory)]).to.deep.equal([false, true]);
    });

    it("is read on until 1 MiB is held, then paused, and read on again once enough has been taken", () => {
        const { memory, actions } = createCounted(() => 0);
        const request = createWorld(memory).start("read", 0);
        const { exchanges: [exchange], caller } = request;
        exchange!.events.head(200, answerHead(request));
        const send = () => exchange!.events.data(Buffer.alloc(65_536));
        const chunksUntilPaused = () => {
            let chunks = 0;
            for (; !exchange!.isPaused; chunks++) {
                send();
            }
            return chunks;
        };
        for (let chunks = 0; chunks < 8; chunks++) {
            send();
        }
        // The kernel takes the first chunk, and what came meanwhile becomes one write.
        caller.take(65_536);
        expect(chunksUntilPaused()).to.equal(9);
        expect([caller.unsentBytes, actions]).to.deep.equal([1_048_576, ["pause answer"]]);
        caller.take(7 * 65_536 - 1);
        memory.check();
        expect(exchange!.isPaused).to.equal(true);
        caller.take(1);
        memory.check();
        expect([exchange!.isPaused, chunksUntilPaused()]).to.deep.equal([false, 7]);
        request.running.endNow("the test has ended");
    });
});

const operations = [
    "head", "data", "large-data", "end", "fail-unsent", "fail-sent", "refuse", "broken", "take", "take-all", "leave", "shut-down", "check", "wait",
] as const;

describe("whatever ends a request", () => {
    const over = new Set<FakeExchange>();

    function perform(request: WorldRequest, operation: typeof operations[number], memory: Memory) {
        const exchange = request.exchanges.at(-1);
        const { events } = exchange ?? {};
        const isLive = exchange !== undefined && !exchange.isAborted && !over.has(exchange);
        const finish = (last: () => void) => {
            over.add(exchange!);
            last();
        };
        const ofUpstream: Partial<Record<typeof operation, () => void>> = {
            head: () => events!.head(200, answerHead(request)),
            data: () => events!.data(Buffer.from("id: 1\ndata: 1\n\nid: 2\n")),
            "large-data": () => events!.data(Buffer.from("data: 2\n\n".padStart(150_000, "x"))),
            end: () => finish(() => events!.end()),
            "fail-unsent": () => finish(() => events!.failed(Object.assign(new Error("no"), { code: "ECONNREFUSED" }), false)),
            "fail-sent": () => finish(() => events!.failed(new Error("reset"), true)),
            refuse: () => {
                events!.head(503, [...answerHead(request), "Zinnialanding-Not-Executed", "1"]);
                finish(() => events!.end());
            },
            broken: () => {
                events!.head(500, answerHead(request));
                finish(() => events!.end());
            },
        };
        const ofOthers: Partial<Record<typeof operation, () => void>> = {
            take: () => request.caller.take(10_000),
            "take-all": () => request.caller.take(Infinity),
            leave: () => request.caller.response.destroy(),
            "shut-down": () => request.running.endNow("the entry has stopped"),
            check: () => memory.check(),
        };
        if (isLive) {
            ofUpstream[operation]?.();
        }
        ofOthers[operation]?.();
    }

    // Guards against an account that grows with each request of a kind of ending, until every body is refused.
    it("releases what the request held", async () => {
        const script = fc.record({
            requests: fc.array(fc.record({
                kind: fc.constantFrom<RouteKind>("caption", "read", "charge"), bodyBytes: fc.nat(100_000), timeoutMs: fc.constantFrom(0, 1, 60_000),
            }), { minLength: 1, maxLength: 4 }),
            steps: fc.array(fc.tuple(fc.nat(3), fc.constantFrom(...operations)), { maxLength: 40 }),
        });
        await fc.assert(fc.asyncProperty(script, async ({ requests, steps }) => {
            let nowMs = 0;
            const { memory } = createCounted(() => nowMs);
            const world = createWorld(memory);
            const started = requests.map(({ kind, bodyBytes, timeoutMs }) => world.start(kind, bodyBytes, timeoutMs));
            for (const [index, operation] of steps) {
                nowMs += 300;
                perform(started[index % started.length]!, operation, memory);
                if (operation === "wait") {
                    await new Promise(resolve => setTimeout(resolve, 2));
                }
                expect(memory.held.caller).to.equal(started.reduce((sum, { caller }) => sum + caller.unsentBytes, 0));
                if (started.every(({ exchanges }) => exchanges.every(exchange => exchange.isAborted || over.has(exchange)))) {
                    expect(memory.held.answer).to.equal(0);
                }
            }
            for (const request of started) {
                request.running.endNow("the test has ended");
                perform(request, "leave", memory);
                // A non-idempotent request runs on although its caller has left.
                perform(request, "fail-sent", memory);
            }
            expect(sumOf(memory.held)).to.equal(0);
        }), {
            numRuns: 500,
            // A caller leaves a non-idempotent request, which runs on, while a part of its answer waits.
            examples: [[{
                requests: [{ kind: "charge", bodyBytes: 10, timeoutMs: 60_000 }],
                steps: [[0, "head"], [0, "large-data"], [0, "large-data"], [0, "leave"]],
            }]],
        });
    });
});
