/**
 * What a soak records: the calls of callers and operators, what reached the upstreams, and the faults.
 *
 * @module
 */

import type { Arrival, ProcessRun, Pushback, Run } from "../../standin/platform/index.js";
import type { OddCheckInCall } from "./oddCheckIns.js";

export type CallKind = "charge" | "read" | "caption" | "route" | "keyed" | "urgent" | "tolerant" | "bulk" | "crashing";

/** A request of a caller. All times are on one clock. */
export interface Call {
    readonly id: string;
    readonly kind: CallKind;
    /** The entry that the caller's connection leads to. */
    readonly entry: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Undefined if the connection ended before the head of an answer. */
    readonly status: number | undefined;
    readonly isComplete: boolean;
    readonly body: string;
    /** The upstream that said in this answer that it leaves. */
    readonly leavingUpstream?: string | undefined;
    /** For calls of the kind `route`: the configuration version whose route was called. */
    readonly routeVersion?: number | undefined;
    /** For calls of the kind `keyed`: the key, which is revoked sooner or later. */
    readonly key?: string | undefined;
    /** For streams of bursts: the organisation. */
    readonly organisation?: string | undefined;
    /** When the caller closed its connection before the answer was complete. */
    readonly leftAtMs?: number | undefined;
}

/** Routes of this many versions are in each configuration. */
export const routeVersions = 4;

/** A configuration sent by the operator. */
export interface Publication {
    readonly version: number;
    readonly sentAtMs: number;
    /** The keys that it allows beside the usual one. */
    readonly keys: readonly string[];
    /** Undefined if no daemon has acknowledged it. */
    readonly acknowledgedAtMs: number | undefined;
}

/** A configuration read back from a control daemon. */
export interface ConfigurationRead {
    readonly daemon: string;
    readonly sentAtMs: number;
    /** Undefined if the daemon gave none. */
    readonly version: number | undefined;
}

/** A start or end of an evacuation, sent by the operator until a daemon acknowledged it. */
export interface EvacuationOrder {
    readonly dataCentre: string;
    readonly verb: "start" | "end";
    readonly sentAtMs: number;
    /** Undefined if no daemon has acknowledged it. */
    readonly acknowledgedAtMs: number | undefined;
}

/** A time in which a daemon's process was disturbed: killed, stopped, frozen or starting. */
export interface Outage {
    readonly daemon: string;
    readonly kind: "planned" | "unplanned";
    readonly fromMs: number;
    readonly toMs: number;
}

/** A check-in that no sound upstream has sent. */
export interface OddCheckIn extends Pick<OddCheckInCall, "name" | "id" | "isRefusable"> {
    readonly daemon: string;
    readonly sentAtMs: number;
    /** Undefined if the daemon gave no answer. */
    readonly status: number | undefined;
}

export type Stall = Pick<Outage, "fromMs" | "toMs">;

export interface UpstreamRecord {
    readonly id: string;
    readonly zone: string;
    readonly arrivals: readonly Arrival[];
    readonly runs: readonly Run[];
    readonly pushbacks: readonly Pushback[];
    readonly anomalies: readonly string[];
    readonly crashTimesMs: readonly number[];
}

export interface History {
    readonly calls: readonly Call[];
    readonly publications: readonly Publication[];
    readonly reads: readonly ConfigurationRead[];
    /** In the order in which they were sent. */
    readonly evacuations: readonly EvacuationOrder[];
    readonly outages: readonly Outage[];
    readonly oddCheckIns: readonly OddCheckIn[];
    /** When the process of the soak itself, with its callers, relays and upstreams, did nothing that was due. */
    readonly stalls: readonly Stall[];
    /** Every start of a daemon. */
    readonly processes: readonly ProcessRun[];
    readonly upstreams: readonly UpstreamRecord[];
    /** The end of the last fault, and the end of the run. */
    readonly calmFromMs: number;
    readonly endedAtMs: number;
}

export function isDisturbed(outages: readonly Outage[], daemon: string, fromMs: number, toMs: number): boolean {
    return outages.some(outage => outage.daemon === daemon && outage.fromMs <= toMs && outage.toMs >= fromMs);
}

export function isServed({ status, isComplete }: Call): boolean {
    return status === 200 && isComplete;
}

/** How long the process of the soak stalled between two times. */
export function stalledMs(stalls: readonly Stall[], startMs: number, endMs: number): number {
    return stalls.reduce((sum, { fromMs, toMs }) => sum + Math.max(0, Math.min(toMs, endMs) - Math.max(fromMs, startMs)), 0);
}
