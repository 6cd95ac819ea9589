/**
 * Start-time fair queueing between organisations, as pure functions of an immutable state. Work counts against the organisation whose
 * request is taken, so the backlog of a heavy organisation delays only its own requests. Within an organisation the earliest due time
 * comes first.
 *
 * @module
 */

export interface FairRequest {
    readonly id: string;
    readonly organisation: string;
    readonly dueMs: number;
    /** The estimated work, above 0. Any unit will do if all requests use the same one. */
    readonly work: number;
}

/** The queued requests of one organisation, ordered by due time, and its start tag in virtual time. */
export interface OrganisationQueue<Request extends FairRequest> {
    readonly waiting: readonly Request[];
    readonly startTag: number;
}

export interface FairQueue<Request extends FairRequest> {
    readonly virtualTime: number;
    readonly organisations: ReadonlyMap<string, OrganisationQueue<Request>>;
    readonly queued: number;
}

/** Returns the queue with the requests of one organisation replaced. */
export function withOrganisation<Request extends FairRequest, Queue extends FairQueue<Request>>(
    queue: Queue, name: string, changed: OrganisationQueue<Request>,
): Queue {
    const before = queue.organisations.get(name)?.waiting.length ?? 0;
    const organisations = new Map(queue.organisations).set(name, changed);
    // The start tag of an idle organisation matters only while it is ahead of the virtual time.
    if (changed.waiting.length === 0 && changed.startTag <= queue.virtualTime) {
        organisations.delete(name);
    }
    return { ...queue, organisations, queued: queue.queued + changed.waiting.length - before };
}

/** Inserts a request behind those of its organisation that are due no later. */
export function insertRequest<Request extends FairRequest, Queue extends FairQueue<Request>>(queue: Queue, request: Request): Queue {
    const own = queue.organisations.get(request.organisation) ?? { waiting: [], startTag: 0 };
    const position = own.waiting.findLastIndex(other => other.dueMs <= request.dueMs) + 1;
    const waiting = own.waiting.toSpliced(position, 0, request);
    const startTag = own.waiting.length === 0 ? Math.max(queue.virtualTime, own.startTag) : own.startTag;
    return withOrganisation<Request, Queue>(queue, request.organisation, { waiting, startTag });
}

/** Removes a request that is not served, without counting its work. */
export function removeRequestAt<Request extends FairRequest, Queue extends FairQueue<Request>>(
    queue: Queue, organisation: string, index: number,
): Queue {
    const own = queue.organisations.get(organisation)!;
    return withOrganisation<Request, Queue>(queue, organisation, { ...own, waiting: own.waiting.toSpliced(index, 1) });
}

/** Removes a request that is served now, and counts its work against its organisation. */
export function takeRequestAt<Request extends FairRequest, Queue extends FairQueue<Request>>(
    queue: Queue, organisation: string, index: number,
): Queue {
    const { waiting, startTag } = queue.organisations.get(organisation)!;
    const advanced = { ...queue, virtualTime: Math.max(queue.virtualTime, startTag) };
    return withOrganisation<Request, Queue>(advanced, organisation, {
        waiting: waiting.toSpliced(index, 1), startTag: startTag + waiting[index]!.work,
    });
}

/** Returns the organisation with the lowest start tag among those that have queued requests. */
export function nextOrganisation<Request extends FairRequest>(queue: FairQueue<Request>): string | undefined {
    let next: string | undefined;
    let lowestTag = Infinity;
    for (const [name, { waiting, startTag }] of queue.organisations) {
        if (waiting.length > 0 && startTag < lowestTag) {
            next = name;
            lowestTag = startTag;
        }
    }
    return next;
}

/**
 * Returns the work that is taken before a request, which is queued already: the earlier requests of its own organisation, and what other
 * organisations may start before it. An organisation that has had less than its share waits for little of the others' backlogs.
 */
export function workAhead<Request extends FairRequest>(queue: FairQueue<Request>, request: FairRequest): number {
    const own = queue.organisations.get(request.organisation);
    let total = 0;
    for (const other of own?.waiting ?? []) {
        total += other.id !== request.id && other.dueMs <= request.dueMs ? other.work : 0;
    }
    const startTag = Math.max(queue.virtualTime, own?.startTag ?? 0) + total;
    for (const [name, { waiting, startTag: otherTag }] of queue.organisations) {
        if (name === request.organisation) {
            continue;
        }
        let otherWork = 0;
        for (let index = 0; index < waiting.length && otherTag + otherWork < startTag; index++) {
            otherWork += waiting[index]!.work;
        }
        total += otherWork;
    }
    return total;
}

/** Returns the work of all queued requests. */
export function totalWork<Request extends FairRequest>(queue: FairQueue<Request>): number {
    let total = 0;
    for (const { waiting } of queue.organisations.values()) {
        for (const request of waiting) {
            total += request.work;
        }
    }
    return total;
}
