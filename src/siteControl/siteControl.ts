/**
 * The control role towards a site: keeps what operators publish in the replicated log, hears upstreams, tells entries, and, while it
 * leads, forms groups of engines. Every decision about groups is made by `groups`; here they are carried out.
 *
 * @module
 */

import { createClient } from "@connectrpc/connect";
import type { Command, Proposal } from "../cluster/index.js";
import type { ConsensusNode } from "../consensus/index.js";
import { createFeedServer, createFeedWatcher, type FeedServer, type FeedWatcher, type Frame, type Report, aliveMs } from "../feed/index.js";
import {
    announce, type Announcement, carry, depart, type DirectoryState, forgetGone, isLifeOver, isNews, mayRun, refresh, takeCarried, type Upstream,
} from "../fleet/index.js";
import { type EngineOrder, firstEpochOf, type GroupPhase, type GroupsState, noGroups, type OrderTo, planGroups } from "../groups/index.js";
import { ConsensusService, type PeerConnections } from "../rpc/index.js";
import { createSiteTable, type DecodedSite, type SiteDialect, type SiteFinding, type SiteTable } from "../site/index.js";
import type { Logger, SiteMetrics } from "../telemetry/index.js";
import { createDemand } from "./demand.js";
import { createProber, type ProbeResult } from "./prober.js";

/** How engines are reached. */
export interface Engines {
    /** Resolves to what the engine answered, in a word for the log; rejects where no answer came. */
    order(upstream: Upstream, order: EngineOrder): Promise<string>;
    probe(upstream: Upstream): Promise<ProbeResult>;
}

