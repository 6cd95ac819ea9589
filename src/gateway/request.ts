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
import { answerHeaders, type AttemptParts, type Ending, type RunningAttempt, startAttempt } from "./attempt.js";
import { createEventSplitter } from "./events.js";
import { passedOn, valueOf } from "./headers.js";
import type { Candidate } from "./siteView.js";
import type { Room } from "./work.js";

export interface RequestParts extends AttemptParts {
    readonly logger: Logger;
    readonly dataCentre: string;
    random(): number;
    /** Whether one more request may be sent again now. */
    mayRepeat(service: string): boolean;
    /** How much an upstream may be given before more is turned away. */
    roomAt(candidate: Candidate, asked: Asked): Room;
    count(outcome: Outcome, asked: Asked, tookMs: number, firstMs: number | undefined): void;
    attemptEnded(ending: Ending["kind"]): void;
    /** Notes that an upstream broke off while it ran the request. */
    crashed(asked: Asked, upstream: Upstream): void;
    /** Whether upstreams crashed under this request so often that it must reach no other. */
    isBarred(asked: Asked): boolean;
}

export type Outcome = "delivered" | "refused" | "failed" | "upstream-failed" | "caller-left";

export interface RunningRequest {
    /** The caller has gone. */
    callerLeft(): void;
    drained(): void;
    /** Ends it now; nothing says whether it has run. */
    endNow(reason: string): void;
    /** Where it runs now. */
    readonly upstreamId: string | undefined;
}

/**
 * Retry-After of refusals, as a part of the time that the caller has left: callers come back once, within a third of it. A repair takes
 * some 1.5 s and a queue drains meanwhile, so of 6 s left it is 0.6 to 1.8 s; spread, lest those refused together come back together.
 */
const retryAfterShare = 0.1;
const retryAfterSpread = 0.2;
/** Under this much time left another attempt can't bring an answer. */
const leastAttemptMs = 40;
/** Sends beyond a route's limit, for those that upstreams refused unrun: in a repair two stale heads may stand before the right one. */
const mostNotRun = 2;
/** Half of the two seconds after which callers leave a silent stream; what waits for a place in time gets its first event well before. */
const streamPatienceMs = 1_000;
/** Of an answer's time, for requests to plain services that may be repeated: one in a hundred takes longer than twice that. */
const plainPatience = 2;
/** The least urgent priority that engines know. */
const leastUrgent = 9;
/** What a request that can't be on time any more is set back by: behind every route's own priority in use. */
const lateSetback = 5;

