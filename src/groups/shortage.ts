/**
 * Rules for a shortage of capacity: when a model is short, how many spares a domain keeps then, and which VMs are left to which model. They
 * apply only with `GroupsView.plansForShortage`.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    countAssignedVms, coverage, coverageWithVms, fittingModels, freeInDomain, includesFormerMember, modelsByCoverage, type PlanningStep,
    readinessOf, sparesToKeep,
} from "./planningStep.js";
import type { GroupsState, GroupsView } from "./types.js";

/** The coverage below which callers are late: at this one, about five sixths of a model's work are on time. */
const onTimeCoverage = 1.3;
/** The coverage above which a model loses little to a move: 0.94 of its work are on time. */
const movableCoverage = 1.6;
/**
 * The share of a group that has to stand idle beyond the spares before spares are given up for it. With less, most of what the group
 * gains is lost again by the repairs that wait for a load: domains of ten with groups of four and two lost service that way.
 */
const minIdleShare = 0.5;
/** Spares that a domain keeps in any case: one repairs the loss of a VM within 2 s, and its replacement is loaded meanwhile. */
const minSpares = 1;
/** The head of a busy group closes in two seconds. */
const closeMs = 2_000;
/** A domain whose number of usable VMs has grown within this time is still filling: VMs of a restarted domain report within 0.3 s. */
const fillingMs = 300;

/** How far ahead the demand for a group that is formed now matters: until its VMs have joined from their hosts. */
export function joinHorizonMs({ engine }: GroupsView): number {
    return Math.max(0, ...engine.models.map(({ warmMs }) => warmMs));
}

/** How far ahead the demand for a move matters: until the groups that it breaks up have closed and their VMs have joined anew. */
export function moveHorizonMs(view: GroupsView): number {
    return closeMs + joinHorizonMs(view);
}

/** How far ahead the demand for a load that is ordered now matters. */
export function loadHorizonMs({ engine }: GroupsView): number {
    return Math.max(0, ...engine.models.map(({ loadMs }) => loadMs));
}

/** Returns the demand to plan for if what is ordered now takes effect after `horizonMs`. */
export function demandAt(horizonMs: number, view: GroupsView): ReadonlyMap<string, number> {
    return view.plansForShortage ? view.forecastDemand(horizonMs) : view.demand;
}

/** Whether a model's callers are late because it has too few VMs. */
export function isShort(model: EngineModel, step: PlanningStep): boolean {
    return step.view.plansForShortage && step.view.hasTraffic && coverage(model, step) < onTimeCoverage;
}

/** Returns the short model with the lowest coverage among those that fit into a domain. */
export function shortestModel(domain: string, step: PlanningStep): EngineModel | undefined {
    const fitting = fittingModels(domain, step);
    return modelsByCoverage(step).find(model => fitting.includes(model) && isShort(model, step));
}

/**
 * Whether one more group of `model` helps against a shortage: the model is short, or another one is and `model` cannot spare the VMs of
 * one of its groups yet. If it can, a move breaks up groups of `model` whose hosts hold the short model, in a third of the time of a load.
 */
function isGroupNeeded(model: EngineModel, step: PlanningStep): boolean {
    const shortSizes = step.view.engine.models.filter(candidate => isShort(candidate, step)).map(({ size }) => size);
    const surplusVms = Math.max(model.size, ...shortSizes);
    return shortSizes.length > 0 && coverageWithVms(countAssignedVms(model, step) - surplusVms, model, step) < movableCoverage;
}

/** Whether enough of the `idleVms` of a domain stand idle beyond its spares that a group of `model` is formed mostly of them. */
export function hasIdleBeyondSpares(model: EngineModel, domain: string, idleVms: number, step: PlanningStep): boolean {
    return idleVms - sparesToKeep(domain, step) >= model.size * minIdleShare;
}

/**
 * Returns how many VMs of a domain have to remain free if a group of `model` is formed there; `idleVms` are in no group before that.
 * A group needed against a shortage may use spares if it also uses VMs that would stand idle beyond the spares.
 */
export function sparesBeside(model: EngineModel, domain: string, idleVms: number, step: PlanningStep): number {
    const spares = sparesToKeep(domain, step);
    const isGivenUp = isGroupNeeded(model, step) && hasIdleBeyondSpares(model, domain, idleVms, step);
    return isGivenUp ? Math.min(spares, minSpares) : spares;
}

function countJoinable(upstreams: readonly Upstream[], model: EngineModel, step: PlanningStep): number {
    return upstreams.filter(upstream => readinessOf(upstream, model, step) !== "empty").length;
}

/**
 * Whether `members` are left to a model with lower coverage. A group needed against a shortage leaves it only VMs of which it could form a
 * group now; any other group leaves a short model all VMs of a domain into which it fits, since they are soon loaded with its weights.
 */
export function isLeftToWorseCovered(members: readonly Upstream[], domain: string, model: EngineModel, step: PlanningStep): boolean {
    const [worst] = modelsByCoverage(step);
    if (worst === undefined || coverage(worst, step) >= coverage(model, step)) {
        return false;
    }
    // Members of a group that lost one VM wait for a single load; a group of another model would take them for good.
    if (includesFormerMember(members, worst, step)) {
        return true;
    }
    if (!isGroupNeeded(model, step)) {
        return shortestModel(domain, step) !== undefined;
    }
    const free = freeInDomain(domain, step);
    const rest = free.filter(upstream => !members.includes(upstream));
    return countJoinable(free, worst, step) >= worst.size && countJoinable(rest, worst, step) < worst.size;
}

/** Notes in which domains the number of usable VMs has grown since the last step. */
export function updateArrivals(
    arrivals: GroupsState["arrivals"], usableByDomain: ReadonlyMap<string, readonly Upstream[]>, nowMs: number,
): GroupsState["arrivals"] {
    return new Map([...usableByDomain].map(([domain, { length }]) => {
        const previous = arrivals.get(domain);
        const grownAtMs = length > (previous?.usableVms ?? 0) ? nowMs : previous!.grownAtMs;
        return [domain, { usableVms: length, grownAtMs }];
    }));
}

/**
 * Whether the VMs of a domain are about to form a group of a short model, as when the domain has restarted and its VMs report one after
 * the other. The group's own join loads the weights onto the accelerator; a standby join before it would only delay it.
 */
export function isAboutToForm(domain: string, step: PlanningStep): boolean {
    const grownAtMs = step.arrivals.get(domain)?.grownAtMs ?? Number.NEGATIVE_INFINITY;
    if (step.view.nowMs - grownAtMs > fillingMs) {
        return false;
    }
    const free = freeInDomain(domain, step);
    // All models count: the VMs heard so far may be too few for a group that the domain will have room for.
    return step.view.engine.models.some(model => isGroupNeeded(model, step) && countJoinable(free, model, step) >= model.size / 2);
}

/** Returns the coverage of a model to a tenth, for the log. */
export function roundedCoverage(model: EngineModel, step: PlanningStep): number {
    return Math.round(coverage(model, step) * 10) / 10;
}

/** Returns why a group may be formed with fewer spares than the rule, for the log; undefined if it needs none of them. */
export function describeSparesGivenUp(domain: string, remainingVms: number, step: PlanningStep): string | undefined {
    const givenUp = sparesToKeep(domain, step) - remainingVms;
    const shortest = shortestModel(domain, step);
    if (givenUp <= 0 || shortest === undefined) {
        return undefined;
    }
    return `${givenUp} spare(s) of domain ${domain} are given up: model ${shortest.name} covers ${roundedCoverage(shortest, step)} of its demand`;
}
