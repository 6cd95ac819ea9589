/**
 * What an entry knows about its site: the site table in force, the upstreams, evacuated data centres, and the upstreams and requests that
 * the control leader has reported as silent or barred. The site version never decreases within the life of a process, whichever control
 * daemon sends it.
 *
 * @module
 */

import { type CrashCause, hasCrashCause } from "../crashes/index.js";
import type { Frame, LogPosition } from "../feed/index.js";
import { createDirectory, type Incarnation, reportedGroups, type Upstream } from "../fleet/index.js";
import { createSiteTable, type SiteDialect, type SiteTable } from "../site/index.js";
import type { Logger } from "../telemetry/index.js";
import { createLogView, type KnownState, type LogStateFields } from "./logView.js";

/** An upstream that requests may be sent to. */
export interface Candidate {
    readonly upstream: Upstream;
    /** The model that it serves; undefined for a plain service. */
    readonly model: string | undefined;
    /** Whether the control leader has reported the upstream, or a member of its group, as silent. */
    readonly isReportedSilent: boolean;
}

export interface SiteView {
    /** Applies a frame of the feed; `from` is the address of the control daemon that sent it, and `log` the state of its log. */
    apply(frame: Frame, from?: string, log?: LogPosition): void;
    readonly table: SiteTable | undefined;
    readonly version: number;
    candidates(service: string, model: string | undefined): readonly Candidate[];
    /** Marks an upstream as gone, because another one answers at its address. */
    markGone(upstream: Upstream): void;
    /** Marks an upstream as draining, because an answer of it says that it leaves. It gets no more requests in this incarnation. */
    markDraining(upstream: Upstream): void;
    /** Marks an upstream as cold for `forMs`, because an answer of it says so. */
    markCold(upstream: Upstream, forMs: number): void;
    /** The upstreams marked as draining by this entry that are not gone yet, to be reported to the control leader. */
    readonly observedDraining: readonly Incarnation[];
    /** Marks an upstream as refusing connections. It gets no requests until a control daemon has heard from it after that. */
    markRefusing(upstream: Upstream): void;
    /** The upstreams marked as refusing connections whose heartbeats would clear the mark. */
    readonly refusingIds: readonly string[];
    readonly addresses: ReadonlySet<string>;
    /** Fingerprints of requests under which several upstreams have crashed. */
    readonly barred: ReadonlySet<string>;
    /** Whether engines crash on the prompts of requests with these shared parts. */
    crashesEngines(sharedParts: readonly string[]): boolean;
    readonly crashCauseCount: number;
    /** Parts of prompts that were in flight at a crash. */
    readonly suspectedParts: ReadonlySet<string>;
    readonly controls: readonly string[];
    /** The data centres whose upstreams get no requests. */
    readonly evacuated: readonly string[];
    /** The state of the control daemons' log that this entry acts on; undefined until one has stated it. */
    readonly logState: LogStateFields | undefined;
    /** Must be called often: writes a line when the state has become old. */
    checkAge(): void;
}