/** Starts to serve a request. */
export function startRequest(asked: Asked, answer: CallerAnswer, parts: RequestParts): RunningRequest {
    const { names, balance, logger } = parts;
    const { route } = asked;
    const isStream = route.kind === "stream";
    const mayRunAgain = route.kind === "idempotent" || (isStream && route.isResumable);
    const service = chooseService();
    const engine = asked.table.service(service)?.engine;
    const coldRequestsPerSecond = asked.table.service(service)?.coldRequestsPerSecond ?? 0;
    const model = engine !== undefined && engine.models.length > 0 ? asked.model : undefined;
    const splitter = createEventSplitter();
    const tried = new Set<string>();
    let attempts = 0;
    /** Attempts that may have run: the route's limit is on those. */
    let runs = 0;
    let current: RunningAttempt | undefined;
    let isOver = false;
    /** A second send has been taken from the budget and is not used yet. */
    let hasSecondSend = false;
    /** False once an attempt may have run: from then on no refusal may promise that the request has not. */
    let hasNotRun = true;
    /** From arrival to the first event. */
    let firstMs: number | undefined;

    const deadline = setTimeout(onTimeout, Math.max(0, asked.giveUpAtMs - parts.nowMs()));

    function chooseService(): string {
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let left = parts.random() * total;
        return (route.targets.find(target => (left -= target.weight) < 0) ?? route.targets.findLast(target => target.weight > 0)!).service;
    }

    function finish(outcome: Outcome, facts: object = {}) {
        if (isOver) {
            return;
        }
        isOver = true;
        clearTimeout(deadline);
        const tookMs = Math.round(parts.nowMs() - asked.arrivedAtMs);
        parts.count(outcome, asked, tookMs, firstMs);
        logger.info("request ended", {
            request: asked.attemptId, route: route.name, model, outcome, attempts, version: asked.table.site.version,
            tookMs, firstMs, ...facts,
        });
    }

    function refuse(reason: string, facts: object = {}) {
        const leftMs = Math.max(0, asked.deadlineAtMs - parts.nowMs());
        answer.own(503, reason, leftMs * (retryAfterShare + parts.random() * retryAfterSpread));
        finish("refused", { reason, ...facts });
    }

    function fail(status: 502 | 504, reason: string, upstream?: string) {
        if (answer.isStarted) {
            answer.breakOff();
        }
        else {
            answer.own(status, reason);
        }
        finish("failed", { reason, upstream });
    }

    function onTimeout() {
        const upstream = current?.upstream.id;
        current?.abort();
        if (hasNotRun && attempts === 0) {
            refuse("no upstream could take it in time");
            return;
        }
        fail(504, "no final answer in time", upstream);
    }

    function choices(): readonly Candidate[] {
        return parts.view.candidates(service, model);
    }

    function next() {
        if (parts.isBarred(asked)) {
            giveUp("upstreams have crashed under this request");
            return;
        }
        const all = choices();
        const candidate = balance.choose(all, {
            without: tried,
            coldRequestsPerSecond,
            dataCentre: parts.dataCentre,
            hasIdle: upstream => mayRunAgain && parts.connections.hasIdle(upstream.address),
        });
        if (candidate === undefined) {
            giveUp(all.length === 0 ? "no upstream serves this now" : "no other upstream may take it now");
            return;
        }
        const isLate = attempts === 0 && isFull(candidate);
        if (isLate && !mayWaitLate(candidate)) {
            refuse("every upstream has as much as it can finish in time", fullness(candidate, all.length));
            return;
        }
        attempt(candidate.upstream, isLate);
    }

    /** Whether what can be on time at an upstream leaves no place for one more. */
    function isFull(candidate: Candidate): boolean {
        return balance.onTimeEstimate(candidate.upstream) >= parts.roomAt(candidate, asked).onTime;
    }

    /** What a refusal for lack of room rests on: the best upstream, how full it is taken to be, and among how many it was chosen. */
    function fullness(candidate: Candidate, candidates: number) {
        const { upstream } = candidate;
        const room = parts.roomAt(candidate, asked);
        return {
            upstream: upstream.id, candidates,
            onTime: Math.round(balance.onTimeEstimate(upstream)), onTimeRoom: Math.round(room.onTime),
            late: Math.round(balance.lateEstimate(upstream)), lateRoom: Math.round(room.late),
        };
    }

    /** Whether one more request may wait behind what can be on time there. */
    function mayWaitLate(candidate: Candidate): boolean {
        const { upstream } = candidate;
        return balance.lateEstimate(upstream) < parts.roomAt(candidate, asked).late && !balance.isLateStuck(upstream);
    }

    /** No further attempt: the final answer, which promises "not run" only where that is certain. */
    function giveUp(reason: string) {
        if (hasNotRun) {
            refuse(reason);
        }
        else {
            fail(502, reason);
        }
    }

    /** Goes on after an attempt that brought no answer. */
    function after(ending: Ending, upstream: Upstream) {
        current = undefined;
        hasNotRun &&= ending.kind === "not-run";
        runs += ending.kind === "not-run" ? 0 : 1;
        parts.attemptEnded(ending.kind);
        if (ending.kind === "unknown" && ending.isCrash) {
            parts.crashed(asked, upstream);
        }
        // Of a stream the rest may come from elsewhere; of any other answer what has been passed on can't be taken back.
        const canGoOn = isStream || !answer.isStarted;
        // A caller that has left waits for no answer: sent on, work that may run once would take effect after that.
        const mayTry = !isOver && canGoOn && (ending.kind === "not-run" || mayRunAgain) && runs < route.maxAttempts &&
            attempts < route.maxAttempts + mostNotRun && asked.giveUpAtMs - parts.nowMs() > leastAttemptMs;
        // The budget limits the load of second sends on upstreams: after an attempt that sent nothing, the next one is not charged to it.
        const isUnsent = ending.kind === "not-run" && ending.isUnsent;
        const goesOn = mayTry && (isUnsent || hasSecondSend || parts.mayRepeat(service));
        hasSecondSend = false;
        const reason = ending.kind === "ran-failed" ? `status ${ending.answer.status}` : ending.reason;
        logger.info("attempt ended without an answer", {
            request: asked.attemptId, upstream: upstream.id, ending: ending.kind, reason, attempt: attempts, goesOn,
            lastEvent: splitter.lastId,
        });
        if (goesOn) {
            tried.add(upstream.id);
            splitter.restart();
            next();
            return;
        }
        if (ending.kind === "ran-failed" && !answer.isStarted) {
            answer.whole(ending.answer.status, answerHeaders(ending.answer.rawHeaders), ending.answer.body);
            finish("upstream-failed", { status: ending.answer.status });
            return;
        }
        giveUp(reason);
    }

    function headersTo(upstream: Upstream, isLate: boolean): string[] {
        const set = new Set([
            names.key, names.deadlineMs, names.organisation, names.upstreamId, names.priority, names.lastEventId, "content-length",
        ]);
        const headers = passedOn(asked.rawHeaders, set);
        headers.push(names.deadlineMs, String(Math.max(1, Math.floor(asked.giveUpAtMs - parts.nowMs()))), names.upstreamId, upstream.id);
        if (asked.organisation !== undefined) {
            headers.push(names.organisation, asked.organisation);
        }
        const lastEventId = splitter.lastId ?? valueOf(asked.rawHeaders, names.lastEventId);
        if (lastEventId !== undefined) {
            headers.push(names.lastEventId, lastEventId);
        }
        if (engine !== undefined) {
            headers.push(names.priority, String(Math.min(leastUrgent, asked.priority + (isLate ? lateSetback : 0))));
        }
        return headers;
    }

    /** Whether to leave an upstream at which nothing moves; takes the second send from the budget, lest it be refused afterwards. */
    function mayLeave(): boolean {
        const mayGoOn = mayRunAgain && (isStream || !answer.isStarted) && runs + 1 < route.maxAttempts;
        const hasElsewhere = mayGoOn && choices().some(({ upstream, isDoubtful }) =>
            upstream.id !== current?.upstream.id && !tried.has(upstream.id) && !isDoubtful && !balance.isStill(upstream) &&
            balance.hasRoom(upstream, coldRequestsPerSecond));
        hasSecondSend = hasElsewhere && parts.mayRepeat(service);
        return hasSecondSend;
    }

    /** How long nothing may come for this request while others move: an upstream that hangs on some requests answers the rest. */
    function patienceMs(): number {
        return isStream ? streamPatienceMs : plainPatience * (route.latenessMs ?? route.timeoutMs);
    }

    function attempt(upstream: Upstream, isLate: boolean) {
        attempts++;
        const lateSentAtMs = isLate ? balance.lateSent(upstream) : undefined;
        let isWaitingLate = isLate;
        const noMoreWaiting = (hasBegun: boolean) => {
            if (isWaitingLate) {
                isWaitingLate = false;
                balance.lateEnded(upstream, lateSentAtMs!, hasBegun);
            }
        };
        current = startAttempt({
            asked, upstream, answer, splitter, mayRunAgain, headers: headersTo(upstream, isLate), mayLeave,
            patienceMs: isLate ? Infinity : patienceMs(),
            ended: () => noMoreWaiting(false),
            delivered: facts => finish("delivered", { upstream: upstream.id, ...facts }),
            begun() {
                noMoreWaiting(true);
                firstMs ??= Math.round(parts.nowMs() - asked.arrivedAtMs);
            },
            over: ending => after(ending, upstream),
        }, parts);
    }

    next();
    return {
        callerLeft() {
            if (isOver) {
                return;
            }
            // Work that may run once goes on until its time is up: cut short, nobody could tell whether it took effect.
            if (mayRunAgain || isStream) {
                current?.abort();
            }
            else {
                setTimeout(() => current?.abort(), Math.max(0, asked.giveUpAtMs - parts.nowMs()));
            }
            answer.breakOff();
            finish("caller-left", { upstream: current?.upstream.id });
        },
        drained() {
            current?.resume();
        },
        endNow(reason) {
            if (isOver) {
                return;
            }
            const upstream = current?.upstream.id;
            current?.abort();
            fail(502, reason, upstream);
        },
        get upstreamId() {
            return current?.upstream.id;
        },
    };
}
