/**
 * The imperative shell around one request's reducer: performs its effects and feeds the results back as events. Makes no decisions.
 *
 * @module
 */

import {
    type ChosenUpstream, newRequest, reduceRequest, type RequestEffect, type RequestEvent, type RequestParams, type RequestTimer,
} from "../attempt/index.js";
import type { Upstream } from "../rpc/index.js";
import { createContainment, createHost } from "../runtime/index.js";
import type { AdmissionTicket } from "./admission.js";
import type { AnswerSink } from "./answer.js";
import type { RequestClaim } from "./claims.js";
import { type AttemptLink, type LinkEnd, type Load } from "./links.js";
import type { RequestObserver } from "./requestObserver.js";
import type { Trial } from "./trial.js";

export type DispatchEffect = Extract<RequestEffect, { kind: "dispatch" }>;

export interface RequestShellOptions {
    readonly params: RequestParams;
    readonly sink: AnswerSink;
    readonly ticket: AdmissionTicket;
    readonly claim: RequestClaim | undefined;
    readonly trial: Trial;
    readonly upstreams: () => ReadonlyMap<string, Upstream>;
    /** Whether the quorum lists this request's fingerprint as a crash suspect. */
    readonly isSuspect: () => boolean;
    /** Whether engines crash on parts of the request's prompt. */
    readonly crashesEngines: () => boolean;
    readonly onDelivered: () => void;
    readonly createLink: (attemptId: string, upstream: ChosenUpstream) => AttemptLink;
    readonly dispatchRequest: (effect: DispatchEffect, traceparent: string | undefined) => Parameters<AttemptLink["run"]>[0];
    readonly observer: RequestObserver;
    readonly nowMs: () => number;
    readonly newId: () => string;
    readonly onClose: () => void;
    /** Called with an exception, which ends this request alone. */
    readonly onException: (error: unknown) => void;
}

/** An event without its time, which the shell adds on dispatch. */
type EventBody = RequestEvent extends infer Event ? Event extends RequestEvent ? Omit<Event, "nowMs"> : never : never;

export interface RequestShell {
    callerGone(): void;
}

const noUpstreamRetryMs = 1_000;
/** How long callers whose prompts crash engines are asked to stay away. */
const crashingPartRetryMs = 60_000;

