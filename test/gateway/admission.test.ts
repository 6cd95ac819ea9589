import { expect } from "chai";
import fc from "fast-check";
import { createAdmission } from "../../src/gateway/admission.js";
import type { AdmissionDecision, AdmissionRecord } from "../../src/gateway/admissionTypes.js";
import type { RoomAtGroup } from "../../src/gateway/groupRoom.js";
import type { Candidate, SiteView } from "../../src/gateway/siteView.js";
import type { SiteTable } from "../../src/site/index.js";
import { createSimulatedTime, parsedRequest, table } from "../support/admissionModel.js";
import { rethrow } from "../support/gatewaySite.js";
import { candidate } from "./candidates.js";

const caller = { organisation: "studio", priority: 0, latenessMs: 400 };

/** An admission before groups whose room the test sets. */
function createEntry(rooms: Record<string, number>) {
    const time = createSimulatedTime();
    const candidates = new Map(Object.keys(rooms).map(id => [id, { ...candidate(id), model: "lm" } as Candidate]));
    const decisions: string[] = [];
    const records: AdmissionRecord[] = [];
    const details: AdmissionDecision[] = [];
    const entry = {
        time, rooms, candidates, decisions, records, details,
        table: table as SiteTable | undefined,
        /** The ids of groups without a prediction. */
        unpredicted: new Set<string>(),
        avoided: new Set<string>(),
        firstEventMs: 100,
        pushbackLeftMs: 0,
        timers: 0,
        released: new Map<string, () => void>(),
        submit(id: string, fields: Partial<typeof caller> & { bodyBytes?: number; promptTokens?: number; patienceMs?: number } = {}) {
            const parsed = parsedRequest({ ...caller, ...fields }, time.nowMs(), fields.bodyBytes);
            const { promptTokens = parsed.promptTokens, patienceMs = parsed.route.patienceMs } = fields;
            const request = { ...parsed, promptTokens, route: { ...parsed.route, patienceMs } };
            const choose = (all: readonly Candidate[]) => entry.pushbackLeftMs > 0 ? undefined : all[0];
            return admission.submit({ request, service: "pool", model: "lm", choose }, decision => {
                details.push(decision);
                if (decision.kind === "send") {
                    rooms[decision.candidate.upstream.id]!--;
                    entry.released.set(id, decision.released);
                }
                decisions.push(`${id} ${decision.kind === "send" ? decision.candidate.upstream.id : decision.kind}`);
            });
        },
    };
    const roomOf = ({ upstream: { id } }: Candidate): RoomAtGroup =>
        ({ running: 5, limit: 5, allowance: rooms[id]!, firstEventMs: entry.firstEventMs, ageMs: 40 });
    const admission = createAdmission({
        view: {
            get table() {
                return entry.table;
            },
            candidates: () => [...candidates.values()],
        } as unknown as SiteView,
        room: { at: wanted => entry.unpredicted.has(wanted.upstream.id) ? undefined : roomOf(wanted) },
        nowMs: time.nowMs, random: () => 0.5, isAvoided: ({ upstream: { id } }) => entry.avoided.has(id), defer: time.defer,
        setTimer(callback, delayMs) {
            entry.timers++;
            const cancel = time.setTimer(() => {
                entry.timers--;
                callback();
            }, delayMs);
            return () => {
                entry.timers--;
                cancel();
            };
        },
        pushbackLeftMs: () => entry.pushbackLeftMs, record: decision => records.push(decision), isActive: () => true,
        recordException: rethrow,
    });
    return Object.assign(entry, { admission });
}

