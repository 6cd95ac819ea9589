import { expect } from "chai";
import type { ParsedRequest } from "../../src/gateway/parsedRequest.js";
import type { Outcome } from "../../src/gateway/requestTypes.js";
import { createWorkload } from "../../src/gateway/workload.js";
import { engine } from "../groups/builders.js";

/** Creates an attempt whose caller waits for `leftMs`; its work is `attemptVmMs`, on two VMs. */
function attempt(leftMs: number): ParsedRequest {
    return {
        route: { name: "captions" }, model: "small", promptTokens: 100, sharedParts: [], answerTokens: 400, arrivedAtMs: 0, deadlineAtMs: leftMs,
        giveUpAtMs: leftMs,
    } as unknown as ParsedRequest;
}

const attemptVmMs = 2 * (100 + 10 / 4);

/**
 * Returns how often the work of each of `callers` is counted on average. Each is refused with probability `refusedShare` and then retries
 * once with less time left.
 */
function countedShare(callers: number, refusedShare: number): number {
    const workload = createWorkload();
    let state = 7;
    const isRefused = () => {
        state = state * 48_271 % 2_147_483_647;
        return state / 2_147_483_647 < refusedShare;
    };
    const ended = (leftMs: number): Outcome => {
        const outcome = isRefused() ? "refused" : "delivered";
        workload.attemptEnded(engine, attempt(leftMs), outcome);
        return outcome;
    };
    for (let caller = 0; caller < callers; caller++) {
        const leftMs = 5_100 + caller % 10 * 100;
        if (ended(leftMs) === "refused") {
            ended(leftMs * 0.75);
        }
    }
    return workload.drain().small! / (callers * attemptVmMs);
}

describe("the workload of callers", () => {
    // Callers with shorter deadlines than others were taken for retries, and two thirds of the work was not counted.
    it("counts all callers, whatever their deadlines", () => {
        expect(countedShare(1_000, 0)).to.be.closeTo(1, 0.001);
    });

    // A model is short of VMs, and refused callers retry. If they were counted twice, VMs would be taken from a model that is as short.
    it("counts callers about once while they are refused and retry", () => {
        for (const refusedShare of [0.25, 0.5, 0.75, 1]) {
            expect(countedShare(4_000, refusedShare)).to.be.closeTo(1, 0.15);
        }
    });

    // Guards against one caller's numbers and names that move the VMs of a site to a model, or make an entry's report unusable.
    it("is bounded by what a request can take of its group, and counts the engine's models alone", () => {
        const workload = createWorkload();
        workload.attemptEnded(engine, { ...attempt(6_000), promptTokens: 999_999_999_999 }, "delivered");
        workload.attemptEnded(engine, { ...attempt(6_000), model: "invented" }, "delivered");
        expect(workload.drain()).to.deep.equal({ small: 2 * 6_000 });
    });

    it("returns each piece of work once", () => {
        const workload = createWorkload();
        workload.attemptEnded(engine, attempt(6_000), "delivered");
        expect(workload.drain()).to.deep.equal({ small: attemptVmMs });
        expect(workload.drain()).to.deep.equal({});
    });
});
