import { expect } from "chai";
import fc from "fast-check";
import {
    initialPriorityQueue, nextWaiting, type PriorityQueueEffect, type PriorityQueueEvent, priorityQueueReducer,
    type PriorityQueueState, type RoomRates, type WaitingRequest,
} from "../../src/admission/index.js";

const bounds = { maxQueued: 1_000, maxBytes: 1_000_000 };
/** Room for one unit of work every 10 ms, and no new arrivals. */
const rates: RoomRates = { freed: 0.1, arriving: [] };

function waiting(id: string, fields: Partial<WaitingRequest> = {}): WaitingRequest {
    return { id, organisation: "studio", priority: 0, arrivedMs: 0, dueMs: 1_000, lastStartMs: 2_000, work: 1, bytes: 10, ...fields };
}

/** Applies events and returns the refusals in order. */
function run(events: readonly PriorityQueueEvent[], initial: PriorityQueueState = initialPriorityQueue()) {
    let state = initial;
    const effects: PriorityQueueEffect[] = [];
    for (const event of events) {
        const result = priorityQueueReducer(state, event);
        state = result.state;
        effects.push(...result.effects);
    }
    return { state, refused: effects.flatMap(effect => effect.kind === "refuse" ? [`${effect.request.id} ${effect.reason}`] : []) };
}

const arrive = (request: WaitingRequest, nowMs = 0): PriorityQueueEvent => ({ kind: "arrive", nowMs, request });
const settle = (request: WaitingRequest, nowMs = 0, fields: object = {}): PriorityQueueEvent =>
    ({ kind: "settle", nowMs, request, rates, bounds, minWaitMs: 0, ...fields });
const advance = (nowMs: number): PriorityQueueEvent => ({ kind: "advance", nowMs, rates });

/** Takes requests in order until none waits. */
function takeAll(initial: PriorityQueueState): WaitingRequest[] {
    const taken: WaitingRequest[] = [];
    let state = initial;
    for (let next = nextWaiting(state); next !== undefined; next = nextWaiting(state)) {
        taken.push(next.request);
        state = priorityQueueReducer(state, { kind: "take", request: next.request }).state;
    }
    return taken;
}

const anyRequest = fc.record({
    organisation: fc.constantFrom("a", "b", "c"), priority: fc.integer({ min: 0, max: 3 }), dueMs: fc.integer({ min: 10, max: 500 }),
    lateMs: fc.integer({ min: 0, max: 500 }), work: fc.integer({ min: 1, max: 5 }), bytes: fc.integer({ min: 0, max: 400 }),
});
const requestsOf = (shapes: readonly { lateMs: number; dueMs: number }[]) => shapes.map(({ lateMs, ...shape }, index) =>
    waiting(`r${index}`, { ...shape, lastStartMs: shape.dueMs + lateMs }));

