/**
 * The control role: replicates published sites, tracks upstreams, informs entries and, as leader, carries out the decisions of `groups`.
 *
 * @module
 */

import {
    aliveIntervalMs, createFeedServer, createFeedWatcher, type DirectoryPosition, type FeedServer, type FeedWatcher, type Frame,
    type FrameKind, type LogPosition, type PositionedFrame, type Report, type WatcherRole,
} from "../feed/index.js";
import {
    type Announcement, createDirectory, createPushbacks, type Incarnation, type RelayedUpstream, type Upstream, type UpstreamSignals,
} from "../fleet/index.js";
import { splitAddress } from "../rpc/index.js";
import { createContainment } from "../runtime/index.js";
import { checkLengths, type DecodedSite } from "../site/index.js";
import { createExceptionLog, createRefusedInputs } from "../telemetry/index.js";
import { createAddressClaims } from "./addressClaims.js";
import { createAnnouncementCheck } from "./announcementCheck.js";
import { barredFingerprints, recordCrashes } from "./crashRecords.js";
import { createCrashCauses } from "./crashCauses.js";
import { createCrashCollector } from "./crashCollector.js";
import { createCurrentTable } from "./currentTable.js";
import { createGroupLeader } from "./groupLeader.js";
import { createLimitDistributor } from "./limitDistributor.js";
import { createDirectoryFeed } from "./directoryFeed.js";
import { createEvacuations } from "./evacuations.js";
import { createLoadTable } from "./loadTable.js";
import { createSiteFrames } from "./initialFrames.js";
import { registerControlMetrics } from "./metrics.js";
import { createPacedTask } from "./pacedTask.js";
import { createPlanPacer } from "./planPacer.js";
import { createProposer, operatorTimeoutMs } from "./proposals.js";
import { createRecovery } from "./recovery.js";
import type { SiteControl, SiteControlOptions } from "./siteControlTypes.js";
import { createVerdicts } from "./verdicts.js";

/** How often groups are planned if nothing changes. Lost orders are repeated by these steps. */
const planIntervalMs = 150;
/** How often `heard` frames are sent to other control daemons: short compared with the heartbeat interval of upstreams. */
const heardIntervalMs = 200;
/** Delay from a change to the next planning step, which covers all changes in between. Each phase of a repair waits for it. */
const planDelayMs = 10;
/** Least interval between divisions of limits that are published because limits have changed: each goes to every entry. */
const limitsIntervalMs = 20;
const cleanupIntervalMs = 10_000;

