/**
 * Selects the control daemon from which an entry receives the frames that grow with the site: published texts, upstreams and the times at
 * which they were heard. The others send it only small frames. Otherwise each published text would reach every entry once per control
 * daemon, mostly from other data centres, and a rapid series of texts of some hundred kilobytes would saturate its link for seconds.
 *
 * @module
 */

import type { AliveFrame } from "./frames.js";

/** A control daemon that an entry watches. */
export interface FollowCandidate {
    readonly address: string;
    /** Its latest `alive` frame; undefined while it is not heard. */
    readonly alive: AliveFrame | undefined;
    /** Start of the current uninterrupted reception. */
    readonly heardSinceMs: number;
    /** When its content stream last ended or fell silent while it was followed. */
    readonly failedAtMs: number;
}

/** The control daemon that is currently followed. */
export interface FollowedDaemon {
    readonly address: string;
    /** The newest site version that it has sent. */
    readonly siteVersion: number;
    /** Since when another daemon has reported a newer version than this one has sent; undefined while none has. */
    readonly behindSinceMs: number | undefined;
}

export interface FollowOptions {
    readonly dataCentre: string;
    readonly nowMs: number;
    random(): number;
}

/** How long the followed daemon may stay behind: a site applied by another daemon normally arrives within a few round trips. */
const maxLagMs = 1_000;
/** How long to wait for a daemon of the entry's own data centre after one of another data centre was first heard. */
const localWaitMs = 150;
/** How long a daemon of the own data centre must be heard before the entry switches back to it, in case it restarts repeatedly. */
const localReturnDelayMs = 3_000;
/** How long a daemon whose content stream failed is avoided while there is an alternative. */
const retryDelayMs = 3_000;

/** The newest site version reported by a control daemon in touch with a leader; -1 if there is none. */
export function newestSiteVersion(candidates: readonly FollowCandidate[]): number {
    return Math.max(-1, ...candidates.map(({ alive }) => alive?.isInTouch ? alive.siteVersion : -1));
}

/** Requires content; prefers candidates in touch with a leader and, among these, those without a recent failure. */
function eligibleCandidates(candidates: readonly FollowCandidate[], nowMs: number): readonly FollowCandidate[] {
    const withContent = candidates.filter(({ alive }) => alive?.hasContent);
    const inTouch = withContent.filter(({ alive }) => alive!.isInTouch);
    const usable = inTouch.length > 0 ? inTouch : withContent;
    const notFailed = usable.filter(({ failedAtMs }) => nowMs - failedAtMs > retryDelayMs);
    return notFailed.length > 0 ? notFailed : usable;
}

/** Returns the address of the control daemon to follow; undefined if there is none yet. */
export function chooseDaemonToFollow(
    candidates: readonly FollowCandidate[], current: FollowedDaemon | undefined, options: FollowOptions,
): string | undefined {
    const { dataCentre, nowMs } = options;
    const eligible = eligibleCandidates(candidates, nowMs);
    const local = eligible.filter(({ alive }) => alive!.dataCentre === dataCentre);
    const followed = eligible.find(({ address }) => address === current?.address);
    if (followed === undefined) {
        const firstHeardMs = Math.min(...eligible.map(({ heardSinceMs }) => heardSinceMs));
        const shouldWait = current === undefined && local.length === 0 && nowMs - firstHeardMs < localWaitMs;
        return shouldWait ? undefined : pickRandom(local.length > 0 ? local : eligible, options);
    }
    if (current!.behindSinceMs !== undefined && nowMs - current!.behindSinceMs > maxLagMs) {
        const ahead = eligible.filter(({ address, alive }) => address !== followed.address && alive!.siteVersion > current!.siteVersion);
        const localAhead = ahead.filter(candidate => local.includes(candidate));
        return pickRandom(localAhead.length > 0 ? localAhead : ahead, options) ?? followed.address;
    }
    const stableLocal = local.filter(({ heardSinceMs }) => nowMs - heardSinceMs > localReturnDelayMs);
    return local.includes(followed) ? followed.address : pickRandom(stableLocal, options) ?? followed.address;
}

/** Picks at random, so that the entries which lose a daemon spread over the remaining ones. */
function pickRandom(candidates: readonly FollowCandidate[], { random }: FollowOptions): string | undefined {
    return candidates[Math.floor(random() * candidates.length)]?.address;
}
