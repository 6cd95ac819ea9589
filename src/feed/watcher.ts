/**
 * The watching side of the feed: one stream to each control daemon that is known, opened again after each end.
 *
 * A stream over which nothing has come for `silenceMs` is dropped and another connection tried: a connection that something between the
 * two ends has lost track of stays silent for good, and the watcher would go on by an old site without knowing.
 *
 * @module
 */

import { createClient } from "@connectrpc/connect";
import { createPeerConnection, type PeerConnection, SiteService } from "../rpc/index.js";
import { type Frame, frameSchema, type Report } from "./frames.js";

/** Control daemons send a sign of life each `aliveMs`; three may be late before the stream counts as dead. */
export const aliveMs = 500;
const silenceMs = 3 * aliveMs;
/** Wait before a stream is opened again, in ms: short, since readiness after a restart waits for it. */
const reopenMinMs = 150;
const reopenMaxMs = 1_000;

export interface FeedWatcher {
    /** Addresses to watch besides those that the frames name. */
    watch(addresses: readonly string[]): void;
    /** Stops watching those that are not in `addresses`. */
    keepOnly(addresses: readonly string[]): void;
    /** Sends a report to the control daemons that say they lead; lost ones are not repeated. */
    report(report: Report): void;
    /** Addresses over which something has come lately. */
    readonly heard: readonly string[];
    close(): void;
}

export interface FeedWatcherOptions {
    readonly daemonId: string;
    readonly isEntry: boolean;
    take(frame: Frame, address: string): void;
    changed(address: string, isHeard: boolean): void;
}

interface Line {
    connection: PeerConnection | undefined;
    heardAtMs: number;
    isHeard: boolean;
    isClosed: boolean;
    leads: boolean;
    abort: AbortController;
    waitMs: number;
}

/** Creates the watching side. */
export function createFeedWatcher(options: FeedWatcherOptions): FeedWatcher {
    const lines = new Map<string, Line>();
    let isClosed = false;

    function setHeard(address: string, line: Line, isHeard: boolean) {
        if (line.isHeard !== isHeard) {
            line.isHeard = isHeard;
            options.changed(address, isHeard);
        }
    }

    async function read(address: string, line: Line) {
        const connection = createPeerConnection(address);
        line.connection = connection;
        line.abort = new AbortController();
        line.heardAtMs = performance.now();
        const guard = setInterval(() => {
            if (performance.now() - line.heardAtMs > silenceMs) {
                line.abort.abort();
            }
        }, aliveMs / 2);
        try {
            const client = createClient(SiteService, connection.transport);
            const { daemonId, isEntry } = options;
            for await (const message of client.watch({ daemonId, isEntry }, { signal: line.abort.signal })) {
                line.heardAtMs = performance.now();
                line.waitMs = reopenMinMs;
                const frame = frameSchema.parse(JSON.parse(Buffer.from(message.frame).toString("utf8")));
                line.leads = frame.kind === "alive" ? frame.leads : line.leads;
                options.take(frame, address);
                setHeard(address, line, true);
            }
        }
        finally {
            clearInterval(guard);
            line.connection = undefined;
            connection.close();
        }
    }

    async function run(address: string, line: Line) {
        while (!line.isClosed && !isClosed) {
            // The reason of an end does not change what is done about it; `changed` tells that the daemon is heard no more.
            await read(address, line).catch(() => undefined);
            setHeard(address, line, false);
            await new Promise(resolve => setTimeout(resolve, line.waitMs * (0.5 + Math.random())));
            line.waitMs = Math.min(reopenMaxMs, line.waitMs * 2);
        }
    }

    function stop(address: string, line: Line) {
        line.isClosed = true;
        line.abort.abort();
        lines.delete(address);
        setHeard(address, line, false);
    }

    return {
        watch(addresses) {
            for (const address of addresses) {
                if (!lines.has(address) && !isClosed) {
                    const line: Line = {
                        connection: undefined, heardAtMs: 0, isHeard: false, isClosed: false, leads: false, abort: new AbortController(),
                        waitMs: reopenMinMs,
                    };
                    lines.set(address, line);
                    void run(address, line);
                }
            }
        },
        keepOnly(addresses) {
            for (const [address, line] of lines) {
                if (!addresses.includes(address)) {
                    stop(address, line);
                }
            }
        },
        report(report) {
            const bytes = Buffer.from(JSON.stringify(report));
            for (const line of lines.values()) {
                if (line.isHeard && line.leads && line.connection !== undefined) {
                    const client = createClient(SiteService, line.connection.transport);
                    // A report that is lost is followed by the next one within a second.
                    client.report({ daemonId: options.daemonId, report: bytes }, { timeoutMs: 1_000 }).catch(() => undefined);
                }
            }
        },
        get heard() {
            return [...lines].filter(([, line]) => line.isHeard).map(([address]) => address);
        },
        close() {
            isClosed = true;
            lines.forEach((line, address) => stop(address, line));
        },
    };
}
