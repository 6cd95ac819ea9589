/**
 * The working state of one planning step and queries on it: which VMs are usable or free, which weights they hold, and how well each model
 * is covered.
 *
 * @module
 */

import { isStandby, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import type { GroupTable } from "./table.js";
import type { GroupsState, GroupsView, AddressedOrder, PendingLoad, Reservation, StandbyJoin } from "./types.js";

/** One spare for this many VMs of a domain: during the 15 s of a repair about one VM in eight is lost on the heaviest days seen. */
const vmsPerSpare = 8;
/** How quickly a VM can join a group of a model: its weights are on the accelerator (`hot`), only on the host (`warm`), or on neither. */
export type Readiness = "hot" | "warm" | "empty";
export const readinessRanks: Record<Readiness, number> = { hot: 0, warm: 1, empty: 2 };

/** The working state of one planning step. It exists only during one call of `planGroups`. */
export interface PlanningStep {
    readonly view: GroupsView;
    /** VMs that requests keep busy, by model, at the time at which the orders that are being chosen take effect. */
    demand: ReadonlyMap<string, number>;
    /** VMs that may be put into a group, by id and by domain. */
    readonly usable: ReadonlyMap<string, Upstream>;
    readonly usableByDomain: ReadonlyMap<string, readonly Upstream[]>;
    readonly groupTable: GroupTable;
    readonly orders: AddressedOrder[];
    readonly lastModels: GroupsState["lastModels"];
    readonly pendingLoads: Map<string, PendingLoad>;
    readonly standbyJoins: Map<string, StandbyJoin>;
    /** Groups that this leader has seen end, including those that end in this step. */
    readonly endedGroupNames: Set<string>;
    lastEpoch: number;
    shortSince: GroupsState["shortSince"];
    readonly reservations: Map<string, Reservation>;
    readonly arrivals: GroupsState["arrivals"];
}

/**
 * Whether a VM may be put into a group. A VM that has not reported since this leader took over may have joined a group of the previous
 * leader just before that leader and the VM's report to it were lost. Assigned to another group, it would be in two.
 */
function isUsable(upstream: Upstream, view: GroupsView): boolean {
    const isHeard = upstream.heardAtMs > view.leadsSinceMs;
    return isHeard && upstream.state === "ready" && !view.isLost(upstream.id) && !view.evacuatedDataCentres.includes(upstream.dataCentre);
}

/** The VMs that may be put into a group, by id and by domain. */
export function collectUsable(view: GroupsView): Pick<PlanningStep, "usable" | "usableByDomain"> {
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

/** Returns the model whose weights are on a VM's accelerator, as far as this leader has observed. */
export function modelOnAccelerator(upstream: Upstream, step: PlanningStep): string | undefined {
    const last = step.lastModels.get(upstream.id);
    return last?.bornMs === upstream.bornMs ? last.model : undefined;
}

export function readinessOf(upstream: Upstream, model: EngineModel, step: PlanningStep): Readiness {
    if (modelOnAccelerator(upstream, step) === model.name) {
        return "hot";
    }
    return upstream.stagedModels.includes(model.name) ? "warm" : "empty";
}

/**
 * Whether any of the VMs is left over from a group of `model`, so that a group formed of them is a repair and may use up spares. Spares
 * in standby groups don't count, although they are hot.
 */
export function includesFormerMember(members: readonly Upstream[], model: EngineModel, step: PlanningStep): boolean {
    return members.some(member => readinessOf(member, model, step) === "hot" && !isStandby(member.group?.name ?? ""));
}

/** Whether a VM reports a group unknown to this leader. Another leader, partitioned from this one, may have formed it, and it may serve. */
function isInUnknownGroup({ group }: Upstream, step: PlanningStep): boolean {
    return group !== undefined && !isStandby(group.name) && !step.endedGroupNames.has(group.name);
}

/** Usable VMs that are in no group, by domain. */
export function freeByDomain(step: PlanningStep): Map<string, Upstream[]> {
    return new Map([...step.usableByDomain.keys()].map(domain => [domain, freeInDomain(domain, step)]));
}

export function freeInDomain(domain: string, step: PlanningStep): Upstream[] {
    const usable = step.usableByDomain.get(domain) ?? [];
    return usable.filter(upstream => !step.groupTable.isInGroup(upstream.id) && !isInUnknownGroup(upstream, step));
}

/** Counts the VMs in forming and open groups of a model, without groups in evacuated data centres. */
export function countAssignedVms(model: EngineModel, { view, groupTable }: PlanningStep): number {
    const isEvacuated = (id: string) => view.evacuatedDataCentres.includes(view.upstreams.get(id)?.dataCentre ?? "");
    let vms = 0;
    for (const { model: groupModel, phase, memberIds } of groupTable.groups.values()) {
        if (groupModel === model.name && phase !== "ending" && (view.evacuatedDataCentres.length === 0 || !isEvacuated(memberIds[0]!))) {
            vms += memberIds.length;
        }
    }
    return vms;
}

/**
 * Returns how many VMs a model's requests keep busy. While that is unknown, it returns the configured share of the model, whose unit
 * cancels out.
 */
export function demandOf(model: EngineModel, { demand }: PlanningStep): number {
    return demand.get(model.name) ?? model.share;
}

/** Returns a model's VMs divided by the VMs that its requests keep busy. The model with the lowest coverage gets VMs first. */
export function coverage(model: EngineModel, step: PlanningStep): number {
    return coverageWithVms(countAssignedVms(model, step), model, step);
}

/** Returns the coverage that `vms` VMs give a model. */
export function coverageWithVms(vms: number, model: EngineModel, step: PlanningStep): number {
    return vms / Math.max(demandOf(model, step), 1e-6);
}

/** Returns the models whose groups fit into the usable VMs of a domain. */
export function fittingModels(domain: string, step: PlanningStep): readonly EngineModel[] {
    const vms = step.usableByDomain.get(domain)?.length ?? 0;
    return step.view.engine.models.filter(model => model.size <= vms);
}

/** Returns the models by coverage, lowest first. A model that fits nowhere is left out, so that it does not keep VMs from the others. */
export function modelsByCoverage(step: PlanningStep): EngineModel[] {
    const fitting = new Set([...step.usableByDomain.keys()].flatMap(domain => fittingModels(domain, step)));
    return [...fitting].sort((a, b) => coverage(a, step) - coverage(b, step));
}

/** Returns the number of VMs that a domain keeps free. */
export function sparesToKeep(domain: string, step: PlanningStep): number {
    return Math.floor((step.usableByDomain.get(domain)?.length ?? 0) / vmsPerSpare);
}