/** Creates a view without a site or upstreams. */
export function createSiteView(dialect: SiteDialect, logger: Logger): SiteView {
    const directory = createDirectory();
    let table: SiteTable | undefined;
    const logView = createLogView({ logger, nowMs: () => performance.now() });
    let evacuated: KnownState & { readonly dataCentres: readonly string[] } = { index: -1, clusterId: undefined, dataCentres: [] };
    let lostIds: ReadonlySet<string> = new Set();
    let barred: ReadonlySet<string> = new Set();
    let crashCauses: KnownState & { readonly causes: readonly CrashCause[] } = { index: -1, clusterId: undefined, causes: [] };
    let suspectedParts: ReadonlySet<string> = new Set();
    let controls: readonly string[] = [];
    let candidateLists: Map<string, Candidate[]> | undefined;
    let observedDraining: readonly Incarnation[] = [];
    /** When upstreams refused connections, by id. */
    const refusing = new Map<string, { readonly bornMs: number; readonly atMs: number }>();

    function applySite(version: number, text: string, from: string | undefined) {
        if (table !== undefined && version <= table.site.version) {
            return;
        }
        const decoded = dialect.decodeSite(text);
        if (decoded.site === undefined) {
            logger.error("a published site cannot be read", { version, findings: decoded.findings });
            return;
        }
        logger.info("site in force", { version, before: table?.site.version, from });
        table = createSiteTable(decoded.site);
    }

    function applyEvacuated({ index, dataCentres }: Extract<Frame, { kind: "evacuated" }>, from: string | undefined, log: LogPosition | undefined) {
        if (logView.isOutdated(index, log, evacuated)) {
            return;
        }
        if (dataCentres.join() !== evacuated.dataCentres.join()) {
            logger.info("evacuated data centres in force", {
                dataCentres, before: evacuated.dataCentres, index, term: log?.term, leader: log?.leader, from, state: logView.fields,
            });
        }
        evacuated = { index, clusterId: log?.clusterId, dataCentres };
        candidateLists = undefined;
    }

    function applyCrashCauses(
        { index, causes, suspectedParts: suspected }: Extract<Frame, { kind: "crash-causes" }>, log: LogPosition | undefined,
    ) {
        if (logView.isOutdated(index, log, crashCauses)) {
            return;
        }
        if (JSON.stringify(causes) !== JSON.stringify(crashCauses.causes)) {
            logger.info("prompt parts that crash engines", { causes, index });
        }
        crashCauses = { index, clusterId: log?.clusterId, causes };
        suspectedParts = new Set(suspected);
    }

    /**
     * Whether an upstream has refused a connection and not been heard since. A later heartbeat clears the refusal, since a fault on the
     * path may refuse connections for a while although the upstream is alive.
     */
    function isRefusing({ id, bornMs, heardAtMs }: Upstream): boolean {
        const refused = refusing.get(id);
        return refused?.bornMs === bornMs && heardAtMs <= refused.atMs;
    }

    function clearRefusals() {
        for (const id of [...refusing.keys()]) {
            const known = directory.upstreams.get(id);
            if (known === undefined || known.isGone || !isRefusing(known)) {
                refusing.delete(id);
                candidateLists = undefined;
            }
        }
    }

    function isServing(upstream: Upstream): boolean {
        return !upstream.isGone && !isRefusing(upstream) && upstream.state === "ready" && !evacuated.dataCentres.includes(upstream.dataCentre);
    }

    /** Lists the candidates by service and model. The result is cached until the state that it depends on changes. */
    function buildCandidateLists(): Map<string, Candidate[]> {
        const lists = new Map<string, Candidate[]>();
        const add = (key: string, candidate: Candidate) => lists.set(key, [...lists.get(key) ?? [], candidate]);
        for (const service of table?.site.services ?? []) {
            const upstreams = [...directory.upstreams.values()].filter(upstream => upstream.service === service.name);
            const models = service.engine?.models ?? [];
            if (models.length === 0) {
                upstreams.filter(isServing).forEach(upstream =>
                    add(service.name, { upstream, model: undefined, isReportedSilent: lostIds.has(upstream.id) }));
                continue;
            }
            for (const group of reportedGroups(upstreams).values()) {
                const size = models.find(model => model.name === group.model)?.size;
                const head = group.members[0];
                const isComplete = head !== undefined && head.group!.state === "open" && group.members.length === size &&
                    Array.from(group.members).every(member => member !== undefined && isServing(member) && member.group!.epoch === group.epoch && member.group!.state !== "joining" &&
                        member.group!.state !== "broken");
                if (isComplete) {
                    const isReportedSilent = group.members.some(member => lostIds.has(member!.id));
                    add(`${service.name} ${group.model}`, { upstream: head, model: group.model, isReportedSilent });
                }
            }
        }
        return lists;
    }

    return {
        apply(frame, from, log) {
            if (log !== undefined) {
                logView.record(log, from);
            }
            switch (frame.kind) {
                case "site":
                    applySite(frame.version, frame.text, from);
                    break;
                case "evacuated":
                    applyEvacuated(frame, from, log);
                    return;
                case "upstreams":
                    directory.merge(frame.upstreams, performance.now());
                    break;
                case "heard":
                    directory.updateHeardTimes(frame.heard, performance.now());
                    clearRefusals();
                    return;
                case "crash-causes":
                    applyCrashCauses(frame, log);
                    return;
                case "alive":
                case "limits":
                case "pushbacks":
                    return;
                case "controls":
                    controls = frame.addresses;
                    return;
                case "judged":
                    lostIds = new Set(frame.lostIds);
                    barred = new Set([...barred, ...frame.barred]);
                    break;
            }
            candidateLists = undefined;
        },
        get table() {
            return table;
        },
        get version() {
            return table?.site.version ?? -1;
        },
        candidates(service, model) {
            candidateLists ??= buildCandidateLists();
            return candidateLists.get(model === undefined ? service : `${service} ${model}`) ?? [];
        },
        markGone(upstream) {
            const known = directory.upstreams.get(upstream.id);
            if (known?.bornMs === upstream.bornMs && !known.isGone) {
                directory.markEnded(upstream.id);
                candidateLists = undefined;
                logger.info("another upstream answers at this address", { upstream: upstream.id, address: upstream.address });
            }
        },
        markDraining({ id, bornMs, address }) {
            const changed = directory.markDraining({ id, bornMs });
            if (changed.length > 0) {
                observedDraining = [...observedDraining, { id, bornMs }];
                candidateLists = undefined;
                logger.info("upstream says that it leaves", { upstream: id, address });
            }
        },
        markCold({ id, bornMs }, forMs) {
            const before = directory.upstreams.get(id);
            directory.markCold({ id, bornMs }, performance.now() + forMs);
            // Entries don't learn of each heartbeat, so whether the change is significant can't be told from when the upstream was heard.
            if (directory.upstreams.get(id) !== before) {
                candidateLists = undefined;
                logger.info("upstream says that it is cold", { upstream: id, forMs });
            }
        },
        get observedDraining() {
            observedDraining = observedDraining.filter(({ id, bornMs }) => {
                const known = directory.upstreams.get(id);
                return known?.bornMs === bornMs && !known.isGone;
            });
            return observedDraining;
        },
        markRefusing({ id, bornMs, address }) {
            refusing.set(id, { bornMs, atMs: performance.now() });
            candidateLists = undefined;
            logger.info("upstream refuses connections", { upstream: id, address });
        },
        get refusingIds() {
            clearRefusals();
            return [...refusing.keys()];
        },
        get addresses() {
            return new Set([...directory.upstreams.values()].filter(upstream => !upstream.isGone).map(upstream => upstream.address));
        },
        get barred() {
            return barred;
        },
        crashesEngines: sharedParts => hasCrashCause(sharedParts, crashCauses.causes),
        get crashCauseCount() {
            return crashCauses.causes.length;
        },
        get suspectedParts() {
            return suspectedParts;
        },
        get controls() {
            return controls;
        },
        get evacuated() {
            return evacuated.dataCentres;
        },
        get logState() {
            return logView.fields;
        },
        checkAge: logView.checkAge,
    };
}
