/**
 * What an attempt is started with, and what its request can do with it.
 *
 * @module
 */

import type { Pushbacks, Upstream } from "../fleet/index.js";
import type { CallerAnswer } from "./answer.js";
import type { AttemptFailure } from "./attemptFailure.js";
import type { Balancer } from "./balancer.js";
import type { Connections } from "./connections.js";
import type { EventSplitter } from "./events.js";
import type { HeaderNames } from "./headers.js";
import type { LatencyObserver } from "./latencyTracker.js";
import type { Holder } from "./memory/index.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { SiteView } from "./siteView.js";

export interface AttemptDependencies {
    readonly names: HeaderNames;
    readonly view: SiteView;
    readonly balancer: Balancer;
    readonly connections: Connections;
    readonly pushbacks: Pushbacks;
    nowMs(): number;
    /** Records an exception that costs one request; `fields` name it. */
    recordException(error: unknown, fields: object): void;
    /** Records the limit in requests a second, or its absence, that the answer to a request sent at `sentAtMs` states. */
    recordLimit(upstream: Upstream, perSecond: number | undefined, sentAtMs: number): void;
    /** Observes when the events of streams come. */
    readonly latency?: LatencyObserver;
}

export interface AttemptOptions {
    readonly request: ParsedRequest;
    readonly upstream: Upstream;
    readonly answer: CallerAnswer;
    readonly holder: Holder;
    readonly splitter: EventSplitter;
    /** Whether the request may be sent again after it may have run. */
    readonly isRepeatable: boolean;
    /** How long the request may make no progress before another upstream is tried. */
    readonly stallTimeoutMs: number;
    /** Whether the request waits in the late queue, where it is served after others. */
    readonly isLate?: boolean;
    /** Headers of the request to the upstream. */
    readonly headers: string[];
    /** Asks whether a stalled attempt may be retried at another upstream. True: the attempt has to end. */
    mayFailOver(): boolean;
    /** Called when the attempt has ended for any reason, before `onDelivered` or `onFailed`. */
    onEnded(): void;
    onDelivered(fields: { readonly status: number }): void;
    /** Called whenever complete events of a stream have come. */
    onEvents(): void;
    onFailed(failure: AttemptFailure): void;
}

export interface RunningAttempt {
    readonly upstream: Upstream;
    /** Whether events of a stream have come. */
    readonly hasEvents: boolean;
    /** Ends the attempt without calling `onDelivered` or `onFailed`. */
    abort(): void;
    resume(): void;
}