describe("admission", () => {
    it("sends at once where there is room, and otherwise when room is announced", () => {
        const entry = createEntry({ g1: 0, g2: 1 });
        entry.submit("a");
        entry.submit("b");
        expect(entry.decisions).to.deep.equal(["a g2"]);
        entry.rooms.g1 = 1;
        entry.admission.roomChanged();
        entry.time.runUntil(50);
        expect(entry.decisions).to.deep.equal(["a g2", "b g1"]);
        expect(entry.records.map(({ outcome, waitedMs }) => `${outcome} ${waitedMs}`)).to.deep.equal(["sent 0", "sent 0"]);
    });

    // Sites without the figures to predict a group, and sites that state no such model, keep the fixed bounds.
    it("leaves requests to the fixed bounds where nothing is predicted for the best upstream", () => {
        const entry = createEntry({ g1: 0, g2: 0 });
        entry.unpredicted.add("g1");
        entry.submit("a");
        entry.candidates.clear();
        entry.submit("b");
        expect(entry.decisions).to.deep.equal(["a unpredicted", "b unpredicted"]);
    });

    // Less urgent requests would otherwise take the last room just before an urgent one arrives.
    it("keeps room for urgent requests that arrive regularly, and gives it away when they stay away", () => {
        const entry = createEntry({ g1: 0 });
        for (let index = 0; index < 20; index++) {
            entry.time.runUntil(index * 50);
            entry.rooms.g1 = 1;
            entry.released.forEach(released => released());
            entry.submit(`regular-${index}`);
        }
        entry.time.runUntil(1_000);
        entry.released.forEach(released => released());
        entry.rooms.g1 = 1;
        entry.submit("tolerant", { priority: 2, latenessMs: 3_000 });
        entry.submit("urgent");
        expect(entry.decisions.slice(20)).to.deep.equal(["urgent g1"]);
        entry.released.get("urgent")!();
        entry.time.runUntil(3_500);
        entry.rooms.g1 = 1;
        entry.admission.roomChanged();
        entry.time.runUntil(3_501);
        expect(entry.decisions.slice(20)).to.deep.equal(["urgent g1", "tolerant g1"]);
    });

    // The room that a late request takes is missing to the next one that can be on time.
    it("sends late requests into no room that others have needed on time lately", () => {
        const entry = createEntry({ g1: 0 });
        for (let nowMs = 0; nowMs < 2_000; nowMs += 50) {
            entry.time.runUntil(nowMs);
            entry.released.forEach(released => released());
            entry.rooms.g1 = 1;
            if (nowMs >= 1_000) {
                entry.submit(`late-${nowMs}`, { latenessMs: 50 });
            }
            entry.submit(`regular-${nowMs}`);
        }
        expect(entry.decisions.filter(decision => decision.startsWith("late") && decision.endsWith("g1"))).to.deep.equal([]);
        expect(entry.decisions.filter(decision => decision.startsWith("regular") && decision.endsWith("g1"))).to.have.length(40);
    });

    // Otherwise a steady load of urgent requests would keep all others from every upstream.
    it("gives a request that has waited for half of its time the room of the next priority", () => {
        const sentAtMs = (priority: number) => {
            const entry = createEntry({ g1: 0 });
            for (let nowMs = 0; nowMs < 4_000; nowMs += 50) {
                entry.time.runUntil(nowMs);
                entry.released.forEach(released => released());
                if (nowMs === 1_000) {
                    entry.submit("tolerant", { priority, latenessMs: 3_000 });
                }
                entry.rooms.g1 = 1;
                entry.admission.roomChanged();
                entry.time.runUntil(nowMs + 1);
                if (entry.decisions.includes("tolerant g1")) {
                    return nowMs;
                }
                entry.submit(`urgent-${nowMs}`);
            }
            return Infinity;
        };
        // Its latest start is 2.9 s after its arrival.
        expect([sentAtMs(1), sentAtMs(2)]).to.deep.equal([2_450, Infinity]);
    });

    // Groups that are slowed can be late with every request. If these counted as needed on time, they would keep the room from themselves.
    it("sends every request while all upstreams are too slow to be on time and have room", () => {
        const entry = createEntry({ g1: 0 });
        entry.firstEventMs = 1_000;
        for (let index = 0; index < 40; index++) {
            entry.time.runUntil(index * 50);
            entry.rooms.g1 = 1;
            entry.submit(`late-${index}`);
        }
        expect(entry.records.map(({ outcome }) => outcome)).to.deep.equal(Array.from({ length: 40 }, () => "sent-late"));
    });

    // A request that turns late is sent only into room that nobody needs, and behind all others at the engine.
    it("sends late requests only when no other waits, and marks them", () => {
        const entry = createEntry({ g1: 0 });
        entry.submit("late");
        entry.time.runUntil(350);
        entry.submit("on-time", { latenessMs: 1_000 });
        entry.rooms.g1 = 1;
        entry.admission.roomChanged();
        entry.time.runUntil(351);
        expect(entry.decisions).to.deep.equal(["on-time g1"]);
        entry.released.get("on-time")!();
        entry.time.runUntil(1_200);
        entry.rooms.g1 = 2;
        entry.admission.roomChanged();
        entry.time.runUntil(1_201);
        expect(entry.decisions.at(-1)).to.equal("late g1");
        expect(entry.records.at(-1)!.outcome).to.equal("sent-late");
    });

    it("refuses what nobody waits for any more, by a single timer, with the inputs of the decision", () => {
        const entry = createEntry({ g1: 0 });
        entry.submit("a");
        entry.submit("b", { latenessMs: 900 });
        expect(entry.timers).to.equal(1);
        entry.time.runUntil(3_000);
        expect(entry.decisions).to.deep.equal(["a refuse", "b refuse"]);
        expect(entry.records.map(({ cause, waitedMs }) => `${cause} ${waitedMs}`)).to.deep.equal(["expired 1400", "expired 1400"]);
        expect(entry.timers).to.equal(0);
        expect(entry.details[0]).toMatchSnapshot();
    });

    it("refuses at once while every upstream has pushed back for longer than the caller waits, and waits otherwise", () => {
        const entry = createEntry({ g1: 1 });
        entry.pushbackLeftMs = 2_000;
        entry.submit("a");
        expect(entry.decisions).to.deep.equal(["a refuse"]);
        expect((entry.details[0] as { retryAfterMs: number }).retryAfterMs).to.be.at.least(2_000);
        entry.pushbackLeftMs = 200;
        entry.submit("b");
        entry.time.runUntil(200);
        entry.pushbackLeftMs = 0;
        entry.admission.roomChanged();
        entry.time.runUntil(201);
        expect(entry.decisions.at(-1)).to.equal("b g1");
    });

    it("never sends a request whose caller has left while it waited", () => {
        const entry = createEntry({ g1: 0 });
        const ticket = entry.submit("a");
        ticket.cancel();
        ticket.cancel();
        entry.rooms.g1 = 5;
        entry.admission.roomChanged();
        entry.time.runUntil(5_000);
        expect(entry.decisions).to.deep.equal([]);
        expect(entry.records.map(({ outcome }) => outcome)).to.deep.equal(["left"]);
    });

    it("continues with the other upstreams when one is lost under waiting requests", () => {
        const entry = createEntry({ g1: 0, g2: 0 });
        entry.submit("a");
        entry.candidates.delete("g1");
        entry.rooms.g1 = 5;
        entry.admission.roomChanged();
        entry.time.runUntil(100);
        expect(entry.decisions).to.deep.equal([]);
        entry.rooms.g2 = 1;
        entry.admission.roomChanged();
        entry.time.runUntil(101);
        expect(entry.decisions).to.deep.equal(["a g2"]);
    });

    // A group that fails each request at once is never full.
    it("waits for a sound upstream rather than use the room of one that fails, unless all fail", () => {
        const entry = createEntry({ g1: 10, g2: 0 });
        entry.avoided.add("g1");
        entry.submit("a");
        expect(entry.decisions).to.deep.equal([]);
        entry.avoided.add("g2");
        entry.admission.roomChanged();
        entry.time.runUntil(1);
        expect(entry.decisions).to.deep.equal(["a g1"]);
    });

    // Counted in full, such a request would make the room seem to become free a million times faster, and all would wait in vain.
    it("bounds what a request with an absurd hint of its size counts for", () => {
        const expectedWaitMs = (promptTokens: number) => {
            const entry = createEntry({ g1: 1 });
            entry.submit("first", { promptTokens });
            entry.submit("second", { latenessMs: 10, patienceMs: 10 });
            return (entry.details[1] as { inputs: { expectedWaitMs: number } }).inputs.expectedWaitMs;
        };
        expect(expectedWaitMs(100)).to.be.closeTo(160, 1);
        expect(expectedWaitMs(1e11)).to.be.at.least(10);
    });

    it("refuses waiting requests of a model that a new site no longer has", () => {
        const entry = createEntry({ g1: 0 });
        entry.submit("a");
        entry.table = { ...table, service: () => undefined };
        entry.admission.roomChanged();
        entry.time.runUntil(1);
        expect(entry.records.map(({ cause }) => cause)).to.deep.equal(["gone"]);
        expect([...entry.admission.waitingByModel.values()]).to.deep.equal([0]);
    });

    it("refuses waiting requests at the end of a shutdown, and from then on those without room", () => {
        const entry = createEntry({ g1: 0 });
        entry.submit("a");
        entry.admission.close();
        entry.submit("b");
        entry.rooms.g1 = 1;
        entry.submit("c");
        expect(entry.decisions).to.deep.equal(["a refuse", "b refuse", "c g1"]);
        expect(entry.records.map(({ cause }) => cause)).to.deep.equal(["stopping", "stopping", undefined]);
        expect(entry.timers).to.equal(0);
    });

    it("decides on every request exactly once unless it is cancelled, and keeps its bounds", () => {
        const action = fc.oneof(
            {
                weight: 6, arbitrary: fc.record({
                    kind: fc.constant("submit" as const), priority: fc.integer({ min: 0, max: 2 }), organisation: fc.constantFrom("a", "b"),
                    latenessMs: fc.integer({ min: 50, max: 800 }), bodyBytes: fc.constantFrom(0, 1_000_000, 3_000_000),
                }),
            },
            { weight: 2, arbitrary: fc.record({ kind: fc.constant("cancel" as const), pick: fc.nat(100) }) },
            { weight: 3, arbitrary: fc.record({ kind: fc.constant("room" as const), room: fc.integer({ min: 0, max: 3 }) }) },
            { weight: 3, arbitrary: fc.record({ kind: fc.constant("release" as const), pick: fc.nat(100) }) },
        );
        fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 200 }), action), { maxLength: 120 }), steps => {
            const entry = createEntry({ g1: 0, g2: 1 });
            const tickets: { cancel(): void }[] = [];
            const cancelled = new Set<string>();
            let nowMs = 0;
            for (const [elapsedMs, item] of steps) {
                entry.time.runUntil(nowMs += elapsedMs);
                if (item.kind === "submit") {
                    tickets.push(entry.submit(String(tickets.length), item));
                }
                else if (item.kind === "room") {
                    entry.rooms.g1 = item.room;
                    entry.admission.roomChanged();
                }
                else if (item.kind === "release") {
                    [...entry.released.values()][item.pick]?.();
                }
                else if (tickets[item.pick] !== undefined) {
                    if (!entry.decisions.some(decision => decision.startsWith(`${item.pick} `))) {
                        cancelled.add(String(item.pick));
                    }
                    tickets[item.pick]!.cancel();
                }
                const waiting = tickets.length - cancelled.size - entry.decisions.length;
                expect([...entry.admission.waitingByModel.values()][0] ?? 0).to.equal(waiting).and.to.be.at.most(64);
            }
            entry.time.runUntil(nowMs + 5_000);
            const decided = entry.decisions.map(decision => decision.split(" ")[0]!);
            expect([...decided, ...cancelled].sort()).to.deep.equal(tickets.map((_, index) => String(index)).sort());
        }), { seed: 41, numRuns: 150 });
    });
});
