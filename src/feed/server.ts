/**
 * The control daemon's side of the feed: sends the current state to each new watcher and published frames to all watchers.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import {
    HeardAnswerSchema, type SiteFrame, SiteFrameSchema, type SiteReport, type SiteReportSummary, SiteReportSummarySchema, SiteService,
    type WatchSiteRequest, WatchScope,
} from "../rpc/index.js";
import { createAsyncQueue } from "../runtime/index.js";
import { type CrashReport, crashReportSchema } from "./crashReports.js";
import { decodeReport, type Frame, type Report } from "./frames.js";
import { createLenientDecoder, type RefusalHandler, reportRefusedItems } from "./lenientDecoder.js";
import { encodeLogPosition, type LogPosition } from "./logPosition.js";
import { type EntryLoads, entryLoadsSchema } from "./loads.js";

/** How long an entry is still counted after it was last seen. An entry that is cut off keeps serving and using its share of limits. */
const entryRetentionMs = 600_000;
/** A watcher with more queued frames than this is disconnected. It reconnects and receives the whole state again. */
const maxQueuedFrames = 2_000;

/** A state of a control daemon's directory: a count of its changes, which starts anew with each incarnation of the daemon. */
export interface DirectoryPosition {
    readonly incarnation: string;
    readonly version: number;
}

/** A frame, and the position up to which a watcher has the directory's changes with it. */
export interface PositionedFrame {
    readonly frame: Frame;
    readonly position: DirectoryPosition;
}

/** A frame and its encoded message, which is shared by all watchers because published texts may be large. */
interface EncodedFrame {
    readonly frame: Frame;
    readonly message: SiteFrame;
}

interface Watcher {
    readonly role: WatcherRole;
    readonly kinds: readonly FrameKind[];
    push(frame: EncodedFrame): void;
    /** Ends the stream after the queued frames have been sent. */
    end(): void;
    /** Ends the stream at once. */
    abort(): void;
}

export type FrameKind = Frame["kind"];

export type WatcherRole = "entry" | "control";

export interface FeedServer {
    readonly routes: (router: ConnectRouter) => void;
    /**
     * Sends a frame to every watcher that receives its kind; if `role` is given, only to watchers of that role. `position` is what they
     * have reached with it.
     */
    publish(frame: Frame, role?: WatcherRole, position?: DirectoryPosition): void;
    readonly watcherCount: number;
    /** Number of entries that are watching or were recently. */
    readonly entryCount: number;
    /** Ends every stream after the frames published before have been sent. */
    close(): void;
}

export interface FeedServerOptions {
    /**
     * Returns the frames that bring a new watcher up to date, if it receives `kinds`; others are left out. They are read one by one as the
     * watcher takes them, so many watchers that come back at once hold little memory. `known` is the position that the watcher has.
     */
    initialFrames(kinds: readonly FrameKind[], known?: DirectoryPosition): Iterable<Frame | PositionedFrame>;
    /** The state of the replicated log that frames of `logKinds` show; undefined if this daemon keeps none. */
    logPosition?(): LogPosition | undefined;
    /** How long ago an upstream was heard; undefined if it is unknown or gone. */
    heardAgoMs?(id: string): number | undefined;
    onReport(daemonId: string, report: Report): void;
    /** Records what a report states about crashes. */
    onCrashes?(daemonId: string, crashes: CrashReport): void;
    /** Records the loads of a report. Returns the encoded answer; undefined if this daemon does not answer about loads. */
    onLoads?(daemonId: string, loads: EntryLoads): Uint8Array | undefined;
    /** Called once for each of loads and crashes, with the first that can't be read. The rest of their report counts. */
    onUnreadablePart?(error: string): void;
    /** Called for each report with items that can't be read. Its other items count. */
    onRefused?: RefusalHandler;
    nowMs(): number;
}

