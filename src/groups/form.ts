/**
 * Decides which groups to form from the free VMs.
 *
 * Designed for a site that loses a VM for good every few seconds, each time one member of a group, while empty VMs arrive about as often.
 * A group that lost a member serves again about 2 s later if a spare with its weights can join; without such a spare it waits 12 to 16 s
 * for a load from the weight store. So each domain keeps spares, if possible one with the weights of each model.
 *
 * @module
 */

import { groupNameOf, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    countAssignedVms, coverage, demandOf, freeByDomain, freeInDomain, includesFormerMember, modelsByCoverage, type PlanningStep,
    type Readiness, readinessOf, readinessRanks, sparesToKeep,
} from "./planningStep.js";
import { describeSparesGivenUp, isLeftToWorseCovered, sparesBeside } from "./shortage.js";

interface Placement {
    readonly domain: string;
    readonly members: readonly Upstream[];
    readonly readiness: Readiness;
    readonly remainingVms: number;
}

/** Returns the best placement for one more group of `model`: the one that can serve soonest, then the one that leaves most VMs free. */
function bestPlacement(model: EngineModel, free: ReadonlyMap<string, Upstream[]>, step: PlanningStep): Placement | undefined {
    const placements = [...free].flatMap(([domain, upstreams]): Placement[] => {
        if (upstreams.length < model.size) {
            return [];
        }
        const rankOf = (upstream: Upstream) => readinessRanks[readinessOf(upstream, model, step)];
        // VMs that can join no other model's groups are used first, so that the more versatile ones remain as spares.
        const countJoinableModels = (upstream: Upstream) =>
            step.view.engine.models.filter(other => readinessOf(upstream, other, step) !== "empty").length;
        const sorted = [...upstreams].sort((a, b) =>
            rankOf(a) - rankOf(b) || countJoinableModels(a) - countJoinableModels(b) || (a.id < b.id ? -1 : 1));
        const members = sorted.slice(0, model.size);
        return [{ domain, members, readiness: readinessOf(members.at(-1)!, model, step), remainingVms: upstreams.length - model.size }];
    });
    return placements.sort((a, b) =>
        readinessRanks[a.readiness] - readinessRanks[b.readiness] || b.remainingVms - a.remainingVms || (a.domain < b.domain ? -1 : 1))[0];
}

/**
 * Whether the group would use VMs that a model with lower coverage could need: VMs with that model's weights on the accelerator, or none.
 */
function takesFromWorseCovered(placement: Placement, model: EngineModel, step: PlanningStep): boolean {
    if (step.view.plansForShortage && !includesFormerMember(placement.members, model, step)) {
        return isLeftToWorseCovered(placement.members, placement.domain, model, step);
    }
    const [worst] = modelsByCoverage(step);
    return worst !== undefined && coverage(worst, step) < coverage(model, step) && placement.readiness !== "hot";
}

/** Whether the group may be formed now, given the spares that remain and the weights that have to be loaded. */
function isWorthwhile(placement: Placement, model: EngineModel, step: PlanningStep): boolean {
    const { view } = step;
    const isServed = [...step.groupTable.groups.values()].some(group => group.model === model.name && group.phase !== "ending");
    if (!isServed) {
        return true;
    }
    if (view.hasTraffic && takesFromWorseCovered(placement, model, step)) {
        return false;
    }
    const idleVms = placement.remainingVms + model.size;
    const isRepair = includesFormerMember(placement.members, model, step);
    if (!isRepair && placement.remainingVms < sparesBeside(model, placement.domain, idleVms, step)) {
        return false;
    }
    return !view.hasTraffic || placement.readiness !== "empty";
}

function formGroup(placement: Placement, model: EngineModel, step: PlanningStep): void {
    const { view } = step;
    const reason = describeSparesGivenUp(placement.domain, placement.remainingVms, step) ?? `a group of ${placement.readiness} VMs`;
    step.lastEpoch++;
    const epoch = step.lastEpoch;
    const name = groupNameOf(model.name, epoch);
    const memberIds = placement.members.map(member => member.id);
    step.groupTable.put({
        name, epoch, model: model.name, domain: placement.domain, memberIds,
        bornMs: placement.members.map(member => member.bornMs), phase: "forming", sinceMs: view.nowMs, isGraceful: false,
    });
    for (const upstreamId of memberIds) {
        step.orders.push({ upstreamId, order: { kind: "join", group: name, epoch, model: model.name, memberIds }, reason });
    }
}

/** Returns how many VMs a model would get if all usable VMs except the spares were divided by demand. */
function fairShareVms(model: EngineModel, step: PlanningStep): number {
    const { engine } = step.view;
    const usable = [...step.usableByDomain].reduce((sum, [domain, upstreams]) => sum + upstreams.length - sparesToKeep(domain, step), 0);
    const total = engine.models.reduce((sum, candidate) => sum + demandOf(candidate, step), 0);
    return usable * demandOf(model, step) / Math.max(total, 1e-6);
}

/**
 * Returns the model to form a group of next: the largest one that is below its fair share by half a group or more, since small groups fit
 * into the VMs that large ones leave but not vice versa; otherwise the one with the lowest coverage.
 */
function nextModel(rejected: ReadonlySet<string>, step: PlanningStep): EngineModel | undefined {
    const candidates = step.view.engine.models.filter(model => !rejected.has(model.name));
    const underserved = candidates.filter(model => countAssignedVms(model, step) + model.size / 2 <= fairShareVms(model, step));
    return underserved.sort((a, b) => b.size - a.size)[0] ?? candidates.sort((a, b) => coverage(a, step) - coverage(b, step))[0];
}

/** Returns the free VMs that a model may use, by domain. A reserved domain is left out unless it is reserved for this model. */
function freeForModel(model: EngineModel, step: PlanningStep): ReadonlyMap<string, Upstream[]> {
    return new Map([...freeByDomain(step)].filter(([domain]) => (step.reservations.get(domain)?.model ?? model.name) === model.name));
}

/** Forms the groups for which others were broken up, as soon as their VMs are free. */
function formReserved(step: PlanningStep): void {
    for (const [domain, { model: name }] of [...step.reservations]) {
        const model = step.view.engine.models.find(candidate => candidate.name === name);
        const free = freeInDomain(domain, step);
        const placement = model === undefined ? undefined : bestPlacement(model, new Map([[domain, free]]), step);
        if (placement !== undefined && (!step.view.hasTraffic || placement.readiness !== "empty")) {
            formGroup(placement, model!, step);
            step.reservations.delete(domain);
        }
    }
}

/** Forms groups for the models that are short of VMs, as long as one is worthwhile. */
export function formGroups(step: PlanningStep): void {
    formReserved(step);
    const rejected = new Set<string>();
    for (;;) {
        const model = nextModel(rejected, step);
        if (model === undefined) {
            return;
        }
        const placement = bestPlacement(model, freeForModel(model, step), step);
        if (placement === undefined || !isWorthwhile(placement, model, step)) {
            rejected.add(model.name);
            continue;
        }
        formGroup(placement, model, step);
    }
}
