/**
 * The control role towards a site: keeps what operators publish in the replicated log, hears upstreams, tells entries, and, while it
 * leads, forms groups of engines. Every decision about groups is made by `groups`; here they are carried out.
 *
 * @module
 */

import type { ConsensusNode } from "../consensus/index.js";
import { createFeedServer, createFeedWatcher, type FeedServer, type FeedWatcher, type Frame, type Report, aliveMs } from "../feed/index.js";
import {
    announce, type Announcement, carry, depart, type DirectoryState, forgetGone, isNews, refresh, takeCarried,
} from "../fleet/index.js";
import type { ModelCoverage } from "../groups/index.js";
import type { PeerConnections } from "../rpc/index.js";
import { createSiteTable, type DecodedSite, type SiteDialect, type SiteFinding, type SiteTable } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import { createGroupLeader, type Engines } from "./groupLeader.js";
import { createLimitBoard } from "./limitBoard.js";
import { createPlanPacer } from "./planPacer.js";
import { createProposer, operatorTimeoutMs } from "./proposals.js";

export interface SiteControlOptions {
    readonly daemonId: string;
    readonly dataCentre: string;
    /** This daemon's listener for other daemons. */
    readonly address: string;
    readonly log: ConsensusNode;
    readonly dialect: SiteDialect;
    readonly engines: Engines;
    readonly connections: PeerConnections;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    /** Whether the site starts for the first time: until requests come, loads are quick. */
    readonly isFirstStart: boolean;
}

export type PublishOutcome =
    | { readonly outcome: "accepted"; readonly version: number }
    | { readonly outcome: "refused"; readonly findings: readonly SiteFinding[] }
    | { readonly outcome: "unavailable" };

export interface SiteControl {
    readonly feed: FeedServer;
    publish(text: string): Promise<PublishOutcome>;
    /** The newest published text; undefined when this daemon cannot be sure of it. */
    current(): Promise<string | undefined>;
    /** Resolves to whether the change is accepted. */
    evacuate(dataCentre: string, isOut: boolean): Promise<boolean>;
    /** Takes an announcement in. False: it must be made to another daemon, since this one may be cut off from the entries. */
    hear(announcement: Announcement): boolean;
    depart(id: string): boolean;
    start(): void;
    stop(): void;
}

/** How often groups are planned when nothing is learnt: orders that got lost wait for it. */
const planIntervalMs = 150;
/** How often `heard` frames are sent to other control daemons: short compared with the heartbeat interval of upstreams. */
const heardIntervalMs = 200;
/** After news a step comes this soon, one for all that is learnt meanwhile: each phase of a repair waits for it. */
const wakeMs = 10;
const forgetIntervalMs = 10_000;
/** Upstreams that crash under one request before it is refused: a request that was merely there is hardly there three times. */
const barringCrashes = 3;

