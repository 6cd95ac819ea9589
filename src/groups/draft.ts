/**
 * What one step of planning works on, and what it asks of it: which VMs may be used, which are free, what they hold, and how well each
 * model is covered.
 *
 * @module
 */

import { isStandby, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import type { GroupTable } from "./table.js";
import type { GroupsState, GroupsView, Heating, OrderTo, Reservation, Staging } from "./types.js";

/** One spare for this many VMs of a domain: over a repair's 15 s about one VM in eight is lost on the heaviest days seen. */
const vmsPerSpare = 8;
/** How quickly a VM can join a group of a model. */
export type Readiness = "hot" | "warm" | "empty";
export const ranks: Record<Readiness, number> = { hot: 0, warm: 1, empty: 2 };

/** Draft of one step; it lives for one call. */
export interface Draft {
    readonly view: GroupsView;
    /** VMs that may be put into a group, by id and by domain. */
    readonly usable: ReadonlyMap<string, Upstream>;
    readonly usableByDomain: ReadonlyMap<string, readonly Upstream[]>;
    readonly groupTable: GroupTable;
    readonly orders: OrderTo[];
    readonly lastModels: GroupsState["lastModels"];
    readonly staging: Map<string, Staging>;
    readonly heating: Map<string, Heating>;
    /** Groups that this leader has seen end, those of this step with them. */
    readonly overNames: Set<string>;
    lastEpoch: number;
    shortSince: GroupsState["shortSince"];
    readonly reserved: Map<string, Reservation>;
}

/**
 * Whether a VM may be put into a group. One that has not been heard since this leader began may have joined a group of the leader before
 * just before that one was lost, and its report of that with it: given to another group, it would be in two.
 */
function isUsable(upstream: Upstream, view: GroupsView): boolean {
    const isHeard = upstream.heardAtMs > view.leadsSinceMs;
    return isHeard && upstream.state === "ready" && !view.isLost(upstream.id) && !view.evacuated.includes(upstream.dataCentre);
}

/** The VMs that may be put into a group, by id and by domain. */
export function usableOf(view: GroupsView): Pick<Draft, "usable" | "usableByDomain"> {
    const usable = new Map<string, Upstream>();
    const usableByDomain = new Map<string, Upstream[]>();
    for (const upstream of view.upstreams.values()) {
        if (upstream.domain === undefined || !isUsable(upstream, view)) {
            continue;
        }
        usable.set(upstream.id, upstream);
        const domainUpstreams = usableByDomain.get(upstream.domain);
        if (domainUpstreams === undefined) {
            usableByDomain.set(upstream.domain, [upstream]);
        }
        else {
            domainUpstreams.push(upstream);
        }
    }
    return { usable, usableByDomain };
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

/** Whether something of a group is left among them, which is worth a spare; spares alone are not, though they may be hot. */
export function isRepair(members: readonly Upstream[], model: EngineModel, draft: Draft): boolean {
    return members.some(member => readinessOf(member, model, draft) === "hot" && !isStandby(member.group?.name ?? ""));
}

/** Whether a VM reports a group that this leader does not know. A leader that is cut off from this one may have formed it: it may serve. */
function isInUnknownGroup({ group }: Upstream, draft: Draft): boolean {
    return group !== undefined && !isStandby(group.name) && !draft.overNames.has(group.name);
}

/** Usable VMs that are in no group, by domain. */
export function freeByDomain(draft: Draft): Map<string, Upstream[]> {
    return new Map([...draft.usableByDomain.keys()].map(domain => [domain, freeIn(domain, draft)]));
}

export function freeIn(domain: string, draft: Draft): Upstream[] {
    const usable = draft.usableByDomain.get(domain) ?? [];
    return usable.filter(upstream => !draft.groupTable.isInGroup(upstream.id) && !isInUnknownGroup(upstream, draft));
}

/** VMs in living groups of a model, where they may serve. */
export function vmsOf(model: EngineModel, { view, groupTable }: Draft): number {
    const isEvacuated = (id: string) => view.evacuated.includes(view.upstreams.get(id)?.dataCentre ?? "");
    let vms = 0;
    for (const { model: groupModel, phase, memberIds } of groupTable.groups.values()) {
        if (groupModel === model.name && phase !== "ending" && (view.evacuated.length === 0 || !isEvacuated(memberIds[0]!))) {
            vms += memberIds.length;
        }
    }
    return vms;
}

/** How many VMs a model's work keeps busy; where nothing is known, the shares that the site states, whose unit cancels out. */
export function demandOf(model: EngineModel, { view }: Draft): number {
    return view.demand.get(model.name) ?? model.share;
}

/** A model's VMs for each that its work keeps busy: the model with the least is helped first. */
export function coverage(model: EngineModel, draft: Draft): number {
    return coverageOfVms(vmsOf(model, draft), model, draft);
}

/** What `vms` VMs are for a model's coverage. */
export function coverageOfVms(vms: number, model: EngineModel, draft: Draft): number {
    return vms / Math.max(demandOf(model, draft), 1e-6);
}

/** Models of which a group fits into a domain, as far as the VMs there may be used. */
export function fittingModels(domain: string, draft: Draft): readonly EngineModel[] {
    const vms = draft.usableByDomain.get(domain)?.length ?? 0;
    return draft.view.engine.models.filter(model => model.size <= vms);
}

/** Models by their coverage, the least first. One that fits nowhere is left out: it must not keep the others from their VMs. */
export function byCoverage(draft: Draft): EngineModel[] {
    const fitting = new Set([...draft.usableByDomain.keys()].flatMap(domain => fittingModels(domain, draft)));
    return [...fitting].sort((a, b) => coverage(a, draft) - coverage(b, draft));
}

/** VMs that a domain keeps free. */
export function sparesOf(domain: string, draft: Draft): number {
    return Math.floor((draft.usableByDomain.get(domain)?.length ?? 0) / vmsPerSpare);
}
