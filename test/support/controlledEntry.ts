/**
 * An entry that follows one control daemon, of which there is only the feed: tests publish its frames and read the entry's reports.
 *
 * @module
 */

import { PassThrough } from "node:stream";
import { freePorts } from "../../bench/processes.js";
import { headerNames } from "../../platform/headers.js";
import { createFeedServer, type Frame, type Report } from "../../src/feed/index.js";
import { createGateway, type Gateway } from "../../src/gateway/index.js";
import { createRpcServer } from "../../src/rpc/index.js";
import { createLogger, createSiteMetrics, type SiteMetrics } from "../../src/telemetry/index.js";
import { createSite, createUpstream } from "./gatewaySite.js";
import { waitUntil } from "./platformSite.js";

export interface ControlledEntry {
    readonly gateway: Gateway;
    readonly port: number;
    readonly metrics: SiteMetrics;
    /** The entry's reports, oldest first. */
    readonly reports: readonly Report[];
    publish(frame: Frame): void;
    /** Stops the control daemon. The entry is stopped through its gateway. */
    stopControl(): Promise<void>;
}

/** Starts a control daemon that knows the upstream `u1` at `upstreamAddress`, and an entry; resolves once the entry is ready. */
export async function startControlledEntry(upstreamAddress: string, memoryLimitMb?: number): Promise<ControlledEntry> {
    const port = (await freePorts(1))[0]!;
    const reports: Report[] = [];
    const metrics = createSiteMetrics();
    const initialFrames: Frame[] = [
        { kind: "site", version: 1, text: "" }, { kind: "upstreams", upstreams: [createUpstream(upstreamAddress, "u1")] },
        { kind: "alive", leads: true, dataCentre: "a", hasContent: true, isInTouch: true, siteVersion: 1 },
    ];
    const feed = createFeedServer({
        initialFrames: () => initialFrames, onReport: (_daemonId, report) => void reports.push(report), nowMs: () => performance.now(),
    });
    const rpc = await createRpcServer("127.0.0.1:0", feed.routes);
    const gateway = await createGateway({
        daemonId: "entry-1", dataCentre: "a", callerAddress: `127.0.0.1:${port}`, controlAddresses: [rpc.address], headerNames,
        dialect: { decodeSite: () => ({ site: createSite() }) }, retries: { ratio: 0.1, slack: 10 },
        memoryLimitMb, logger: createLogger("error", "test", new PassThrough().resume()), metrics,
    });
    await waitUntil("the entry is ready", () => gateway.isReady);
    return {
        gateway, port, reports, metrics,
        publish: frame => feed.publish(frame),
        async stopControl() {
            feed.close();
            await rpc.stop(true);
        },
    };
}