/** Creates the role; `start` begins to plan and to tell. */
export function createSiteControl(options: SiteControlOptions): SiteControl {
    const { log, logger, dialect } = options;
    const nowMs = () => performance.now();
    const propose = createProposer({ ...options, nowMs });
    let directory: DirectoryState = new Map();
    let decoded: { readonly text: string; readonly table: SiteTable } | undefined;
    let told: { version: number; evacuated: string; lost: string; controls: string } = { version: -1, evacuated: "", lost: "", controls: "" };
    let timers: NodeJS.Timeout[] = [];
    let forgetAtMs = 0;
    /** Upstreams that this daemon itself has heard since the last `heard` frame. Other control daemons receive only these. */
    const heardDirectly = new Set<string>();
    /** Upstreams that any control daemon has heard since the last `heard` frame. Entries receive all of them. */
    const heardByAny = new Set<string>();

    let wakeTimer: NodeJS.Timeout | undefined;
    const pacer = createPlanPacer(nowMs);
    const limitBoard = createLimitBoard(nowMs);
    const groupLeader = createGroupLeader({ ...options, nowMs, directory: () => directory, wake });

    function wake() {
        wakeTimer ??= setTimeout(() => {
            wakeTimer = undefined;
            pacer.runIfDue(plan);
        }, Math.max(wakeMs, Math.ceil(pacer.waitMs) + 1));
    }

    /** Takes a new directory and tells watchers what is new in it. */
    function update(next: DirectoryState) {
        const news = [...next.values()].filter(upstream => {
            const before = directory.get(upstream.id);
            return before !== upstream && isNews(before, upstream);
        });
        directory = next;
        if (news.length > 0) {
            feed.publish({ kind: "upstreams", upstreams: news.map(upstream => carry(upstream, nowMs())) });
            news.forEach(({ id, state, isGone, group }) => logger.debug("upstream changed", { upstream: id, state, isGone, group }));
            if (leads()) {
                wake();
            }
        }
    }

    function greeting(): Frame[] {
        const { site, evacuated } = log.state.published;
        return [
            { kind: "controls", addresses: controls() },
            ...site === undefined ? [] : [{ kind: "site" as const, version: site.version, text: site.text }],
            { kind: "evacuated", index: log.appliedIndex, dataCentres: [...evacuated] },
            { kind: "upstreams", upstreams: [...directory.values()].map(upstream => carry(upstream, nowMs())) },
            ...leads() ? [judged()] : [],
            alive(),
        ];
    }

    function alive(): Frame {
        return {
            kind: "alive", leads: leads(), entries: feed.entries, dataCentre: options.dataCentre, hasContent: true, isInTouch: inTouch(),
            siteVersion: log.state.published.site?.version ?? -1,
        };
    }

    const feed: FeedServer = createFeedServer({ greeting, report, nowMs });

    function report(daemonId: string, taken: Report) {
        groupLeader.report(taken);
        limitBoard.report(daemonId, taken, tellLimits);
        void noteCrashes(taken.crashes);
    }

    /** Writes crashes down that the log does not hold yet, so that the next leader counts on. */
    async function noteCrashes(crashes: Report["crashes"]) {
        const known = log.state.suspects.byFingerprint;
        const fresh = crashes.filter(crash => known[crash.fingerprint]?.engineBootIds.includes(crash.upstream) !== true);
        for (const upstream of new Set(fresh.map(crash => crash.upstream))) {
            const fingerprints = fresh.filter(crash => crash.upstream === upstream).map(crash => crash.fingerprint);
            await log.propose({ kind: "report-crash", engineBootId: upstream, fingerprints, atMs: Date.now() }, operatorTimeoutMs);
        }
    }

    /** Requests under which so many upstreams have crashed that they are the likely cause. */
    function barred(): string[] {
        const { byFingerprint } = log.state.suspects;
        return Object.keys(byFingerprint).filter(fingerprint => byFingerprint[fingerprint]!.crashes >= barringCrashes);
    }

    const watcher: FeedWatcher = createFeedWatcher({
        daemonId: options.daemonId,
        isEntry: false,
        dataCentre: options.dataCentre,
        take(frame) {
            if (frame.kind === "upstreams") {
                update(takeCarried(directory, frame.upstreams, nowMs()));
            }
            if (frame.kind === "heard") {
                directory = refresh(directory, frame.heard, nowMs());
                frame.heard.forEach(({ id }) => heardByAny.add(id));
            }
        },
        changed: (address, isHeard) => logger.info(isHeard ? "control daemon heard" : "control daemon lost", { address }),
    });

    function leads(): boolean {
        return log.leaseHeld;
    }

    function controls(): string[] {
        return log.voters().map(voter => voter.address);
    }

    function judged(): Frame {
        return { kind: "judged", lostIds: [...groupLeader.lostIds], barred: barred() };
    }

    function table(): SiteTable | undefined {
        const { site } = log.state.published;
        if (site === undefined) {
            return undefined;
        }
        if (decoded?.text !== site.text) {
            const result = dialect.decodeSite(site.text);
            if (result.site === undefined) {
                logger.error("the published site cannot be read", { version: site.version, findings: result.findings });
                return decoded?.table;
            }
            decoded = { text: site.text, table: createSiteTable(result.site) };
        }
        return decoded!.table;
    }

    /** Tells watchers what the log has brought. */
    function tellApplied() {
        const { site, evacuated } = log.state.published;
        const names = evacuated.join(",");
        if (site !== undefined && site.version !== told.version) {
            feed.publish({ kind: "site", version: site.version, text: site.text });
            feed.publish(alive(), "entry");
            logger.info("site applied", { version: site.version, index: log.appliedIndex, term: log.term, leader: log.leaderAddress });
        }
        if (names !== told.evacuated) {
            feed.publish({ kind: "evacuated", index: log.appliedIndex, dataCentres: [...evacuated] });
            logger.info("evacuated data centres applied", { dataCentres: evacuated });
        }
        const addresses = controls();
        if (addresses.join(",") !== told.controls) {
            feed.publish({ kind: "controls", addresses });
            const others = addresses.filter(address => address !== options.address);
            watcher.watch(others);
            if (others.length > 0) {
                watcher.keepOnly(others);
            }
        }
        told = { ...told, version: site?.version ?? -1, evacuated: names, controls: addresses.join(",") };
    }

    /** Runs more often than `tellAlive`: the leader probes upstreams that seem overdue because a `heard` frame is late. */
    function tellHeard() {
        if (heardDirectly.size > 0) {
            feed.publish(heardFrame(heardDirectly), "control");
            heardDirectly.clear();
        }
    }

    function tellAlive() {
        feed.publish(heardFrame(heardByAny), "entry");
        heardByAny.clear();
        feed.publish(alive());
        tellLimits();
        tellApplied();
    }

    function heardFrame(ids: ReadonlySet<string>): Frame {
        const present = [...ids].map(id => directory.get(id)).filter(upstream => upstream !== undefined && !upstream.isGone);
        return { kind: "heard", heard: present.map(upstream => ({ id: upstream!.id, agoMs: Math.round(nowMs() - upstream!.heardAtMs) })) };
    }

    function tellLimits() {
        limitBoard.frames(leads()).forEach(frame => feed.publish(frame, "entry"));
    }

    function tellJudged() {
        const lost = [...groupLeader.lostIds, ...barred()].join(",");
        if (lost !== told.lost) {
            feed.publish(judged());
            told = { ...told, lost };
        }
    }

    function plan() {
        const current = table();
        if (current !== undefined) {
            groupLeader.step(current);
        }
        if (leads()) {
            tellJudged();
        }
        if (nowMs() > forgetAtMs) {
            directory = forgetGone(directory, nowMs());
            forgetAtMs = nowMs() + forgetIntervalMs;
        }
    }

    function inTouch(): boolean {
        return log.role === "leader" ? leads() : log.leaderAddress !== undefined;
    }

    function observe() {
        const { metrics } = options;
        metrics.observe("zinnialanding_term", () => log.term);
        metrics.observe("zinnialanding_voters", () => log.voters().filter(voter => voter.voting).length);
        metrics.observe("zinnialanding_voters_silent", () => log.voters().filter(voter => voter.voting && voter.reachable === false).length);
        metrics.observe("zinnialanding_leads", () => Number(leads()));
        metrics.observe("zinnialanding_site_version", () => log.state.published.site?.version ?? 0);
        metrics.observe("zinnialanding_upstreams_known", () => [...directory.values()].filter(upstream => !upstream.isGone).length);
        metrics.observe("zinnialanding_upstreams_lost", () => groupLeader.lostIds.length);
        for (const phase of ["open", "forming", "ending"] as const) {
            metrics.observe(`zinnialanding_groups_${phase}`, () => groupLeader.countOf(phase));
        }
        const byModel = (valueOf: (coverage: ModelCoverage) => number) =>
            new Map(groupLeader.coverage.map(coverage => [coverage.model, valueOf(coverage)]));
        metrics.observeModels("zinnialanding_model_groups_open", () => byModel(({ groups }) => groups.open));
        metrics.observeModels("zinnialanding_model_vms", () => byModel(({ vms }) => vms));
        metrics.observeModels("zinnialanding_model_demand_vms", () => byModel(({ demandVms }) => demandVms));
    }

    return {
        feed,
        async publish(text) {
            const result: DecodedSite = dialect.decodeSite(text);
            if (result.site === undefined) {
                logger.warn("site refused", { findings: result.findings });
                return { outcome: "refused", findings: result.findings };
            }
            const { version } = result.site;
            const proposal = await propose({ kind: "publish-site", version, text });
            logger.info("site published", { version, outcome: proposal.outcome });
            return proposal.outcome === "applied" ? { outcome: "accepted", version } : { outcome: "unavailable" };
        },
        async current() {
            return (await log.read(operatorTimeoutMs))?.published.site?.text;
        },
        async evacuate(dataCentre, isOut) {
            const proposal = await propose({ kind: "evacuate", dataCentre, isOut });
            logger.info("evacuation", { dataCentre, isOut, outcome: proposal.outcome });
            return proposal.outcome === "applied";
        },
        hear(announcement) {
            if (announcement.state === "draining" && !inTouch()) {
                return false;
            }
            const known = table();
            if (known !== undefined && known.service(announcement.service) === undefined) {
                logger.warn("announcement of an unknown service", { upstream: announcement.id, service: announcement.service });
                return true;
            }
            update(announce(directory, announcement, nowMs()));
            heardDirectly.add(announcement.id);
            heardByAny.add(announcement.id);
            return true;
        },
        depart(id) {
            if (!inTouch()) {
                return false;
            }
            update(depart(directory, id));
            return true;
        },
        start() {
            observe();
            log.subscribe(() => tellApplied());
            timers = [
                setInterval(() => pacer.runIfDue(plan), planIntervalMs),
                setInterval(tellAlive, aliveMs),
                setInterval(tellHeard, heardIntervalMs),
            ];
            tellApplied();
        },
        stop() {
            timers.forEach(timer => clearInterval(timer));
            clearTimeout(wakeTimer);
            watcher.close();
            feed.close();
        },
    };
}
