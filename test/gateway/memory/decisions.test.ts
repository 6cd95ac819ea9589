import { expect } from "chai";
import * as fc from "fast-check";
import { accountReducer, boundFor, createAccount, heldKinds, type Level, sumOf } from "../../../src/gateway/memory/account.js";
import { bodiesToRead } from "../../../src/gateway/memory/bodies.js";
import { chooseCuts, type WaitingCaller } from "../../../src/gateway/memory/slowReaders.js";
import { seededRandom } from "./world.js";

const mib = 1_048_576;

describe("the account of held bytes", () => {
    const statement = fc.record({
        holder: fc.constantFrom("a", "b", "c"), part: fc.constantFrom(...heldKinds), bytes: fc.nat(3 * mib), isRelease: fc.boolean(),
    });

    // Guards against totals that drift from what the holders state, by which the bound would be passed or never left.
    it("has the sum of what the holders have stated last, and nothing once all are released", () => {
        fc.assert(fc.property(fc.array(statement, { maxLength: 60 }), statements => {
            let state = createAccount(8 * mib);
            const stated = new Map<string, number>();
            for (const { holder, part, bytes, isRelease } of statements) {
                state = accountReducer(state, isRelease ? { kind: "release", holder } : { kind: "hold", holder, part, bytes }).state;
                heldKinds.filter(kind => isRelease || kind === part).forEach(kind => stated.set(`${holder}/${kind}`, isRelease ? 0 : bytes));
                expect(state.totalBytes).to.equal([...stated.values()].reduce((sum, value) => sum + value, 0));
                expect(sumOf(state.byKind)).to.equal(state.totalBytes);
            }
            state = ["a", "b", "c"].reduce((last, holder) => accountReducer(last, { kind: "release", holder }).state, state);
            expect([state.totalBytes, state.level, state.holders.size]).to.deep.equal([0, "normal", 0]);
        }));
    });

    it("enters and leaves its levels at parts of the bound", () => {
        const bound = 100 * mib;
        let state = createAccount(bound);
        const levelsAt = (share: number): Level => {
            const bytes = Math.round(share * bound);
            state = accountReducer(state, { kind: "hold", holder: "a", part: "caller", bytes }).state;
            return state.level;
        };
        expect([0.49, 0.5, 0.79, 0.8, 0.99, 1, 0.96, 0.94, 0.76, 0.74, 0.46, 0.44].map(levelsAt)).to.deep.equal([
            "normal", "pausing", "pausing", "refusing", "refusing", "full", "full", "refusing", "refusing", "pausing", "pausing", "normal",
        ]);
    });

    it("has a bound of 0.4 of what an idle entry leaves, and room for a body under any limit", () => {
        expect([250, 150, 100, 50].map(boundFor)).to.deep.equal([64e6, 24e6, 16 * mib, 16 * mib]);
    });
});

describe("slow readers", () => {
    const caller = (holder: string, fields: Partial<WaitingCaller>): WaitingCaller =>
        ({ holder, heldBytes: 100_000, lastTakenAtMs: 0, isResumable: false, isComplete: false, ...fields });
    const cuts = (callers: WaitingCaller[], level: Level, nowMs: number) => chooseCuts(callers, level, nowMs)
        .map(({ caller: { holder }, reason }) => `${holder} ${reason}`);

    it("are disconnected after 2 s without a byte taken if they hold more than 64 KiB", () => {
        const callers = [caller("idle", {}), caller("small", { heldBytes: 65_536 }), caller("reads", { lastTakenAtMs: 500 })];
        expect([cuts(callers, "normal", 1_999), cuts(callers, "normal", 2_000)]).to.deep.equal([[], ["idle takes-nothing"]]);
    });

    // Guards against cutting off an answer that is ready and harms nobody.
    it("have longer for a complete answer while there is room", () => {
        const callers = [caller("complete", { isComplete: true })];
        expect([cuts(callers, "normal", 9_999), cuts(callers, "normal", 10_000), cuts(callers, "pausing", 2_000)])
            .to.deep.equal([[], ["complete takes-nothing"], ["complete takes-nothing"]]);
    });

    it("are disconnected one by one while memory is short: resumable first, then the longest idle; never one that reads", () => {
        const callers = [
            caller("plain, long idle", {}), caller("stream, long idle", { isResumable: true, lastTakenAtMs: 200 }),
            caller("stream, idle", { isResumable: true, lastTakenAtMs: 300 }), caller("reads", { isResumable: true, lastTakenAtMs: 900 }),
            caller("tiny", { isResumable: true, heldBytes: 16_384 }),
        ];
        const order: string[] = [];
        for (let left = callers, cut = chooseCuts(left, "refusing", 1_000)[0]; cut !== undefined; cut = chooseCuts(left, "refusing", 1_000)[0]) {
            const { holder } = cut.caller;
            order.push(holder);
            left = left.filter(other => other.holder !== holder);
        }
        expect(order).to.deep.equal(["stream, long idle", "stream, idle", "plain, long idle"]);
        expect(cuts(callers, "pausing", 1_000)).to.deep.equal([]);
    });
});

describe("bodies that are read while much is held", () => {
    // Guards against a burst of bodies that are all paused half read, so that none can be sent on; and, with a bound that isn't kept,
    // against 100 bodies of 4 MiB in a process of 250 MB.
    it("are completed one after the other in a burst of 100 bodies of 4 MiB each, within the bound", () => {
        const random = seededRandom(7);
        let state = createAccount(boundFor(250));
        const bodies = Array.from({ length: 100 }, (_, index) => ({ holder: `b${index}`, readBytes: 0, expectedBytes: 4 * mib }));
        let mostBytes = 0;
        let rounds = 0;
        const isPending = ({ readBytes, expectedBytes }: typeof bodies[number]) => readBytes < expectedBytes;
        for (; bodies.some(isPending) && rounds < 1e6; rounds++) {
            const body = bodies[Math.floor(random() * bodies.length)]!;
            if (!isPending(body) || !bodiesToRead(bodies.filter(isPending), state).has(body.holder)) {
                continue;
            }
            body.readBytes = Math.min(body.expectedBytes, body.readBytes + 65_536);
            state = accountReducer(state, { kind: "hold", holder: body.holder, part: "body", bytes: body.readBytes }).state;
            mostBytes = Math.max(mostBytes, state.totalBytes);
            // A complete body is sent on and answered.
            state = isPending(body) ? state : accountReducer(state, { kind: "release", holder: body.holder }).state;
        }
        expect(bodies.filter(isPending)).to.deep.equal([]);
        expect(mostBytes).to.be.at.most(0.9 * state.boundBytes);
    });
});
