/**
 * Holds callers for a moment while an entry that has just started receives the site and the upstreams. A refused caller returns after a
 * second at the earliest, although both usually arrive within some 200 ms.
 *
 * A held request's body is not read, so it takes no more memory than its head and the socket's read buffer.
 *
 * @module
 */

import type { Route, SiteTable } from "../site/index.js";

/** The longest time to hold a caller. What has not arrived by then takes an unknown time. */
const maxHoldMs = 300;
/** Holding may use this part of the time within which an answer is on time. */
const latenessShare = 0.25;
/** With heads of up to 64 KB and socket buffers of the same size, at most 32 MB. */
const maxHeld = 256;
/** Time after the first site, beside two heartbeat intervals, in which a service without upstreams may only lack their announcements. */
const startingMarginMs = 1_000;

/** What is known of the route and upstreams of a request. */
export interface HeldView {
    readonly table: SiteTable | undefined;
    candidates(service: string, model: string | undefined): readonly unknown[];
}

export interface StartHold {
    /** Records that a control daemon has been heard. Before the first, nothing says that waiting helps. */
    controlHeard(): void;
    /** Lets go of the requests that wait for what has just arrived. */
    viewChanged(): void;
    /** Resolves when the site is known, or when the caller can't be held any longer. Undefined: the caller is not held. */
    untilSite(arrivedAtMs: number, caller: HeldCaller): Promise<void> | undefined;
    /** Resolves when the route has an upstream, or when the caller can't be held any longer. Undefined: the caller is not held. */
    untilUpstreams(route: Route, model: string | undefined, arrivedAtMs: number, caller: HeldCaller): Promise<void> | undefined;
    /** Ends all waits; from now on nobody is held. */
    end(): void;
    /** The number of callers that are held. */
    readonly heldCount: number;
}

export interface HeldCaller {
    /** Calls back once if the caller disconnects. */
    onceGone(callback: () => void): void;
}

export interface StartHoldOptions {
    readonly view: HeldView;
    /** The interval at which upstreams announce themselves. */
    readonly heartbeatMs: number;
    nowMs(): number;
}

/** Creates a hold for an entry that starts now. */
export function createStartHold({ view, heartbeatMs, nowMs }: StartHoldOptions): StartHold {
    const startingMs = 2 * heartbeatMs + startingMarginMs;
    const held = new Set<{ isMet(): boolean; release(): void }>();
    /** Services and models that have had an upstream in this process. If they have none now, they have lost it. */
    const served = new Set<string>();
    let hasHeardControl = false;
    let hasEnded = false;
    let siteKnownAtMs: number | undefined;

    function wait(isMet: () => boolean, untilMs: number, caller: HeldCaller): Promise<void> | undefined {
        const leftMs = untilMs - nowMs();
        if (isMet() || !hasHeardControl || hasEnded || leftMs <= 0 || held.size >= maxHeld) {
            return undefined;
        }
        return new Promise(resolve => {
            const entry = { isMet, release };
            const timer = setTimeout(release, leftMs);
            function release() {
                clearTimeout(timer);
                held.delete(entry);
                resolve();
            }
            held.add(entry);
            caller.onceGone(release);
        });
    }

    /** Whether a target of the route has or has had upstreams, or can have none because it doesn't serve the model. */
    function hasUpstreams(route: Route, requestedModel: string | undefined): boolean {
        return route.targets.some(({ service }) => {
            const models = view.table?.service(service)?.engine?.models ?? [];
            if (models.length > 0 && !models.some(({ name }) => name === requestedModel)) {
                return true;
            }
            const model = models.length > 0 ? requestedModel : undefined;
            const key = JSON.stringify([service, model]);
            if (view.candidates(service, model).length > 0) {
                served.add(key);
            }
            return served.has(key);
        });
    }

    return {
        controlHeard() {
            hasHeardControl = true;
        },
        viewChanged() {
            siteKnownAtMs ??= view.table === undefined ? undefined : nowMs();
            [...held].filter(({ isMet }) => isMet()).forEach(({ release }) => release());
        },
        untilSite: (arrivedAtMs, caller) => wait(() => view.table !== undefined, arrivedAtMs + maxHoldMs, caller),
        untilUpstreams(route, model, arrivedAtMs, caller) {
            if (siteKnownAtMs === undefined || nowMs() - siteKnownAtMs > startingMs) {
                return undefined;
            }
            const holdMs = Math.min(maxHoldMs, latenessShare * (route.latenessMs ?? Number.POSITIVE_INFINITY));
            return wait(() => hasUpstreams(route, model), arrivedAtMs + holdMs, caller);
        },
        end() {
            hasEnded = true;
            [...held].forEach(({ release }) => release());
        },
        get heldCount() {
            return held.size;
        },
    };
}
