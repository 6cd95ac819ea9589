/**
 * Takes VMs from a model that has enough for one that is short of them.
 *
 * The patterns it answers: VMs announce themselves over some seconds, and the first of them fill up with small groups, so that a model
 * of large groups finds no room although callers are not there yet; and domains lose VMs all day, until a large group lacks a last member
 * while small ones run beside it. Either would stay so for good.
 *
 * What keeps it from swinging: a group is broken only where the worst covered model is better covered afterwards, whichever that is
 * then, by a margin and for some time; nothing is broken while VMs that are enough for the short model are free or about to be.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    byCoverage, coverage, coverageOfVms, domainsOf, type Draft, freeByDomain, isUsable, readinessOf, type Reserved, sparesOf,
} from "./form.js";
import type { PlannedGroup } from "./types.js";

/**
 * With callers there, a model has to be short for this long: a repair from a spare takes less, and VMs that started again are back sooner,
 * while a group that is broken for nothing is down for two seconds.
 */
const patienceMs = 1_500;
/** The worst coverage has to grow by this part, more than the observed demand wavers. */
const leastGain = 0.1;

/** Groups of one domain that would make room for one more group of another model. */
interface Move {
    readonly broken: readonly PlannedGroup[];
    readonly vms: number;
}

/** VMs of groups that are ending and those that are free, where they may be used. */
function soonFree(domain: string, draft: Draft): Upstream[] {
    const endingIds = [...draft.groups.values()].filter(group => group.phase === "ending").flatMap(group => group.memberIds);
    const ending = draft.view.upstreams.filter(upstream =>
        upstream.domain === domain && endingIds.includes(upstream.id) && isUsable(upstream, draft.view));
    return [...freeByDomain(draft).get(domain) ?? [], ...ending];
}

/** Those that could join a group of `model` without a load that callers would wait for. */
function joinable(upstreams: readonly Upstream[], model: EngineModel, draft: Draft): Upstream[] {
    return upstreams.filter(upstream => !draft.view.hasTraffic || readinessOf(upstream, model, draft) !== "empty");
}

/** VMs that a further group of `model` takes from a domain: where none of it is left to repair, spares have to stay as well. */
function vmsNeeded(domain: string, model: EngineModel, upstreams: readonly Upstream[], draft: Draft): number {
    const isRepair = upstreams.some(upstream => readinessOf(upstream, model, draft) === "hot");
    return model.size + (isRepair ? 0 : sparesOf(domain, draft));
}

function hasRoom(domain: string, model: EngineModel, upstreams: readonly Upstream[], draft: Draft): boolean {
    const able = joinable(upstreams, model, draft);
    return able.length >= model.size && upstreams.length >= vmsNeeded(domain, model, able, draft);
}

function membersOf(group: PlannedGroup, draft: Draft): Upstream[] {
    return draft.view.upstreams.filter(upstream => group.memberIds.includes(upstream.id) && isUsable(upstream, draft.view));
}

/** The fewest groups of other models to break in `domain`, so that one of `model` has room there. */
function moveIn(domain: string, model: EngineModel, draft: Draft): Move | undefined {
    const others = [...draft.groups.values()].filter(group => group.domain === domain && group.model !== model.name && group.phase !== "ending");
    const able = (group: PlannedGroup) => joinable(membersOf(group, draft), model, draft).length;
    const order = others.sort((a, b) => able(b) - able(a) || (a.name < b.name ? -1 : 1));
    const room = soonFree(domain, draft);
    for (let count = 1; count <= order.length; count++) {
        const broken = order.slice(0, count);
        if (hasRoom(domain, model, [...room, ...broken.flatMap(group => membersOf(group, draft))], draft)) {
            return { broken, vms: broken.reduce((sum, group) => sum + group.memberIds.length, 0) };
        }
    }
    return undefined;
}

/** The coverage of the worst covered model, if `move` is made for `model`. */
function worstAfter(move: Move, model: EngineModel, draft: Draft): number {
    return Math.min(...byCoverage(draft).map(candidate => {
        const lost = move.broken.filter(group => group.model === candidate.name).reduce((sum, group) => sum + group.memberIds.length, 0);
        const gained = candidate.name === model.name ? model.size : 0;
        return coverage(candidate, draft) + coverageOfVms(gained - lost, candidate, draft);
    }));
}

/** Groups to break now, and the model that gets their VMs. */
export interface Regrouping {
    readonly broken: readonly PlannedGroup[];
    readonly model: string;
}

/** Domains where a group of the worst covered model can be formed once groups there have ended. */
export function reserve(draft: Draft): Reserved | undefined {
    const [model] = byCoverage(draft);
    if (model === undefined) {
        return undefined;
    }
    const free = freeByDomain(draft);
    const domains = domainsOf(draft).filter(domain =>
        !hasRoom(domain, model, free.get(domain) ?? [], draft) && hasRoom(domain, model, soonFree(domain, draft), draft));
    return { model: model.name, domains };
}

/** What could be broken now, if it helps the model that is worst covered. */
function findRegrouping(draft: Draft): Regrouping | undefined {
    const [model] = byCoverage(draft);
    if (model === undefined || domainsOf(draft).some(domain => hasRoom(domain, model, soonFree(domain, draft), draft))) {
        return undefined;
    }
    const moves = domainsOf(draft).map(domain => moveIn(domain, model, draft)).filter(move => move !== undefined);
    const best = moves.sort((a, b) => a.vms - b.vms)[0];
    const isBetter = best !== undefined && worstAfter(best, model, draft) > coverage(model, draft) * (1 + leastGain);
    return isBetter ? { broken: best.broken, model: model.name } : undefined;
}

/** What to break in this step. */
export function regroup(draft: Draft): Regrouping | undefined {
    const found = findRegrouping(draft);
    const { nowMs, hasTraffic } = draft.view;
    const known = draft.shortSince?.model === found?.model ? draft.shortSince : undefined;
    draft.shortSince = found === undefined ? undefined : known ?? { model: found.model, atMs: nowMs };
    const isDue = draft.shortSince !== undefined && (!hasTraffic || nowMs - draft.shortSince.atMs >= patienceMs);
    return isDue ? found : undefined;
}
