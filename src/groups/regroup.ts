/**
 * Moves VMs from one model to another that gains more from them than the first one loses.
 *
 * Designed for two situations that would otherwise persist. VMs announce themselves over several seconds at the start of a site, and small
 * groups fill the first ones, so that a model with large groups finds no room although there are no callers yet. And domains lose VMs all
 * day, until a large group lacks one member while small groups run beside it.
 *
 * A division of VMs is valued by the share of callers' work that is on time: about two thirds for a model whose VMs are just kept busy,
 * nearly all with twice as many VMs. So VMs move from models with a surplus to models with a shortage. To avoid oscillation, a move has to
 * exceed a minimum gain for some time, and the VMs that it frees are reserved for the model that it was made for.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import { coverageWithVms, demandOf, type PlanningStep, fittingModels, freeInDomain, includesFormerMember, readinessOf, countAssignedVms } from "./planningStep.js";
import { sparesBeside } from "./shortage.js";
import type { PlannedGroup } from "./types.js";

/**
 * With traffic, a move has to be worthwhile for this long before it is made: a repair from a spare takes less time and restarted VMs are
 * back sooner, while a group that is broken up needlessly is down for two seconds.
 */
const minAdvantageDurationMs = 1_500;
/** With traffic, the share of all work that a move has to bring on time: its VMs serve nobody for about two seconds. */
const minGain = 0.03;
/** How steeply the on-time share rises with coverage: it is 0.67 at a coverage of 1 and 0.92 at 1.5. */
const onTimeSteepness = 1.1;
/** How long VMs that were freed for a model stay reserved for it: the head of a busy group closes in two seconds. */
const reservationMs = 6_000;

/** Groups of one domain to break up, so that one more group of `model` has room there. */
export interface Move {
    readonly model: EngineModel;
    readonly domain: string;
    readonly groupsToBreak: readonly PlannedGroup[];
    readonly gain: number;
}

/** Returns the usable VMs of a domain that are free or in ending groups. */
function freeOrEnding(domain: string, step: PlanningStep): Upstream[] {
    const ending = step.groupTable.groupsInDomain(domain)
        .filter(group => group.phase === "ending")
        .flatMap(group => usableMembers(group, step));
    return [...freeInDomain(domain, step), ...ending];
}

function usableMembers(group: PlannedGroup, step: PlanningStep): Upstream[] {
    return group.memberIds.map(id => step.usable.get(id)).filter(upstream => upstream !== undefined);
}

/** Returns the VMs that could join a group of `model` without a load that callers would wait for. */
function joinable(upstreams: readonly Upstream[], model: EngineModel, step: PlanningStep): Upstream[] {
    return upstreams.filter(upstream => !step.view.hasTraffic || readinessOf(upstream, model, step) !== "empty");
}

/**
 * Whether `upstreams` of a domain suffice for one more group; `idleVms` of them serve nobody now. Unless the group is a repair, spares have
 * to remain as well.
 */
function hasRoom(domain: string, model: EngineModel, upstreams: readonly Upstream[], idleVms: number, step: PlanningStep): boolean {
    const candidates = joinable(upstreams, model, step);
    const spares = includesFormerMember(candidates, model, step) ? 0 : sparesBeside(model, domain, idleVms, step);
    return candidates.length >= model.size && upstreams.length >= model.size + spares;
}

/** Returns the share of a model's work that is on time with `vms` VMs. */
function onTimeShare(vms: number, model: EngineModel, step: PlanningStep): number {
    const coverage = coverageWithVms(vms, model, step);
    return 1 - Math.exp(-onTimeSteepness * coverage * coverage);
}

/**
 * Returns the weight of a model: the average of its share of the demand measured in groups, whatever their size, and its share measured in
 * VMs. By the first alone, a model with large groups would get no VMs when they are scarce, and its callers would not be served at all.
 */
function weightOf(model: EngineModel, step: PlanningStep): number {
    const { models } = step.view.engine;
    const shareOf = (work: (candidate: EngineModel) => number) => work(model) / models.reduce((sum, candidate) => sum + work(candidate), 0);
    return (shareOf(candidate => demandOf(candidate, step) / candidate.size) + shareOf(candidate => demandOf(candidate, step))) / 2;
}

/** Returns the value of changing the number of VMs of `model` by `vmDelta`. */
function valueOfVmDelta(vmDelta: number, model: EngineModel, step: PlanningStep): number {
    const vms = countAssignedVms(model, step);
    return weightOf(model, step) * (onTimeShare(vms + vmDelta, model, step) - onTimeShare(vms, model, step));
}

function gainOf(model: EngineModel, groupsToBreak: readonly PlannedGroup[], step: PlanningStep): number {
    return step.view.engine.models.reduce((sum, candidate) => {
        const lostVms = groupsToBreak.filter(group => group.model === candidate.name)
            .reduce((vms, group) => vms + group.memberIds.length, 0);
        return sum + valueOfVmDelta((candidate === model ? model.size : 0) - lostVms, candidate, step);
    }, 0);
}

/** Returns the move that breaks up the fewest groups of other models in `domain` to make room for one of `model`. */
function findMoveInDomain(domain: string, model: EngineModel, step: PlanningStep): Move | undefined {
    const others = step.groupTable.groupsInDomain(domain).filter(group => group.model !== model.name && group.phase !== "ending");
    const countJoinable = (group: PlannedGroup) => joinable(usableMembers(group, step), model, step).length;
    const sorted = others.sort((a, b) => countJoinable(b) - countJoinable(a) || (a.name < b.name ? -1 : 1));
    const available = freeOrEnding(domain, step);
    for (let count = 0; count <= sorted.length; count++) {
        const groupsToBreak = sorted.slice(0, count);
        const upstreams = [...available, ...groupsToBreak.flatMap(group => usableMembers(group, step))];
        if (hasRoom(domain, model, upstreams, available.length, step)) {
            return count === 0 ? undefined : { model, domain, groupsToBreak, gain: gainOf(model, groupsToBreak, step) };
        }
    }
    return undefined;
}

/** Returns the move with the largest gain. */
function bestMove(step: PlanningStep): Move | undefined {
    const moves = [...step.usableByDomain.keys()]
        .filter(domain => !step.reservations.has(domain))
        .flatMap(domain => fittingModels(domain, step).map(model => findMoveInDomain(domain, model, step)))
        .filter(move => move !== undefined && move.gain > (step.view.hasTraffic ? minGain : 0));
    return moves.sort((a, b) => b!.gain - a!.gain)[0];
}

/**
 * Returns the move to make in this step, if any, and reserves its domain. With traffic, a move is completed before the next one is
 * considered: until its group has formed, its model looks as short of VMs as before, and a second move would be made for the same shortage.
 */
export function regroup(step: PlanningStep): Move | undefined {
    const { nowMs, hasTraffic } = step.view;
    const move = hasTraffic && step.reservations.size > 0 ? undefined : bestMove(step);
    const previous = step.shortSince?.model === move?.model.name ? step.shortSince : undefined;
    step.shortSince = move === undefined ? undefined : previous ?? { model: move.model.name, atMs: nowMs };
    if (move === undefined || (hasTraffic && nowMs - step.shortSince!.atMs < minAdvantageDurationMs)) {
        return undefined;
    }
    step.reservations.set(move.domain, { model: move.model.name, untilMs: nowMs + reservationMs });
    return move;
}
