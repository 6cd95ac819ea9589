/**
 * The watcher's side of the feed: one stream to each known control daemon, reopened whenever it ends. An entry receives only small frames
 * over these streams; it receives the frames that grow with the site over a second stream to the one control daemon that it follows.
 *
 * A stream without frames for `silenceTimeoutMs` is aborted and reopened over a new connection. A connection whose state has been lost by
 * a middlebox remains silent forever, and the watcher would otherwise keep using an outdated site without noticing.
 *
 * @module
 */

import { createClient } from "@connectrpc/connect";
import { createPeerConnection, type PeerConnection, SiteService, WatchScope } from "../rpc/index.js";
import { chooseDaemonToFollow, type FollowCandidate, type FollowedDaemon, newestSiteVersion } from "./follow.js";
import type { CrashReport } from "./crashReports.js";
import { type AliveFrame, decodeFrame, type Frame, heardUpstreamSchema, type Report } from "./frames.js";
import { createLenientDecoder, decodeItems, type RefusalHandler, reportRefusedItems } from "./lenientDecoder.js";
import { decodeLogPosition, type LogPosition } from "./logPosition.js";
import { type EntryLoads, type SharedLoadsAnswer, sharedLoadsSchema } from "./loads.js";
import { createReportSender, type ReportSender } from "./reportStream.js";
import type { DirectoryPosition } from "./server.js";

/** Interval at which control daemons send `alive` frames. A stream counts as dead after three intervals without a frame. */
export const aliveIntervalMs = 500;
const silenceTimeoutMs = 3 * aliveIntervalMs;
/** Delay before a stream is reopened. It is short because readiness after a restart waits for it. */
const minReopenDelayMs = 150;
const maxReopenDelayMs = 1_000;
/**
 * After all processes were off, a watcher often starts before the control daemons listen. Until a daemon was heard for the first time, its
 * stream is reopened after this short delay, for as long as a start may take.
 */
const startReopenDelayMs = 40;
const startPeriodMs = 3_000;
/** How often an entry checks whether to follow another control daemon. */
const followIntervalMs = 100;

export interface FeedWatcher {
    /** Adds addresses of control daemons to watch. */
    watch(addresses: readonly string[]): void;
    /** Stops watching all control daemons that are not in `addresses`. */
    keepOnly(addresses: readonly string[]): void;
    /**
     * Sends a report, with the parts given, to the control daemons that claim to lead. Lost reports are not sent again. `onLoads` gets the
     * answer of each daemon that leads and is not older than this message.
     */
    report(report: Report, parts?: ReportParts, onLoads?: (answer: SharedLoadsAnswer) => void): void;
    /** Asks the followed control daemon when upstreams were last heard. Its answer comes as a `heard` frame; a lost one is not repeated. */
    askHeard(ids: readonly string[]): void;
    /** Addresses of the control daemons that are currently heard. */
    readonly heard: readonly string[];
    /** Address of the followed control daemon; undefined while there is none. */
    readonly followed: string | undefined;
    close(): void;
}

/** Parts of a report that older control daemons ignore. */
export interface ReportParts {
    readonly loads?: EntryLoads | undefined;
    readonly crashes?: CrashReport | undefined;
}

export interface FeedWatcherOptions {
    readonly daemonId: string;
    /** An entry receives sites and upstreams from one control daemon; a control daemon receives upstreams from every other one. */
    readonly isEntry: boolean;
    readonly dataCentre: string;
    /** `log` is the state of the sender's replicated log that the frame shows, if the sender states it. */
    onFrame(frame: Frame, address: string, log?: LogPosition): void;
    onHeardChanged(address: string, isHeard: boolean): void;
    /** Called once, with the first answer about loads that can't be read. Such answers are ignored. */
    onUnreadableLoads?(error: string): void;
    /** Called once for each kind of frame that this watcher does not know. Such frames are skipped. */
    onUnknownKind?(kind: string, address: string): void;
    /** Called for each frame that can't be read, which is skipped, and each one with unreadable items, whose other items count. */
    onRefused?: RefusalHandler;
    onFollowedChanged?(address: string | undefined, previous: string | undefined): void;
}

/** A control daemon with the stream over which its frames are received. */
interface WatchedDaemon {
    readonly address: string;
    connection: PeerConnection | undefined;
    /** Sends reports over the connection; undefined until the first one. */
    reports: ReportSender | undefined;
    heardSinceMs: number;
    isHeard: boolean;
    hasBeenHeard: boolean;
    isClosed: boolean;
    alive: AliveFrame | undefined;
    failedAtMs: number;
    abort: AbortController;
    reopenDelayMs: number;
}

