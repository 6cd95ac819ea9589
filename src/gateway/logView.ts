/**
 * Which state of the control daemons' replicated log an entry acts on, and how old it is. Control daemons state the position of their log
 * with each heartbeat, after the changes up to it.
 *
 * @module
 */

import type { LogPosition } from "../feed/index.js";
import type { Logger } from "../telemetry/index.js";

/** The age at which the state counts as old: three intervals of the heartbeats that confirm it. */
const maxAgeMs = 1_500;

/** The state for log lines; the leader is an address. */
export interface LogStateFields {
    readonly index: number;
    readonly term: number;
    readonly leader: string | undefined;
    /** Time since a control daemon that knows a leader last stated this state or a later one. */
    readonly ageMs: number;
}

export interface LogView {
    /** Records the position of the log at the control daemon at `from`. */
    record(position: LogPosition, from: string | undefined): void;
    /**
     * Whether what a frame states as of `index` is older than what is known as of `known`. A log that was formed anew, whose indexes start
     * again, replaces another one as soon as its sender knows a leader.
     */
    isOutdated(index: number, position: LogPosition | undefined, known: KnownState): boolean;
    /** Undefined until a control daemon has stated a position. */
    readonly fields: LogStateFields | undefined;
    /** Writes a line when the state has become old or is fresh again; must be called often. */
    checkAge(): void;
}

export interface KnownState {
    /** -1 if nothing is known. */
    readonly index: number;
    /** Undefined if the sender stated no position. */
    readonly clusterId: string | undefined;
}

export interface LogViewOptions {
    readonly logger: Logger;
    nowMs(): number;
}

/** Creates a view without a state. */
export function createLogView({ logger, nowMs }: LogViewOptions): LogView {
    let state: LogPosition | undefined;
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let isFresh = false;

    const ageMs = () => nowMs() - confirmedAtMs;

    function isOutdated(index: number, position: LogPosition | undefined, known: KnownState): boolean {
        const isSameLog = position === undefined || known.clusterId === undefined || position.clusterId === known.clusterId;
        return isSameLog ? index < known.index : position.leader === undefined;
    }

    function fields(): LogStateFields | undefined {
        return state && { index: state.index, term: state.term, leader: state.leader, ageMs: Math.round(ageMs()) };
    }

    return {
        record(position, from) {
            if (position.leader === undefined || (state !== undefined && isOutdated(position.index, position, state))) {
                return;
            }
            const before = fields();
            const hasChanged = state?.leader !== position.leader || state.term !== position.term || state.clusterId !== position.clusterId;
            state = position;
            confirmedAtMs = nowMs();
            if (hasChanged || !isFresh) {
                isFresh = true;
                logger.info("state of the log", { ...position, from, before });
            }
        },
        isOutdated,
        get fields() {
            return fields();
        },
        checkAge() {
            if (isFresh && ageMs() > maxAgeMs) {
                isFresh = false;
                logger.info("state of the log is old", { ...fields() });
            }
        },
    };
}
