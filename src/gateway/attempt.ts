/**
 * One attempt of a request at one upstream. Sends the request, forwards the answer to the caller, and classifies a missing, truncated or
 * misdirected answer by whether the request may have run.
 *
 * @module
 */

import type { UpstreamSignals } from "../fleet/index.js";
import { createContainment } from "../runtime/index.js";
import { endsWithConnection, foreignReason, isFromOtherUpstream } from "./answerOrigin.js";
import type { AttemptFailure } from "./attemptFailure.js";
import type { AttemptDependencies, AttemptOptions, RunningAttempt } from "./attemptTypes.js";
import type { ExchangeRequest } from "./connections.js";
import { countEvents } from "./events.js";
import { answerHeaders, forwardedHeaders, headerValue } from "./headers.js";
import { areSendableHeaders } from "./sendable.js";
import { readSignals } from "./signals.js";

/**
 * A larger answer is not held any longer, as it may never end: it is forwarded as it comes, and from then on can't be replaced by that of
 * another attempt, or it is given up.
 */
const maxBufferedBytes = 262_144;
/** An event of this size is taken for one without end. It is far above what engines put into an event. */
const maxEventBytes = 1_048_576;
/** How often an attempt checks whether it is stalled. */
const stallCheckIntervalMs = 100;

/** Sends the request to an upstream and calls back once the attempt has ended. Throws if the request can't be written. */
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
    /** Whether the request knows how the attempt has ended. */
    let isReported = false;
    /** Whether reading from the upstream has been paused since the last event. */
    let wasPaused = false;

    const contained = createContainment(onThrown);
    if (!areSendableHeaders(options.headers)) {
        throw new Error("a header can't be sent");
    }
    const observation = isObserved() ? dependencies.latency?.requestSent(upstream, request, needsConnection()) : undefined;
    const exchangeRequest: ExchangeRequest = {
        method: request.method,
        path: request.path,
        headers: options.headers,
        body: request.body,
        needsNewConnection: !options.isRepeatable,
    };
    const releaseHolder = holder.retain();
    const source = holder.attach({ pause: pauseReading, resume: () => exchange.resume() });
    balancer.requestSent(upstream, upstream.coldUntilMs > dependencies.nowMs());
    if (isStream) {
        balancer.streamStarted(upstream);
    }
    const sentAtMs = dependencies.nowMs();
    let lastProgressAtMs = sentAtMs;
    // Last, so that nothing has been sent if the attempt can't be started.
    const exchange = dependencies.connections.start(upstream.address, exchangeRequest, {
        head: contained(onHead), data: contained(onData), end: contained(onEnd), failed: contained(onExchangeFailed),
    });
    const stallTimer = options.isRepeatable ? setInterval(contained(checkStalled), stallCheckIntervalMs) : undefined;

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
        balancer.requestEnded(upstream);
        if (isStream) {
            balancer.streamEnded(upstream, hasEvents);
        }
        options.onEnded();
    }

    function fail(failure: AttemptFailure) {
        if (isOver) {
            return;
        }
        end();
        if (failure.kind !== "not-run" || failure.isUpstreamAtFault) {
            balancer.requestFailed(upstream);
        }
        isReported = true;
        options.onFailed(failure);
    }

    function abandon(reason: string) {
        exchange.abort();
        fail({ kind: "unknown", reason, isCrash: false });
    }

    /** Gives up an attempt whose answer can't be handled, at the cost of its request alone. */
    function onThrown(error: unknown) {
        const reason = "its answer could not be handled";
        if (!isOver) {
            abandon(reason);
        }
        else if (!isReported) {
            isReported = true;
            options.onFailed({ kind: "unknown", reason, isCrash: false });
        }
        dependencies.recordException(error, { request: request.attemptId, upstream: upstream.id });
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

    const isFromOther = () => isFromOtherUpstream({ status, rawHeaders }, upstream.id, names);

    function onHead(headStatus: number, raw: string[]) {
        status = headStatus;
        rawHeaders = raw;
        if (isFromOther()) {
            return;
        }
        const signals = readSignals(status, rawHeaders, names);
        recordLoadAndPushback(signals);
        const foreign = status === 421 ? undefined : foreignReason({ status, rawHeaders }, request.attemptId, names);
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

    function forwardEvents(chunk: Buffer) {
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
        if (splitter.partialBytes > maxEventBytes) {
            abandon("an event is too large");
        }
    }

    function forwardBuffered() {
        isForwarding = true;
        holder.hold("answer", 0);
        answer.start(status, answerHeaders(rawHeaders));
        buffered.forEach(forward);
        buffered = [];
    }

    /** Ends or forwards an answer that is too large to be held until its end. */
    function onTooLarge() {
        if (status === 421 || headerValue(rawHeaders, names.notRun) !== undefined) {
            exchange.abort();
            onNotRun();
            return;
        }
        // Another upstream may still answer, and a part of a stream can't be followed by an error.
        const isUseless = status >= 300 && (answer.isStarted || (status >= 500 && options.isRepeatable));
        if (isUseless) {
            abandon(`status ${status} with a body that is too large`);
            return;
        }
        forwardBuffered();
    }

    function onData(chunk: Buffer) {
        if (isForwarding && isStream && status < 300) {
            forwardEvents(chunk);
            return;
        }
        if (isForwarding) {
            forward(chunk);
            return;
        }
        buffered.push(chunk);
        bufferedBytes += chunk.length;
        if (bufferedBytes > maxBufferedBytes) {
            onTooLarge();
            return;
        }
        holder.hold("answer", bufferedBytes);
    }

    function onMisdirected() {
        if (isFromOther()) {
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
        isReported = true;
        options.onDelivered({ status });
    }

    function onNotRun() {
        if (status === 421) {
            onMisdirected();
            return;
        }
        fail({ kind: "not-run", reason: `the upstream refused it with ${status}`, isUpstreamAtFault: status === 503, isUnsent: false });
    }

    /** Returns why the end of a forwarded stream is not its regular one, or undefined. */
    function truncationReason(): string | undefined {
        if (!splitter.isAtBoundary) {
            return "the stream ended in the middle of an event";
        }
        // An upstream that stops after the head of a stream that ends with its connection leaves the same bytes as an empty stream.
        const mayBeCut = !hasEvents && request.method !== "HEAD" && endsWithConnection({ status, rawHeaders });
        return mayBeCut ? "the stream ended before its first event" : undefined;
    }

    function onEnd() {
        const reason = isForwarding && isStream && status < 300 ? truncationReason() : undefined;
        if (reason !== undefined) {
            fail({ kind: "unknown", reason, isCrash: true });
            return;
        }
        if (status === 421 || (!isForwarding && headerValue(rawHeaders, names.notRun) !== undefined)) {
            onNotRun();
            return;
        }
        if (!isForwarding && answer.isStarted) {
            fail({ kind: "unknown", reason: `status ${status} for the rest of a stream`, isCrash: false });
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

    return {
        upstream,
        get hasEvents() {
            return hasEvents;
        },
        abort() {
            if (!isOver) {
                isReported = true;
                exchange.abort();
                end();
            }
        },
        resume: () => source.drained(),
    };
}
