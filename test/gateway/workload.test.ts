import { expect } from "chai";
import type { Asked } from "../../src/gateway/asked.js";
import type { Outcome } from "../../src/gateway/request.js";
import { createWorkload } from "../../src/gateway/workload.js";
import { engine } from "../groups/builders.js";

/** An attempt whose caller waits for `leftMs`; its work is 101 ms of two VMs. */
function attempt(leftMs: number): Asked {
    return {
        route: { name: "captions" }, model: "small", promptTokens: 100, answerTokens: 400, arrivedAtMs: 0, deadlineAtMs: leftMs,
    } as unknown as Asked;
}

const attemptVmMs = 2 * (100 + 10 / 4);

/** How often the work of `callers` is counted; each is refused with a chance of `refusedShare` and comes back once with less time left. */
function countedShare(callers: number, refusedShare: number): number {
    const workload = createWorkload();
    let state = 7;
    const isRefused = () => {
        state = state * 48_271 % 2_147_483_647;
        return state / 2_147_483_647 < refusedShare;
    };
    const ended = (leftMs: number): Outcome => {
        const outcome = isRefused() ? "refused" : "delivered";
        workload.ended(engine, attempt(leftMs), outcome);
        return outcome;
    };
    for (let caller = 0; caller < callers; caller++) {
        const leftMs = 5_100 + caller % 10 * 100;
        if (ended(leftMs) === "refused") {
            ended(leftMs * 0.75);
        }
    }
    return workload.take().small! / (callers * attemptVmMs);
}

describe("the work that callers ask for", () => {
    // Callers that wait for less than the most patient ones were taken for ones that come back, and two thirds of the work left out.
    it("counts all callers, however long each one waits", () => {
        expect(countedShare(1_000, 0)).to.be.closeTo(1, 0.001);
    });

    // A model is short of VMs, and those it refuses come back. Counted twice, they would have VMs taken from a model that is no better off.
    it("counts callers about once while they are refused and come back", () => {
        for (const refusedShare of [0.25, 0.5, 0.75, 1]) {
            expect(countedShare(4_000, refusedShare)).to.be.closeTo(1, 0.15);
        }
    });

    it("gives each part once", () => {
        const workload = createWorkload();
        workload.ended(engine, attempt(6_000), "delivered");
        expect(workload.take()).to.deep.equal({ small: attemptVmMs });
        expect(workload.take()).to.deep.equal({});
    });
});
