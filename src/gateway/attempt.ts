/**
 * One attempt of a request at one upstream. Sends the request, forwards the answer to the caller, and classifies a missing, truncated or
 * misdirected answer by whether the request may have run.
 *
 * @module
 */

import type { Pushbacks, Upstream, UpstreamSignals } from "../fleet/index.js";
import type { CallerAnswer } from "./answer.js";
import type { AttemptFailure } from "./attemptFailure.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { Balancer } from "./balancer.js";
import type { Connections, ExchangeRequest } from "./connections.js";
import { countEvents, type EventSplitter } from "./events.js";
import { answerHeaders, type HeaderNames, forwardedHeaders, headerValue } from "./headers.js";
import type { LatencyObserver } from "./latencyTracker.js";
import type { Holder } from "./memory/index.js";
import { readSignals } from "./signals.js";
import type { SiteView } from "./siteView.js";

export interface AttemptDependencies {
    readonly names: HeaderNames;
    readonly view: SiteView;
    readonly balancer: Balancer;
    readonly connections: Connections;
    readonly pushbacks: Pushbacks;
    nowMs(): number;
    /** Records the limit in requests a second, or its absence, that the answer to a request sent at `sentAtMs` states. */
    recordLimit(upstream: Upstream, perSecond: number | undefined, sentAtMs: number): void;
    /** Observes when the events of streams come. */
    readonly latency?: LatencyObserver;
}

export interface AttemptOptions {
    readonly request: ParsedRequest;
    readonly upstream: Upstream;
    readonly answer: CallerAnswer;
    readonly holder: Holder;
    readonly splitter: EventSplitter;
    /** Whether the request may be sent again after it may have run. */
    readonly isRepeatable: boolean;
    /** How long the request may make no progress before another upstream is tried. */
    readonly stallTimeoutMs: number;
    /** Whether the request waits in the late queue, where it is served after others. */
    readonly isLate?: boolean;
    /** Headers of the request to the upstream. */
    readonly headers: string[];
    /** Asks whether a stalled attempt may be retried at another upstream. True: the attempt has to end. */
    mayFailOver(): boolean;
    /** Called when the attempt has ended for any reason, before `onDelivered` or `onFailed`. */
    onEnded(): void;
    onDelivered(fields: { readonly status: number }): void;
    /** Called whenever complete events of a stream have come. */
    onEvents(): void;
    onFailed(failure: AttemptFailure): void;
}

export interface RunningAttempt {
    readonly upstream: Upstream;
    /** Whether events of a stream have come. */
    readonly hasEvents: boolean;
    /** Ends the attempt without calling `onDelivered` or `onFailed`. */
    abort(): void;
    resume(): void;
}

/** A larger answer is forwarded as it comes; from then on it can't be replaced by that of another attempt. */
const maxBufferedBytes = 262_144;
/** How often an attempt checks whether it is stalled. */
const stallCheckIntervalMs = 100;

