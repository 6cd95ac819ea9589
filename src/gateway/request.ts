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
import { createContainment } from "../runtime/index.js";
import { type AdmissionDecision, releaseRoom } from "./admissionTypes.js";
import type { CallerAnswer } from "./answer.js";
import { isRepeatable as mayRepeat, type ParsedRequest } from "./parsedRequest.js";
import { startAttempt } from "./attempt.js";
import type { AttemptFailure } from "./attemptFailure.js";
import { mayTryAgain } from "./attemptLimits.js";
import type { RunningAttempt } from "./attemptTypes.js";
import { chooseService } from "./chooseService.js";
import { createEventSplitter } from "./events.js";
import { answerHeaders } from "./headers.js";
import { isOnTimeQueueFull, joinLateQueue, mayQueueLate, queueLogFields } from "./lateQueue.js";
import type { Holder } from "./memory/index.js";
import { outgoingHeaders } from "./outgoingHeaders.js";
import type { Outcome, RequestDependencies, RunningRequest } from "./requestTypes.js";
import { retryAfterMs } from "./retryAfter.js";
import type { Candidate } from "./siteView.js";
import { stallTimeoutMs } from "./stallTimeout.js";
import { pushbackLeftMs, reasonWithoutCandidate } from "./withoutCandidate.js";

/** How long callers whose requests crash upstreams are asked to stay away: longer than a deadline, so that the same caller gives up. */
const barredRetryMs = 60_000;

