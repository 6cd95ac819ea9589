/**
 * What the control role of a site is created with, and what a daemon can do with it.
 *
 * @module
 */

import type { ConsensusNode, FileOperations } from "../consensus/index.js";
import type { FeedServer } from "../feed/index.js";
import type { Announcement } from "../fleet/index.js";
import type { WaitingCaller } from "../http/index.js";
import type { PeerConnections } from "../rpc/index.js";
import type { OverloadMode, SiteDialect, SiteFinding } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import type { AnnouncementOutcome } from "./announcementCheck.js";
import type { EvacuationOutcome } from "./evacuations.js";
import type { EngineClient } from "./groupLeader.js";
import type { UpstreamInquirer } from "./restoration.js";
import type { UpstreamHints } from "./upstreamHints.js";

export interface SiteControlOptions {
    readonly daemonId: string;
    readonly dataCentre: string;
    /** The address on which this daemon listens for other daemons. */
    readonly address: string;
    readonly log: ConsensusNode;
    readonly dialect: SiteDialect;
    readonly engines: EngineClient & UpstreamInquirer;
    /** The daemon's data folder, and the upstreams that its previous process has remembered there. */
    readonly memory: { readonly files: FileOperations; readonly folder: string; readonly remembered: UpstreamHints };
    readonly connections: PeerConnections;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    /** Whether the site starts for the first time, in which case loads are quick until the first requests arrive. */
    readonly isFirstStart: boolean;
    /** The interval at which upstreams announce themselves. */
    readonly heartbeatMs: number;
    /** For which services overload control acts; `auto` if absent. */
    readonly overloadMode?: OverloadMode | undefined;
}

export type PublishOutcome =
    | { readonly outcome: "accepted"; readonly version: number }
    | { readonly outcome: "refused"; readonly findings: readonly SiteFinding[] }
    | { readonly outcome: "unavailable" };

export interface Departure {
    readonly id: string;
    /** When the process that leaves was started; undefined if it doesn't state that. */
    readonly bornMs: number | undefined;
    /** Whether the call may have waited for this process for long. */
    readonly mayBeLate: boolean;
}

export interface SiteControl {
    readonly feed: FeedServer;
    publish(text: string): Promise<PublishOutcome>;
    /** Resolves to the newest published text; undefined if this daemon can't confirm that it is the newest. */
    readSite(): Promise<string | undefined>;
    /** Starts or ends an evacuation. It is not carried out if its operator has given up on it. */
    evacuate(dataCentre: string, isOut: boolean, operator: WaitingCaller): Promise<EvacuationOutcome>;
    /** Records an announcement, if it is taken. */
    recordAnnouncement(announcement: Announcement): AnnouncementOutcome;
    /** Reports an announcement that can't be read; `id` is the one that its sender states. */
    refuseAnnouncement(id: string): void;
    /** Records that an upstream leaves. Returns false if another daemon must be told. */
    recordDeparture(departure: Departure): boolean;
    start(): void;
    stop(): void;
}
