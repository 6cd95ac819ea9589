/**
 * Builds the components of a request from the caller's request, and starts it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { defaultRequestLimits, type RequestParams } from "../attempt/index.js";
import { hasCrashCause } from "../crashes/index.js";
import { prefixKeyOf } from "../routing/index.js";
import type { PeerConnections } from "../rpc/index.js";
import type { Session } from "../session/index.js";
import type { ExceptionLog, Metrics, Tracing } from "../telemetry/index.js";
import type { AdmissionTicket, EntryAdmission } from "./admission.js";
import { type Answer, createAnswerSink } from "./answer.js";
import { createRequestClaim, type Propose, type RequestClaim } from "./claims.js";
import { createAttemptLink } from "./links.js";
import type { Problem } from "./problem.js";
import type { CallerRequest } from "./callerRequest.js";
import { observeRequest } from "./requestObserver.js";
import { type DispatchEffect, startRequest } from "./requestShell.js";
import { createTrial } from "./trial.js";

const defaultAnswerTokens = 256;
/** A clearance that is lost is followed by that of the next answer. */
const clearTimeoutMs = 2_000;
const promptCharsPerWorkUnit = 40;
const fingerprintChars = 32;
/** The margin between the last moment an outcome can arrive and the claim's change to unknown. */
const settleMarginMs = 10_000;
/** Never sent; ends the promise and stream of an answer whose caller has disconnected. */
const callerGoneProblem: Problem = { status: 499, code: "caller-gone", title: "The caller has gone", execution: "unknown" };
const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

export interface Runner {
    /** Runs the request until its answer begins; rejects with a `ProblemError` if it fails before that. */
    run(request: CallerRequest, signal: AbortSignal): Promise<Answer>;
    /** The number of unfinished requests, including those that continue after their callers have disconnected. */
    readonly running: number;
    /** Resolves once no request is running. */
    waitUntilIdle(): Promise<void>;
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
    readonly exceptions: ExceptionLog;
}

/** Whether the request may be repeated: decided by its header, else its class, else its method and service. */
function isIdempotent({ idempotent, serviceClass, service, method }: CallerRequest): boolean {
    if (idempotent !== undefined) {
        return idempotent !== "?0";
    }
    return serviceClass.idempotent ?? (service.kind === "model" || idempotentMethods.has(method));
}

/** Hashes what an engine receives: identical requests share a fingerprint, whoever sends them. */
function fingerprintOf(request: CallerRequest): string {
    return createHash("sha256").update(`${request.service.name}\n${request.method} ${request.path}\n`).update(request.body).digest("hex")
        .slice(0, fingerprintChars);
}

/** Creates the runner. */
export function createRunner(options: RunnerOptions): Runner {
    const { session, nowMs } = options;
    const idleWaiters = new Set<() => void>();
    let running = 0;

    function enterAdmission(request: CallerRequest, requestId: string): AdmissionTicket {
        const { organisation, serviceClass, service, model, prompt } = request;
        const promptWork = (prompt ?? "").length / promptCharsPerWorkUnit;
        return options.admission.enter({
            id: requestId,
            organisation: organisation.name,
            serviceClass: serviceClass.name,
            service: service.name,
            model,
            prefixKey: prompt === undefined ? undefined : prefixKeyOf(organisation.name, prompt),
            latenessMs: serviceClass.latenessMs,
            deadlineMs: serviceClass.deadlineMs,
            work: service.kind === "plain" ? 1 : (request.maxTokens ?? defaultAnswerTokens) + promptWork,
        });
    }

    function requestParamsOf(request: CallerRequest, requestId: string, fingerprint: string): RequestParams {
        const idempotent = isIdempotent(request);
        return {
            requestId,
            idempotent,
            claimed: !idempotent && request.idempotencyKey !== undefined,
            eventStream: request.eventStream ?? false,
            continuable: request.service.kind === "model" && idempotent,
            suspect: session().view.suspects.has(fingerprint),
            deadlineAtMs: nowMs() + request.serviceClass.deadlineMs,
            limits: defaultRequestLimits,
        };
    }

    function createClaim(request: CallerRequest, params: RequestParams): RequestClaim | undefined {
        if (!params.claimed) {
            return undefined;
        }
        return createRequestClaim({
            organisation: request.organisation.name,
            key: request.idempotencyKey!,
            hashedContent: Buffer.concat([Buffer.from(`${request.service.name}\n${request.method} ${request.path}\n`), request.body]),
            owner: params.requestId,
            settleMs: request.serviceClass.deadlineMs + params.limits.detachedTimeoutMs + settleMarginMs,
            replayable: request.service.kind === "plain",
        }, options.propose);
    }

    function dispatchRequest(request: CallerRequest, params: RequestParams, fingerprint: string, effect: DispatchEffect, traceparent = "") {
        const { attemptId, upstream, suspect, continueFrom, continueText } = effect;
        return {
            attemptId,
            requestId: params.requestId,
            sidecarBootId: upstream.sidecarBootId,
            upstreamId: upstream.upstreamId,
            epoch: BigInt(upstream.epoch),
            deadlineMs: Math.max(0, Math.floor(params.deadlineAtMs - nowMs())),
            organisation: request.organisation.name,
            serviceClass: request.serviceClass.name,
            fingerprint,
            sharedParts: [...request.sharedParts ?? []],
            suspect,
            idempotent: params.idempotent,
            method: request.method,
            path: request.path,
            headers: [...request.headers],
            body: request.body,
            traceparent,
            configVersion: BigInt(session().view.version),
            configLeaseMs: Math.floor(session().leaseRemainingMs()),
            continueFrom: BigInt(continueFrom),
            continueText,
        };
    }

    /** A part on which an answer has been completed crashes no engine. */
    function clearSuspectedParts(sharedParts: readonly string[]) {
        const parts = sharedParts.filter(part => session().view.suspectedParts.has(part));
        if (parts.length > 0) {
            options.propose({ kind: "clear-crashed-parts", parts, atMs: Date.now() }, clearTimeoutMs).catch(() => undefined);
        }
    }

    function onClose() {
        running--;
        if (running === 0) {
            idleWaiters.forEach(resolve => resolve());
            idleWaiters.clear();
        }
    }

    return {
        run(request, signal) {
            const requestId = options.newId();
            const fingerprint = fingerprintOf(request);
            const params = requestParamsOf(request, requestId, fingerprint);
            const sink = createAnswerSink(requestId);
            running++;
            const shell = startRequest({
                params,
                sink,
                ticket: enterAdmission(request, requestId),
                claim: createClaim(request, params),
                trial: createTrial(fingerprint, requestId, request.serviceClass.deadlineMs, options.propose),
                upstreams: () => session().view.upstreams,
                isSuspect: () => session().view.suspects.has(fingerprint),
                crashesEngines: () => hasCrashCause(request.sharedParts ?? [], session().view.crashCauses),
                onDelivered: () => clearSuspectedParts(request.sharedParts ?? []),
                createLink: (attemptId, upstream) => createAttemptLink(options.connections, attemptId, upstream),
                dispatchRequest: (effect, traceparent) => dispatchRequest(request, params, fingerprint, effect, traceparent),
                observer: observeRequest(options, request, requestId),
                nowMs,
                newId: options.newId,
                onClose,
                onException: error => options.exceptions.record("request", error, { request: requestId }),
            });
            signal.addEventListener("abort", () => {
                shell.callerGone();
                sink.fail(callerGoneProblem);
            }, { once: true });
            return sink.answer;
        },
        get running() {
            return running;
        },
        waitUntilIdle() {
            return running === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.add(() => resolve()));
        },
    };
}
