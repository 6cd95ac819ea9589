/**
 * The requests of one model that wait for room at its groups: offers room to the most urgent one, and keeps what the decisions need about
 * arrivals and running requests. The rules are in `admission/priorityQueue.ts` and `admission/reserve.ts`.
 *
 * @module
 */

import {
    initialPriorityQueue, initialReserve, nextWaiting, type PriorityQueueEffect, type PriorityQueueEvent, priorityQueueReducer,
    reservedFor, reserveReducer, roomRates, type WaitingRequest,
} from "../admission/index.js";
import { type AdmissionDecision, type AdmissionRecord, type RefusalCause, refusalReasons, type Submission } from "./admissionTypes.js";
import type { GroupRoom } from "./groupRoom.js";
import {
    createWaitingRequest, isUnpredicted, listRooms, onTimeUntilMs, queueBounds, roomLogFields, type Rooms, usualAnswerMs,
} from "./modelRoom.js";
import { createRefusalPacer } from "./refusalPacer.js";
import type { Candidate, SiteView } from "./siteView.js";

export interface ModelQueueDependencies {
    readonly view: Pick<SiteView, "table" | "candidates">;
    readonly room: GroupRoom;
    nowMs(): number;
    random(): number;
    /** Whether a candidate is used only if there is no other. */
    isAvoided(candidate: Candidate): boolean;
    /** The time until the first of the candidates accepts requests; 0 if one does now. */
    pushbackLeftMs(candidates: readonly Candidate[]): number;
    record(decision: AdmissionRecord): void;
    /** Has this queue pumped soon, but not before the caller returns: what is known of an upstream may change until then. */
    wake(): void;
}

export interface ModelQueue {
    submit(submission: Submission, onDecision: (decision: AdmissionDecision) => void): { cancel(): void };
    /** Sends and refuses what is due now. */
    pump(): void;
    /** Refuses what waits, and from now on what gets no room at once. */
    close(): void;
    readonly model: string;
    readonly waiting: number;
    readonly nextChangeMs: number;
    /** Whether the site in force has the model. */
    readonly isServed: boolean;
    /** The number of waiting requests by organisation. */
    readonly organisations: ReadonlyMap<string, number>;
}

interface Entry {
    readonly submission: Submission;
    readonly waiting: WaitingRequest;
    readonly onDecision: (decision: AdmissionDecision) => void;
}

/** The weight of a new sample in the average of predicted first events. */
const firstEventSmoothing = 0.1;

