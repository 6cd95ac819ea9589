/**
 * One attempt of a request at one upstream: what is sent, what of the answer reaches the caller, and what an answer that is missing,
 * cut short or somebody else's says about the request.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { CallerAnswer } from "./answer.js";
import type { Asked } from "./asked.js";
import type { Balance } from "./balance.js";
import type { Connections, Exchange } from "./connections.js";
import type { EventSplitter } from "./events.js";
import { type HeaderNames, passedOn, valueOf } from "./headers.js";
import type { SiteView } from "./siteView.js";

export interface UpstreamAnswer {
    readonly status: number;
    readonly rawHeaders: string[];
    readonly body: Buffer;
}

/** What an attempt that brought no answer says about its request. */
export type Ending =
    /** It certainly has not run and will not. `isUnsent`: no byte of it was sent to the upstream. */
    | { readonly kind: "not-run"; readonly reason: string; readonly isUpstreamAtFault: boolean; readonly isUnsent: boolean }
    /** It may have run, and no usable answer came. `isCrash`: the connection broke, as it does when the upstream crashes. */
    | { readonly kind: "unknown"; readonly reason: string; readonly isCrash: boolean }
    /** The upstream ran it and says that it failed. */
    | { readonly kind: "ran-failed"; readonly answer: UpstreamAnswer };

export interface AttemptParts {
    readonly names: HeaderNames;
    readonly view: SiteView;
    readonly balance: Balance;
    readonly connections: Connections;
    nowMs(): number;
    /** Notes the limit that an answer to a request sent at `sentAtMs` states, in requests a second, or that it states none. */
    statedLimit(upstream: Upstream, perSecond: number | undefined, sentAtMs: number): void;
}

export interface AttemptOptions {
    readonly asked: Asked;
    readonly upstream: Upstream;
    readonly answer: CallerAnswer;
    readonly splitter: EventSplitter;
    /** The request may be sent again, if need be. */
    readonly mayRunAgain: boolean;
    /** How long nothing may come for this request before another upstream is tried, in ms. */
    readonly patienceMs: number;
    /** Headers that every attempt of the request carries. */
    readonly headers: string[];
    /** Asks to go on at another upstream, since nothing moves at this one. True: it may, and the attempt has to end. */
    mayLeave(): boolean;
    /** It is over, however it ended; called before anything else is told of the end. */
    ended(): void;
    delivered(facts: { readonly status: number }): void;
    /** The first event has come. */
    begun(): void;
    over(ending: Ending): void;
}

export interface RunningAttempt {
    readonly upstream: Upstream;
    /** Ends it without a word to the request. */
    abort(): void;
    resume(): void;
}

/** An answer larger than this is passed on as it comes, and then can't be replaced by another attempt's. */
const heldBytes = 262_144;
/** How often an attempt looks whether anything comes for it. */
const stillCheckMs = 100;

/** Headers of an upstream's answer as the caller gets them. */
export function answerHeaders(raw: readonly string[]): string[] {
    return passedOn(raw, new Set(["date"]));
}

