/**
 * The life of one request: upstreams are tried one after the other until one has answered, nothing more may be tried, or the time is up.
 *
 * Invariants: a request that may run once is sent again only where no byte of it can have left or the upstream says that it did not run
 * it; a refusal that promises "not run" is given only then; an answer reaches the caller only if it bears the request's own id and, for
 * a success, the upstream's mark; of a stream only whole events are passed on, and another upstream goes on after the last of them.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { Logger } from "../telemetry/index.js";
import type { CallerAnswer } from "./answer.js";
import type { Asked } from "./asked.js";
import type { Balance } from "./balance.js";
import type { Connections, RunningExchange } from "./connections.js";
import { createEventSplitter } from "./events.js";
import { type HeaderNames, passedOn } from "./headers.js";
import type { Candidate, SiteView } from "./siteView.js";

export interface RequestParts {
    readonly names: HeaderNames;
    readonly view: SiteView;
    readonly balance: Balance;
    readonly connections: Connections;
    readonly logger: Logger;
    readonly dataCentre: string;
    nowMs(): number;
    random(): number;
    /** Whether one more request may be sent again now. */
    mayRepeat(service: string): boolean;
    /** How many requests an upstream may have, running and waiting, before more are turned away. */
    mostAt(candidate: Candidate, asked: Asked): number;
    count(outcome: string, asked: Asked): void;
}

export interface RunningRequest {
    /** The caller has gone. */
    callerLeft(): void;
    drained(): void;
}

/** What an ended attempt says about its request. */
type Ending =
    /** It certainly has not run and will not. */
    | { readonly kind: "not-run"; readonly reason: string; readonly answer?: UpstreamAnswer | undefined; readonly isUpstreamAtFault: boolean }
    /** It may have run, and no usable answer came. */
    | { readonly kind: "unknown"; readonly reason: string }
    /** The upstream ran it and says that it failed. */
    | { readonly kind: "ran-failed"; readonly answer: UpstreamAnswer };

interface UpstreamAnswer {
    readonly status: number;
    readonly rawHeaders: string[];
    readonly body: Buffer;
}

/** An answer larger than this is passed on as it comes, and then can't be replaced by another attempt's. */
const heldBytes = 262_144;
/** A stream without any event for this long, at a head where nothing moves either, is taken up elsewhere. */
const stillCheckMs = 100;
/** Retry-After of refusals, in ms: a repair takes some 2 s, a queue drains in tenths of a second; spread, so that callers don't return at once. */
const retryAfterMinMs = 400;
const retryAfterSpreadMs = 600;
/** Under this much time left another attempt can't bring an answer. */
const leastAttemptMs = 40;

function lookUp(raw: readonly string[], name: string): string | undefined {
    for (let at = 0; at < raw.length; at += 2) {
        if (raw[at]!.toLowerCase() === name) {
            return raw[at + 1];
        }
    }
    return undefined;
}

