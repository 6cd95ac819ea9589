import { expect } from "chai";
import { defaultRequestLimits } from "../../src/attempt/index.js";
import { createAnswerSink } from "../../src/entry/answer.js";
import type { ProblemError } from "../../src/entry/problem.js";
import { type RequestShellOptions, startRequest } from "../../src/entry/requestShell.js";

const nothing = () => undefined;
const upstream = { upstreamId: "u1", address: "127.0.0.1:1", sidecarBootId: "b1", epoch: 0n };

function fail(): never {
    throw new Error("broken");
}

/** Runs a request of which one part fails; returns the problem that its caller gets and what was recorded. */
async function run(overrides: Partial<RequestShellOptions>) {
    const recorded: string[] = [];
    const sink = createAnswerSink("r1");
    const observer = Object.fromEntries(
        ["count", "waitStarted", "waitEnded", "attemptStarted", "chunkReceived", "attemptEnded", "delivered", "refused", "close"].map(name => [name, nothing]),
    );
    startRequest({
        params: {
            requestId: "r1", idempotent: true, claimed: false, eventStream: false, continuable: false, suspect: false,
            deadlineAtMs: performance.now() + 5_000, limits: defaultRequestLimits,
        },
        sink, observer, claim: undefined,
        ticket: { attemptEnded: nothing, close: nothing, choose: () => Promise.resolve({ kind: "upstream", upstreamId: "u1" }) },
        trial: { release: nothing }, upstreams: () => new Map([["u1", upstream]]), isSuspect: () => false, crashesEngines: () => false,
        onDelivered: nothing, createLink: fail, dispatchRequest: nothing, nowMs: () => performance.now(), newId: () => "a1",
        onClose: () => recorded.push("closed"), onException: (error: Error) => recorded.push(error.message),
        ...overrides,
    } as unknown as RequestShellOptions);
    const problem = await sink.answer.then(nothing, (error: ProblemError) => error.problem);
    return { problem: problem && [problem.status, problem.code, problem.execution], recorded };
}

describe("an exception while the entry runs a request", () => {
    // Guards against a process that ends with all its requests because of a rejected promise of one of them.
    it("costs that request alone", async () => {
        const runLink = { run: () => Promise.reject(new Error("broken")), cancel: nothing };
        expect({
            "when it is checked": await run({ crashesEngines: fail }),
            "when an upstream is looked up": await run({ upstreams: fail }),
            "when its link is opened": await run({}),
            "when its link fails": await run({ createLink: () => runLink as never }),
        }).toMatchSnapshot();
    });
});
