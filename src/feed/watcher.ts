/**
 * The watching side of the feed: one stream to each known control daemon, opened again after each end. An entry receives only small frames
 * over these streams; it takes the frames that grow with the site over a second stream to the one control daemon that it follows.
 *
 * A stream over which nothing has come for `silenceMs` is dropped and another connection tried: a connection that something between the
 * two ends has lost track of stays silent for good, and the watcher would go on by an old site without knowing.
 *
 * @module
 */

import { createClient } from "@connectrpc/connect";
import { createPeerConnection, type PeerConnection, SiteService, WatchScope } from "../rpc/index.js";
import { chooseDaemonToFollow, type FollowCandidate, type FollowedDaemon, newestSiteVersion } from "./follow.js";
import { type AliveFrame, type Frame, frameSchema, type Report } from "./frames.js";

/** Control daemons send a sign of life each `aliveMs`; three may be late before the stream counts as dead. */
export const aliveMs = 500;
const silenceMs = 3 * aliveMs;
/** Wait before a stream is opened again, in ms: short, since readiness after a restart waits for it. */
const reopenMinMs = 150;
const reopenMaxMs = 1_000;
/** How often an entry checks whether to follow another control daemon. */
const followIntervalMs = 100;

export interface FeedWatcher {
    /** Addresses to watch besides those that the frames name. */
    watch(addresses: readonly string[]): void;
    /** Stops watching those that are not in `addresses`. */
    keepOnly(addresses: readonly string[]): void;
    /** Sends a report to the control daemons that say they lead; lost ones are not repeated. */
    report(report: Report): void;
    /** Addresses over which something has come lately. */
    readonly heard: readonly string[];
    /** Address of the followed control daemon; undefined while there is none. */
    readonly followed: string | undefined;
    close(): void;
}

export interface FeedWatcherOptions {
    readonly daemonId: string;
    /** An entry takes published sites and upstreams from one control daemon; a control daemon takes upstreams from every other one. */
    readonly isEntry: boolean;
    readonly dataCentre: string;
    take(frame: Frame, address: string): void;
    changed(address: string, isHeard: boolean): void;
    followedChanged?(address: string | undefined, previous: string | undefined): void;
}

interface Line {
    readonly address: string;
    connection: PeerConnection | undefined;
    heardSinceMs: number;
    isHeard: boolean;
    isClosed: boolean;
    alive: AliveFrame | undefined;
    failedAtMs: number;
    abort: AbortController;
    waitMs: number;
}

/** The stream over which an entry receives published sites and upstreams. */
interface ContentStream {
    readonly line: Line;
    readonly abort: AbortController;
    siteVersion: number;
    behindSinceMs: number | undefined;
}

