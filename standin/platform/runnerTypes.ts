/**
 * The types of a simulated runner: what it is started with, what tests can change, and what it has recorded.
 *
 * @module
 */

/** A runner's membership of a group. */
export interface Membership {
    readonly name: string;
    readonly epoch: number;
    readonly rank: number;
    readonly members: readonly string[];
    readonly model: string;
    state: "joining" | "ready" | "open" | "closing" | "broken";
}

export interface RunnerOptions {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    /** The fabric domain; undefined for a plain service, which forms no groups. */
    readonly domain?: string;
    /** Addresses of the control daemons; a heartbeat tries them in order until one acknowledges it. */
    controls(): readonly string[];
    /** Looks up another runner, to check whether the group still has all its members. */
    peer(id: string): Runner | undefined;
    readonly heartbeatMs: number;
    readonly joinMs: number;
    /** How long the runner is cold after its start; 0 by default. */
    readonly coldForMs?: number;
    /** Streams that a head runs at a time; later ones wait for their events. No limit by default. */
    readonly slots?: number;
    /** Returns the address to announce in place of the one at which the runner listens, such as that of a relay. */
    advertise?(address: string): Promise<string>;
}

/** A request as it reaches the runner, whether or not it is run. */
export interface Arrival {
    readonly id: string;
    /** Time on the clock of `performance.now()`. */
    readonly atMs: number;
    /** Whether the runner was cold. */
    readonly isCold: boolean;
    /** The limit in requests per second that the answer states; undefined if it states none. */
    readonly limitPerSecond?: number | undefined;
}

/** A request that was turned away, and for how long no others are wanted. */
export interface Pushback extends Arrival {
    readonly forMs: number;
}

/** One execution of a request. */
export interface Run {
    readonly id: string;
    readonly runner: string;
    readonly tenant: string | undefined;
    /** Start time on the clock of `performance.now()`. */
    readonly atMs: number;
}

export interface Runner {
    readonly id: string;
    readonly zone: string;
    readonly address: string;
    readonly runs: Run[];
    readonly arrivals: Arrival[];
    /** The requests that were turned away with a pushback. */
    readonly pushbacks: Pushback[];
    /** Orders and requests that break a rule of groups, in words. */
    readonly anomalies: string[];
    readonly membership: Membership | undefined;
    /** The number of join orders refused because of a stale epoch. */
    readonly refusedJoins: number;
    /** When true, the runner answers nothing and sends no heartbeats, like a VM that lost power. */
    isPoweredOff: boolean;
    /** When false, the runner serves but all its heartbeats are lost. */
    sendsHeartbeats: boolean;
    /** Leaves orders unanswered and carries them out this much later or more, in another order; 0 executes and answers them at once. */
    orderDelayMs: number;
    /** Resets the connection of each answer after this many events; undefined for no resets. */
    resetAfterEvents: number | undefined;
    /** While set, a plain service runs requests and resets their connections in place of an answer. */
    losesAnswers: boolean;
    /** While set, every second request is run and gets only a part of its answer's head. */
    cutsHeads: boolean;
    /** Simulates a crash whenever a request with this path begins to run; the runner restarts under the same id. */
    crashPath: string | undefined;
    /** Simulates a crash whenever a request with this part of its prompt begins to write its answer. */
    crashPart: string | undefined;
    /** The limit in requests per second that answers state in the `server-limit` header; undefined for no header. */
    limitPerSecond: number | undefined;
    /** While set, requests are turned away with 503 and this `Retry-After`, in seconds. */
    pushbackS: number | undefined;
    /** Whether all answers say that the runner leaves. Its heartbeats don't. */
    saysLeaving: boolean;
    /** The number of crashes so far. */
    readonly crashes: number;
    /** The times of the crashes on the clock of `performance.now()`. */
    readonly crashTimesMs: readonly number[];
    drain(): Promise<void>;
    close(): Promise<void>;
}
