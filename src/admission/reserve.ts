/**
 * How much room requests of each priority need, as a reducer: what is held back for more urgent requests, how much work arrives, and how
 * fast room becomes free.
 *
 * The room at groups is divided among entries anew several times a second. So what is held back from less urgent requests is the arrivals
 * until the next division; later ones get room from that. From late requests, which are of little use to their callers, all the room is
 * held back that the arrivals need while each occupies it, beyond what they occupy already. Arrivals decay, so unused room is released
 * within seconds.
 *
 * @module
 */

/** Priorities above this value, 0 being the most urgent, count as this one. Engines support no others. */
export const lowestPriority = 9;

/** Entries get a new view of the room at groups at least this often. */
const divisionMs = 250;
/** The arrivals of about the last second count: long enough for a few requests of each kind, and short compared with a burst. */
const decayMs = 1_000;
/** The weight of a new sample in the average time for which a request occupies its room. */
const heldSmoothing = 0.05;

/** One priority; the entry after the lowest priority counts late requests, which have no arrivals of their own. */
interface Need {
    /** Decayed number and work of the arrivals, as of `atMs`. */
    readonly arrivals: number;
    readonly arrivedWork: number;
    readonly atMs: number;
    readonly running: number;
}

export interface ReserveState {
    readonly needs: readonly Need[];
    /** Work of all running requests. */
    readonly runningWork: number;
    /** Decayed work of the requests that have ended, as of `releasedAtMs`. */
    readonly releasedWork: number;
    readonly releasedAtMs: number;
    /** The average time from sending a request to its end. */
    readonly heldMs: number | undefined;
}

export type ReserveEvent =
    | { readonly kind: "arrived"; readonly nowMs: number; readonly priority: number; readonly work: number }
    | { readonly kind: "sent"; readonly priority: number; readonly isLate: boolean; readonly work: number }
    /** A request that was sent has ended and has held its room for `heldMs`. */
    | {
        readonly kind: "released"; readonly nowMs: number; readonly priority: number; readonly isLate: boolean; readonly work: number;
        readonly heldMs: number;
    };

const idle: Need = { arrivals: 0, arrivedWork: 0, atMs: 0, running: 0 };

/** `heldMs`: the estimated time for which a request occupies its room, as long as none has ended; undefined if there is no estimate. */
export function initialReserve(heldMs: number | undefined): ReserveState {
    return { needs: Array.from({ length: lowestPriority + 2 }, () => idle), runningWork: 0, releasedWork: 0, releasedAtMs: 0, heldMs };
}

/** Returns the class of a priority; values out of range count as the nearest one in range. */
export function priorityClass(priority: number): number {
    return Number.isFinite(priority) ? Math.min(lowestPriority, Math.max(0, Math.floor(priority))) : lowestPriority;
}

function decay(elapsedMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / decayMs);
}

function needIndex(priority: number, isLate: boolean): number {
    return isLate ? lowestPriority + 1 : priorityClass(priority);
}

/**
 * Returns the room that is held back from a request of `priority`, Infinity if it is late, in whole requests: a remainder that decays for
 * seconds would hold back the last room meanwhile.
 */
export function reservedFor({ needs, heldMs = divisionMs }: ReserveState, priority: number, nowMs: number): number {
    const isLate = priority === Infinity;
    const end = isLate ? lowestPriority + 1 : priorityClass(priority);
    let reserved = 0;
    for (let index = 0; index < end; index++) {
        const { arrivals, atMs, running } = needs[index]!;
        if (arrivals > 0) {
            const perMs = arrivals * decay(nowMs - atMs) / decayMs;
            reserved += isLate ? Math.max(0, perMs * heldMs - running) : perMs * Math.min(heldMs, divisionMs);
        }
    }
    return Math.round(reserved);
}

/** Work that becomes free and work that arrives, in work per ms. */
export interface RoomRates {
    /**
     * The rate at which room becomes free; undefined while no request runs, since a rate of an idle time would refuse every request and
     * would never be corrected.
     */
    readonly freed: number | undefined;
    /** The rate of arrivals by priority class. */
    readonly arriving: readonly number[];
}

/**
 * Returns the present rates. Requests that end while few are running say nothing about how many could, so the rate at which room becomes
 * free is at least the running work divided by the time for which it is held.
 */
export function roomRates({ needs, runningWork, releasedWork, releasedAtMs, heldMs }: ReserveState, nowMs: number): RoomRates {
    const released = releasedWork * decay(nowMs - releasedAtMs) / decayMs;
    return {
        freed: heldMs === undefined || runningWork <= 0 ? undefined : Math.max(released, runningWork / Math.max(1, heldMs)),
        arriving: needs.slice(0, lowestPriority + 1).map(({ arrivedWork, atMs }) =>
            arrivedWork === 0 ? 0 : arrivedWork * decay(nowMs - atMs) / decayMs),
    };
}

export function reserveReducer(state: ReserveState, event: ReserveEvent): ReserveState {
    const index = needIndex(event.priority, event.kind !== "arrived" && event.isLate);
    const need = state.needs[index]!;
    switch (event.kind) {
        case "arrived": {
            const kept = decay(event.nowMs - need.atMs);
            const arrived = {
                ...need, arrivals: need.arrivals * kept + 1, arrivedWork: need.arrivedWork * kept + event.work, atMs: event.nowMs,
            };
            return { ...state, needs: state.needs.with(index, arrived) };
        }
        case "sent":
            return {
                ...state, needs: state.needs.with(index, { ...need, running: need.running + 1 }),
                runningWork: state.runningWork + event.work,
            };
        case "released": {
            const { heldMs = event.heldMs } = state;
            return {
                needs: state.needs.with(index, { ...need, running: Math.max(0, need.running - 1) }),
                runningWork: Math.max(0, state.runningWork - event.work),
                releasedWork: state.releasedWork * decay(event.nowMs - state.releasedAtMs) + event.work,
                releasedAtMs: event.nowMs,
                heldMs: heldMs + (event.heldMs - heldMs) * heldSmoothing,
            };
        }
    }
}
