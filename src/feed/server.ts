/**
 * The control daemon's side of the feed: keeps what watchers should know and sends each of them what is new to it.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { SiteFrameSchema, SiteReportSummarySchema, SiteService, type WatchSiteRequest } from "../rpc/index.js";
import { type Frame, type Report, reportSchema } from "./frames.js";

/** How long an entry that is heard no more is counted, in ms: cut off, it serves on and spends its part of what entries share. */
const countEntryMs = 600_000;
/** A watcher that has not read this many frames is cut off: it comes back and is told everything afresh. */
const mostWaitingFrames = 2_000;

interface Watcher {
    push(frame: Frame): void;
    /** Ends once what waits has been sent. */
    end(): void;
    /** Ends at once. */
    cutOff(): void;
}

export interface FeedServer {
    readonly routes: (router: ConnectRouter) => void;
    /** Sends a frame to every watcher. */
    publish(frame: Frame): void;
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

/** What other control daemons learn from the feed; the rest they have from the log, and a site's text is large. */
const kindsForControls: readonly Frame["kind"][] = ["upstreams", "alive"];

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

    async function* watch({ daemonId, isEntry }: WatchSiteRequest, signal: AbortSignal) {
        const concerns = (frame: Frame) => isEntry || kindsForControls.includes(frame.kind);
        const waiting: Frame[] = options.greeting().filter(concerns);
        let wake: (() => void) | undefined;
        let isEnding = false;
        let isCutOff = false;
        const watcher: Watcher = {
            push(frame) {
                if (!concerns(frame)) {
                    return;
                }
                waiting.push(frame);
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
                const frame = waiting.shift();
                if (frame !== undefined) {
                    yield create(SiteFrameSchema, { frame: Buffer.from(JSON.stringify(frame)) });
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
        publish(frame) {
            watchers.forEach(watcher => watcher.push(frame));
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