/** Starts serving a request. */
export function startRequest(
    request: ParsedRequest, answer: CallerAnswer, holder: Holder, dependencies: RequestDependencies,
): RunningRequest {
    const { names, balancer, logger } = dependencies;
    const { route } = request;
    const isStream = route.kind === "stream";
    const isRepeatable = mayRepeat(route);
    const service = chooseService(route, dependencies.random());
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
    const admission = isStream && model !== undefined && dependencies.admission?.appliesTo(request, service)
        ? dependencies.admission
        : undefined;
    /** The first attempt waits for room at an upstream. */
    let isWaiting = false;
    let ticket: { cancel(): void } | undefined;
    /** How long the first attempt has waited for room; undefined if it was not subject to admission. */
    let waitedMs: number | undefined;

    const contained = createContainment(onThrown);
    const deadline = setTimeout(contained(onTimeout), Math.max(0, request.giveUpAtMs - dependencies.nowMs()));

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
            tookMs, firstMs, waitedMs: isWaiting ? tookMs : waitedMs, state: dependencies.view.logState, ...fields,
        });
    }

    function refuse(reason: string, fields: object = {}, delayMs?: number) {
        const leftMs = Math.max(0, request.deadlineAtMs - dependencies.nowMs());
        const acceptedInMs = pushbackLeftMs(listCandidates(), dependencies.pushbacks);
        answer.sendOwn(503, reason, delayMs ?? retryAfterMs({ leftMs, acceptedInMs, random: dependencies.random() }));
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

    /** Ends the request after an exception; without an answer, if that fails too. */
    function onThrown(error: unknown) {
        const upstream = currentAttempt?.upstream.id;
        try {
            endNow("the entry could not handle it");
        }
        catch {
            isOver = true;
            clearTimeout(deadline);
            answer.abort();
        }
        dependencies.recordException(error, { request: request.attemptId, upstream });
    }

    function onTimeout() {
        const upstream = currentAttempt?.upstream.id;
        ticket?.cancel();
        currentAttempt?.abort();
        if (isCertainlyNotRun && attempts === 0) {
            refuse("no upstream could take it in time");
            return;
        }
        fail(504, "no final answer in time", upstream);
    }

    const listCandidates = (): readonly Candidate[] => dependencies.view.candidates(service, model);

    function choose(candidates: readonly Candidate[]): Candidate | undefined {
        return balancer.choose(candidates, {
            without: tried,
            coldRequestsPerSecond,
            dataCentre: dependencies.dataCentre,
            hasIdle: upstream => isRepeatable && dependencies.connections.hasIdle(upstream.address),
            scoring: dependencies.groupRoom?.scoringFor(service, request),
        });
    }

    const refuseBarred = () => giveUp("upstreams have crashed under this request or a part of its prompt", barredRetryMs);

    function startFirstAttempt() {
        if (dependencies.isBarred(request)) {
            refuseBarred();
            return;
        }
        if (admission === undefined) {
            startNextAttempt();
            return;
        }
        isWaiting = true;
        ticket = admission.submit({ request, service, model: model!, choose },
            contained((decision: AdmissionDecision) => isOver ? releaseRoom(decision) : onAdmission(decision)));
    }

    function onAdmission(decision: AdmissionDecision) {
        isWaiting = false;
        switch (decision.kind) {
            case "unpredicted":
                startNextAttempt();
                break;
            case "refuse":
                refuse(decision.reason, decision.inputs, decision.retryAfterMs);
                break;
            case "send":
                ({ waitedMs } = decision);
                if (dependencies.isBarred(request)) {
                    decision.released();
                    refuseBarred();
                }
                else {
                    startAttemptAt(decision.candidate.upstream, decision.isLate, decision.released);
                }
        }
    }

    function startNextAttempt() {
        if (dependencies.isBarred(request)) {
            refuseBarred();
            return;
        }
        const all = listCandidates();
        const candidate = choose(all);
        if (candidate === undefined) {
            giveUp(reasonWithoutCandidate(all, dependencies.pushbacks));
            return;
        }
        const isLate = attempts === 0 && isOnTimeQueueFull(candidate, request, dependencies);
        if (isLate && !mayQueueLate(candidate, request, dependencies)) {
            refuse("every upstream has as much as it can finish in time", queueLogFields(candidate, all.length, request, dependencies));
            return;
        }
        startAttemptAt(candidate.upstream, isLate);
    }

    /** Sends the final answer without a further attempt. It promises "not run" only if that is certain. */
    function giveUp(reason: string, delayMs?: number) {
        if (isCertainlyNotRun) {
            refuse(reason, {}, delayMs);
        }
        else {
            fail(502, reason);
        }
    }

    /** Whether an upstream that this request has not been sent to may take it now. */
    const hasUntriedUpstream = () =>
        listCandidates().some(({ upstream }) => !tried.has(upstream.id) && balancer.mayReceive(upstream, coldRequestsPerSecond));

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
        const leftMs = request.giveUpAtMs - dependencies.nowMs();
        const isRetryPossible = !isOver && canContinue && hasUntried && (failure.kind === "not-run" || isRepeatable) &&
            mayTryAgain({ attempts, possibleRuns, leftMs, maxAttempts: route.maxAttempts });
        // The budget limits the load that retries put on upstreams, so a retry after an attempt that sent nothing isn't charged to it.
        const isUnsent = failure.kind === "not-run" && failure.isUnsent;
        const willRetry = isRetryPossible && (isUnsent || hasReservedRetry || dependencies.mayRetry(service));
        hasReservedRetry = false;
        const reason = failure.kind === "ran-failed" ? `status ${failure.answer.status}` : failure.reason;
        logger.info("attempt ended without an answer", {
            request: request.attemptId, upstream: upstream.id, ending: failure.kind, reason, attempt: attempts, goesOn: willRetry,
            lastEvent: splitter.lastId, dataCentre: upstream.dataCentre, state: dependencies.view.logState,
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
        giveUp(hasUntried ? reason : reasonWithoutCandidate(listCandidates(), dependencies.pushbacks));
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

    /** `released` is set if the admission has given the request its room. */
    function startAttemptAt(upstream: Upstream, isLate: boolean, released?: () => void) {
        attempts++;
        const leaveLateQueue = isLate && released === undefined ? joinLateQueue(upstream, balancer) : () => undefined;
        const onEnded = () => {
            leaveLateQueue(false);
            released?.();
            admission?.roomChanged();
        };
        try {
            currentAttempt = startAttempt({
                request, upstream, answer, holder, splitter, isRepeatable, isLate, mayFailOver, onEnded,
                headers: outgoingHeaders(request, names, {
                    upstreamId: upstream.id, leftMs: request.giveUpAtMs - dependencies.nowMs(), lastEventId: splitter.lastId,
                    hasEngine: engine !== undefined, isLate,
                }),
                stallTimeoutMs: isLate ? Infinity : stallTimeoutMs(route),
                onDelivered: fields => finish("delivered", { upstream: upstream.id, dataCentre: upstream.dataCentre, ...fields }),
                onEvents() {
                    leaveLateQueue(true);
                    if (firstMs === undefined) {
                        admission?.roomChanged();
                    }
                    firstMs ??= Math.round(dependencies.nowMs() - request.arrivedAtMs);
                },
                onFailed: contained((failure: AttemptFailure) => onAttemptFailed(failure, upstream)),
            }, dependencies);
        }
        catch (error) {
            dependencies.recordException(error, { request: request.attemptId, upstream: upstream.id });
            onEnded();
            onAttemptFailed({ kind: "not-run", reason: "the attempt could not start", isUpstreamAtFault: false, isUnsent: true }, upstream);
        }
    }

    contained(startFirstAttempt)();
    function callerLeft() {
        if (isOver) {
            return;
        }
        // A non-idempotent request runs on until its deadline: if it were aborted, nobody could tell whether it took effect.
        if (isRepeatable || isStream) {
            currentAttempt?.abort();
        }
        else {
            setTimeout(contained(() => currentAttempt?.abort()), Math.max(0, request.giveUpAtMs - dependencies.nowMs()));
        }
        ticket?.cancel();
        answer.abort();
        finish("caller-left", { upstream: currentAttempt?.upstream.id });
    }

    function endNow(reason: string) {
        if (isOver) {
            return;
        }
        ticket?.cancel();
        if (isCertainlyNotRun && currentAttempt === undefined) {
            // Other entries serve it, so its caller may return at once.
            answer.sendOwn(503, reason, 0);
            finish("refused", { reason });
            return;
        }
        const upstream = currentAttempt?.upstream.id;
        currentAttempt?.abort();
        fail(502, reason, upstream);
    }

    function endIfBarred() {
        const isUnanswered = currentAttempt?.hasEvents === false && (isStream || isRepeatable);
        if (isOver || !(isWaiting || isUnanswered) || !dependencies.isBarred(request)) {
            return;
        }
        ticket?.cancel();
        isCertainlyNotRun &&= currentAttempt === undefined;
        currentAttempt?.abort();
        refuseBarred();
    }

    return {
        callerLeft: contained(callerLeft),
        resume: contained(() => currentAttempt?.resume()),
        endNow: contained(endNow),
        endIfBarred: contained(endIfBarred),
        get upstreamId() {
            return currentAttempt?.upstream.id;
        },
    };
}
