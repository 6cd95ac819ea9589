/**
 * The control daemon's side of the feed: keeps what watchers should know and sends each of them what is new to it.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { SiteFrameSchema, SiteReportSummarySchema, SiteService } from "../rpc/index.js";
import { type Frame, type Report, reportSchema } from "./frames.js";

/** A watcher that has not read this many frames is cut off: it comes back and is told everything afresh. */
const mostWaitingFrames = 2_000;

interface Watcher {
    push(frame: Frame): void;
    end(): void;
}

export interface FeedServer {
    readonly routes: (router: ConnectRouter) => void;
    /** Sends a frame to every watcher. */
    publish(frame: Frame): void;
    readonly watchers: number;
    close(): void;
}

export interface FeedServerOptions {
    /** All that a new watcher has to be told. */
    greeting(): readonly Frame[];
    report(daemonId: string, report: Report): void;
}

/** Creates the sending side. */
export function createFeedServer(options: FeedServerOptions): FeedServer {
    const watchers = new Set<Watcher>();

    async function* watch(signal: AbortSignal) {
        const waiting: Frame[] = [...options.greeting()];
        let wake: (() => void) | undefined;
        let isEnded = false;
        const watcher: Watcher = {
            push(frame) {
                waiting.push(frame);
                isEnded ||= waiting.length > mostWaitingFrames;
                wake?.();
            },
            end() {
                isEnded = true;
                wake?.();
            },
        };
        watchers.add(watcher);
        const onAbort = () => watcher.end();
        signal.addEventListener("abort", onAbort);
        try {
            while (!isEnded) {
                const frame = waiting.shift();
                if (frame !== undefined) {
                    yield create(SiteFrameSchema, { frame: Buffer.from(JSON.stringify(frame)) });
                    continue;
                }
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
            watchers.delete(watcher);
        }
    }

    return {
        routes: router => router.service(SiteService, {
            watch: (_request, context) => watch(context.signal),
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
        close() {
            watchers.forEach(watcher => watcher.end());
        },
    };
}