/** Starts to serve a request. */
export function startRequest(asked: Asked, answer: CallerAnswer, parts: RequestParts): RunningRequest {
    const { names, balance, logger } = parts;
    const { route } = asked;
    const isStream = route.kind === "stream";
    const mayRunAgain = route.kind === "idempotent" || isStream && route.isResumable;
    const service = chooseService();
    const engine = asked.table.service(service)?.engine;
    const model = engine !== undefined && engine.models.length > 0 ? asked.model : undefined;
    const splitter = createEventSplitter();
    const tried = new Set<string>();
    const withoutPassing = new Set([names.key, names.deadlineMs, names.organisation, names.upstreamId, names.priority, names.lastEventId, "content-length"]);
    let attempts = 0;
    let current: { abort(): void; exchange: RunningExchange; upstream: Upstream } | undefined;
    let isOver = false;
    /** From arrival to the first event. */
    let firstMs: number | undefined;

    const deadline = setTimeout(onTimeout, Math.max(0, asked.giveUpAtMs - parts.nowMs()));

    function chooseService(): string {
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let left = parts.random() * total;
        return (route.targets.find(target => (left -= target.weight) < 0) ?? route.targets.findLast(target => target.weight > 0)!).service;
    }

    function finish(outcome: string, facts: object = {}) {
        if (isOver) {
            return;
        }
        isOver = true;
        clearTimeout(deadline);
        parts.count(outcome, asked);
        logger.info("request ended", {
            request: asked.attemptId, route: route.name, model, outcome, attempts, version: asked.table.site.version,
            tookMs: Math.round(parts.nowMs() - asked.arrivedAtMs), firstMs, ...facts,
        });
    }

    function refuse(reason: string) {
        const retryAfterMs = retryAfterMinMs + parts.random() * retryAfterSpreadMs;
        answer.own(503, reason, retryAfterMs);
        finish("refused", { reason });
    }

    function fail(status: 502 | 504, reason: string) {
        if (answer.isStarted) {
            answer.breakOff();
        }
        else {
            answer.own(status, reason);
        }
        finish("failed", { reason });
    }

    function onTimeout() {
        const wasSent = attempts > 0;
        current?.abort();
        if (!wasSent) {
            refuse("no upstream could take it in time");
            return;
        }
        fail(504, "no final answer in time");
    }

    function next() {
        if (isOver) {
            return;
        }
        const all = parts.view.candidates(service, model);
        const options = {
            without: tried,
            coldRequestsPerSecond: asked.table.service(service)?.coldRequestsPerSecond ?? 0,
            dataCentre: parts.dataCentre,
        };
        const candidate = balance.choose(all, options);
        if (candidate === undefined) {
            refuse(all.length === 0 ? "no upstream serves this now" : "no other upstream may take it now");
            return;
        }
        if (attempts === 0 && balance.estimate(candidate.upstream) >= parts.mostAt(candidate, asked)) {
            refuse("every upstream has as much as it can finish in time");
            return;
        }
        attempt(candidate);
    }

    /** Goes on after an attempt that brought no answer. */
    function after(ending: Ending, upstream: Upstream) {
        const wasSent = ending.kind !== "not-run";
        const timeLeft = asked.giveUpAtMs - parts.nowMs() > leastAttemptMs;
        const mayTry = (!wasSent || mayRunAgain) && attempts < route.maxAttempts && timeLeft;
        logger.info("attempt ended without an answer", {
            request: asked.attemptId, upstream: upstream.id, ending: ending.kind, reason: "reason" in ending ? ending.reason : `status ${ending.answer.status}`,
            attempt: attempts, goesOn: mayTry, lastEvent: splitter.lastId,
        });
        if (mayTry && parts.mayRepeat(service)) {
            tried.add(upstream.id);
            splitter.restart();
            next();
            return;
        }
        if (answer.isStarted) {
            fail(502, "the stream broke off and could not be continued");
        }
        else if (ending.kind === "ran-failed") {
            answer.whole(ending.answer.status, headersFor(ending.answer.rawHeaders), ending.answer.body);
            finish("upstream-failed", { status: ending.answer.status });
        }
        else if (ending.kind === "not-run" && attemptsAllNotRun) {
            refuse(ending.reason);
        }
        else {
            fail(502, "reason" in ending ? ending.reason : "no usable answer came");
        }
    }

    /** False once an attempt may have run: from then on no refusal may promise that the request has not. */
    let attemptsAllNotRun = true;

    function headersFor(raw: readonly string[]): string[] {
        return passedOn(raw, new Set(["date"]));
    }

    function requestHeaders(upstream: Upstream): string[] {
        const leftMs = Math.max(1, Math.floor(asked.giveUpAtMs - parts.nowMs()));
        const headers = passedOn(asked.rawHeaders, withoutPassing);
        headers.push(names.deadlineMs, String(leftMs), names.upstreamId, upstream.id);
        if (asked.organisation !== undefined) {
            headers.push(names.organisation, asked.organisation);
        }
        const lastId = splitter.lastId ?? lookUp(asked.rawHeaders, names.lastEventId);
        if (lastId !== undefined) {
            headers.push(names.lastEventId, lastId);
        }
        if (engine !== undefined) {
            headers.push(names.priority, String(Math.min(9, asked.priority)));
        }
        return headers;
    }

    function attempt({ upstream }: Candidate) {
        attempts++;
        const isCold = upstream.coldUntilMs > parts.nowMs();
        let status = 0;
        let rawHeaders: string[] = [];
        let held: Buffer[] = [];
        let heldLength = 0;
        let isPassingOn = false;
        let isEnded = false;
        balance.sent(upstream, isCold);
        if (isStream) {
            balance.streamStarted(upstream);
        }
        const stillTimer = isStream ? setInterval(checkStill, stillCheckMs) : undefined;

        function leave() {
            isEnded = true;
            clearInterval(stillTimer);
            balance.ended(upstream);
            if (isStream) {
                balance.streamEnded(upstream);
            }
            current = undefined;
        }

        function over(ending: Ending) {
            if (isEnded) {
                return;
            }
            leave();
            attemptsAllNotRun &&= ending.kind === "not-run";
            if (ending.kind !== "not-run" || ending.isUpstreamAtFault) {
                balance.failed(upstream);
            }
            after(ending, upstream);
        }

        function abandon(ending: Ending) {
            exchange.abort();
            over(ending);
        }

        function checkStill() {
            const hasOthers = parts.view.candidates(service, model).some(other =>
                other.upstream.id !== upstream.id && !tried.has(other.upstream.id) && !balance.isStill(other.upstream) && !other.isDoubtful);
            if (balance.isStill(upstream, splitter.lastId === undefined) && hasOthers && mayRunAgain && attempts < route.maxAttempts) {
                abandon({ kind: "unknown", reason: "nothing moves at this upstream" });
            }
        }

        function whole(): UpstreamAnswer {
            return { status, rawHeaders, body: Buffer.concat(held) };
        }

        /** Whether the answer is the upstream's own to this request. */
        function isForeign(): string | undefined {
            if (lookUp(rawHeaders, names.attemptId) !== asked.attemptId) {
                return "the answer bears another request's id";
            }
            if (status < 300 && lookUp(rawHeaders, names.signature) === undefined) {
                return "the success bears no mark of the upstream";
            }
            return lookUp(rawHeaders, "content-encoding") === undefined ? undefined : "the answer is encoded";
        }

        function onHead(given: number, raw: string[]) {
            status = given;
            rawHeaders = raw;
            const [running, waiting] = (lookUp(raw, names.load) ?? "").split(",").map(Number);
            if (running !== undefined && waiting !== undefined && Number.isFinite(running + waiting)) {
                balance.toldLoad(upstream, running, waiting);
            }
            if (status === 421) {
                return;
            }
            const foreign = isForeign();
            if (foreign !== undefined) {
                abandon({ kind: "unknown", reason: foreign });
                return;
            }
            if (status < 300 && isStream) {
                if (!answer.isStarted) {
                    const kept = passedOn(raw, new Set(["date", "content-length"]));
                    answer.start(status, kept);
                }
                isPassingOn = true;
            }
        }

        function onData(chunk: Buffer) {
            if (isPassingOn && isStream) {
                const events = splitter.take(chunk);
                if (events.length > 0) {
                    balance.event(upstream);
                    firstMs ??= Math.round(parts.nowMs() - asked.arrivedAtMs);
                    if (!answer.write(events)) {
                        exchange.pause();
                    }
                }
                return;
            }
            if (isPassingOn) {
                if (!answer.write(chunk)) {
                    exchange.pause();
                }
                return;
            }
            held.push(chunk);
            heldLength += chunk.length;
            if (heldLength > heldBytes && status < 300) {
                isPassingOn = true;
                answer.start(status, headersFor(rawHeaders));
                held.forEach(part => answer.write(part));
                held = [];
            }
        }

        function onEnd() {
            if (status === 421) {
                const faulty = lookUp(rawHeaders, names.faultyUpstreamId);
                if (faulty === undefined && lookUp(rawHeaders, names.servedBy) !== upstream.id) {
                    parts.view.noteGone(upstream);
                }
                over({ kind: "not-run", reason: "another upstream answers there", isUpstreamAtFault: true });
                return;
            }
            if (isPassingOn) {
                if (isStream && !splitter.isWhole) {
                    over({ kind: "unknown", reason: "the stream ended in the middle of an event" });
                    return;
                }
                leave();
                balance.succeeded(upstream);
                answer.end();
                finish("delivered", { upstream: upstream.id });
                return;
            }
            if (lookUp(rawHeaders, names.notRun) !== undefined) {
                over({ kind: "not-run", reason: `the upstream refused it with ${status}`, answer: whole(), isUpstreamAtFault: status === 503 });
                return;
            }
            if (status >= 500) {
                over({ kind: "ran-failed", answer: whole() });
                return;
            }
            leave();
            balance.succeeded(upstream);
            answer.whole(status, headersFor(rawHeaders), Buffer.concat(held));
            finish("delivered", { upstream: upstream.id, status });
        }

        function onFailed(error: Error, isSent: boolean) {
            if (!isSent) {
                if ((error as NodeJS.ErrnoException).code === "ECONNREFUSED") {
                    parts.view.noteGone(upstream);
                }
                over({ kind: "not-run", reason: error.message, isUpstreamAtFault: true });
                return;
            }
            over({ kind: "unknown", reason: error.message });
        }

        const exchange = parts.connections.start(upstream.address, {
            method: asked.method,
            path: asked.path,
            headers: requestHeaders(upstream),
            body: asked.body,
            isFresh: !mayRunAgain,
        }, {
            head: onHead,
            data: onData,
            end: onEnd,
            failed: onFailed,
        });
        current = {
            exchange,
            upstream,
            abort() {
                exchange.abort();
                leave();
            },
        };
    }

    next();
    return {
        callerLeft() {
            if (isOver) {
                return;
            }
            // Work that may run once goes on: cut short, nobody could tell whether it took effect.
            if (mayRunAgain || isStream) {
                current?.abort();
            }
            answer.breakOff();
            finish("caller-left");
        },
        drained() {
            current?.exchange.resume();
        },
    };
}
