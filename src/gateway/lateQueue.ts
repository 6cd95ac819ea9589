/**
 * The fixed bounds on the queue of an upstream: the requests that can still be on time, and those that may wait in its late queue.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { Balancer } from "./balancer.js";
import type { ParsedRequest } from "./parsedRequest.js";
import type { Candidate } from "./siteView.js";
import type { QueueLimits } from "./work.js";

/** A request that has waited in the late queue for this part of its callers' patience shows that another one would wait in vain. */
const lateQueueStallShare = 0.25;

export interface BoundsDependencies {
    readonly balancer: Balancer;
    /** The numbers of requests at an upstream beyond which further ones are refused. */
    queueLimits(candidate: Candidate, request: ParsedRequest): QueueLimits;
}

/** Whether a further request at this upstream would no longer be on time. */
export function isOnTimeQueueFull(candidate: Candidate, request: ParsedRequest, { balancer, queueLimits }: BoundsDependencies): boolean {
    return balancer.onTimeEstimate(candidate.upstream) >= queueLimits(candidate, request).onTime;
}

/** Whether the late queue of an upstream accepts one more request. */
export function mayQueueLate(candidate: Candidate, request: ParsedRequest, { balancer, queueLimits }: BoundsDependencies): boolean {
    const { upstream } = candidate;
    return balancer.lateEstimate(upstream) < queueLimits(candidate, request).late &&
        !balancer.isLateQueueStalled(upstream, request.route.patienceMs * lateQueueStallShare);
}

/** Counts a request in the late queue of `upstream`. The first call of the returned function ends this; others have no effect. */
export function joinLateQueue(upstream: Upstream, balancer: Balancer): (hasStarted: boolean) => void {
    const sentAtMs = balancer.lateQueued(upstream);
    let isQueued = true;
    return hasStarted => {
        if (isQueued) {
            isQueued = false;
            balancer.lateDequeued(upstream, sentAtMs, hasStarted);
        }
    };
}

/** Log fields of a refusal due to full queues: the best upstream, its estimated queues and limits, and the number of candidates. */
export function queueLogFields(candidate: Candidate, candidates: number, request: ParsedRequest, dependencies: BoundsDependencies) {
    const { upstream } = candidate;
    const { balancer } = dependencies;
    const queueLimits = dependencies.queueLimits(candidate, request);
    return {
        upstream: upstream.id, candidates,
        onTime: Math.round(balancer.onTimeEstimate(upstream)), onTimeRoom: Math.round(queueLimits.onTime),
        late: Math.round(balancer.lateEstimate(upstream)), lateRoom: Math.round(queueLimits.late),
    };
}
