/**
 * What serving a request needs from the entry, and what the entry can do with a running request.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { Logger } from "../telemetry/index.js";
import type { Admission } from "./admission.js";
import type { AttemptDependencies } from "./attemptTypes.js";
import type { AttemptFailure } from "./attemptFailure.js";
import type { PredictingGroupRoom } from "./groupRoom.js";
import type { BoundsDependencies } from "./lateQueue.js";
import type { ParsedRequest } from "./parsedRequest.js";

export interface RequestDependencies extends AttemptDependencies, BoundsDependencies {
    /** Admits streams where overload control acts; undefined if it never does. */
    readonly admission?: Admission;
    readonly logger: Logger;
    readonly dataCentre: string;
    random(): number;
    /** Takes one retry from the budget of `service`. False: the budget is exhausted. */
    mayRetry(service: string): boolean;
    /** The room at groups while overload control is active; undefined to choose by load. */
    readonly groupRoom?: PredictingGroupRoom;
    recordOutcome(outcome: Outcome, request: ParsedRequest, tookMs: number, firstMs: number | undefined): void;
    countFailedAttempt(failure: AttemptFailure["kind"]): void;
    /** Records that the connection to an upstream broke while it ran the request. */
    recordCrash(request: ParsedRequest, upstream: Upstream): void;
    /** Whether so many upstreams have crashed while running this request that it must not be sent to another. */
    isBarred(request: ParsedRequest): boolean;
}

export type Outcome = "delivered" | "refused" | "failed" | "upstream-failed" | "caller-left";

export interface RunningRequest {
    /** Handles a caller that has disconnected. */
    callerLeft(): void;
    resume(): void;
    /** Ends the request now, with an answer that does not say whether it has run, unless it has only waited for room. */
    endNow(reason: string): void;
    /** Ends a request that must not be sent any more, unless its upstream has begun to answer or it can't be repeated. */
    endIfBarred(): void;
    /** The upstream of the current attempt. */
    readonly upstreamId: string | undefined;
}
