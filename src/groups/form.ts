/**
 * Decides which groups to form from the free VMs.
 *
 * The pattern it answers: VMs are lost for good every few seconds, one of a group each time, and empty ones arrive about as often. A
 * group that lost a member serves again as soon as a spare with its weights joins, some 2 s; without such a spare it waits for a
 * load from the weight store, 12 to 16 s. So each domain keeps spares, one with the weights of each model where it can.
 *
 * @module
 */

import { groupNameOf, isStandby, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import type { GroupsState, GroupsView, Heating, OrderTo, PlannedGroup, Staging } from "./types.js";

/** One spare for this many VMs of a domain: over a repair's 15 s about one VM in eight is lost on the heaviest days seen. */
const vmsPerSpare = 8;
/** How quickly a VM can join a group of a model. */
type Readiness = "hot" | "warm" | "empty";
const ranks: Record<Readiness, number> = { hot: 0, warm: 1, empty: 2 };

/** Draft of one step; it lives for one call. */
export interface Draft {
    readonly view: GroupsView;
    readonly groups: Map<string, PlannedGroup>;
    readonly orders: OrderTo[];
    readonly lastModels: GroupsState["lastModels"];
    readonly staging: Map<string, Staging>;
    readonly heating: Map<string, Heating>;
    /** Groups that this leader has seen end, those of this step with them. */
    readonly overNames: string[];
    lastEpoch: number;
    shortSince: GroupsState["shortSince"];
}

/** The model whose weights are on a VM's accelerator, as far as this leader has seen. */
export function onAccelerator(upstream: Upstream, draft: Draft): string | undefined {
    const last = draft.lastModels.get(upstream.id);
    return last?.bornMs === upstream.bornMs ? last.model : undefined;
}

export function readinessOf(upstream: Upstream, model: EngineModel, draft: Draft): Readiness {
    if (onAccelerator(upstream, draft) === model.name) {
        return "hot";
    }
    return upstream.stagedModels.includes(model.name) ? "warm" : "empty";
}

/**
 * Whether a VM may be put into a group. One that has not been heard since this leader began may have joined a group of the leader before
 * just before that one was lost, and its report of that with it: given to another group, it would be in two.
 */
export function isUsable(upstream: Upstream, view: GroupsView): boolean {
    const isHeard = upstream.heardAtMs > view.leadsSinceMs;
    return isHeard && upstream.state === "ready" && !view.isLost(upstream.id) && !view.evacuated.includes(upstream.dataCentre);
}

/**
 * Whether a VM reports a group that this leader does not know. A leader that is cut off from this one may have formed it: it may serve.
 */
function isInUnknownGroup({ group }: Upstream, draft: Draft): boolean {
    return group !== undefined && !isStandby(group.name) && !draft.overNames.includes(group.name);
}

/** VMs that may be put into a group, by domain. */
export function freeByDomain(draft: Draft): Map<string, Upstream[]> {
    const taken = new Set([...draft.groups.values()].flatMap(group => group.memberIds).filter(id => id !== ""));
    const free = new Map<string, Upstream[]>();
    for (const upstream of draft.view.upstreams) {
        const isFree = !taken.has(upstream.id) && !isInUnknownGroup(upstream, draft);
        if (upstream.domain !== undefined && isFree && isUsable(upstream, draft.view)) {
            free.set(upstream.domain, [...free.get(upstream.domain) ?? [], upstream]);
        }
    }
    return free;
}

/** VMs in living groups of each model, for each part of the demand: the model with the least is helped first. */
export function coverage(model: EngineModel, draft: Draft): number {
    const { view } = draft;
    const vms = [...draft.groups.values()]
        .filter(group => group.model === model.name && group.phase !== "ending")
        .filter(group => !view.evacuated.includes(view.upstreams.find(upstream => upstream.id === group.memberIds[0])?.dataCentre ?? ""))
        .reduce((sum, group) => sum + group.memberIds.length, 0);
    return coverageOfVms(vms, model, draft);
}

/** What `vms` VMs are for a model's coverage. */
export function coverageOfVms(vms: number, model: EngineModel, { view }: Draft): number {
    return vms / Math.max(view.demand.get(model.name) ?? model.share, 1e-6);
}

/** Models of which a group fits into a domain, as far as the VMs there may be used. */
export function fittingModels(domain: string, draft: Draft): readonly EngineModel[] {
    const size = domainSize(domain, draft);
    return draft.view.engine.models.filter(model => model.size <= size);
}

/** Models by their coverage, the least first. One that fits nowhere is left out: it must not keep the others from their VMs. */
export function byCoverage(draft: Draft): EngineModel[] {
    const fitting = new Set(domainsOf(draft).flatMap(domain => fittingModels(domain, draft)));
    return [...fitting].sort((a, b) => coverage(a, draft) - coverage(b, draft));
}

export function domainsOf(draft: Draft): string[] {
    return [...new Set(draft.view.upstreams.map(upstream => upstream.domain))].filter(domain => domain !== undefined);
}

/** VMs that a domain keeps free. */
export function sparesOf(domain: string, draft: Draft): number {
    return Math.floor(domainSize(domain, draft) / vmsPerSpare);
}

/** VMs of a domain that may be used. */
export function domainSize(domain: string, draft: Draft): number {
    return draft.view.upstreams.filter(upstream => upstream.domain === domain && isUsable(upstream, draft.view)).length;
}

interface Choice {
    readonly domain: string;
    readonly members: readonly Upstream[];
    readonly readiness: Readiness;
    readonly left: number;
}

/** The best place for one more group of `model`: the one that serves soonest, then the domain with most VMs left over. */
function bestPlace(model: EngineModel, free: ReadonlyMap<string, Upstream[]>, draft: Draft): Choice | undefined {
    const choices = [...free].flatMap(([domain, upstreams]): Choice[] => {
        if (upstreams.length < model.size) {
            return [];
        }
        const rankOf = (upstream: Upstream) => ranks[readinessOf(upstream, model, draft)];
        const order = [...upstreams].sort((a, b) => rankOf(a) - rankOf(b) || (a.id < b.id ? -1 : 1));
        const members = order.slice(0, model.size);
        return [{ domain, members, readiness: readinessOf(members.at(-1)!, model, draft), left: upstreams.length - model.size }];
    });
    return choices.sort((a, b) => ranks[a.readiness] - ranks[b.readiness] || b.left - a.left || (a.domain < b.domain ? -1 : 1))[0];
}

/**
 * Whether the group would use VMs that a worse covered model could need: they have that one's weights on the accelerator, or none.
 */
function takesOver(choice: Choice, model: EngineModel, draft: Draft): boolean {
    const [worst] = byCoverage(draft);
    return worst !== undefined && coverage(worst, draft) < coverage(model, draft) && choice.readiness !== "hot";
}

/** Whether the group may be formed now, given what it leaves of spares and what it has to load. */
function isWorthwhile(choice: Choice, model: EngineModel, draft: Draft): boolean {
    const { view } = draft;
    const isServed = [...draft.groups.values()].some(group => group.model === model.name && group.phase !== "ending");
    if (!isServed) {
        return true;
    }
    if (view.hasTraffic && takesOver(choice, model, draft)) {
        return false;
    }
    // What is left of a group is worth a spare; spares alone are not, though they may be hot.
    const isRepair = choice.members.some(member => readinessOf(member, model, draft) === "hot" && !isStandby(member.group?.name ?? ""));
    if (!isRepair && choice.left < sparesOf(choice.domain, draft)) {
        return false;
    }
    return !view.hasTraffic || choice.readiness !== "empty";
}

function form(choice: Choice, model: EngineModel, draft: Draft): void {
    const { view } = draft;
    draft.lastEpoch++;
    const epoch = draft.lastEpoch;
    const name = groupNameOf(model.name, epoch);
    const memberIds = choice.members.map(member => member.id);
    draft.groups.set(name, {
        name, epoch, model: model.name, domain: choice.domain, memberIds,
        bornMs: choice.members.map(member => member.bornMs), phase: "forming", sinceMs: view.nowMs, isGentle: false,
    });
    for (const upstreamId of memberIds) {
        draft.orders.push({ upstreamId, order: { kind: "join", group: name, epoch, model: model.name, memberIds }, reason: `a group of ${choice.readiness} VMs` });
    }
}

/** VMs that fall to a model when all that may be used are split by demand. */
function fairVms(model: EngineModel, draft: Draft): number {
    const { engine, upstreams } = draft.view;
    const domains = new Set(upstreams.map(upstream => upstream.domain ?? ""));
    const usable = [...domains].reduce((sum, domain) => {
        const size = domainSize(domain, draft);
        return sum + size - sparesOf(domain, draft);
    }, 0);
    const demandOf = (candidate: EngineModel) => draft.view.demand.get(candidate.name) ?? candidate.share;
    const total = engine.models.reduce((sum, candidate) => sum + demandOf(candidate), 0);
    return usable * demandOf(model) / Math.max(total, 1e-6);
}

/**
 * The model to form a group of next: the largest that is short of its fair part by half a group or more, since small groups fit into what
 * large ones leave and not the other way round; then the one with the least coverage.
 */
function nextModel(refused: ReadonlySet<string>, draft: Draft): EngineModel | undefined {
    const open = draft.view.engine.models.filter(model => !refused.has(model.name));
    const demandOf = (model: EngineModel) => draft.view.demand.get(model.name) ?? model.share;
    const short = open.filter(model => coverage(model, draft) * demandOf(model) + model.size / 2 <= fairVms(model, draft));
    return short.sort((a, b) => b.size - a.size)[0] ?? open.sort((a, b) => coverage(a, draft) - coverage(b, draft))[0];
}

/** Free VMs that may go to a model: domains that wait for VMs of ending groups are for one model alone. */
function freeFor(model: EngineModel, reserved: Reserved | undefined, draft: Draft): ReadonlyMap<string, Upstream[]> {
    const free = freeByDomain(draft);
    return reserved === undefined || reserved.model === model.name
        ? free
        : new Map([...free].filter(([domain]) => !reserved.domains.includes(domain)));
}

/** Domains whose free VMs are kept for a model, until the others that its next group needs are free as well. */
export interface Reserved {
    readonly model: string;
    readonly domains: readonly string[];
}

/** Forms groups for the models that are short of VMs, as long as one is worthwhile. */
export function formGroups(draft: Draft, reserved: Reserved | undefined): void {
    const refused = new Set<string>();
    for (;;) {
        const model = nextModel(refused, draft);
        if (model === undefined) {
            return;
        }
        const choice = bestPlace(model, freeFor(model, reserved, draft), draft);
        if (choice === undefined || !isWorthwhile(choice, model, draft)) {
            refused.add(model.name);
            continue;
        }
        form(choice, model, draft);
    }
}
