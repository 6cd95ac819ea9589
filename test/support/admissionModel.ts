/**
 * One entry before a few groups, on a simulated clock: a group starts up to `slots` requests at once and the others in order. Used to
 * compare the admission with sending each request at once.
 *
 * @module
 */

import { createRandom } from "../../bench/random.js";
import { type Admission, createAdmission } from "../../src/gateway/admission.js";
import type { AdmissionDecision, AdmissionRecord } from "../../src/gateway/admissionTypes.js";
import type { ParsedRequest } from "../../src/gateway/parsedRequest.js";
import type { Candidate, SiteView } from "../../src/gateway/siteView.js";
import { createSiteTable } from "../../src/site/index.js";
import { candidate } from "../gateway/candidates.js";
import { createSite, rethrow } from "./gatewaySite.js";

export const table = createSiteTable(createSite());

export interface Call {
    readonly atMs: number;
    readonly organisation: string;
    readonly priority: number;
    readonly latenessMs: number;
    /** How often the caller comes back after a refusal, and whether it waits for the time that it was told. */
    readonly returns?: { readonly times: number; readonly atOnce: boolean };
}

/** Builds the request of a call at `nowMs`. Its deadline is 4 s later and its caller waits 1.5 s for a first event. */
export function parsedRequest(call: Omit<Call, "atMs">, nowMs: number, bodyBytes = 0): ParsedRequest {
    const { priority, latenessMs, organisation } = call;
    const route = { ...table.site.routes[2]!, name: `route-${priority}`, priority, latenessMs, patienceMs: 1_500, timeoutMs: 4_000 };
    return {
        attemptId: "a", method: "POST", path: "/", rawHeaders: [], body: Buffer.alloc(bodyBytes), route, table, organisation, priority,
        model: "lm", promptTokens: 100, sharedParts: [], answerTokens: 20, arrivedAtMs: nowMs, deadlineAtMs: nowMs + 4_000, giveUpAtMs: nowMs + 4_000,
    };
}

/** Timers and deferred callbacks on a simulated clock. */
export function createSimulatedTime() {
    let nowMs = 0;
    let order = 0;
    const events: { atMs: number; order: number; run: () => void }[] = [];
    const at = (atMs: number, run: () => void) => {
        const event = { atMs, order: order++, run };
        events.splice(events.findLastIndex(other => other.atMs <= atMs) + 1, 0, event);
        return () => void (event.run = () => undefined);
    };
    return {
        nowMs: () => nowMs, at,
        setTimer: (run: () => void, delayMs: number) => at(nowMs + delayMs, run),
        defer: (run: () => void) => void at(nowMs, run),
        runUntil(endMs: number) {
            while (events.length > 0 && events[0]!.atMs <= endMs) {
                const event = events.shift()!;
                nowMs = event.atMs;
                event.run();
            }
            nowMs = endMs;
        },
    };
}

interface Group {
    readonly candidate: Candidate;
    running: number;
    waiting: (() => void)[];
}

export interface ModelOptions {
    readonly seed: number;
    readonly groups: number;
    readonly slots: number;
    /** The mean time for which a request occupies a slot; its first event comes `firstMs` after it has started. */
    readonly serviceMs: number;
    readonly firstMs: number;
    /** `at-once` sends each request at once to the group with the fewest. */
    readonly mode: "admission" | "at-once";
}

export interface CallResult {
    readonly call: Call;
    isOnTime: boolean;
    isServed: boolean;
    sends: number;
    refusals: number;
}

/** Runs the calls and returns what became of each. */
export function runCalls(calls: readonly Call[], options: ModelOptions): { results: CallResult[]; records: AdmissionRecord[] } {
    const time = createSimulatedTime();
    const random = createRandom(options.seed);
    const groups: Group[] = Array.from({ length: options.groups }, (_, index) =>
        ({ candidate: { ...candidate(`g${index}`), model: "lm" }, running: 0, waiting: [] }));
    const records: AdmissionRecord[] = [];
    const loadOf = (group: Group) => group.running + group.waiting.length;
    const admission: Admission = createAdmission({
        view: { table, candidates: () => groups.map(group => group.candidate) } as unknown as SiteView,
        nowMs: time.nowMs, random, isAvoided: () => false, setTimer: time.setTimer, defer: time.defer,
        pushbackLeftMs: () => 0, record: decision => records.push(decision), isActive: () => true, recordException: rethrow,
        room: {
            at(wanted) {
                const load = loadOf(groups.find(group => group.candidate === wanted)!);
                const waitMs = Math.max(0, load + 1 - options.slots) / options.slots * options.serviceMs;
                const { slots, firstMs } = options;
                return { running: load, limit: slots, allowance: slots - load, firstEventMs: firstMs + waitMs, ageMs: 0 };
            },
        },
    });
    const choose = (candidates: readonly Candidate[]) =>
        groups.filter(group => candidates.includes(group.candidate)).sort((a, b) => loadOf(a) - loadOf(b))[0]?.candidate;

    function start(group: Group, request: ParsedRequest, result: CallResult, released: () => void) {
        group.running++;
        time.setTimer(() => {
            const tookMs = time.nowMs() - request.arrivedAtMs;
            result.isServed ||= tookMs <= request.route.patienceMs;
            result.isOnTime ||= tookMs <= result.call.latenessMs;
            admission.roomChanged();
        }, options.firstMs);
        time.setTimer(() => {
            group.running--;
            group.waiting.shift()?.();
            released();
        }, options.serviceMs * (0.5 + random()));
    }

    function send(target: Candidate, request: ParsedRequest, result: CallResult, released: () => void) {
        const group = groups.find(other => other.candidate === target)!;
        result.sends++;
        const run = () => start(group, request, result, released);
        if (group.running < options.slots) {
            run();
        }
        else {
            group.waiting.push(run);
        }
    }

    function submit(call: Call, result: CallResult) {
        const request = parsedRequest(call, time.nowMs());
        if (options.mode === "at-once") {
            send(choose(groups.map(group => group.candidate))!, request, result, () => undefined);
            return;
        }
        admission.submit({ request, service: "pool", model: "lm", choose }, (decision: AdmissionDecision) => {
            if (decision.kind === "send") {
                send(decision.candidate, request, result, decision.released);
            }
            else if (decision.kind === "refuse" && result.refusals++ < (call.returns?.times ?? 0)) {
                time.setTimer(() => submit(call, result), call.returns!.atOnce ? 1 : decision.retryAfterMs);
            }
        });
    }

    const results = calls.map(call => ({ call, isOnTime: false, isServed: false, sends: 0, refusals: 0 }));
    results.forEach(result => time.at(result.call.atMs, () => submit(result.call, result)));
    time.runUntil(Math.max(...calls.map(call => call.atMs)) + 20_000);
    return { results, records };
}

/** Returns Poisson arrivals at `perSecond` between two times. */
export function arrivals(seed: number, perSecond: number, fromMs: number, toMs: number, call: Omit<Call, "atMs">): Call[] {
    const random = createRandom(seed);
    const calls: Call[] = [];
    for (let atMs = fromMs; ; calls.push({ ...call, atMs })) {
        atMs -= Math.log(1 - random()) * 1_000 / perSecond;
        if (atMs >= toMs) {
            return calls;
        }
    }
}

/** Returns the share of the calls that were on time. */
export function onTimeShare(results: readonly CallResult[]): number {
    return results.filter(result => result.isOnTime).length / results.length;
}