export interface SiteControlOptions {
    readonly daemonId: string;
    /** This daemon's listener for other daemons. */
    readonly address: string;
    readonly log: ConsensusNode;
    readonly dialect: SiteDialect;
    readonly engines: Engines;
    readonly connections: PeerConnections;
    readonly logger: Logger;
    readonly metrics: SiteMetrics;
    /** How long a head goes on without a member before it notices. */
    readonly stallMs: number;
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

/** Operators call another daemon after a second without an answer. */
const operatorTimeoutMs = 900;
/** Between two tries to find the leader. */
const leaderRetryMs = 60;
/** How often groups are planned: repair waits for it, and a step takes some tenths of a millisecond. */
const planIntervalMs = 150;
/** Entries report that often or more; older evidence of progress proves nothing. */
const movingMs = 700;
const forgetIntervalMs = 10_000;
/** Upstreams that crash under one request before it is refused: a request that was merely there is hardly there three times. */
const barringCrashes = 3;

/** Creates the role; `start` begins to plan and to tell. */
export function createSiteControl(options: SiteControlOptions): SiteControl {
    const { log, logger, connections, dialect, engines } = options;
    const nowMs = () => performance.now();
    const demand = createDemand();
    const movingAtMs = new Map<string, number>();
    let directory: DirectoryState = new Map();
    let decoded: { readonly text: string; readonly table: SiteTable } | undefined;
    let groups: { service: string; state: GroupsState }[] = [];
    let leadsSinceMs: number | undefined;
    let planTerm = 0;
    let hasTraffic = !options.isFirstStart;
    let told: { version: number; evacuated: string; lost: string; controls: string } = { version: -1, evacuated: "", lost: "", controls: "" };
    let timers: NodeJS.Timeout[] = [];
    let forgetAtMs = 0;

    const prober = createProber({
        nowMs,
        probe: upstream => engines.probe(upstream),
        judged(upstream, result) {
            if (result !== "answered") {
                logger.info("upstream gave no answer", { upstream: upstream.id, result, heardAgoMs: Math.round(nowMs() - upstream.heardAtMs) });
            }
        },
    });

    /** Takes a new directory and tells watchers what is new in it. */
    function update(next: DirectoryState) {
        const news = [...next.values()].filter(upstream => {
            const before = directory.get(upstream.id);
            return before !== upstream && isNews(before, upstream);
        });
        directory = next;
        if (news.length > 0) {
            feed.publish({ kind: "upstreams", upstreams: news.map(upstream => carry(upstream, nowMs())) });
            news.forEach(upstream => logger.debug("upstream changed", { upstream: upstream.id, state: upstream.state, gone: upstream.isGone, group: upstream.group }));
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
            { kind: "alive", heard: [], leads: leads() },
        ];
    }

    const feed = createFeedServer({ greeting, report });

    function report(_daemonId: string, taken: Report) {
        demand.add(taken.workByModel, nowMs());
        if (taken.requests > 0 && !hasTraffic) {
            hasTraffic = true;
            logger.info("first requests of callers were reported");
        }
        taken.movingIds.forEach(id => movingAtMs.set(id, nowMs()));
        prober.suspect(membersOf(taken.suspectIds));
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

    /** The suspected upstreams with all members of the groups that they head. */
    function membersOf(headIds: readonly string[]): string[] {
        const found = groups.flatMap(({ state }) => [...state.groups.values()]).filter(group => headIds.includes(group.memberIds[0]!));
        return [...headIds, ...found.flatMap(group => group.memberIds)];
    }

    const watcher: FeedWatcher = createFeedWatcher({
        daemonId: options.daemonId,
        take(frame) {
            if (frame.kind === "upstreams") {
                update(frame.upstreams.reduce((state, upstream) => takeCarried(state, upstream, nowMs()), directory));
            }
            if (frame.kind === "alive") {
                directory = refresh(directory, frame.heard, nowMs());
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
        return { kind: "judged", lostIds: [...prober.lostIds], barred: barred() };
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
            logger.info("site applied", { version: site.version });
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

    function tellAlive() {
        const heard = [...directory.values()].filter(upstream => !upstream.isGone).map(upstream => ({ id: upstream.id, agoMs: Math.round(nowMs() - upstream.heardAtMs) }));
        feed.publish({ kind: "alive", heard, leads: leads() });
        tellApplied();
    }

    function tellJudged() {
        const lost = [...prober.lostIds, ...barred()].join(",");
        if (lost !== told.lost) {
            feed.publish(judged());
            told = { ...told, lost };
        }
    }

    /** Follows whether this daemon leads; what an earlier time of leading knew is void. */
    function noteLeading(): boolean {
        if (!leads()) {
            if (leadsSinceMs !== undefined) {
                logger.info("leads no more", { term: log.term });
                leadsSinceMs = undefined;
            }
            return false;
        }
        if (leadsSinceMs === undefined || planTerm !== log.term) {
            leadsSinceMs = nowMs();
            planTerm = log.term;
            groups = [];
            prober.forget();
            logger.info("leads", { term: log.term });
        }
        return true;
    }

    function send(upstream: Upstream, { order, reason }: OrderTo) {
        const sentAtMs = nowMs();
        const facts = { upstream: upstream.id, order, reason };
        engines.order(upstream, order).then(
            (outcome) => {
                options.metrics.order(order.kind, outcome.slice(0, 3));
                logger.info("order answered", { ...facts, outcome, tookMs: Math.round(nowMs() - sentAtMs) });
            },
            (error: Error) => {
                options.metrics.order(order.kind, "none");
                logger.warn("order without an answer", { ...facts, error: error.message });
            },
        );
    }

    function plan() {
        const current = table();
        if (!noteLeading() || current === undefined) {
            return;
        }
        const living = mayRun(directory).filter(upstream => !prober.isEnded(upstream.id));
        prober.look(mayRun(directory).filter(upstream => current.service(upstream.service) !== undefined));
        for (const service of current.site.services) {
            if (service.engine === undefined || service.engine.models.length === 0) {
                continue;
            }
            const known = groups.find(item => item.service === service.name) ?? { service: service.name, state: { ...noGroups, lastEpoch: firstEpochOf(planTerm) } };
            const planned = planGroups(known.state, {
                nowMs: nowMs(),
                leadsSinceMs: leadsSinceMs!,
                engine: service.engine,
                upstreams: living.filter(upstream => upstream.service === service.name),
                isLost: id => prober.isLost(id),
                isEnded: id => prober.isEnded(id) || isLifeOver(directory, id),
                isMoving: id => nowMs() - (movingAtMs.get(id) ?? Number.NEGATIVE_INFINITY) < movingMs,
                evacuated: log.state.published.evacuated,
                demand: demand.read(nowMs()),
                hasTraffic,
                stallMs: options.stallMs,
            });
            groups = [...groups.filter(item => item.service !== service.name), { service: service.name, state: planned.state }];
            planned.notes.forEach(note => logger.info("group changed", { ...note }));
            planned.orders.forEach(item => send(directory.get(item.upstreamId)!, item));
        }
        tellJudged();
        if (nowMs() > forgetAtMs) {
            directory = forgetGone(directory, nowMs());
            forgetAtMs = nowMs() + forgetIntervalMs;
        }
    }

    async function forward(address: string, command: Command, timeoutMs: number): Promise<Proposal> {
        const client = createClient(ConsensusService, connections.get(address).transport);
        const answer = await client.propose({ command: Buffer.from(JSON.stringify(command)), timeoutMs }, { timeoutMs });
        return answer.outcome === "applied"
            ? { outcome: "applied", result: JSON.parse(Buffer.from(answer.result).toString("utf8")), index: 0 }
            : answer.outcome === "not-leader" ? { outcome: "not-leader", leaderAddress: answer.leaderAddress || undefined } : { outcome: "unknown" };
    }

    /** Proposes here or at the leader until it is accepted or the operator will have gone elsewhere. */
    async function propose(command: Command): Promise<Proposal> {
        const untilMs = nowMs() + operatorTimeoutMs;
        let last: Proposal = { outcome: "unknown" };
        while (nowMs() < untilMs) {
            const leftMs = Math.max(1, Math.round(untilMs - nowMs()));
            last = await log.propose(command, leftMs);
            if (last.outcome === "not-leader" && last.leaderAddress !== undefined && last.leaderAddress !== options.address) {
                last = await forward(last.leaderAddress, command, leftMs).catch((error: Error): Proposal => {
                    logger.warn("the leader could not be asked", { error: error.message });
                    return { outcome: "unknown" };
                });
            }
            if (last.outcome !== "not-leader") {
                return last;
            }
            await new Promise(resolve => setTimeout(resolve, leaderRetryMs));
        }
        return last;
    }

    function inTouch(): boolean {
        return log.role === "leader" ? leads() : log.leaderAddress !== undefined;
    }

    function observe() {
        const { metrics } = options;
        const count = (phase: GroupPhase) => groups.flatMap(({ state }) => [...state.groups.values()]).filter(group => group.phase === phase).length;
        metrics.observe("zinnialanding_term", () => log.term);
        metrics.observe("zinnialanding_leads", () => Number(leads()));
        metrics.observe("zinnialanding_site_version", () => log.state.published.site?.version ?? 0);
        metrics.observe("zinnialanding_upstreams_known", () => [...directory.values()].filter(upstream => !upstream.isGone).length);
        metrics.observe("zinnialanding_upstreams_lost", () => prober.lostIds.length);
        metrics.observe("zinnialanding_groups_open", () => count("open"));
        metrics.observe("zinnialanding_groups_forming", () => count("forming"));
        metrics.observe("zinnialanding_groups_ending", () => count("ending"));
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
            timers = [setInterval(plan, planIntervalMs), setInterval(tellAlive, aliveMs)];
            tellApplied();
        },
        stop() {
            timers.forEach(timer => clearInterval(timer));
            watcher.close();
            feed.close();
        },
    };
}