/** Creates the role. It plans and publishes nothing before `start` is called. */
export function createSiteControl(options: SiteControlOptions): SiteControl {
    const { log, logger, dialect } = options;
    const nowMs = () => performance.now();
    const exceptions = createExceptionLog({ logger, count: options.metrics.recordException, nowMs });
    const contained = createContainment(error => exceptions.record("task", error));
    const refusedInputs = createRefusedInputs({ logger, countInputs: options.metrics.recordRefusedInputs, nowMs });
    const propose = createProposer({ ...options, nowMs });
    const evacuate = createEvacuations({ log, logger, nowMs, propose });
    const directory = createDirectory();
    const siteFrames = createSiteFrames();
    const currentTable = createCurrentTable(log, dialect, logger);
    let lastPublished: { version: number; evacuated: string; controls: string } = { version: -1, evacuated: "", controls: "" };
    let timers: NodeJS.Timeout[] = [];
    let nextCleanupAtMs = 0;
    const directoryFeed = createDirectoryFeed({
        directory, nowMs,
        publish: contained((frame: Frame, role?: WatcherRole, position?: DirectoryPosition) => feed.publish(frame, role, position)),
    });

    let planTimer: NodeJS.Timeout | undefined;
    const planPacer = createPlanPacer(nowMs);
    const limitDistributor = createLimitDistributor(nowMs);
    const loadTable = createLoadTable({ daemonId: options.daemonId, leads: isLeader, nowMs });
    const limitsPublication = createPacedTask(contained(publishLimits), limitsIntervalMs, nowMs);
    let isEmptyDivisionPublished = false;
    const vm = splitAddress(options.address).host;
    const pushbacks = createPushbacks(nowMs, (upstream, forMs) => logger.info("upstream wants no requests", { upstream, forMs }));
    const groupLeader = createGroupLeader({
        ...options, nowMs, directory: () => directory.upstreams, pushbacks, requestPlanning,
        recordSignals: contained(recordSignals),
    });

    const crashCollector = createCrashCollector(log, logger);
    const crashCauses = createCrashCauses(log);

    const recovery = createRecovery({
        ...options, ...options.memory, nowMs, directory, pushbacks, inquirer: options.engines, isInTouch, table: currentTable,
        evacuated: () => log.state.published.evacuated, onSignals: contained(recordSignals), onRestored: contained(acceptAnnouncement),
    });

    function requestPlanning() {
        planTimer ??= setTimeout(contained(() => {
            planTimer = undefined;
            planPacer.runIfDue(plan);
        }), Math.max(planDelayMs, Math.ceil(planPacer.waitMs) + 1));
    }

    /** Publishes the upstreams that have changed. */
    function publishChanged(changed: readonly Upstream[]) {
        if (changed.length > 0) {
            recovery.upstreamsChanged(changed);
            directoryFeed.publishChanged(changed);
            changed.forEach(({ id, state, isGone, group }) => logger.debug("upstream changed", { upstream: id, state, isGone, group }));
            if (isLeader()) {
                requestPlanning();
            }
        }
    }

    /** Records what an engine's answer to a probe or an order states about it. */
    function recordSignals(upstream: Incarnation, { isLeaving, pushbackMs }: UpstreamSignals) {
        if (isLeaving) {
            publishChanged(directory.markDraining(upstream));
        }
        if (pushbackMs !== undefined) {
            pushbacks.record(upstream.id, pushbackMs);
            feed.publish({ kind: "pushbacks", vm, pushbacks: pushbacks.relayed() }, "entry");
        }
    }

    const checkAnnouncement = createAnnouncementCheck({
        directory, refusedInputs, table: currentTable, isInTouch, nowMs, nowUnixMs: () => Date.now(),
    });
    const addressClaims = createAddressClaims({ directory, table: currentTable, onEnded: publishChanged });

    function acceptAnnouncement(announcement: Announcement, heardAtMs: number) {
        if (addressClaims.admits(announcement, () => acceptAnnouncement(announcement, heardAtMs))) {
            publishChanged(directory.announce(announcement, heardAtMs));
            directoryFeed.recordHeard([announcement.id], true);
        }
    }

    function mergeRelayed(upstreams: readonly RelayedUpstream[], receivedAtMs: number) {
        const admitted = upstreams.filter(upstream =>
            upstream.isGone || addressClaims.admits(upstream, () => mergeRelayed([upstream], receivedAtMs)));
        publishChanged(directory.merge(admitted, receivedAtMs));
    }

    function* initialFrames(kinds: readonly FrameKind[], known?: DirectoryPosition): Generator<Frame | PositionedFrame> {
        yield { kind: "controls", addresses: controlAddresses() };
        yield crashCauses.frame();
        yield* siteFrames(log.state.published.site);
        yield { kind: "evacuated", index: log.appliedIndex, dataCentres: [...log.state.published.evacuated] };
        if (kinds.includes("upstreams")) {
            yield* directoryFeed.initialFrames(known);
        }
        if (isLeader()) {
            yield judgedFrame();
        }
        if (kinds.includes("limits")) {
            yield* limitDistributor.frames(isLeader());
        }
        yield aliveFrame();
    }

    function logPosition(): LogPosition | undefined {
        const { clusterId, term, appliedIndex } = log;
        const leader = isInTouch() ? log.leaderAddress : undefined;
        return clusterId === undefined ? undefined : { clusterId, term, index: appliedIndex, leader };
    }

    function aliveFrame(): Frame {
        return {
            kind: "alive", leads: isLeader(), entries: feed.entryCount, dataCentre: options.dataCentre, hasContent: true,
            isInTouch: isInTouch(), siteVersion: log.state.published.site?.version ?? -1,
        };
    }

    const feed: FeedServer = createFeedServer({
        initialFrames, logPosition, heardAgoMs: directoryFeed.heardAgoMs, onReport, nowMs,
        onCrashes: (_daemonId, report) => crashCollector.report(report),
        onLoads: loadTable.report,
        onUnreadablePart: error => logger.warn("part of a report ignored", { error }),
        onRefused: refusedInputs.record,
    });

    function onReport(daemonId: string, received: Report) {
        groupLeader.recordReport(received);
        limitDistributor.recordReport(daemonId, received, limitsPublication.request);
        if (received.vm === vm) {
            pushbacks.merge(received.pushbacks);
        }
        publishChanged(received.draining.flatMap(incarnation => directory.markDraining(incarnation)));
        recordCrashes(log, logger, received.crashes).catch(error => exceptions.record("task", error));
    }

    const watcher: FeedWatcher = createFeedWatcher({
        daemonId: options.daemonId,
        isEntry: false,
        dataCentre: options.dataCentre,
        onFrame: contained((frame: Frame) => {
            if (frame.kind === "upstreams") {
                mergeRelayed(frame.upstreams, nowMs());
            }
            if (frame.kind === "heard") {
                directory.updateHeardTimes(frame.heard, nowMs());
                directoryFeed.recordHeard(frame.heard.map(({ id }) => id), false);
            }
        }),
        onHeardChanged: (address, isHeard) => logger.info(isHeard ? "control daemon heard" : "control daemon lost", { address }),
        onUnknownKind: (kind, address) => logger.warn("frame of an unknown kind", { kind, address }),
        onRefused: refusedInputs.record,
    });

    function isLeader(): boolean {
        return log.leaseHeld;
    }

    function controlAddresses(): string[] {
        return log.voters().map(voter => voter.address);
    }

    function judgedFrame(): Frame {
        return { kind: "judged", lostIds: [...groupLeader.lostIds], barred: barredFingerprints(log) };
    }

    /** Publishes what has changed in the applied state of the replicated log. */
    function publishApplied() {
        const { site, evacuated } = log.state.published;
        const evacuatedNames = evacuated.join(",");
        if (site !== undefined && site.version !== lastPublished.version) {
            [...siteFrames(site)].forEach(frame => feed.publish(frame));
            feed.publish(aliveFrame(), "entry");
            addressClaims.siteChanged();
            logger.info("site applied", { version: site.version, index: log.appliedIndex, term: log.term, leader: log.leaderAddress });
        }
        if (evacuatedNames !== lastPublished.evacuated) {
            recovery.evacuationChanged();
            feed.publish({ kind: "evacuated", index: log.appliedIndex, dataCentres: [...evacuated] });
            logger.info("evacuated data centres applied", { dataCentres: evacuated, index: log.appliedIndex, term: log.term, leader: log.leaderAddress });
        }
        crashCauses.changed().forEach(frame => feed.publish(frame, "entry"));
        const addresses = controlAddresses();
        if (addresses.join(",") !== lastPublished.controls) {
            feed.publish({ kind: "controls", addresses });
            const others = addresses.filter(address => address !== options.address);
            watcher.watch(others);
            if (others.length > 0) {
                watcher.keepOnly(others);
            }
        }
        lastPublished = { ...lastPublished, version: site?.version ?? -1, evacuated: evacuatedNames, controls: addresses.join(",") };
    }

    function publishAlive() {
        directoryFeed.publishHeardByAny();
        feed.publish(aliveFrame());
        publishLimits();
        publishApplied();
    }

    /** Publishes the division of limits; an empty one only once, since an entry without a division acts in the same way. */
    function publishLimits() {
        const [frame] = limitDistributor.frames(isLeader());
        const isEmpty = frame?.limits.length === 0;
        if (frame !== undefined && !(isEmpty && isEmptyDivisionPublished)) {
            feed.publish(frame, "entry");
        }
        isEmptyDivisionPublished = isEmpty;
    }

    const verdicts = createVerdicts({ nowMs, publish: () => feed.publish(judgedFrame()) });

    function plan() {
        const table = currentTable();
        if (table !== undefined) {
            groupLeader.planStep(table);
        }
        verdicts.update(isLeader(), [...groupLeader.lostIds, ...barredFingerprints(log)]);
        if (nowMs() > nextCleanupAtMs) {
            publishChanged(directory.endSilent(nowMs()));
            directory.removeExpired(nowMs());
            nextCleanupAtMs = nowMs() + cleanupIntervalMs;
        }
    }

    function isInTouch(): boolean {
        return log.role === "leader" ? isLeader() : log.leaderAddress !== undefined;
    }

    return {
        feed,
        async publish(text) {
            const result: DecodedSite = dialect.decodeSite(text);
            const findings = result.site === undefined ? result.findings : checkLengths(result.site);
            if (result.site === undefined || findings.length > 0) {
                logger.warn("site refused", { findings });
                return { outcome: "refused", findings };
            }
            const { version } = result.site;
            const proposal = await propose({ kind: "publish-site", version, text });
            logger.info("site published", { version, outcome: proposal.outcome });
            return proposal.outcome === "applied" ? { outcome: "accepted", version } : { outcome: "unavailable" };
        },
        async readSite() {
            return (await log.read(operatorTimeoutMs))?.published.site?.text;
        },
        evacuate,
        recordAnnouncement(announcement) {
            const outcome = checkAnnouncement(announcement);
            if (outcome === "taken") {
                acceptAnnouncement(announcement, nowMs());
            }
            return outcome;
        },
        refuseAnnouncement: id => refusedInputs.record("announcement", { upstream: id, reason: "unreadable or out of bounds" }),
        recordDeparture({ id, bornMs, mayBeLate }) {
            // Another incarnation may have started under this id since a late call that doesn't say which one leaves.
            if (!isInTouch() || (mayBeLate && bornMs === undefined)) {
                return false;
            }
            publishChanged(directory.depart(id, bornMs));
            return true;
        },
        start() {
            registerControlMetrics(options.metrics, { log, groupLeader, upstreams: directory.upstreams });
            log.subscribe(contained(publishApplied));
            timers = [
                setInterval(contained(() => planPacer.runIfDue(plan)), planIntervalMs),
                setInterval(contained(publishAlive), aliveIntervalMs),
                // More often than `publishAlive`, because the leader probes upstreams that seem overdue when a `heard` frame is late.
                setInterval(contained(directoryFeed.publishHeardDirectly), heardIntervalMs),
            ];
            publishApplied();
            recovery.start();
        },
        stop() {
            recovery.stop();
            crashCollector.stop();
            timers.forEach(timer => clearInterval(timer));
            clearTimeout(planTimer);
            limitsPublication.cancel();
            watcher.close();
            directoryFeed.flush();
            feed.close();
        },
    };
}