/** The frame kinds for other control daemons. They receive the rest through the replicated log, and a site's text is large. */
const kindsForControls: readonly FrameKind[] = ["upstreams", "heard", "alive"];
/** The frame kinds of `WatchScope.CONTENT`. */
const contentKinds: readonly FrameKind[] = ["site", "upstreams", "heard"];
/** The frame kinds of `WatchScope.SIGNS`. */
const signKinds: readonly FrameKind[] = ["controls", "evacuated", "judged", "alive", "limits", "pushbacks", "crash-causes"];

/** The kinds of frames that are sent with the position of the log that they show. */
const logKinds: ReadonlySet<FrameKind> = new Set<FrameKind>(["evacuated", "crash-causes", "alive"]);

function kindsForScope({ isEntry, scope }: WatchSiteRequest): readonly FrameKind[] {
    if (!isEntry) {
        return kindsForControls;
    }
    switch (scope) {
        case WatchScope.SIGNS:
            return signKinds;
        case WatchScope.CONTENT:
            return contentKinds;
        default:
            return [...signKinds, ...contentKinds];
    }
}

/** A watcher that asks for heard times gets `alive` frames instead: its stream counts as dead after 1.5 s without a frame. */
function kindsForRequest(request: WatchSiteRequest): readonly FrameKind[] {
    const kinds = kindsForScope(request);
    return request.asksForHeard ? [...new Set<FrameKind>([...kinds.filter(kind => kind !== "heard"), "alive"])] : kinds;
}

function knownPosition({ directoryIncarnation, directoryVersion }: WatchSiteRequest): DirectoryPosition | undefined {
    return directoryIncarnation === "" ? undefined : { incarnation: directoryIncarnation, version: Number(directoryVersion) };
}

/** Encoded frames by frame: the same frame with a large text may be sent to many watchers. */
const encodedFrames = new WeakMap<Frame, EncodedFrame>();

function encode(frame: Frame, position: DirectoryPosition | undefined, log: LogPosition | undefined): EncodedFrame {
    const known = encodedFrames.get(frame);
    if (known !== undefined) {
        return known;
    }
    const reached = position && { directoryIncarnation: position.incarnation, directoryVersion: BigInt(position.version) };
    const shown = log !== undefined && logKinds.has(frame.kind) ? { log: encodeLogPosition(log) } : {};
    const encoded = { frame, message: create(SiteFrameSchema, { frame: Buffer.from(JSON.stringify(frame)), ...reached, ...shown }) };
    encodedFrames.set(frame, encoded);
    return encoded;
}

/** Appends a frame to the queue. A published site replaces one that is still queued, since only the newest is in force. */
function enqueue(queue: EncodedFrame[], added: EncodedFrame): void {
    const supersededIndex = added.frame.kind === "site" ? queue.findIndex(({ frame }) => frame.kind === "site") : -1;
    if (supersededIndex >= 0) {
        queue.splice(supersededIndex, 1);
    }
    queue.push(added);
}