/** Starts an attempt. */
export function startAttempt(options: AttemptOptions, parts: AttemptParts): RunningAttempt {
    const { asked, upstream, answer, splitter } = options;
    const { names, balance, view } = parts;
    const isStream = asked.route.kind === "stream";
    let status = 0;
    let rawHeaders: string[] = [];
    let held: Buffer[] = [];
    let heldLength = 0;
    let isPassingOn = false;
    let hasBegun = false;
    let isOver = false;

    balance.sent(upstream, upstream.coldUntilMs > parts.nowMs());
    if (isStream) {
        balance.streamStarted(upstream);
    }
    const sentAtMs = parts.nowMs();
    let ownSinceMs = sentAtMs;
    const stillTimer = options.mayRunAgain ? setInterval(checkStill, stillCheckMs) : undefined;

    function leave() {
        isOver = true;
        clearInterval(stillTimer);
        options.ended();
        balance.ended(upstream);
        if (isStream) {
            balance.streamEnded(upstream, hasBegun);
        }
    }

    function over(ending: Ending) {
        if (isOver) {
            return;
        }
        leave();
        if (ending.kind !== "not-run" || ending.isUpstreamAtFault) {
            balance.failed(upstream);
        }
        options.over(ending);
    }

    function abandon(reason: string) {
        exchange.abort();
        over({ kind: "unknown", reason, isCrash: false });
    }

    /** Why to go on elsewhere: of a group that has lost a member nothing comes until its head notices, seconds later. */
    function whyStill(): string | undefined {
        if (isStream && balance.isStill(upstream, splitter.lastId === undefined)) {
            return "nothing moves at this upstream";
        }
        return parts.nowMs() - ownSinceMs > options.patienceMs ? "nothing comes for this request" : undefined;
    }

    function checkStill() {
        const reason = whyStill();
        if (reason !== undefined && options.mayLeave()) {
            abandon(reason);
        }
    }

    /** Why an answer is not this upstream's own to this request; undefined for one that is. */
    function whyForeign(): string | undefined {
        if (valueOf(rawHeaders, names.attemptId) !== asked.attemptId) {
            return "the answer bears another request's id";
        }
        if (status < 300 && valueOf(rawHeaders, names.signature) === undefined) {
            return "the success bears no mark of the upstream";
        }
        return valueOf(rawHeaders, "content-encoding") === undefined ? undefined : "the answer is encoded";
    }

    function noteLoad() {
        const [running, waiting] = (valueOf(rawHeaders, names.load) ?? "").split(",").map(Number);
        if (running !== undefined && waiting !== undefined && Number.isFinite(running + waiting)) {
            balance.toldLoad(upstream, running, waiting);
        }
    }

    /** A refusal that names no limit says nothing about it: it may come from something before the upstream. */
    function noteLimit() {
        const perSecond = Number(valueOf(rawHeaders, names.limit) ?? Number.NaN);
        if (perSecond >= 0 && Number.isFinite(perSecond)) {
            parts.statedLimit(upstream, perSecond, sentAtMs);
        }
        else if (status < 300) {
            parts.statedLimit(upstream, undefined, sentAtMs);
        }
    }

    function onHead(givenStatus: number, raw: string[]) {
        status = givenStatus;
        rawHeaders = raw;
        noteLoad();
        const foreign = status === 421 ? undefined : whyForeign();
        if (foreign !== undefined) {
            abandon(foreign);
            return;
        }
        noteLimit();
        if (status < 300 && isStream) {
            // A continued stream keeps the headers of its first upstream: `start` does nothing the second time.
            answer.start(status, passedOn(raw, new Set(["date", "content-length"])));
            isPassingOn = true;
        }
    }

    function passOn(bytes: Buffer) {
        if (!answer.write(bytes)) {
            exchange.pause();
        }
    }

    function onData(chunk: Buffer) {
        if (isPassingOn && isStream) {
            const events = splitter.take(chunk);
            if (events.length > 0) {
                balance.event(upstream, !hasBegun);
                hasBegun = true;
                ownSinceMs = parts.nowMs();
                options.begun();
                passOn(events);
            }
            return;
        }
        if (isPassingOn) {
            passOn(chunk);
            return;
        }
        held.push(chunk);
        heldLength += chunk.length;
        if (heldLength > heldBytes && status < 300) {
            isPassingOn = true;
            answer.start(status, answerHeaders(rawHeaders));
            held.forEach(passOn);
            held = [];
        }
    }

    function onMisdirected() {
        const isAnother = valueOf(rawHeaders, names.faultyUpstreamId) === undefined && valueOf(rawHeaders, names.servedBy) !== upstream.id;
        if (isAnother) {
            view.noteGone(upstream);
        }
        over({ kind: "not-run", reason: "it was sent to the wrong upstream", isUpstreamAtFault: true, isUnsent: false });
    }

    function deliver() {
        leave();
        balance.succeeded(upstream);
        if (isPassingOn) {
            answer.end();
        }
        else {
            answer.whole(status, answerHeaders(rawHeaders), Buffer.concat(held));
        }
        options.delivered({ status });
    }

    function onEnd() {
        if (status === 421) {
            onMisdirected();
            return;
        }
        if (isPassingOn && isStream && !splitter.isWhole) {
            over({ kind: "unknown", reason: "the stream ended in the middle of an event", isCrash: true });
            return;
        }
        if (!isPassingOn && valueOf(rawHeaders, names.notRun) !== undefined) {
            over({ kind: "not-run", reason: `the upstream refused it with ${status}`, isUpstreamAtFault: status === 503, isUnsent: false });
            return;
        }
        if (!isPassingOn && status >= 500) {
            over({ kind: "ran-failed", answer: { status, rawHeaders, body: Buffer.concat(held) } });
            return;
        }
        deliver();
    }

    function onFailed(error: Error, isSent: boolean) {
        if (isSent) {
            over({ kind: "unknown", reason: error.message, isCrash: true });
            return;
        }
        if ((error as NodeJS.ErrnoException).code === "ECONNREFUSED") {
            view.noteRefusing(upstream);
        }
        balance.unreachable(upstream);
        over({ kind: "not-run", reason: error.message, isUpstreamAtFault: true, isUnsent: true });
    }

    const sent: Exchange = {
        method: asked.method,
        path: asked.path,
        headers: options.headers,
        body: asked.body,
        isFresh: !options.mayRunAgain,
    };
    const exchange = parts.connections.start(upstream.address, sent, { head: onHead, data: onData, end: onEnd, failed: onFailed });
    return {
        upstream,
        abort() {
            if (!isOver) {
                exchange.abort();
                leave();
            }
        },
        resume: () => exchange.resume(),
    };
}