/** Creates the empty queue of a model. */
export function createModelQueue(service: string, model: string, dependencies: ModelQueueDependencies): ModelQueue {
    const { view, nowMs } = dependencies;
    let state = initialPriorityQueue();
    let reserve = initialReserve(undefined);
    const entries = new Map<string, Entry>();
    /** Requests that have to be refused unless they get room now or can expect it in time. */
    const unsettled = new Set<string>();
    let lastId = 0;
    let isPumping = false;
    let mustPumpAgain = false;
    let isClosed = false;
    /** The average of the first events as predicted for the requests that were sent; undefined until one was. */
    let firstEventMs: number | undefined;
    const pacer = createRefusalPacer(nowMs, dependencies.random);

    /** A group that fails at once always has room, and would get most of the waiting requests if it were chosen while others are full. */
    function usableCandidates(): readonly Candidate[] {
        const all = view.candidates(service, model);
        const usable = all.filter(candidate => !dependencies.isAvoided(candidate));
        return usable.length > 0 ? usable : all;
    }

    function roomsFor(request: Submission["request"]): Rooms {
        return listRooms(usableCandidates(), request, dependencies.room);
    }

    function apply(event: PriorityQueueEvent) {
        const result = priorityQueueReducer(state, event);
        state = result.state;
        result.effects.forEach(perform);
    }

    function perform(effect: PriorityQueueEffect) {
        if (effect.kind === "turned-late") {
            unsettled.add(effect.request.id);
        }
        else {
            refuse(effect.request.id, effect.reason, effect.waitMs);
        }
    }

    function forget(id: string): Entry | undefined {
        const entry = entries.get(id);
        entries.delete(id);
        unsettled.delete(id);
        return entry;
    }

    function record({ submission: { request }, waiting }: Entry, outcome: AdmissionRecord["outcome"], cause?: RefusalCause): number {
        const waitedMs = nowMs() - waiting.arrivedMs;
        dependencies.record({ route: request.route.name, priority: request.priority, outcome, cause, waitedMs });
        return Math.round(waitedMs);
    }

    function refuse(id: string, cause: RefusalCause, waitMs: number) {
        const entry = forget(id);
        if (entry === undefined) {
            return;
        }
        const { request } = entry.submission;
        const rooms = roomsFor(request);
        const retryMs = pacer.delayMs({
            request, work: entry.waiting.work, waitMs, rates: roomRates(reserve, nowMs()),
            acceptedInMs: dependencies.pushbackLeftMs(rooms.all),
        });
        entry.onDecision({
            kind: "refuse", reason: refusalReasons[cause],
            // Other entries serve what this one no longer does, so the caller may retry at once.
            retryAfterMs: cause === "stopping" ? 0 : retryMs,
            inputs: {
                waitedMs: record(entry, "refused", cause), waiting: state.queued,
                expectedWaitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : undefined,
                reserved: reservedFor(reserve, request.priority, nowMs()), ...roomLogFields(rooms),
            },
        });
    }

    function send(entry: Entry, candidate: Candidate, isLate: boolean) {
        const { waiting, waiting: { work, priority } } = entry;
        forget(waiting.id);
        apply({ kind: "take", request: waiting });
        reserve = reserveReducer(reserve, { kind: "sent", priority, isLate, work });
        const sentAtMs = nowMs();
        let isReleased = false;
        const released = () => {
            if (!isReleased) {
                isReleased = true;
                const heldMs = nowMs() - sentAtMs;
                reserve = reserveReducer(reserve, { kind: "released", nowMs: nowMs(), priority, isLate, work, heldMs });
                dependencies.wake();
            }
        };
        entry.onDecision({ kind: "send", candidate, isLate, waitedMs: record(entry, isLate ? "sent-late" : "sent"), released });
    }

    /**
     * Offers room to a request that counts with priority `level`; Infinity if it is late. False: there is none for it, and so none for a
     * less urgent one.
     */
    function offer(entry: Entry, level: number): boolean {
        const isLate = level === Infinity;
        const { submission, waiting } = entry;
        const { request } = submission;
        const rooms = roomsFor(request);
        if (isUnpredicted(rooms, submission)) {
            if (rooms.all.length === 0) {
                return false;
            }
            forget(waiting.id);
            apply({ kind: "cancel", request: waiting });
            entry.onDecision({ kind: "unpredicted" });
            return true;
        }
        if (rooms.total - 1 < reservedFor(reserve, level, nowMs())) {
            return false;
        }
        const withRoom = rooms.predicted.filter(({ room }) => room.allowance > 0);
        const usable = isLate ? withRoom : withRoom.filter(({ room }) => nowMs() + room.firstEventMs <= onTimeUntilMs(request));
        const chosen = submission.choose(usable.map(({ candidate }) => candidate));
        if (chosen !== undefined) {
            const predictedMs = usable.find(({ candidate }) => candidate === chosen)!.room.firstEventMs;
            firstEventMs = (firstEventMs ?? predictedMs) * (1 - firstEventSmoothing) + predictedMs * firstEventSmoothing;
            send(entry, chosen, isLate);
            return true;
        }
        if (withRoom.length > 0 && usable.length === 0) {
            unsettled.add(waiting.id);
            apply({ kind: "turn-late", request: waiting });
            return true;
        }
        return false;
    }

    function isServed(): boolean {
        return view.table?.service(service)?.engine?.models.some(({ name }) => name === model) ?? false;
    }

    function refuseAll(cause: RefusalCause) {
        [...entries.values()].forEach(({ waiting }) => {
            apply({ kind: "cancel", request: waiting });
            refuse(waiting.id, cause, 0);
        });
    }

    function settleAll() {
        const groups = view.candidates(service, model);
        const bounds = queueBounds(groups.length * (view.table?.service(service)?.engine?.slots ?? 0));
        for (const id of [...unsettled]) {
            unsettled.delete(id);
            const entry = entries.get(id);
            if (entry !== undefined) {
                const minWaitMs = dependencies.pushbackLeftMs(groups);
                apply({ kind: "settle", nowMs: nowMs(), request: entry.waiting, rates: roomRates(reserve, nowMs()), bounds, minWaitMs });
            }
        }
    }

    function pumpOnce() {
        if (!isServed()) {
            refuseAll("gone");
            return;
        }
        apply({ kind: "advance", nowMs: nowMs(), rates: roomRates(reserve, nowMs()) });
        for (let next = nextWaiting(state); next !== undefined; next = nextWaiting(state)) {
            if (!offer(entries.get(next.request.id)!, next.level)) {
                break;
            }
        }
        settleAll();
        if (isClosed) {
            refuseAll("stopping");
        }
    }

    function pump() {
        mustPumpAgain = true;
        if (isPumping) {
            return;
        }
        isPumping = true;
        try {
            while (mustPumpAgain && entries.size > 0) {
                mustPumpAgain = false;
                pumpOnce();
            }
        }
        finally {
            isPumping = false;
        }
    }

    return {
        submit(submission, onDecision) {
            const { request } = submission;
            const rooms = roomsFor(request);
            if (isUnpredicted(rooms, submission)) {
                onDecision({ kind: "unpredicted" });
                return { cancel: () => undefined };
            }
            reserve = reserve.heldMs === undefined ? initialReserve(usualAnswerMs(submission)) : reserve;
            const waiting = createWaitingRequest(String(++lastId), submission, rooms, { firstEventMs, answerMs: reserve.heldMs });
            // Requests that are late already need no room that is kept from others. They would keep it from themselves.
            if (waiting.dueMs >= nowMs()) {
                reserve = reserveReducer(reserve, { kind: "arrived", nowMs: nowMs(), priority: waiting.priority, work: waiting.work });
            }
            entries.set(waiting.id, { submission, waiting, onDecision });
            unsettled.add(waiting.id);
            apply({ kind: "arrive", nowMs: nowMs(), request: waiting });
            function cancel() {
                const entry = forget(waiting.id);
                if (entry !== undefined) {
                    apply({ kind: "cancel", request: waiting });
                    record(entry, "left");
                }
            }
            try {
                pump();
            }
            catch (error) {
                cancel();
                throw error;
            }
            return { cancel };
        },
        pump,
        close() {
            isClosed = true;
            pump();
        },
        model,
        get waiting() {
            return state.queued;
        },
        get nextChangeMs() {
            return state.queued === 0 ? Infinity : state.nextChangeMs;
        },
        get isServed() {
            return isServed();
        },
        get organisations() {
            const counts = new Map<string, number>();
            entries.forEach(({ waiting: { organisation } }) => counts.set(organisation, (counts.get(organisation) ?? 0) + 1));
            return counts;
        },
    };
}
