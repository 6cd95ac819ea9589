/**
 * Takes VMs from one model for another that they are worth more to.
 *
 * The patterns it answers: VMs announce themselves over some seconds, and the first of them fill up with small groups, so that a model
 * of large groups finds no room although callers are not there yet; and domains lose VMs all day, until a large group lacks a last member
 * while small ones run beside it. Either would stay so for good.
 *
 * What a division is worth: the part of the callers' work that is on time. Of a model whose VMs are just kept busy about two thirds are,
 * with twice the VMs nearly all; so VMs go from where there are plenty to where there are too few. What keeps it from swinging: a move has
 * to be worth something by a margin and for some time, and the VMs that it frees are kept for the model that it was made for.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import { coverageOfVms, demandOf, type Draft, fittingModels, freeIn, isRepair, readinessOf, sparesOf, vmsOf } from "./draft.js";
import type { PlannedGroup } from "./types.js";

/**
 * With callers there, a move has to be worth it for this long: a repair from a spare takes less, VMs that started again come back sooner,
 * while a group that is broken for nothing is down for two seconds.
 */
const patienceMs = 1_500;
/** The part of all work that a move has to bring on time, with callers there: its VMs serve nobody for some two seconds. */
const leastGain = 0.03;
/** How soon more VMs bring more on time: 0.67 with as many VMs as are kept busy, 0.92 with half as many again. */
const onTimeSteepness = 1.1;
/** VMs that were freed for a model are kept for it this long: the head of a busy group closes in two seconds. */
const reservedMs = 6_000;

/** Groups of one domain to break, so that one more group of `model` has room there. */
export interface Move {
    readonly model: EngineModel;
    readonly domain: string;
    readonly broken: readonly PlannedGroup[];
    readonly gain: number;
}

/** VMs of groups that are ending and those that are free, where they may be used. */
function soonFree(domain: string, draft: Draft): Upstream[] {
    const ending = draft.groupTable.groupsInDomain(domain)
        .filter(group => group.phase === "ending")
        .flatMap(group => membersOf(group, draft));
    return [...freeIn(domain, draft), ...ending];
}

function membersOf(group: PlannedGroup, draft: Draft): Upstream[] {
    return group.memberIds.map(id => draft.usable.get(id)).filter(upstream => upstream !== undefined);
}

/** Those that could join a group of `model` without a load that callers would wait for. */
function joinable(upstreams: readonly Upstream[], model: EngineModel, draft: Draft): Upstream[] {
    return upstreams.filter(upstream => !draft.view.hasTraffic || readinessOf(upstream, model, draft) !== "empty");
}

/** Whether `upstreams` of a domain are enough for one more group, spares counted where there is nothing of one to repair. */
function hasRoom(domain: string, model: EngineModel, upstreams: readonly Upstream[], draft: Draft): boolean {
    const able = joinable(upstreams, model, draft);
    const kept = isRepair(able, model, draft) ? 0 : sparesOf(domain, draft);
    return able.length >= model.size && upstreams.length >= model.size + kept;
}

/** The part of a model's work that is on time with `vms` VMs. */
function onTimeShare(vms: number, model: EngineModel, draft: Draft): number {
    const coverage = coverageOfVms(vms, model, draft);
    return 1 - Math.exp(-onTimeSteepness * coverage * coverage);
}

/**
 * The weight of a model: half by the time of groups that its callers ask for, whatever the VMs that takes, and half by that of VMs. By the
 * first alone a model of large groups would get none as soon as VMs are few, and its callers nothing.
 */
function weightOf(model: EngineModel, draft: Draft): number {
    const { models } = draft.view.engine;
    const shareOf = (work: (candidate: EngineModel) => number) => work(model) / models.reduce((sum, candidate) => sum + work(candidate), 0);
    return (shareOf(candidate => demandOf(candidate, draft) / candidate.size) + shareOf(candidate => demandOf(candidate, draft))) / 2;
}

/** What it is worth that `model` has `change` VMs more. */
function worthOf(change: number, model: EngineModel, draft: Draft): number {
    const vms = vmsOf(model, draft);
    return weightOf(model, draft) * (onTimeShare(vms + change, model, draft) - onTimeShare(vms, model, draft));
}

function gainOf(model: EngineModel, broken: readonly PlannedGroup[], draft: Draft): number {
    return draft.view.engine.models.reduce((sum, candidate) => {
        const lost = broken.filter(group => group.model === candidate.name).reduce((vms, group) => vms + group.memberIds.length, 0);
        return sum + worthOf((candidate === model ? model.size : 0) - lost, candidate, draft);
    }, 0);
}

/** The fewest groups of other models to break in `domain`, so that one of `model` has room there. */
function moveIn(domain: string, model: EngineModel, draft: Draft): Move | undefined {
    const others = draft.groupTable.groupsInDomain(domain).filter(group => group.model !== model.name && group.phase !== "ending");
    const able = (group: PlannedGroup) => joinable(membersOf(group, draft), model, draft).length;
    const order = others.sort((a, b) => able(b) - able(a) || (a.name < b.name ? -1 : 1));
    const room = soonFree(domain, draft);
    for (let count = 0; count <= order.length; count++) {
        const broken = order.slice(0, count);
        if (hasRoom(domain, model, [...room, ...broken.flatMap(group => membersOf(group, draft))], draft)) {
            return count === 0 ? undefined : { model, domain, broken, gain: gainOf(model, broken, draft) };
        }
    }
    return undefined;
}

/** The move that is worth most. */
function bestMove(draft: Draft): Move | undefined {
    const moves = [...draft.usableByDomain.keys()]
        .filter(domain => !draft.reserved.has(domain))
        .flatMap(domain => fittingModels(domain, draft).map(model => moveIn(domain, model, draft)))
        .filter(move => move !== undefined && move.gain > (draft.view.hasTraffic ? leastGain : 0));
    return moves.sort((a, b) => b!.gain - a!.gain)[0];
}

/**
 * What to break in this step; its domain is reserved from now on. With callers there one move is finished before the next is weighed: until
 * its group has formed, its model still looks as short as before, and a second move would be made for the same shortage.
 */
export function regroup(draft: Draft): Move | undefined {
    const { nowMs, hasTraffic } = draft.view;
    const move = hasTraffic && draft.reserved.size > 0 ? undefined : bestMove(draft);
    const known = draft.shortSince?.model === move?.model.name ? draft.shortSince : undefined;
    draft.shortSince = move === undefined ? undefined : known ?? { model: move.model.name, atMs: nowMs };
    if (move === undefined || (hasTraffic && nowMs - draft.shortSince!.atMs < patienceMs)) {
        return undefined;
    }
    draft.reserved.set(move.domain, { model: move.model.name, untilMs: nowMs + reservedMs });
    return move;
}