/** The stream over which an entry receives published sites and upstreams. */
interface ContentStream {
    readonly daemon: WatchedDaemon;
    readonly abort: AbortController;
    siteVersion: number;
    behindSinceMs: number | undefined;
}

/** Creates a watcher without any control daemons to watch yet. */
export function createFeedWatcher(options: FeedWatcherOptions): FeedWatcher {
    const { daemonId, isEntry } = options;
    const daemons = new Map<string, WatchedDaemon>();
    const decodeLoads = createLenientDecoder(sharedLoadsSchema, error => options.onUnreadableLoads?.(error));
    /** What has been received of the directories of control daemons, by address. */
    const positions = new Map<string, DirectoryPosition>();
    const unknownKinds = new Set<string>();
    let followed: ContentStream | undefined;
    let isClosed = false;
    const createdAtMs = performance.now();
    const followTimer = isEntry ? setInterval(updateFollowed, followIntervalMs) : undefined;

    function setHeard(daemon: WatchedDaemon, isHeard: boolean) {
        if (daemon.isHeard !== isHeard) {
            daemon.isHeard = isHeard;
            daemon.hasBeenHeard ||= isHeard;
            daemon.heardSinceMs = performance.now();
            daemon.alive = isHeard ? daemon.alive : undefined;
            options.onHeardChanged(daemon.address, isHeard);
        }
    }

    function watchRequest(address: string, scope: WatchScope) {
        const position = scope === WatchScope.SIGNS ? undefined : positions.get(address);
        const known = position && { directoryIncarnation: position.incarnation, directoryVersion: BigInt(position.version) };
        return { daemonId, isEntry, scope, asksForHeard: isEntry, ...known };
    }

    function reportUnknownKind(kind: string, address: string) {
        if (!unknownKinds.has(kind)) {
            unknownKinds.add(kind);
            options.onUnknownKind?.(kind, address);
        }
    }

    /** Reads a stream until it ends or has been silent for `silenceTimeoutMs`. */
    async function readStream(
        connection: PeerConnection, scope: WatchScope, abort: AbortController, onFrame: (frame: Frame, log?: LogPosition) => void,
    ) {
        let heardAtMs = performance.now();
        const silenceTimer = setInterval(() => {
            if (performance.now() - heardAtMs > silenceTimeoutMs) {
                abort.abort();
            }
        }, aliveIntervalMs / 2);
        try {
            const client = createClient(SiteService, connection.transport);
            for await (const message of client.watch(watchRequest(connection.address, scope), { signal: abort.signal })) {
                heardAtMs = performance.now();
                const decoded = decodeFrame(message.frame);
                if ("unknownKind" in decoded) {
                    reportUnknownKind(decoded.unknownKind, connection.address);
                    continue;
                }
                if ("error" in decoded) {
                    options.onRefused?.("frame", { from: connection.address, error: decoded.error });
                    continue;
                }
                reportRefusedItems(decoded.refused, { from: connection.address, in: decoded.frame.kind }, options.onRefused);
                onFrame(decoded.frame, message.log && decodeLogPosition(message.log));
                const { directoryIncarnation: incarnation, directoryVersion } = message;
                if (incarnation !== "") {
                    positions.set(connection.address, { incarnation, version: Number(directoryVersion) });
                }
            }
        }
        finally {
            clearInterval(silenceTimer);
        }
    }

    async function watchDaemon(daemon: WatchedDaemon) {
        const connection = createPeerConnection(daemon.address);
        daemon.connection = connection;
        daemon.abort = new AbortController();
        try {
            await readStream(connection, isEntry ? WatchScope.SIGNS : WatchScope.UNSPECIFIED, daemon.abort, (frame, log) => {
                daemon.reopenDelayMs = minReopenDelayMs;
                options.onFrame(frame, daemon.address, log);
                setHeard(daemon, true);
                if (frame.kind === "alive") {
                    daemon.alive = frame;
                    updateFollowed();
                }
            });
        }
        finally {
            daemon.reports?.close();
            daemon.reports = undefined;
            daemon.connection = undefined;
            connection.close();
        }
    }

    async function watchRepeatedly(daemon: WatchedDaemon) {
        while (!daemon.isClosed && !isClosed) {
            // The stream is reopened whatever the reason for its end, and `changed` reports the loss, so the error is not needed.
            await watchDaemon(daemon).catch(() => undefined);
            setHeard(daemon, false);
            updateFollowed();
            const isStarting = !daemon.hasBeenHeard && performance.now() - createdAtMs < startPeriodMs;
            const delayMs = isStarting ? startReopenDelayMs : daemon.reopenDelayMs;
            await new Promise(resolve => setTimeout(resolve, delayMs * (0.5 + Math.random())));
            daemon.reopenDelayMs = isStarting ? minReopenDelayMs : Math.min(maxReopenDelayMs, daemon.reopenDelayMs * 2);
        }
    }

    function stopWatching(daemon: WatchedDaemon) {
        daemon.isClosed = true;
        daemon.abort.abort();
        daemons.delete(daemon.address);
        setHeard(daemon, false);
    }

    function listCandidates(): FollowCandidate[] {
        return [...daemons.values()].map(({ address, alive, heardSinceMs, failedAtMs }) => ({ address, alive, heardSinceMs, failedAtMs }));
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
            : { address: followed.daemon.address, siteVersion: followed.siteVersion, behindSinceMs: followed.behindSinceMs };
    }

    function updateFollowed() {
        if (!isEntry || isClosed) {
            return;
        }
        const nowMs = performance.now();
        const candidates = listCandidates();
        updateBehindSince(candidates, nowMs);
        const chosen = chooseDaemonToFollow(candidates, followedDaemon(), { dataCentre: options.dataCentre, nowMs, random: Math.random });
        if (chosen !== followed?.daemon.address) {
            follow(chosen === undefined ? undefined : daemons.get(chosen));
        }
    }

    function follow(daemon: WatchedDaemon | undefined) {
        const previous = followed;
        followed = undefined;
        previous?.abort.abort();
        options.onFollowedChanged?.(daemon?.address, previous?.daemon.address);
        if (daemon?.connection === undefined) {
            return;
        }
        const next: ContentStream = { daemon, abort: new AbortController(), siteVersion: -1, behindSinceMs: undefined };
        followed = next;
        const onFrame = (frame: Frame, log?: LogPosition) => {
            if (frame.kind === "site") {
                next.siteVersion = frame.version;
                next.behindSinceMs = undefined;
            }
            // The stream's own heartbeat. The other stream to this daemon brings the same frames.
            if (frame.kind !== "alive") {
                options.onFrame(frame, daemon.address, log);
            }
        };
        readStream(daemon.connection, WatchScope.CONTENT, next.abort, onFrame).catch(() => undefined).finally(() => {
            if (followed === next) {
                daemon.failedAtMs = performance.now();
                followed = undefined;
                updateFollowed();
            }
        });
    }

    return {
        watch(addresses) {
            for (const address of addresses) {
                if (!daemons.has(address) && !isClosed) {
                    const daemon: WatchedDaemon = {
                        address, connection: undefined, reports: undefined, heardSinceMs: 0, isHeard: false, hasBeenHeard: false,
                        isClosed: false, alive: undefined, failedAtMs: Number.NEGATIVE_INFINITY, abort: new AbortController(),
                        reopenDelayMs: minReopenDelayMs,
                    };
                    daemons.set(address, daemon);
                    void watchRepeatedly(daemon);
                }
            }
        },
        keepOnly(addresses) {
            for (const daemon of [...daemons.values()]) {
                if (!addresses.includes(daemon.address)) {
                    stopWatching(daemon);
                }
            }
        },
        report(report, { loads, crashes } = {}, onLoads) {
            const encode = (part: object | undefined) => part === undefined ? undefined : Buffer.from(JSON.stringify(part));
            const message = { daemonId, report: encode(report), loads: encode(loads), crashes: encode(crashes) };
            const applyAnswer = (answer: SharedLoadsAnswer | undefined) => {
                if (answer !== undefined) {
                    onLoads?.(answer);
                }
            };
            for (const daemon of daemons.values()) {
                if (daemon.isHeard && daemon.alive?.leads === true && daemon.connection !== undefined) {
                    daemon.reports ??= createReportSender(daemon.connection);
                    // A lost report is followed by the next one within a second.
                    daemon.reports.send(message)
                        .then(summary => applyAnswer(decodeLoads(summary.loads)))
                        .catch(() => undefined);
                }
            }
        },
        askHeard(ids) {
            const { address, connection } = followed?.daemon ?? {};
            if (address === undefined || connection === undefined) {
                return;
            }
            createClient(SiteService, connection.transport).heard({ ids: [...ids] }, { timeoutMs: aliveIntervalMs }).then(answer => {
                const { items } = decodeItems(heardUpstreamSchema, answer.heard.map(({ id, agoMs }) => ({ id, agoMs })));
                options.onFrame({ kind: "heard", heard: items }, address);
                // An older control daemon does not know the question and sends all heard times.
            }, () => undefined);
        },
        get heard() {
            return [...daemons.values()].filter(daemon => daemon.isHeard).map(daemon => daemon.address);
        },
        get followed() {
            return followed?.daemon.address;
        },
        close() {
            isClosed = true;
            clearInterval(followTimer);
            followed?.abort.abort();
            followed = undefined;
            [...daemons.values()].forEach(stopWatching);
        },
    };
}