/** Sends the request to an upstream and calls back once the attempt has ended. */
export function startAttempt(options: AttemptOptions, dependencies: AttemptDependencies): RunningAttempt {
    const { request, upstream, answer, splitter, holder } = options;
    const { names, balancer, view } = dependencies;
    const isStream = request.route.kind === "stream";
    let status = 0;
    let rawHeaders: string[] = [];
    let buffered: Buffer[] = [];
    let bufferedBytes = 0;
    let isForwarding = false;
    let hasEvents = false;
    let isOver = false;
    /** Whether reading from the upstream has been paused since the last event. */
    let wasPaused = false;

    const observation = isObserved() ? dependencies.latency?.requestSent(upstream, request, needsConnection()) : undefined;
    const releaseHolder = holder.retain();
    const source = holder.attach({ pause: pauseReading, resume: () => exchange.resume() });
    balancer.requestSent(upstream, upstream.coldUntilMs > dependencies.nowMs());
    if (isStream) {
        balancer.streamStarted(upstream);
    }
    const sentAtMs = dependencies.nowMs();
    let lastProgressAtMs = sentAtMs;
    const stallTimer = options.isRepeatable ? setInterval(checkStalled, stallCheckIntervalMs) : undefined;

    /** Late streams wait for others, and a continued one has its previous events as a further prompt. */
    function isObserved(): boolean {
        return isStream && options.isLate !== true && splitter.lastId === undefined;
    }

    function needsConnection(): boolean {
        return !options.isRepeatable || !dependencies.connections.hasIdle(upstream.address);
    }

    function end() {
        isOver = true;
        clearInterval(stallTimer);
        source.detach();
        holder.hold("answer", 0);
        releaseHolder();
        options.onEnded();
        balancer.requestEnded(upstream);
        if (isStream) {
            balancer.streamEnded(upstream, hasEvents);
        }
    }

    function fail(failure: AttemptFailure) {
        if (isOver) {
            return;
        }
        end();
        if (failure.kind !== "not-run" || failure.isUpstreamAtFault) {
            balancer.requestFailed(upstream);
        }
        options.onFailed(failure);
    }

    function abandon(reason: string) {
        exchange.abort();
        fail({ kind: "unknown", reason, isCrash: false });
    }

    /**
     * Returns why the attempt counts as stalled, or undefined. A group that has lost a member sends nothing until its head notices this,
     * seconds later.
     */
    function stallReason(): string | undefined {
        if (isStream && balancer.isStalled(upstream, splitter.lastId === undefined)) {
            return "nothing moves at this upstream";
        }
        return dependencies.nowMs() - lastProgressAtMs > options.stallTimeoutMs ? "nothing comes for this request" : undefined;
    }

    function checkStalled() {
        // Nothing comes from an exchange that is paused because its caller is slow.
        if (source.isPaused) {
            lastProgressAtMs = dependencies.nowMs();
            return;
        }
        const reason = stallReason();
        if (reason !== undefined && options.mayFailOver()) {
            abandon(reason);
        }
    }

    /** Returns why the answer can't be this upstream's answer to this request, or undefined. */
    function foreignReason(): string | undefined {
        if (headerValue(rawHeaders, names.attemptId) !== request.attemptId) {
            return "the answer bears another request's id";
        }
        if (status < 300 && headerValue(rawHeaders, names.signature) === undefined) {
            return "the success bears no mark of the upstream";
        }
        return headerValue(rawHeaders, "content-encoding") === undefined ? undefined : "the answer is encoded";
    }

    /** Whether the answer comes from another upstream, which has taken over the address. */
    function isFromOtherUpstream(): boolean {
        return status === 421 && headerValue(rawHeaders, names.faultyUpstreamId) === undefined &&
            headerValue(rawHeaders, names.servedBy) !== upstream.id;
    }

    /** Records what holds for the upstream even if the answer belongs to another request. */
    function recordLoadAndPushback({ load, pushbackMs }: UpstreamSignals) {
        if (load !== undefined) {
            balancer.loadReported(upstream, load.running, load.waiting);
        }
        if (pushbackMs !== undefined) {
            dependencies.pushbacks.record(upstream.id, pushbackMs);
        }
    }

    /** A refusal without a limit doesn't end a stated one, since it may come from a proxy before the upstream. */
    function recordLimitAndState({ limitPerSecond, coldForMs, isLeaving }: UpstreamSignals) {
        if (limitPerSecond !== undefined || status < 300) {
            dependencies.recordLimit(upstream, limitPerSecond, sentAtMs);
        }
        if (coldForMs !== undefined && coldForMs > 0) {
            view.markCold(upstream, coldForMs);
        }
        if (isLeaving) {
            view.markDraining(upstream);
        }
    }

    function onHead(headStatus: number, raw: string[]) {
        status = headStatus;
        rawHeaders = raw;
        if (isFromOtherUpstream()) {
            return;
        }
        const signals = readSignals(status, rawHeaders, names);
        recordLoadAndPushback(signals);
        const foreign = status === 421 ? undefined : foreignReason();
        if (foreign !== undefined) {
            abandon(foreign);
            return;
        }
        recordLimitAndState(signals);
        if (status < 300 && isStream) {
            // A continued stream keeps the headers of its first upstream, since `start` has no effect the second time.
            answer.start(status, forwardedHeaders(raw, new Set(["date", "content-length"])));
            isForwarding = true;
        }
    }

    function pauseReading() {
        wasPaused = true;
        exchange.pause();
    }

    function forward(bytes: Buffer) {
        if (!answer.write(bytes) && !holder.mayReadOn) {
            source.pause();
        }
    }

    function onData(chunk: Buffer) {
        if (isForwarding && isStream) {
            const events = splitter.push(chunk);
            // The account may pause reading now, which these events didn't wait for.
            const cameAfterPause = wasPaused;
            wasPaused &&= events.length === 0;
            holder.hold("answer", splitter.partialBytes);
            if (events.length > 0) {
                balancer.eventReceived(upstream, !hasEvents);
                hasEvents = true;
                lastProgressAtMs = dependencies.nowMs();
                observation?.eventsReceived(countEvents(events), cameAfterPause);
                options.onEvents();
                forward(events);
            }
            return;
        }
        if (isForwarding) {
            forward(chunk);
            return;
        }
        buffered.push(chunk);
        bufferedBytes += chunk.length;
        if (bufferedBytes > maxBufferedBytes && status < 300) {
            isForwarding = true;
            holder.hold("answer", 0);
            answer.start(status, answerHeaders(rawHeaders));
            buffered.forEach(forward);
            buffered = [];
            return;
        }
        holder.hold("answer", bufferedBytes);
    }

    function onMisdirected() {
        if (isFromOtherUpstream()) {
            view.markGone(upstream);
        }
        fail({ kind: "not-run", reason: "it was sent to the wrong upstream", isUpstreamAtFault: true, isUnsent: false });
    }

    function deliver() {
        end();
        balancer.requestSucceeded(upstream);
        if (isForwarding) {
            answer.end();
        }
        else {
            answer.sendWhole(status, answerHeaders(rawHeaders), Buffer.concat(buffered));
        }
        options.onDelivered({ status });
    }

    function onEnd() {
        if (status === 421) {
            onMisdirected();
            return;
        }
        if (isForwarding && isStream && !splitter.isAtBoundary) {
            fail({ kind: "unknown", reason: "the stream ended in the middle of an event", isCrash: true });
            return;
        }
        if (!isForwarding && headerValue(rawHeaders, names.notRun) !== undefined) {
            fail({ kind: "not-run", reason: `the upstream refused it with ${status}`, isUpstreamAtFault: status === 503, isUnsent: false });
            return;
        }
        if (!isForwarding && status >= 500) {
            fail({ kind: "ran-failed", answer: { status, rawHeaders, body: Buffer.concat(buffered) } });
            return;
        }
        deliver();
    }

    function onExchangeFailed(error: Error, isSent: boolean) {
        if (isSent) {
            fail({ kind: "unknown", reason: error.message, isCrash: true });
            return;
        }
        if ((error as NodeJS.ErrnoException).code === "ECONNREFUSED") {
            view.markRefusing(upstream);
        }
        balancer.connectFailed(upstream);
        fail({ kind: "not-run", reason: error.message, isUpstreamAtFault: true, isUnsent: true });
    }

    const exchangeRequest: ExchangeRequest = {
        method: request.method,
        path: request.path,
        headers: options.headers,
        body: request.body,
        needsNewConnection: !options.isRepeatable,
    };
    const exchange = dependencies.connections.start(upstream.address, exchangeRequest, {
        head: onHead, data: onData, end: onEnd, failed: onExchangeFailed,
    });
    return {
        upstream,
        get hasEvents() {
            return hasEvents;
        },
        abort() {
            if (!isOver) {
                exchange.abort();
                end();
            }
        },
        resume: () => source.drained(),
    };
}