describe("queue by priority", () => {
    it("takes requests that can be on time by priority and due time, and late ones last", () => {
        const requests = [
            waiting("late", { dueMs: 50 }), waiting("tolerant", { priority: 2, dueMs: 600 }),
            waiting("urgent", { dueMs: 900 }), waiting("urgent-soon", { dueMs: 300 }), waiting("middle", { priority: 1 }),
        ];
        const { state } = run([...requests.map(request => arrive(request)), advance(60)]);
        expect(takeAll(state).map(({ id }) => id)).to.deep.equal(["urgent-soon", "urgent", "middle", "tolerant", "late"]);
    });

    it("counts a request as late from the start if it arrives past its due time", () => {
        const { state } = run([arrive(waiting("late", { dueMs: 50 }), 60)]);
        expect(nextWaiting(state)!.level).to.equal(Infinity);
    });

    // Without ageing, requests of a lower priority would never be served beside a steady load of urgent ones.
    it("counts a request as one priority higher after half of its time to wait, and not as two", () => {
        const requests = [waiting("aged", { priority: 1, dueMs: 500 }), waiting("tolerant", { priority: 2, dueMs: 500 })];
        const order = (nowMs: number) => {
            const { state } = run([...requests.map(request => arrive(request)), advance(nowMs), arrive(waiting("urgent"), nowMs)]);
            return takeAll(state).map(({ id }) => id);
        };
        expect(order(249)).to.deep.equal(["urgent", "aged", "tolerant"]);
        expect(order(250)).to.deep.equal(["aged", "urgent", "tolerant"]);
    });

    // A caller that is refused at once can come back; one that is held until its time has passed can't.
    it("refuses on arrival what can't start in time, and keeps what can start late if others leave room", () => {
        const backlog = Array.from({ length: 50 }, (_, index) => arrive(waiting(`b${index}`)));
        const decide = (dueMs: number, lastStartMs: number, arriving: readonly number[] = []) => {
            const request = waiting("new", { dueMs, lastStartMs });
            return run([...backlog, arrive(request), settle(request, 0, { rates: { freed: 0.1, arriving } })]).refused;
        };
        // The requests due before it take 0 or 500 ms.
        expect(decide(999, 999)).to.deep.equal([]);
        expect(decide(1_001, 1_001)).to.deep.equal([]);
        expect(decide(4, 4)).to.deep.equal(["new expected-wait"]);
        expect(decide(4, 600)).to.deep.equal([]);
        expect(decide(4, 600, [0.1])).to.deep.equal(["new expected-wait"]);
    });

    it("refuses a late request when its last useful start has passed, and one that every upstream has turned away for longer", () => {
        const request = waiting("a", { dueMs: 100, lastStartMs: 300 });
        expect(run([arrive(request), advance(200), advance(299)]).refused).to.deep.equal([]);
        expect(run([arrive(request), advance(200), advance(300)]).refused).to.deep.equal(["a expired"]);
        expect(run([arrive(request), settle(request, 0, { minWaitMs: 400 })]).refused).to.deep.equal(["a expected-wait"]);
    });

    it("refuses the least urgent and latest request beyond a bound of requests or bytes", () => {
        const requests = [waiting("urgent"), waiting("tolerant", { priority: 2 }), waiting("tolerant-late", { priority: 2, dueMs: 1_500 })];
        const events = requests.map(request => arrive(request));
        expect(run([...events, settle(requests[0]!, 0, { bounds: { ...bounds, maxQueued: 2 } })]).refused)
            .to.deep.equal(["tolerant-late queue-full"]);
        expect(run([...events, settle(requests[0]!, 0, { bounds: { ...bounds, maxBytes: 15 } })]).refused)
            .to.deep.equal(["tolerant-late bytes-full", "tolerant bytes-full"]);
    });

    it("is never beyond a bound after a request has been settled, and refuses nothing for it that is more urgent than what stays", () => {
        const small = { maxQueued: 5, maxBytes: 1_000 };
        fc.assert(fc.property(fc.array(anyRequest, { maxLength: 40 }), shapes => {
            let state = initialPriorityQueue();
            for (const request of requestsOf(shapes)) {
                state = priorityQueueReducer(state, arrive(request)).state;
                const settled = settle(request, 0, { bounds: small, rates: { freed: undefined, arriving: [] } });
                const result = priorityQueueReducer(state, settled);
                state = result.state;
                const left = takeAll(state);
                expect(state.queued).to.equal(left.length).and.to.be.at.most(small.maxQueued);
                expect(state.bytes).to.equal(left.reduce((sum, { bytes }) => sum + bytes, 0)).and.to.be.at.most(small.maxBytes);
                for (const { request: { priority } } of result.effects) {
                    expect(left.every(other => other.priority <= priority)).to.equal(true);
                }
            }
        }), { seed: 31, numRuns: 200 });
    });

    // If less urgent requests delayed urgent ones, an urgent one would be refused and a less urgent one admitted to the room that it lacks.
    it("takes no request while a more urgent one that can be on time waits", () => {
        fc.assert(fc.property(fc.array(anyRequest, { maxLength: 40 }), fc.integer({ min: 0, max: 500 }), (shapes, nowMs) => {
            const { state } = run([...requestsOf(shapes).map(request => arrive(request)), advance(nowMs)]);
            const level = ({ priority, arrivedMs, dueMs }: WaitingRequest) => nowMs >= dueMs
                ? 10
                : Math.max(0, priority - (nowMs >= (arrivedMs + dueMs) / 2 ? 1 : 0));
            const levels = takeAll(state).map(level);
            expect(levels).to.deep.equal([...levels].sort((a, b) => a - b));
        }), { seed: 32, numRuns: 200 });
    });

    it("decides on an urgent request as if no less urgent one waited", () => {
        fc.assert(fc.property(fc.array(anyRequest, { maxLength: 40 }), fc.integer({ min: 1, max: 300 }), (shapes, dueMs) => {
            const request = waiting("new", { priority: 1, dueMs, lastStartMs: dueMs });
            const decide = (others: readonly WaitingRequest[]) =>
                run([...others.map(other => arrive(other)), arrive(request), settle(request)]).refused;
            const others = requestsOf(shapes);
            expect(decide(others)).to.deep.equal(decide(others.filter(({ priority }) => priority <= 1)));
        }), { seed: 33, numRuns: 200 });
    });

    it("serves every organisation in turn, whatever the others have waiting", () => {
        fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 1, max: 10 }), (heavy, light) => {
            const requests = [
                ...Array.from({ length: heavy }, (_, index) => waiting(`h${index}`, { organisation: "heavy" })),
                ...Array.from({ length: light }, (_, index) => waiting(`l${index}`, { organisation: "light" })),
            ];
            const taken = takeAll(run(requests.map(request => arrive(request))).state);
            expect(taken).to.have.length(heavy + light);
            const lastLight = taken.findLastIndex(({ organisation }) => organisation === "light");
            expect(lastLight).to.be.at.most(2 * light);
        }), { seed: 34, numRuns: 100 });
    });
});
