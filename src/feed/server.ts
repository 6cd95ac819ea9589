/**
 * The control daemon's side of the feed: keeps what watchers should know and sends each of them what is new to it.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { type SiteFrame, SiteFrameSchema, SiteReportSummarySchema, SiteService, type WatchSiteRequest, WatchScope } from "../rpc/index.js";
import { type Frame, type Report, reportSchema } from "./frames.js";

/** How long an entry that is heard no more is counted, in ms: cut off, it serves on and spends its part of what entries share. */
const countEntryMs = 600_000;
/** A watcher that has not read this many frames is cut off: it comes back and is told everything afresh. */
const mostWaitingFrames = 2_000;

/** A frame and its encoded message, which is shared by all watchers because published texts may be large. */
interface EncodedFrame {
    readonly frame: Frame;
    readonly message: SiteFrame;
}

interface Watcher {
    readonly role: WatcherRole;
    push(frame: EncodedFrame): void;
    /** Ends once what waits has been sent. */
    end(): void;
    /** Ends at once. */
    cutOff(): void;
}

export type WatcherRole = "entry" | "control";

export interface FeedServer {
    readonly routes: (router: ConnectRouter) => void;
    /** Sends a frame to every watcher that receives its kind; if `role` is given, only to watchers of that role. */
    publish(frame: Frame, role?: WatcherRole): void;
    readonly watchers: number;
    /** Entries that watch or did lately. */
    readonly entries: number;
    /** Ends every watch once it has been sent what was published. */
    close(): void;
}

export interface FeedServerOptions {
    /** All that a new watcher has to be told. */
    greeting(): readonly Frame[];
    report(daemonId: string, report: Report): void;
    nowMs(): number;
}

type FrameKind = Frame["kind"];

/** What other control daemons learn from the feed; the rest they have from the log, and a site's text is large. */
const kindsForControls: readonly FrameKind[] = ["upstreams", "heard", "alive"];
/** The frame kinds of `WatchScope.CONTENT`. */
const contentKinds: readonly FrameKind[] = ["site", "upstreams", "heard"];
/** The frame kinds of `WatchScope.SIGNS`. */
const signKinds: readonly FrameKind[] = ["controls", "evacuated", "judged", "alive", "limits"];

function kindsForRequest({ isEntry, scope }: WatchSiteRequest): readonly FrameKind[] {
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

function encode(frame: Frame): EncodedFrame {
    return { frame, message: create(SiteFrameSchema, { frame: Buffer.from(JSON.stringify(frame)) }) };
}

/** Appends a frame to the queue. A published site replaces one that is still queued, since only the newest is in force. */
function enqueue(waiting: EncodedFrame[], added: EncodedFrame): void {
    const supersededIndex = added.frame.kind === "site" ? waiting.findIndex(({ frame }) => frame.kind === "site") : -1;
    if (supersededIndex >= 0) {
        waiting.splice(supersededIndex, 1);
    }
    waiting.push(added);
}

/** Creates the sending side. */
export function createFeedServer(options: FeedServerOptions): FeedServer {
    const watchers = new Set<Watcher>();
    /** Entries that have watched, and when they were last seen to. */
    const entriesSeenAtMs = new Map<string, number>();
    const watchingEntries = new Map<Watcher, string>();

    function entryCount(): number {
        watchingEntries.forEach(id => entriesSeenAtMs.set(id, options.nowMs()));
        [...entriesSeenAtMs].filter(([, atMs]) => options.nowMs() - atMs > countEntryMs).forEach(([id]) => entriesSeenAtMs.delete(id));
        return entriesSeenAtMs.size;
    }

    async function* watch(request: WatchSiteRequest, signal: AbortSignal) {
        const { daemonId, isEntry } = request;
        const kinds = kindsForRequest(request);
        const concerns = (frame: Frame) => kinds.includes(frame.kind);
        const waiting: EncodedFrame[] = options.greeting().filter(concerns).map(encode);
        let wake: (() => void) | undefined;
        let isEnding = false;
        let isCutOff = false;
        const watcher: Watcher = {
            role: isEntry ? "entry" : "control",
            push(encoded) {
                if (!concerns(encoded.frame)) {
                    return;
                }
                enqueue(waiting, encoded);
                isCutOff ||= waiting.length > mostWaitingFrames;
                wake?.();
            },
            end() {
                isEnding = true;
                wake?.();
            },
            cutOff() {
                isCutOff = true;
                wake?.();
            },
        };
        watchers.add(watcher);
        if (isEntry) {
            watchingEntries.set(watcher, daemonId);
            entriesSeenAtMs.set(daemonId, options.nowMs());
        }
        const onAbort = () => watcher.cutOff();
        signal.addEventListener("abort", onAbort);
        try {
            while (!isCutOff) {
                const next = waiting.shift();
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

    return {
        routes: router => router.service(SiteService, {
            watch: (request, context) => watch(request, context.signal),
            async report(request) {
                options.report(request.daemonId, reportSchema.parse(JSON.parse(Buffer.from(request.report).toString("utf8"))));
                return create(SiteReportSummarySchema, {});
            },
        }),
        publish(frame, role) {
            const encoded = encode(frame);
            for (const watcher of watchers) {
                if (role === undefined || watcher.role === role) {
                    watcher.push(encoded);
                }
            }
        },
        get watchers() {
            return watchers.size;
        },
        get entries() {
            return entryCount();
        },
        close() {
            watchers.forEach(watcher => watcher.end());
        },
    };
}
