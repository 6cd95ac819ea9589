/**
 * An entry that follows one control daemon, of which there is only the feed: tests publish its frames and read the entry's reports.
 *
 * @module
 */

import { PassThrough } from "node:stream";
import { freePorts } from "../../bench/processes.js";
import { headerNames } from "../../platform/headers.js";
import { type CrashReport, createFeedServer, type EntryLoads, type Frame, type Report } from "../../src/feed/index.js";
import { createGateway, type Gateway } from "../../src/gateway/index.js";
import { createRpcServer } from "../../src/rpc/index.js";
import type { OverloadMode } from "../../src/site/index.js";
import { createLoadTable } from "../../src/siteControl/loadTable.js";
import { createLogger, createSiteMetrics, type SiteMetrics } from "../../src/telemetry/index.js";
import { createSite, createUpstream } from "./gatewaySite.js";
import { waitUntil } from "./platformSite.js";

export interface ControlledEntry {
    readonly gateway: Gateway;
    readonly port: number;
    /** The entry's reports, oldest first. */
    readonly reports: readonly Report[];
    /** The loads in its reports, oldest first. The control daemon answers them by its own table. */
    readonly loads: readonly EntryLoads[];
    /** What its reports say about crashes, oldest first. */
    readonly crashes: readonly CrashReport[];
    readonly metrics: SiteMetrics;
    publish(frame: Frame): void;
    /** Stops the control daemon. The entry is stopped through its gateway. */
    stopControl(): Promise<void>;
}

/** What differs from an entry and a control daemon of default settings. */
export interface ControlledEntryOptions {
    readonly overloadMode?: OverloadMode;
    /** The control daemon's answer to the question when an upstream was heard; by default, it has heard none. */
    readonly heardAgoMs?: (id: string) => number | undefined;
    /** Whether the control daemon has neither a site nor upstreams yet, so that the entry is only listening. */
    readonly isStarting?: boolean;
    /** The memory that the entry's process may use; unbounded by default. */
    readonly memoryLimitMb?: number;
}

/** Starts a control daemon that knows the upstream `u1` at `upstreamAddress`, and an entry; resolves once the entry is ready. */
export async function startControlledEntry(
    upstreamAddress: string,
    { overloadMode = "auto", heardAgoMs = () => undefined, isStarting = false, memoryLimitMb }: ControlledEntryOptions = {},
): Promise<ControlledEntry> {
    const port = (await freePorts(1))[0]!;
    const reports: Report[] = [];
    const loads: EntryLoads[] = [];
    const crashes: CrashReport[] = [];
    const nowMs = () => performance.now();
    const loadTable = createLoadTable({ daemonId: "control-1", leads: () => true, nowMs });
    const metrics = createSiteMetrics();
    const aliveFrame: Frame = { kind: "alive", leads: true, dataCentre: "a", hasContent: true, isInTouch: true, siteVersion: 1 };
    const initialFrames: Frame[] = isStarting
        ? [aliveFrame]
        : [
                { kind: "site", version: 1, text: "" }, { kind: "upstreams", upstreams: [createUpstream(upstreamAddress, "u1")] }, aliveFrame,
            ];
    const feed = createFeedServer({
        initialFrames: () => initialFrames, heardAgoMs, onReport: (_daemonId, report) => void reports.push(report), nowMs,
        onCrashes: (_daemonId, crash) => void crashes.push(crash),
        onLoads(daemonId, received) {
            loads.push(received);
            return loadTable.report(daemonId, received);
        },
    });
    const rpc = await createRpcServer("127.0.0.1:0", feed.routes);
    const gateway = await createGateway({
        heartbeatMs: 1_200,
        daemonId: "entry-1", dataCentre: "a", callerAddress: `127.0.0.1:${port}`, controlAddresses: [rpc.address], headerNames,
        dialect: { decodeSite: () => ({ site: createSite() }) }, retries: { ratio: 0.1, slack: 10 }, overloadMode,
        memoryLimitMb, logger: createLogger("error", "test", new PassThrough().resume()), metrics,
    });
    await waitUntil("the entry is ready", () => isStarting || gateway.isReady);
    return {
        gateway, port, reports, loads, crashes, metrics,
        publish: frame => feed.publish(frame),
        async stopControl() {
            feed.close();
            await rpc.stop(true);
        },
    };
}