/** Admits the request and runs it to completion. */
export function startRequest(options: RequestShellOptions): RequestShell {
    const { sink, ticket, claim, trial, params, observer } = options;
    const timers = new Map<RequestTimer, NodeJS.Timeout>();
    const abortController = new AbortController();
    let link: AttemptLink | undefined;
    let crashedEngineBootId: string | undefined;
    let closed = false;

    const host = createHost(reduceRequest, newRequest(params), performEffect);

    const dispatchEvent = createContainment(onThrown)((event: EventBody) => {
        if (!closed) {
            host.dispatch({ ...event, nowMs: options.nowMs() } as RequestEvent);
        }
    });

    /** Ends the request after an exception. The claim of one that may have run becomes unknown by itself. */
    function onThrown(error: unknown) {
        options.onException(error);
        if (!closed) {
            sink.fail({ status: 500, code: "internal", title: "The entry failed", execution: link === undefined ? "not-run" : "unknown" });
            close();
        }
    }

    function awaited(work: Promise<unknown>) {
        work.catch(onThrown);
    }

    function performEffect(effect: RequestEffect) {
        switch (effect.kind) {
            case "claim":
                return awaited(claim!.acquire().then(answer => dispatchEvent({ kind: "claim-answered", answer })));
            case "finish-claim":
                return awaited(effect.outcome === "delivered" ? claim!.deliver(effect.head, effect.chunks) : claim!.finish(effect.outcome));
            case "choose":
                return awaited(choose(effect));
            case "dispatch":
                return startAttempt(effect);
            case "resume":
                return awaited(resume(effect));
            case "tombstone":
                return awaited(tombstone(effect.attemptId));
            case "acknowledge":
                return link?.acknowledge(effect.throughSequence);
            case "cancel":
                return link?.cancel();
            case "deliver-head":
                return sink.writeHead(effect.head);
            case "deliver-chunk":
                return sink.writeChunk(effect.data);
            case "deliver-end":
                observer.delivered();
                options.onDelivered();
                return sink.end();
            case "deliver-problem":
                observer.refused(effect.problem);
                return sink.fail(effect.problem);
            case "clear-suspect":
                return trial.release(true);
            case "arm":
                return arm(effect);
            case "count":
                return observer.count(effect.name);
            case "close":
                return close();
        }
    }

    async function choose({ excluded, retry, suspect }: Extract<RequestEffect, { kind: "choose" }>) {
        ticket.attemptEnded("failed");
        if (options.crashesEngines()) {
            dispatchEvent({ kind: "upstream-lacking", code: "crash-suspect", retryAfterMs: crashingPartRetryMs });
            return;
        }
        observer.waitStarted();
        const trialAnswer = suspect || options.isSuspect() ? await trial.acquire(crashedEngineBootId) : undefined;
        crashedEngineBootId = undefined;
        if (trialAnswer?.kind === "refused") {
            observer.waitEnded();
            dispatchEvent({ ...trialAnswer, kind: "upstream-lacking" });
            return;
        }
        const choice = await ticket.choose(new Set(excluded), retry);
        observer.waitEnded();
        const chosen = choice.kind === "upstream" ? options.upstreams().get(choice.upstreamId) : undefined;
        if (choice.kind === "refused" || chosen === undefined) {
            const refusal = choice.kind === "refused" ? choice : { code: "no-upstream" as const, retryAfterMs: noUpstreamRetryMs };
            dispatchEvent({ kind: "upstream-lacking", code: refusal.code, retryAfterMs: refusal.retryAfterMs });
            return;
        }
        const { upstreamId, address, sidecarBootId, epoch } = chosen;
        const upstream = { upstreamId, address, sidecarBootId, epoch: Number(epoch) };
        dispatchEvent({ kind: "upstream-chosen", attemptId: options.newId(), upstream });
    }

    function eventHandler(attemptId: string, connection: number) {
        return (sequence: number, event: Extract<RequestEvent, { kind: "attempt-event" }>["event"], load: Load | undefined) => {
            if (load !== undefined) {
                ticket.loadReported(load.running, load.capacity);
            }
            if (event.kind === "chunk") {
                ticket.tokenReceived();
                observer.chunkReceived();
            }
            if (event.kind === "end") {
                ticket.attemptEnded("answered");
                observer.attemptEnded();
            }
            if (event.kind === "failure") {
                ticket.attemptEnded(event.execution === "not-run" ? "refused" : "failed", event.retryAfterMs);
                observer.attemptEnded(event.code);
                crashedEngineBootId = event.code === "engine-crashed" ? event.detail : undefined;
            }
            dispatchEvent({ kind: "attempt-event", attemptId, connection, sequence, event });
        };
    }

    function connectionEnded(attemptId: string, connection: number, end: LinkEnd) {
        if (end === "not-known") {
            dispatchEvent({ kind: "resume-refused", attemptId, connection });
        }
        if (end === "lost") {
            dispatchEvent({ kind: "link-lost", attemptId, connection });
        }
    }

    function startAttempt(effect: DispatchEffect) {
        const { attemptId, connection } = effect;
        link = options.createLink(attemptId, effect.upstream);
        const traceparent = observer.attemptStarted(attemptId, effect.upstream.upstreamId);
        awaited(link.run(options.dispatchRequest(effect, traceparent), eventHandler(attemptId, connection), abortController.signal)
            .then(end => connectionEnded(attemptId, connection, end)));
    }

    async function resume({ attemptId, connection, fromSequence }: Extract<RequestEffect, { kind: "resume" }>) {
        connectionEnded(
            attemptId, connection, await link!.resume(fromSequence, eventHandler(attemptId, connection), abortController.signal),
        );
    }

    async function tombstone(attemptId: string) {
        dispatchEvent({ kind: "tombstone-answered", attemptId, state: await link!.tombstone() });
    }

    function arm({ timer, delayMs, attemptId }: Extract<RequestEffect, { kind: "arm" }>) {
        clearTimeout(timers.get(timer));
        timers.set(timer, setTimeout(() => {
            dispatchEvent(timer === "silence" || timer === "link-retry"
                ? { kind: `${timer}-due`, attemptId: attemptId! }
                : { kind: `${timer}-due` });
        }, delayMs));
    }

    function close() {
        closed = true;
        timers.forEach(timer => clearTimeout(timer));
        abortController.abort();
        trial.release(false);
        ticket.close();
        observer.close();
        options.onClose();
    }

    dispatchEvent({ kind: "admitted" });
    return { callerGone: () => dispatchEvent({ kind: "caller-gone" }) };
}
