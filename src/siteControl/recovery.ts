/**
 * Lets a control daemon that restarts serve before the heartbeats of its upstreams have come: remembers them and asks them after a restart.
 *
 * @module
 */

import type { FileOperations } from "../consensus/index.js";
import type { Announcement, Directory, Pushbacks, Upstream, UpstreamSignals } from "../fleet/index.js";
import type { SiteTable } from "../site/index.js";
import type { Logger } from "../telemetry/index.js";
import type { UpstreamInquirer } from "./restoration.js";
import { createRestorer } from "./restorer.js";
import { createHintWriter, type UpstreamHints } from "./upstreamHints.js";

export interface RecoveryOptions {
    readonly files: FileOperations;
    /** The daemon's data folder. */
    readonly folder: string;
    /** What the previous process has remembered; nothing on a first start. */
    readonly remembered: UpstreamHints;
    readonly dataCentre: string;
    readonly inquirer: UpstreamInquirer;
    readonly directory: Directory;
    readonly pushbacks: Pushbacks;
    readonly logger: Logger;
    table(): SiteTable | undefined;
    /** The evacuated data centres by the replicated log. */
    evacuated(): readonly string[];
    /** Whether the replicated log is up to date as far as this daemon knows. */
    isInTouch(): boolean;
    onSignals(incarnation: Pick<Upstream, "id" | "bornMs">, signals: UpstreamSignals): void;
    onRestored(announcement: Announcement, askedAtMs: number): void;
    nowMs(): number;
}

export interface Recovery {
    upstreamsChanged(changed: readonly Upstream[]): void;
    evacuationChanged(): void;
    /** Asks the remembered upstreams. */
    start(): void;
    stop(): void;
}

/** How long after the start an upstream that has not become known is still remembered. */
const carryMs = 60_000;

/** Creates the recovery. It asks nothing before `start`. */
export function createRecovery(options: RecoveryOptions): Recovery {
    const { remembered, directory, nowMs } = options;
    const createdAtMs = nowMs();
    const nowUnixMs = () => Date.now();

    const writer = createHintWriter({
        files: options.files, folder: options.folder, logger: options.logger, upstreams: directory.upstreams, nowMs, nowUnixMs,
        evacuated: () => options.isInTouch() ? options.evacuated() : [...new Set([...options.evacuated(), ...remembered.evacuated])],
        carriedHints: () => nowMs() - createdAtMs > carryMs ? [] : remembered.upstreams.filter(({ id }) => !directory.upstreams.has(id)),
    });
    const restorer = createRestorer({
        remembered, dataCentre: options.dataCentre, inquirer: options.inquirer, logger: options.logger,
        service: name => options.table()?.service(name),
        evacuated: options.evacuated,
        isKnown: id => directory.upstreams.has(id),
        hasPushedBack: id => options.pushbacks.leftMs(id) > 0,
        onSignals: options.onSignals,
        onRestored: options.onRestored,
        nowMs, nowUnixMs,
    });
    return {
        upstreamsChanged: writer.upstreamsChanged,
        evacuationChanged: writer.evacuationChanged,
        start: restorer.start,
        stop() {
            restorer.stop();
            writer.stop();
        },
    };
}
