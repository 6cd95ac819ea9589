/**
 * Serves one request: upstreams are tried one after the other until one has answered, no further attempt is allowed, or the deadline has
 * passed.
 *
 * Invariants:
 * - A non-idempotent request is retried only if no byte of it can have been sent or the upstream states that it did not run it.
 * - A refusal that promises "not run" is sent only in these cases.
 * - An answer is forwarded only if it carries the request's own id and, for a success, the upstream's signature.
 * - Of a stream only complete events are forwarded; another upstream continues after the last of them.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { Logger } from "../telemetry/index.js";
import type { CallerAnswer } from "./answer.js";
import type { ParsedRequest } from "./parsedRequest.js";
import { answerHeaders, type AttemptDependencies, type AttemptFailure, type RunningAttempt, startAttempt } from "./attempt.js";
import { createEventSplitter } from "./events.js";
import type { Holder } from "./memory/index.js";
import { outgoingHeaders } from "./outgoingHeaders.js";
import { retryAfterMs } from "./retryAfter.js";
import type { Candidate } from "./siteView.js";
import type { QueueLimits } from "./work.js";

export interface RequestDependencies extends AttemptDependencies {
    readonly logger: Logger;
    readonly dataCentre: string;
    random(): number;
    /** Takes one retry from the budget of `service`. False: the budget is exhausted. */
    mayRetry(service: string): boolean;
    /** The numbers of requests at an upstream beyond which further ones are refused. */
    queueLimits(candidate: Candidate, request: ParsedRequest): QueueLimits;
    recordOutcome(outcome: Outcome, request: ParsedRequest, tookMs: number, firstMs: number | undefined): void;
    countFailedAttempt(failure: AttemptFailure["kind"]): void;
    /** Records that the connection to an upstream broke while it ran the request. */
    recordCrash(request: ParsedRequest, upstream: Upstream): void;
    /** Whether so many upstreams have crashed while running this request that it must not be sent to another. */
    isBarred(request: ParsedRequest): boolean;
}

export type Outcome = "delivered" | "refused" | "failed" | "upstream-failed" | "caller-left";

export interface RunningRequest {
    /** Handles a caller that has disconnected. */
    callerLeft(): void;
    resume(): void;
    /** Ends the request now, with an answer that does not say whether it has run. */
    endNow(reason: string): void;
    /** The upstream of the current attempt. */
    readonly upstreamId: string | undefined;
}

/** With less time left than this, another attempt can't produce an answer. */
const minAttemptMs = 40;
/** Extra attempts in place of those that did not run: during a repair two stale heads may be tried before the new one. */
const maxExtraAttempts = 2;
/**
 * How long a stream may bring no event before another upstream is tried, as a part of the time after which callers abandon it. A queued
 * stream that is on time gets its first event well before.
 */
