/**
 * What an entry knows of its site: the table in force, the upstreams, evacuated data centres and the control leader's verdicts. A
 * version never goes back within the life of a process, whichever control daemon tells of it.
 *
 * @module
 */

import type { Frame } from "../feed/index.js";
import { type DirectoryState, refresh, reportedGroups, takeCarried, type Upstream } from "../fleet/index.js";
import { createSiteTable, type SiteDialect, type SiteTable } from "../site/index.js";
import type { Logger } from "../telemetry/index.js";

/** An upstream that requests may be sent to. */
export interface Candidate {
    readonly upstream: Upstream;
    /** The model that it serves; undefined for a plain service. */
    readonly model: string | undefined;
    /** The control leader has found it, or a member of its group, silent. */
    readonly isDoubtful: boolean;
}

export interface SiteView {
    /** `from`: the control daemon that tells it. */
    take(frame: Frame, from?: string): void;
    readonly table: SiteTable | undefined;
    readonly version: number;
    candidates(service: string, model: string | undefined): readonly Candidate[];
    /** Notes that another upstream answers at the address of this one. */
    noteGone(upstream: Upstream): void;
    /** Notes that connections to an upstream are refused here. It gets nothing until a control daemon has heard it after that. */
    noteRefusing(upstream: Upstream): void;
    readonly addresses: ReadonlySet<string>;
    /** Fingerprints of requests that crash upstreams. */
    readonly barred: ReadonlySet<string>;
    readonly controls: readonly string[];
}

/** Creates a view that knows nothing. */
export function createSiteView(dialect: SiteDialect, logger: Logger): SiteView {
    let directory: DirectoryState = new Map();
    let table: SiteTable | undefined;
    let evacuated: { index: number; dataCentres: readonly string[] } = { index: -1, dataCentres: [] };
    let lostIds: ReadonlySet<string> = new Set();
    let barred: ReadonlySet<string> = new Set();
    let controls: readonly string[] = [];
    let lists: Map<string, Candidate[]> | undefined;
    /** Upstreams that refused connections, by id, and when. */
    const refusing = new Map<string, { readonly bornMs: number; readonly atMs: number }>();

    function takeSite(version: number, text: string, from: string | undefined) {
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

    /** Whether an upstream has refused and not been heard since. Something between may refuse for a while, and the upstream serves on. */
    function isRefusing({ id, bornMs, heardAtMs }: Upstream): boolean {
        const refused = refusing.get(id);
        return refused?.bornMs === bornMs && heardAtMs <= refused.atMs;
    }

    function forgetRefusals() {
        for (const id of [...refusing.keys()]) {
            const known = directory.get(id);
            if (known === undefined || !isRefusing(known)) {
                refusing.delete(id);
                lists = undefined;
            }
        }
    }

    function isServing(upstream: Upstream): boolean {
        return !upstream.isGone && !isRefusing(upstream) && upstream.state === "ready" && !evacuated.dataCentres.includes(upstream.dataCentre);
    }

    /** Arranges what may be sent to; done once for each change of what it rests on. */
    function arrange(): Map<string, Candidate[]> {
        const next = new Map<string, Candidate[]>();
        const add = (key: string, candidate: Candidate) => next.set(key, [...next.get(key) ?? [], candidate]);
        for (const service of table?.site.services ?? []) {
            const upstreams = [...directory.values()].filter(upstream => upstream.service === service.name);
            const models = service.engine?.models ?? [];
            if (models.length === 0) {
                upstreams.filter(isServing).forEach(upstream =>
                    add(service.name, { upstream, model: undefined, isDoubtful: lostIds.has(upstream.id) }));
                continue;
            }
            for (const group of reportedGroups(upstreams).values()) {
                const size = models.find(model => model.name === group.model)?.size;
                const head = group.members[0];
                const isWhole = head !== undefined && head.group!.state === "open" && group.members.length === size &&
                    Array.from(group.members).every(member => member !== undefined && isServing(member) && member.group!.epoch === group.epoch && member.group!.state !== "joining" &&
                        member.group!.state !== "broken");
                if (isWhole) {
                    const isDoubtful = group.members.some(member => lostIds.has(member!.id));
                    add(`${service.name} ${group.model}`, { upstream: head, model: group.model, isDoubtful });
                }
            }
        }
        return next;
    }

    return {
        take(frame, from) {
            switch (frame.kind) {
                case "site":
                    takeSite(frame.version, frame.text, from);
                    break;
                case "evacuated":
                    if (frame.index >= evacuated.index) {
                        evacuated = { index: frame.index, dataCentres: frame.dataCentres };
                    }
                    break;
                case "upstreams":
                    directory = takeCarried(directory, frame.upstreams, performance.now());
                    break;
                case "heard":
                    directory = refresh(directory, frame.heard, performance.now());
                    forgetRefusals();
                    return;
                case "alive":
                case "limits":
                    return;
                case "controls":
                    controls = frame.addresses;
                    return;
                case "judged":
                    lostIds = new Set(frame.lostIds);
                    barred = new Set([...barred, ...frame.barred]);
                    break;
            }
            lists = undefined;
        },
        get table() {
            return table;
        },
        get version() {
            return table?.site.version ?? -1;
        },
        candidates(service, model) {
            lists ??= arrange();
            return lists.get(model === undefined ? service : `${service} ${model}`) ?? [];
        },
        noteGone(upstream) {
            const known = directory.get(upstream.id);
            if (known?.bornMs === upstream.bornMs && !known.isGone) {
                directory = new Map(directory).set(upstream.id, { ...known, isGone: true, hasLeft: false });
                lists = undefined;
                logger.info("upstream is not there", { upstream: upstream.id, address: upstream.address });
            }
        },
        noteRefusing({ id, bornMs, address }) {
            refusing.set(id, { bornMs, atMs: performance.now() });
            lists = undefined;
            logger.info("upstream refuses connections", { upstream: id, address });
        },
        get addresses() {
            return new Set([...directory.values()].filter(upstream => !upstream.isGone).map(upstream => upstream.address));
        },
        get barred() {
            return barred;
        },
        get controls() {
            return controls;
        },
    };
}
