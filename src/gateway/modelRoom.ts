/**
 * The room at the groups of one model for a request, and the times until which the request can use it.
 *
 * @module
 */

import type { QueueBounds, WaitingRequest } from "../admission/index.js";
import type { EngineSpec } from "../site/index.js";
import type { Submission } from "./admissionTypes.js";
import type { GroupRoom, RoomAtGroup } from "./groupRoom.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { Candidate } from "./siteView.js";
import { estimateWork, expectedAnswerTokens } from "./work.js";

export interface Rooms {
    readonly all: readonly Candidate[];
    readonly predicted: readonly { readonly candidate: Candidate; readonly room: RoomAtGroup }[];
    /**
     * The number of requests that this entry may send to all of them together. Shares of the room at one group are often below one request,
     * so the entry may send as soon as they add up to one, and takes back from the others what it sent to one beyond its share there.
     */
    readonly total: number;
}

/** Waiting requests for each slot of the model's groups: several times what can be served within the lateness targets. */
const queuedPerSlot = 4;
const minQueued = 64;
const maxQueuedBytes = 8 * 1_024 * 1_024;
/**
 * The most work that a request counts for, as a multiple of that of a usual one. Sizes are hints of callers; one absurd hint would distort
 * the rate of room, and so the decisions on everyone's requests.
 */
const maxWorkFactor = 16;
/** Requests without an organisation count as those of one. */
const noOrganisation = "none";

/** Returns the bounds of the queue before groups with so many slots together. */
export function queueBounds(slots: number): QueueBounds {
    return { maxQueued: Math.max(minQueued, queuedPerSlot * slots), maxBytes: maxQueuedBytes };
}

/** Asks for the room at each candidate. */
export function listRooms(all: readonly Candidate[], request: ParsedRequest, groupRoom: GroupRoom): Rooms {
    const predicted: { candidate: Candidate; room: RoomAtGroup }[] = [];
    let total = 0;
    for (const candidate of all) {
        const room = groupRoom.at(candidate, request);
        if (room !== undefined) {
            predicted.push({ candidate, room });
            // The allowance at a group that others have filled is far below 0, but that takes no room from this entry elsewhere.
            total += Math.max(-1, room.allowance);
        }
    }
    return { all, predicted, total };
}

/** Whether fixed bounds apply, since nothing is predicted for the upstream that the request would be sent to. */
export function isUnpredicted({ all, predicted }: Rooms, submission: Submission): boolean {
    if (predicted.length === all.length) {
        return all.length === 0;
    }
    const best = submission.choose(all);
    return predicted.length === 0 || (best !== undefined && !predicted.some(({ candidate }) => candidate === best));
}

/** Returns until when the first event of a request is on time. */
export function onTimeUntilMs({ arrivedAtMs, route }: ParsedRequest): number {
    return arrivedAtMs + (route.latenessMs ?? route.timeoutMs);
}

/** Returns the work of a usual request in ms of a group's time. */
function usualWorkMs(engine: EngineSpec, model: string): number {
    return estimateWork(engine, model, engine.usualPromptTokens, engine.usualAnswerTokens).groupMs;
}

/** What has been seen of recent requests to a model, in ms; undefined until one has been sent or has ended. */
export interface UsualTimes {
    /** The first event as it was predicted when a request was sent. */
    readonly firstEventMs: number | undefined;
    /** From sending a request to its end. */
    readonly answerMs: number | undefined;
}

/** Returns a request as the queue takes it. The service has to have engines, and at least one room has to be predicted. */
export function createWaitingRequest(
    id: string, { request, service, model }: Submission, rooms: Rooms, usual: UsualTimes,
): WaitingRequest {
    const { arrivedAtMs, giveUpAtMs, route } = request;
    const engine = request.table.service(service)!.engine!;
    const promptTokens = request.promptTokens || engine.usualPromptTokens;
    const { groupMs } = estimateWork(engine, model, promptTokens, expectedAnswerTokens(engine, request));
    const usualMs = usualWorkMs(engine, model);
    // A full group has to drain before the request is sent, so what is predicted for its present load is too long.
    const firstEventMs = Math.min(usual.firstEventMs ?? Infinity, ...rooms.predicted.map(({ room }) => room.firstEventMs));
    const lastEndMs = giveUpAtMs - (usual.answerMs ?? firstEventMs);
    const dueMs = Math.min(onTimeUntilMs(request) - firstEventMs, lastEndMs);
    return {
        id, organisation: request.organisation ?? noOrganisation, priority: request.priority, arrivedMs: arrivedAtMs, dueMs,
        lastStartMs: Math.max(dueMs, Math.min(arrivedAtMs + route.patienceMs - firstEventMs, lastEndMs)),
        work: Math.max(1, usualMs > 0 ? Math.min(groupMs, usualMs * maxWorkFactor) : groupMs), bytes: request.body?.length ?? 0,
    };
}

/** Estimates from the stated costs how long a full group takes for a request, from sending it to its end, in ms. */
export function usualAnswerMs({ request, service, model }: Submission): number {
    const engine = request.table.service(service)!.engine!;
    return usualWorkMs(engine, model) * engine.slots;
}

/** Sums over the groups, and the age of the oldest view, for the log. */
export function roomLogFields({ predicted, total }: Rooms) {
    const ages = predicted.map(({ room }) => room.ageMs).filter(Number.isFinite);
    const sum = (of: (room: RoomAtGroup) => number) => Math.round(predicted.reduce((before, { room }) => before + of(room), 0) * 10) / 10;
    return {
        room: Math.round(total * 10) / 10, running: sum(room => room.running), limit: sum(room => room.limit),
        viewAgeMs: ages.length === 0 ? undefined : Math.round(Math.max(...ages)),
    };
}