/** Creates the watching side. */
export function createFeedWatcher(options: FeedWatcherOptions): FeedWatcher {
    const { daemonId, isEntry } = options;
    const lines = new Map<string, Line>();
    let followed: ContentStream | undefined;
    let isClosed = false;
    const followTimer = isEntry ? setInterval(updateFollowed, followIntervalMs) : undefined;

    function setHeard(line: Line, isHeard: boolean) {
        if (line.isHeard !== isHeard) {
            line.isHeard = isHeard;
            line.heardSinceMs = performance.now();
            line.alive = isHeard ? line.alive : undefined;
            options.changed(line.address, isHeard);
        }
    }

    /** Reads a stream until it ends or has been silent for `silenceMs`. */
    async function read(connection: PeerConnection, scope: WatchScope, abort: AbortController, onFrame: (frame: Frame) => void) {
        let heardAtMs = performance.now();
        const guard = setInterval(() => {
            if (performance.now() - heardAtMs > silenceMs) {
                abort.abort();
            }
        }, aliveMs / 2);
        try {
            const client = createClient(SiteService, connection.transport);
            for await (const message of client.watch({ daemonId, isEntry, scope }, { signal: abort.signal })) {
                heardAtMs = performance.now();
                onFrame(frameSchema.parse(JSON.parse(Buffer.from(message.frame).toString("utf8"))));
            }
        }
        finally {
            clearInterval(guard);
        }
    }

    async function watchLine(line: Line) {
        const connection = createPeerConnection(line.address);
        line.connection = connection;
        line.abort = new AbortController();
        try {
            await read(connection, isEntry ? WatchScope.SIGNS : WatchScope.UNSPECIFIED, line.abort, frame => {
                line.waitMs = reopenMinMs;
                options.take(frame, line.address);
                setHeard(line, true);
                if (frame.kind === "alive") {
                    line.alive = frame;
                    updateFollowed();
                }
            });
        }
        finally {
            line.connection = undefined;
            connection.close();
        }
    }

    async function run(line: Line) {
        while (!line.isClosed && !isClosed) {
            // The reason of an end does not change what is done about it; `changed` tells that the daemon is heard no more.
            await watchLine(line).catch(() => undefined);
            setHeard(line, false);
            updateFollowed();
            await new Promise(resolve => setTimeout(resolve, line.waitMs * (0.5 + Math.random())));
            line.waitMs = Math.min(reopenMaxMs, line.waitMs * 2);
        }
    }

    function stop(line: Line) {
        line.isClosed = true;
        line.abort.abort();
        lines.delete(line.address);
        setHeard(line, false);
    }

    function listCandidates(): FollowCandidate[] {
        return [...lines.values()].map(({ address, alive, heardSinceMs, failedAtMs }) => ({ address, alive, heardSinceMs, failedAtMs }));
    }

    /** Records since when another control daemon has reported a newer site version than the followed one has sent. */
    function updateBehindSince(candidates: readonly FollowCandidate[], nowMs: number) {
        if (followed !== undefined) {
            const isBehind = newestSiteVersion(candidates) > followed.siteVersion;
            followed.behindSinceMs = isBehind ? followed.behindSinceMs ?? nowMs : undefined;
        }
    }

    function followedDaemon(): FollowedDaemon | undefined {
        return followed === undefined
            ? undefined
            : { address: followed.line.address, siteVersion: followed.siteVersion, behindSinceMs: followed.behindSinceMs };
    }

    function updateFollowed() {
        if (!isEntry || isClosed) {
            return;
        }
        const nowMs = performance.now();
        const candidates = listCandidates();
        updateBehindSince(candidates, nowMs);
        const chosen = chooseDaemonToFollow(candidates, followedDaemon(), { dataCentre: options.dataCentre, nowMs, random: Math.random });
        if (chosen !== followed?.line.address) {
            follow(chosen === undefined ? undefined : lines.get(chosen));
        }
    }

    function follow(line: Line | undefined) {
        const previous = followed;
        followed = undefined;
        previous?.abort.abort();
        options.followedChanged?.(line?.address, previous?.line.address);
        if (line?.connection === undefined) {
            return;
        }
        const next: ContentStream = { line, abort: new AbortController(), siteVersion: -1, behindSinceMs: undefined };
        followed = next;
        const onFrame = (frame: Frame) => {
            if (frame.kind === "site") {
                next.siteVersion = frame.version;
                next.behindSinceMs = undefined;
            }
            options.take(frame, line.address);
        };
        read(line.connection, WatchScope.CONTENT, next.abort, onFrame).catch(() => undefined).finally(() => {
            if (followed === next) {
                line.failedAtMs = performance.now();
                followed = undefined;
                updateFollowed();
            }
        });
    }

    return {
        watch(addresses) {
            for (const address of addresses) {
                if (!lines.has(address) && !isClosed) {
                    const line: Line = {
                        address, connection: undefined, heardSinceMs: 0, isHeard: false, isClosed: false, alive: undefined,
                        failedAtMs: Number.NEGATIVE_INFINITY, abort: new AbortController(), waitMs: reopenMinMs,
                    };
                    lines.set(address, line);
                    void run(line);
                }
            }
        },
        keepOnly(addresses) {
            for (const line of [...lines.values()]) {
                if (!addresses.includes(line.address)) {
                    stop(line);
                }
            }
        },
        report(report) {
            const bytes = Buffer.from(JSON.stringify(report));
            for (const line of lines.values()) {
                if (line.isHeard && line.alive?.leads === true && line.connection !== undefined) {
                    const client = createClient(SiteService, line.connection.transport);
                    // A report that is lost is followed by the next one within a second.
                    client.report({ daemonId, report: bytes }, { timeoutMs: 1_000 }).catch(() => undefined);
                }
            }
        },
        get heard() {
            return [...lines.values()].filter(line => line.isHeard).map(line => line.address);
        },
        get followed() {
            return followed?.line.address;
        },
        close() {
            isClosed = true;
            clearInterval(followTimer);
            followed?.abort.abort();
            followed = undefined;
            [...lines.values()].forEach(stop);
        },
    };
}
