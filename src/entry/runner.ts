/**
 * Builds the parts of one request from what its caller asks, and starts it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { defaultLimits, type RequestFacts } from "../attempt/index.js";
import { prefixKeyOf } from "../routing/index.js";
import type { PeerConnections } from "../rpc/index.js";
import type { Session } from "../session/index.js";
import type { Metrics, Tracing } from "../telemetry/index.js";
import type { EntryAdmission, Turn } from "./admission.js";
import { type Answer, createAnswerSink } from "./answer.js";
import { createRequestClaim, type Propose, type RequestClaim } from "./claims.js";
import { createAttemptLink } from "./links.js";
import type { Problem } from "./problem.js";
import type { Ask } from "./ask.js";
import { observeRequest } from "./requestObserver.js";
import { type DispatchEffect, startRequest } from "./requestShell.js";
import { createTrial } from "./trial.js";

const usualTokens = 256;
const promptCharsPerToken = 40;
const fingerprintChars = 32;
/** Left between the last moment an outcome can come in and the claim's turning unknown. */
const settleMarginMs = 10_000;
/** Nobody reads it; it ends what still waits for the answer. */
const callerGone: Problem = { status: 499, code: "caller-gone", title: "The caller has gone", execution: "unknown" };
const repeatableMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

export interface Runner {
    /** Rejects with a `ProblemError` when no answer begins. */
    run(ask: Ask, signal: AbortSignal): Promise<Answer>;
    /** Requests that are not over; some may run on after their callers have gone. */
    readonly running: number;
    /** Resolves once none is left. */
    idle(): Promise<void>;
}

export interface RunnerOptions {
    readonly session: () => Session;
    readonly connections: PeerConnections;
    readonly admission: EntryAdmission;
    readonly propose: Propose;
    readonly nowMs: () => number;
    readonly newId: () => string;
    readonly tracing: Tracing;
    readonly metrics: Metrics;
}

/** Whether the request may be repeated: as its header says, else its class, else its method and service. */
function isIdempotent({ idempotent, serviceClass, service, method }: Ask): boolean {
    if (idempotent !== undefined) {
        return idempotent !== "?0";
    }
    return serviceClass.idempotent ?? (service.kind === "model" || repeatableMethods.has(method));
}

/** Requests that an engine cannot tell apart share a fingerprint, whoever sends them. */
function fingerprintOf(ask: Ask): string {
    return createHash("sha256").update(`${ask.service.name}\n${ask.method} ${ask.path}\n`).update(ask.body).digest("hex")
        .slice(0, fingerprintChars);
}

/** Creates the runner. */
export function createRunner(options: RunnerOptions): Runner {
    const { session, nowMs } = options;
    const whenIdle = new Set<() => void>();
    let running = 0;

    function enter(ask: Ask, requestId: string): Turn {
        const { organisation, serviceClass, service, model, prompt } = ask;
        const promptWork = (prompt ?? "").length / promptCharsPerToken;
        return options.admission.enter({
            id: requestId,
            organisation: organisation.name,
            serviceClass: serviceClass.name,
            service: service.name,
            model,
            prefixKey: prompt === undefined ? undefined : prefixKeyOf(organisation.name, prompt),
            latenessMs: serviceClass.latenessMs,
            deadlineMs: serviceClass.deadlineMs,
            work: service.kind === "plain" ? 1 : (ask.maxTokens ?? usualTokens) + promptWork,
        });
    }

    function factsOf(ask: Ask, requestId: string, fingerprint: string): RequestFacts {
        const idempotent = isIdempotent(ask);
        return {
            requestId,
            idempotent,
            claimed: !idempotent && ask.idempotencyKey !== undefined,
            eventStream: ask.eventStream ?? false,
            continuable: ask.service.kind === "model" && idempotent,
            suspect: session().view.suspects.has(fingerprint),
            deadlineAtMs: nowMs() + ask.serviceClass.deadlineMs,
            limits: defaultLimits,
        };
    }

    function claimOf(ask: Ask, facts: RequestFacts): RequestClaim | undefined {
        if (!facts.claimed) {
            return undefined;
        }
        return createRequestClaim({
            organisation: ask.organisation.name,
            key: ask.idempotencyKey!,
            content: Buffer.concat([Buffer.from(`${ask.service.name}\n${ask.method} ${ask.path}\n`), ask.body]),
            owner: facts.requestId,
            settleMs: ask.serviceClass.deadlineMs + facts.limits.detachedMs + settleMarginMs,
            replayable: ask.service.kind === "plain",
        }, options.propose);
    }

    function dispatchRequest(ask: Ask, facts: RequestFacts, fingerprint: string, effect: DispatchEffect, traceparent = "") {
        const { attemptId, upstream, suspect, continueFrom, continueText } = effect;
        return {
            attemptId,
            requestId: facts.requestId,
            sidecarBootId: upstream.sidecarBootId,
            upstreamId: upstream.upstreamId,
            epoch: BigInt(upstream.epoch),
            deadlineMs: Math.max(0, Math.floor(facts.deadlineAtMs - nowMs())),
            organisation: ask.organisation.name,
            serviceClass: ask.serviceClass.name,
            fingerprint,
            suspect,
            idempotent: facts.idempotent,
            method: ask.method,
            path: ask.path,
            headers: [...ask.headers],
            body: ask.body,
            traceparent,
            configVersion: BigInt(session().view.version),
            configLeaseMs: Math.floor(session().leaseRemainingMs()),
            continueFrom: BigInt(continueFrom),
            continueText,
        };
    }

    function onClose() {
        running--;
        if (running === 0) {
            whenIdle.forEach(resolve => resolve());
            whenIdle.clear();
        }
    }

    return {
        run(ask, signal) {
            const requestId = options.newId();
            const fingerprint = fingerprintOf(ask);
            const facts = factsOf(ask, requestId, fingerprint);
            const sink = createAnswerSink(requestId);
            running++;
            const shell = startRequest({
                facts,
                sink,
                turn: enter(ask, requestId),
                claim: claimOf(ask, facts),
                trial: createTrial(fingerprint, requestId, ask.serviceClass.deadlineMs, options.propose),
                upstreams: () => session().view.upstreams,
                isSuspect: () => session().view.suspects.has(fingerprint),
                createLink: (attemptId, upstream) => createAttemptLink(options.connections, attemptId, upstream),
                dispatchRequest: (effect, traceparent) => dispatchRequest(ask, facts, fingerprint, effect, traceparent),
                observer: observeRequest(options, ask, requestId),
                nowMs,
                newId: options.newId,
                onClose,
            });
            signal.addEventListener("abort", () => {
                shell.callerGone();
                sink.problem(callerGone);
            }, { once: true });
            return sink.answer;
        },
        get running() {
            return running;
        },
        idle() {
            return running === 0 ? Promise.resolve() : new Promise(resolve => whenIdle.add(() => resolve()));
        },
    };
}