/** Creates a server without watchers. */
export function createFeedServer(options: FeedServerOptions): FeedServer {
    const watchers = new Set<Watcher>();
    /** Entries that are watching or have watched, with the time at which they were last seen. */
    const entriesSeenAtMs = new Map<string, number>();
    const watchingEntries = new Map<Watcher, string>();
    const decodeLoads = createLenientDecoder(entryLoadsSchema, error => options.onUnreadablePart?.(error));
    const decodeCrashes = createLenientDecoder(crashReportSchema, error => options.onUnreadablePart?.(error));
    /** Functions that end the open streams of reports. */
    const reportStreamEnds = new Set<() => void>();

    function entryCount(): number {
        watchingEntries.forEach(id => entriesSeenAtMs.set(id, options.nowMs()));
        [...entriesSeenAtMs].filter(([, atMs]) => options.nowMs() - atMs > entryRetentionMs).forEach(([id]) => entriesSeenAtMs.delete(id));
        return entriesSeenAtMs.size;
    }

    async function* watch(request: WatchSiteRequest, signal: AbortSignal) {
        const { daemonId, isEntry } = request;
        const kinds = kindsForRequest(request);
        /** Frames published since the stream began. They follow the initial frames, which already show some of their changes. */
        const queue: EncodedFrame[] = [];
        const initialFrames = options.initialFrames(kinds, knownPosition(request))[Symbol.iterator]();
        const nextInitialFrame = (): EncodedFrame | undefined => {
            for (let item = initialFrames.next(); item.done !== true; item = initialFrames.next()) {
                const { frame, position } = "frame" in item.value ? item.value : { frame: item.value, position: undefined };
                if (kinds.includes(frame.kind)) {
                    return encode(frame, position, options.logPosition?.());
                }
            }
            return undefined;
        };
        let wake: (() => void) | undefined;
        let isEnding = false;
        let isAborted = false;
        const watcher: Watcher = {
            role: isEntry ? "entry" : "control",
            kinds,
            push(encoded) {
                enqueue(queue, encoded);
                if (queue.length > maxQueuedFrames) {
                    watcher.abort();
                }
                wake?.();
            },
            end() {
                isEnding = true;
                wake?.();
            },
            abort() {
                isAborted = true;
                // The stream may never resume: it waits for a watcher that takes no more.
                queue.length = 0;
                watchers.delete(watcher);
                watchingEntries.delete(watcher);
                wake?.();
            },
        };
        watchers.add(watcher);
        if (isEntry) {
            watchingEntries.set(watcher, daemonId);
            entriesSeenAtMs.set(daemonId, options.nowMs());
        }
        const onAbort = () => watcher.abort();
        signal.addEventListener("abort", onAbort);
        try {
            while (!isAborted) {
                const next = nextInitialFrame() ?? queue.shift();
                if (next !== undefined) {
                    yield next.message;
                    continue;
                }
                if (isEnding) {
                    return;
                }
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
            watchers.delete(watcher);
            watchingEntries.delete(watcher);
        }
    }

    function report(request: SiteReport): SiteReportSummary {
        const decoded = decodeReport(request.report);
        reportRefusedItems(decoded.refused, { from: request.daemonId, in: "report" }, options.onRefused);
        options.onReport(request.daemonId, decoded.report);
        const crashes = decodeCrashes(request.crashes);
        if (crashes !== undefined) {
            options.onCrashes?.(request.daemonId, crashes);
        }
        const loads = decodeLoads(request.loads);
        return create(SiteReportSummarySchema, { loads: loads && options.onLoads?.(request.daemonId, loads) });
    }

    /** Answers the reports of a stream, which ends with its sender or when the feed is closed: an open stream would delay a shutdown. */
    async function* reports(requests: AsyncIterable<SiteReport>) {
        const answers = createAsyncQueue<SiteReportSummary>();
        let failure: unknown;
        const answerAll = async () => {
            for await (const request of requests) {
                answers.push(report(request));
            }
        };
        const end = () => answers.end();
        reportStreamEnds.add(end);
        answerAll().catch((error: unknown) => failure = error).finally(end);
        try {
            yield* answers;
        }
        finally {
            reportStreamEnds.delete(end);
        }
        if (failure !== undefined) {
            throw failure;
        }
    }

    return {
        routes: router => router.service(SiteService, {
            watch: (request, context) => watch(request, context.signal),
            report,
            reports,
            heard: ({ ids }) => create(HeardAnswerSchema, {
                heard: ids.flatMap(id => {
                    const agoMs = options.heardAgoMs?.(id);
                    return agoMs === undefined ? [] : [{ id, agoMs }];
                }),
            }),
        }),
        publish(frame, role, position) {
            for (const watcher of watchers) {
                if ((role === undefined || watcher.role === role) && watcher.kinds.includes(frame.kind)) {
                    watcher.push(encode(frame, position, options.logPosition?.()));
                }
            }
        },
        get watcherCount() {
            return watchers.size;
        },
        get entryCount() {
            return entryCount();
        },
        close() {
            watchers.forEach(watcher => watcher.end());
            reportStreamEnds.forEach(end => end());
        },
    };
}