const streamStallShare = 0.5;
/** A request that has waited in the late queue for this part of its callers' patience shows that another one would wait in vain. */
const lateQueueStallShare = 0.25;
/** The stall timeout of repeatable requests to plain services, as a multiple of the route's latency target; 1 % take longer than this. */
const plainStallFactor = 2;
/** Starts serving a request. */
export function startRequest(
    request: ParsedRequest, answer: CallerAnswer, holder: Holder, dependencies: RequestDependencies,
): RunningRequest {
    const { names, balancer, logger } = dependencies;
    const { route } = request;
    const isStream = route.kind === "stream";
    const isRepeatable = route.kind === "idempotent" || (isStream && route.isResumable);
    const service = chooseService();
    const engine = request.table.service(service)?.engine;
    const coldRequestsPerSecond = request.table.service(service)?.coldRequestsPerSecond ?? 0;
    const model = engine !== undefined && engine.models.length > 0 ? request.model : undefined;
    const splitter = createEventSplitter();
    const tried = new Set<string>();
    let attempts = 0;
    /** Attempts that may have run. The route's attempt limit applies to these. */
    let possibleRuns = 0;
    let currentAttempt: RunningAttempt | undefined;
    let isOver = false;
    /** A retry has been taken from the budget and is not used yet. */
    let hasReservedRetry = false;
    /** False once an attempt may have run. From then on no refusal may promise that the request has not run. */
    let isCertainlyNotRun = true;
    /** Time from arrival to the first event. */
    let firstMs: number | undefined;

    const deadline = setTimeout(onTimeout, Math.max(0, request.giveUpAtMs - dependencies.nowMs()));

    function chooseService(): string {
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let remaining = dependencies.random() * total;
        return (route.targets.find(target => (remaining -= target.weight) < 0) ??
            route.targets.findLast(target => target.weight > 0)!).service;
    }

    function finish(outcome: Outcome, fields: object = {}) {
        if (isOver) {
            return;
        }
        isOver = true;
        clearTimeout(deadline);
        const tookMs = Math.round(dependencies.nowMs() - request.arrivedAtMs);
        dependencies.recordOutcome(outcome, request, tookMs, firstMs);
        logger.info("request ended", {
            request: request.attemptId, route: route.name, model, outcome, attempts, version: request.table.site.version,
            tookMs, firstMs, ...fields,
        });
    }

    function refuse(reason: string, fields: object = {}) {
        const leftMs = Math.max(0, request.deadlineAtMs - dependencies.nowMs());
        const acceptedInMs = pushbackLeftMs(listCandidates());
        answer.sendOwn(503, reason, retryAfterMs({ leftMs, acceptedInMs, random: dependencies.random() }));
        finish("refused", { reason, ...acceptedInMs === 0 ? {} : { acceptedInMs: Math.round(acceptedInMs) }, ...fields });
    }

    function fail(status: 502 | 504, reason: string, upstream?: string) {
        if (answer.isStarted) {
            answer.abort();
        }
        else {
            answer.sendOwn(status, reason);
        }
        finish("failed", { reason, upstream });
    }

    function onTimeout() {
        const upstream = currentAttempt?.upstream.id;
        currentAttempt?.abort();
        if (isCertainlyNotRun && attempts === 0) {
            refuse("no upstream could take it in time");
            return;
        }
        fail(504, "no final answer in time", upstream);
    }

    function listCandidates(): readonly Candidate[] {
        return dependencies.view.candidates(service, model);
    }

    /** The time until the first of the candidates accepts requests; 0 if one has not pushed back or there is none. */
    function pushbackLeftMs(candidates: readonly Candidate[]): number {
        return candidates.length === 0 ? 0 : Math.min(...candidates.map(({ upstream }) => dependencies.pushbacks.leftMs(upstream.id)));
    }

    function reasonWithoutCandidate(all: readonly Candidate[]): string {
        if (all.length === 0) {
            return "no upstream serves this now";
        }
        return pushbackLeftMs(all) > 0 ? "every upstream has pushed back" : "no other upstream may take it now";
    }

    function startNextAttempt() {
        if (dependencies.isBarred(request)) {
            giveUp("upstreams have crashed under this request");
            return;
        }
        const all = listCandidates();
        const candidate = balancer.choose(all, {
            without: tried,
            coldRequestsPerSecond,
            dataCentre: dependencies.dataCentre,
            hasIdle: upstream => isRepeatable && dependencies.connections.hasIdle(upstream.address),
        });
        if (candidate === undefined) {
            giveUp(reasonWithoutCandidate(all));
            return;
        }
        const isLate = attempts === 0 && isOnTimeQueueFull(candidate);
        if (isLate && !mayQueueLate(candidate)) {
            refuse("every upstream has as much as it can finish in time", queueLogFields(candidate, all.length));
            return;
        }
        startAttemptAt(candidate.upstream, isLate);
    }

    /** Whether a further request at this upstream would no longer be on time. */
    function isOnTimeQueueFull(candidate: Candidate): boolean {
        return balancer.onTimeEstimate(candidate.upstream) >= dependencies.queueLimits(candidate, request).onTime;
    }

    /** Log fields of a refusal due to full queues: the best upstream, its estimated queues and limits, and the number of candidates. */
    function queueLogFields(candidate: Candidate, candidates: number) {
        const { upstream } = candidate;
        const queueLimits = dependencies.queueLimits(candidate, request);
        return {
            upstream: upstream.id, candidates,
            onTime: Math.round(balancer.onTimeEstimate(upstream)), onTimeRoom: Math.round(queueLimits.onTime),
            late: Math.round(balancer.lateEstimate(upstream)), lateRoom: Math.round(queueLimits.late),
        };
    }

    /** Whether the late queue of an upstream accepts one more request. */
    function mayQueueLate(candidate: Candidate): boolean {
        const { upstream } = candidate;
        return balancer.lateEstimate(upstream) < dependencies.queueLimits(candidate, request).late &&
            !balancer.isLateQueueStalled(upstream, route.patienceMs * lateQueueStallShare);
    }

    /** Sends the final answer without a further attempt. It promises "not run" only if that is certain. */
    function giveUp(reason: string) {
        if (isCertainlyNotRun) {
            refuse(reason);
        }
        else {
            fail(502, reason);
        }
    }

    /** Whether an upstream that this request has not been sent to may take it now. */
    function hasUntriedUpstream(): boolean {
        return listCandidates().some(({ upstream }) => !tried.has(upstream.id) && balancer.mayReceive(upstream, coldRequestsPerSecond));
    }

    /** Retries after a failed attempt, or sends the final answer. */
    function onAttemptFailed(failure: AttemptFailure, upstream: Upstream) {
        currentAttempt = undefined;
        tried.add(upstream.id);
        isCertainlyNotRun &&= failure.kind === "not-run";
        possibleRuns += failure.kind === "not-run" ? 0 : 1;
        dependencies.countFailedAttempt(failure.kind);
        if (failure.kind === "unknown" && failure.isCrash) {
            dependencies.recordCrash(request, upstream);
        }
        const hasUntried = hasUntriedUpstream();
        // Another upstream can continue a stream, but no other answer can be replaced once a part of it has been forwarded.
        const canContinue = isStream || !answer.isStarted;
        // Once the caller has left, nobody waits for the answer, and a retried non-idempotent request would take effect after that.
        const isRetryPossible = !isOver && canContinue && (failure.kind === "not-run" || isRepeatable) && possibleRuns < route.maxAttempts &&
            attempts < route.maxAttempts + maxExtraAttempts && request.giveUpAtMs - dependencies.nowMs() > minAttemptMs && hasUntried;
        // The budget limits the load that retries put on upstreams, so a retry after an attempt that sent nothing isn't charged to it.
        const isUnsent = failure.kind === "not-run" && failure.isUnsent;
        const willRetry = isRetryPossible && (isUnsent || hasReservedRetry || dependencies.mayRetry(service));
        hasReservedRetry = false;
        const reason = failure.kind === "ran-failed" ? `status ${failure.answer.status}` : failure.reason;
        logger.info("attempt ended without an answer", {
            request: request.attemptId, upstream: upstream.id, ending: failure.kind, reason, attempt: attempts, goesOn: willRetry,
            lastEvent: splitter.lastId,
        });
        if (willRetry) {
            splitter.discardPartial();
            startNextAttempt();
            return;
        }
        if (failure.kind === "ran-failed" && !answer.isStarted) {
            answer.sendWhole(failure.answer.status, answerHeaders(failure.answer.rawHeaders), failure.answer.body);
            finish("upstream-failed", { status: failure.answer.status });
            return;
        }
        giveUp(hasUntried ? reason : reasonWithoutCandidate(listCandidates()));
    }

    function headersTo(upstream: Upstream, isLate: boolean): string[] {
        return outgoingHeaders(request, names, {
            upstreamId: upstream.id, leftMs: request.giveUpAtMs - dependencies.nowMs(), lastEventId: splitter.lastId,
            hasEngine: engine !== undefined, isLate,
        });
    }

    /** Whether a stalled attempt may be retried elsewhere. Reserves the retry, so that the budget can't refuse it afterwards. */
    function mayFailOver(): boolean {
        const canContinue = isRepeatable && (isStream || !answer.isStarted) && possibleRuns + 1 < route.maxAttempts;
        const hasAlternative = canContinue && listCandidates().some(({ upstream, isReportedSilent }) =>
            upstream.id !== currentAttempt?.upstream.id && !tried.has(upstream.id) && !isReportedSilent && !balancer.isStalled(upstream) &&
            balancer.mayReceive(upstream, coldRequestsPerSecond));
        hasReservedRetry = hasAlternative && dependencies.mayRetry(service);
        return hasReservedRetry;
    }

    /**
     * How long this request may make no progress even if others at the upstream do: an upstream that hangs on some requests still answers
     * the rest.
     */
    function stallTimeoutMs(): number {
        return isStream ? route.patienceMs * streamStallShare : plainStallFactor * (route.latenessMs ?? route.timeoutMs);
    }

    function startAttemptAt(upstream: Upstream, isLate: boolean) {
        attempts++;
        const lateSentAtMs = isLate ? balancer.lateQueued(upstream) : undefined;
        let isInLateQueue = isLate;
        const leaveLateQueue = (hasStarted: boolean) => {
            if (isInLateQueue) {
                isInLateQueue = false;
                balancer.lateDequeued(upstream, lateSentAtMs!, hasStarted);
            }
        };
        currentAttempt = startAttempt({
            request, upstream, answer, holder, splitter, isRepeatable, headers: headersTo(upstream, isLate), mayFailOver,
            stallTimeoutMs: isLate ? Infinity : stallTimeoutMs(),
            onEnded: () => leaveLateQueue(false),
            onDelivered: fields => finish("delivered", { upstream: upstream.id, ...fields }),
            onEvents() {
                leaveLateQueue(true);
                firstMs ??= Math.round(dependencies.nowMs() - request.arrivedAtMs);
            },
            onFailed: failure => onAttemptFailed(failure, upstream),
        }, dependencies);
    }

    startNextAttempt();
    return {
        callerLeft() {
            if (isOver) {
                return;
            }
            // A non-idempotent request runs on until its deadline: if it were aborted, nobody could tell whether it took effect.
            if (isRepeatable || isStream) {
                currentAttempt?.abort();
            }
            else {
                setTimeout(() => currentAttempt?.abort(), Math.max(0, request.giveUpAtMs - dependencies.nowMs()));
            }
            answer.abort();
            finish("caller-left", { upstream: currentAttempt?.upstream.id });
        },
        resume() {
            currentAttempt?.resume();
        },
        endNow(reason) {
            if (isOver) {
                return;
            }
            const upstream = currentAttempt?.upstream.id;
            currentAttempt?.abort();
            fail(502, reason, upstream);
        },
        get upstreamId() {
            return currentAttempt?.upstream.id;
        },
    };
}
