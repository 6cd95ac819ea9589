import { expect } from "chai";
import {
    type AdmissionContext, type DispatchParams, newRegistry, reduceRegistry, type RegistryEvent, attemptRetentionMs,
} from "../../src/attempt/index.js";

const admission: AdmissionContext = {
    leaving: false, epoch: 3, membersLive: true, configurationLive: true, drained: false, barred: false, pushbackLeftMs: 0,
};

function run(attemptId: string, dispatch: Partial<DispatchParams> = {}, context: Partial<AdmissionContext> = {}): RegistryEvent {
    return {
        kind: "run",
        nowMs: 0,
        dispatch: {
            attemptId, sidecarBootId: "b1", epoch: 3, deadlineMs: 100, idempotent: true, fingerprint: `f-${attemptId}`,
            sharedParts: ["system", `p-${attemptId}`], suspect: false, ...dispatch,
        },
        admission: { ...admission, ...context },
    };
}

function started(attemptId: string): RegistryEvent[] {
    return [run(attemptId), { kind: "start-answered", nowMs: 0, attemptId, answer: { admitted: true } }];
}

function tombstone(attemptId: string, bootId = "b1", nowMs = 0): RegistryEvent {
    return { kind: "tombstone", nowMs, attemptId, bootId };
}

function effectsOf(...events: RegistryEvent[]) {
    let state = newRegistry("b1", 0);
    return events.flatMap(event => {
        const result = reduceRegistry(state, event);
        state = result.state;
        return result.effects;
    });
}

describe("a sidecar's registry of attempts", () => {
    it("refuses inadmissible attempts as not run, and never runs them later", () => {
        const refusals = [
            run("a", { sidecarBootId: "b0" }),
            run("b", { deadlineMs: 0 }),
            run("c", {}, { leaving: true }),
            run("d", { epoch: 2 }),
            run("e", {}, { membersLive: false }),
            run("f", {}, { configurationLive: false }),
            run("g", {}, { drained: true }),
            run("h", {}, { barred: true }),
        ];
        expect(effectsOf(...refusals, run("a"))).toMatchSnapshot();
    });

    // Guards against requests to an upstream that has asked for none, whatever entries believe.
    it("refuses attempts while the upstream has pushed back, with the time that is left", () => {
        expect(effectsOf(run("a", {}, { pushbackLeftMs: 2_400 }), run("b"))).toMatchSnapshot();
    });

    // An entry gave up a dispatch that was delayed in a stalled connection, requested a tombstone and refused its caller as not-run.
    // When the dispatch arrives after all, it must not run.
    it("permanently bars an attempt that it has never seen", () => {
        expect(effectsOf(tombstone("a"), run("a"), tombstone("a"))).toMatchSnapshot();
    });

    // A restarted sidecar has lost its state. The answer `barred` could report work of the previous boot as not run.
    it("answers unknown about another boot's attempts", () => {
        expect(effectsOf(tombstone("a", "b0"))).toMatchSnapshot();
    });

    it("runs an attempt that is dispatched twice only once", () => {
        expect(effectsOf(...started("a"), run("a"), { kind: "ended", nowMs: 1, attemptId: "a" }, run("a"))).toMatchSnapshot();
    });

    it("keeps a barred attempt for at least an hour", () => {
        const sweep: RegistryEvent = { kind: "sweep", nowMs: attemptRetentionMs };
        const secondSweep: RegistryEvent = { kind: "sweep", nowMs: 2 * attemptRetentionMs - 1 };
        expect(effectsOf(tombstone("a"), sweep, secondSweep, run("a"))).toMatchSnapshot();
    });

    it("runs a suspect alone, and nothing else in the meantime", () => {
        const suspect = run("s", { suspect: true });
        const admitted: RegistryEvent = { kind: "start-answered", nowMs: 0, attemptId: "s", answer: { admitted: true } };
        expect(effectsOf(...started("a"), suspect)).toMatchSnapshot();
        expect(effectsOf(suspect, admitted, run("a"))).toMatchSnapshot();
    });

    it("cancels only idempotent work", () => {
        const nonIdempotent = run("o", { idempotent: false });
        const cancels = ["a", "o"].map((attemptId): RegistryEvent => ({ kind: "cancel", nowMs: 0, attemptId }));
        expect(effectsOf(...started("a"), nonIdempotent, ...cancels)).toMatchSnapshot();
    });

    it("reports every request in flight when the engine is lost", () => {
        expect(effectsOf(...started("a"), ...started("b"), { kind: "engine-lost", nowMs: 2, engineBootId: "e1" })).toMatchSnapshot();
    });
});
