/**
 * After a restart, asks the remembered upstreams about themselves instead of waiting for their heartbeats.
 *
 * @module
 */

import type { Announcement, UpstreamSignals } from "../fleet/index.js";
import type { SiteService } from "../site/index.js";
import type { Logger } from "../telemetry/index.js";
import { decideRestoration, reasonNotToAsk, type RestorationContext, type UpstreamInquirer } from "./restoration.js";
import type { UpstreamHint, UpstreamHints } from "./upstreamHints.js";

export interface RestorerOptions {
    readonly remembered: UpstreamHints;
    readonly dataCentre: string;
    readonly inquirer: UpstreamInquirer;
    readonly logger: Logger;
    service(name: string): SiteService | undefined;
    evacuated(): readonly string[];
    /** Whether an upstream has become known in another way. */
    isKnown(id: string): boolean;
    hasPushedBack(id: string): boolean;
    onSignals(hint: UpstreamHint, signals: UpstreamSignals): void;
    /** Called with the announcement that an answer stands for, and when the upstream was asked. */
    onRestored(announcement: Announcement, askedAtMs: number): void;
    nowMs(): number;
    nowUnixMs(): number;
}

export interface Restorer {
    start(): void;
    stop(): void;
}

/** An inquiry is counted as a probe and takes a connection. */
const maxConcurrentInquiries = 32;
/**
 * Upstreams of other data centres are asked after this time if no other control daemon has relayed them by then: daemons that restart
 * together listen to each other within some 200 ms.
 */
const remoteDelayMs = 300;

/** Creates a restorer that asks nothing before `start`. */
export function createRestorer(options: RestorerOptions): Restorer {
    const { remembered, inquirer, logger } = options;
    const waiting: UpstreamHint[] = [];
    const counts: Record<string, number> = {};
    let inFlight = 0;
    let restored = 0;
    let startedAtMs = 0;
    let hasAddedRemote = false;
    let isStopped = false;
    let remoteTimer: NodeJS.Timeout | undefined;

    function contextOf(hint: UpstreamHint): RestorationContext {
        return {
            service: options.service(hint.service), evacuatedDataCentres: [...options.evacuated(), ...remembered.evacuated],
            nowUnixMs: options.nowUnixMs(),
        };
    }

    function skip(hint: UpstreamHint, reason: string) {
        counts[reason] = (counts[reason] ?? 0) + 1;
        logger.debug("remembered upstream not used", { upstream: hint.id, address: hint.address, reason });
    }

    async function ask(hint: UpstreamHint) {
        const askedAtMs = options.nowMs();
        const { service } = contextOf(hint);
        const answer = await inquirer.inquire(hint, service?.engine === undefined ? service?.healthPath : undefined);
        if (isStopped) {
            return;
        }
        if (answer.signals !== undefined) {
            options.onSignals(hint, answer.signals);
        }
        const decision = decideRestoration(hint, answer, contextOf(hint));
        if ("reason" in decision) {
            skip(hint, decision.reason);
            return;
        }
        restored++;
        options.onRestored(decision.announcement, askedAtMs);
    }

    function askNext() {
        while (!isStopped && inFlight < maxConcurrentInquiries && waiting.length > 0) {
            const hint = waiting.shift()!;
            const reason = options.isKnown(hint.id) ? "known" : options.hasPushedBack(hint.id) ? "pushed back" : reasonNotToAsk(hint, contextOf(hint));
            if (reason !== undefined) {
                skip(hint, reason);
                continue;
            }
            inFlight++;
            ask(hint).catch((error: Error) => skip(hint, error.message)).finally(() => {
                inFlight--;
                askNext();
            });
        }
        if (!isStopped && hasAddedRemote && inFlight === 0) {
            isStopped = true;
            logger.info("remembered upstreams asked", {
                remembered: remembered.upstreams.length, restored, notUsed: counts, tookMs: Math.round(options.nowMs() - startedAtMs),
            });
        }
    }

    function add(isLocal: boolean) {
        waiting.push(...remembered.upstreams.filter(hint => (hint.dataCentre === options.dataCentre) === isLocal));
        askNext();
    }

    return {
        start() {
            if (remembered.upstreams.length === 0) {
                return;
            }
            startedAtMs = options.nowMs();
            add(true);
            remoteTimer = setTimeout(() => {
                hasAddedRemote = true;
                add(false);
            }, remoteDelayMs);
        },
        stop() {
            isStopped = true;
            clearTimeout(remoteTimer);
        },
    };
}
