/**
 * Keeps VMs ready to repair a group of any model: brings weights onto their hosts, and from there onto their accelerators.
 *
 * The pattern it answers: a group of VMs is down from the loss of one until another has joined in its place, and a domain has few VMs to
 * spare. A VM whose last group had the same model joins in 0.2 s; one that has the weights on its host alone needs 1.1 to 1.6 s, an empty
 * one 12 to 16 s. So a spare joins a group of its own, which is never opened, as soon as it has weights. What is on the accelerator
 * is not needed on the host as well: the place there takes the weights of another model, so that any VM can soon serve either.
 *
 * @module
 */

import { standbyNameOf, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    coverage, coverageOfVms, type Draft, fittingModels, freeByDomain, freeIn, isRepair, onAccelerator, readinessOf,
} from "./draft.js";

/** The window over which the store's rate is kept, in ms, and the part of it that is used: another leader's loads may overlap. */
const loadWindowMs = 5_000;
const loadRateShare = 0.8;
/** Of the loads that run at full speed at once, those kept for VMs without any weights: until they have some they are of no use. */
const loadsForEmpty = 2;

function mayLoad(draft: Draft, keptFree: number): boolean {
    const { engine, nowMs, hasTraffic } = draft.view;
    if (!hasTraffic) {
        return true;
    }
    const recent = [...draft.staging.values()].filter(({ atMs }) => nowMs - atMs < loadWindowMs).length;
    const mostAtOnce = Math.max(1, engine.loadsAtOnce - keptFree);
    return recent < engine.loadsPerSecond * loadWindowMs / 1_000 * loadRateShare && draft.staging.size < mostAtOnce;
}

function order(upstream: Upstream, model: string, reason: string, draft: Draft) {
    draft.staging.set(upstream.id, { model, bornMs: upstream.bornMs, atMs: draft.view.nowMs });
    draft.orders.push({ upstreamId: upstream.id, order: { kind: "stage", model }, reason });
}

/** The models of `among` that is worst covered, spares counted. */
function leastCovered(among: readonly EngineModel[], draft: Draft): EngineModel | undefined {
    return among
        .map(model => ({ model, coverage: coverageWithSpares(model, draft) }))
        .sort((a, b) => a.coverage - b.coverage)[0]?.model;
}

/**
 * What the loss of VMs of a domain would cost a model there, unless one more VM can join its groups: a lost member stops all of its group.
 * VMs that are left of a group stand still already.
 */
function needIn(domain: string, model: EngineModel, draft: Draft): number {
    const working = draft.groupTable.groupsInDomain(domain)
        .filter(group => group.model === model.name && group.phase !== "ending")
        .reduce((sum, group) => sum + group.memberIds.length, 0);
    const free = freeIn(domain, draft);
    const left = free.filter(upstream => isRepair([upstream], model, draft));
    const spares = free.filter(upstream => !left.includes(upstream) &&
        (draft.staging.get(upstream.id)?.model === model.name || readinessOf(upstream, model, draft) !== "empty"));
    return (working + left.length) * model.size / (1 + spares.length);
}

/** The model whose weights are needed most in a domain; where nobody works there, the one that is worst covered everywhere. */
function neededIn(domain: string, draft: Draft): EngineModel | undefined {
    const models = fittingModels(domain, draft);
    const byNeed = models.map(model => ({ model, need: needIn(domain, model, draft) })).sort((a, b) => b.need - a.need);
    return (byNeed[0]?.need ?? 0) > 0 ? byNeed[0]!.model : leastCovered(models, draft);
}

/** Brings weights onto VMs that have none. */
export function stageEmpty(draft: Draft): void {
    for (const [domain, upstreams] of freeByDomain(draft)) {
        for (const upstream of upstreams) {
            const isEmpty = upstream.stagedModels.length === 0 && onAccelerator(upstream, draft) === undefined;
            const model = isEmpty ? neededIn(domain, draft) : undefined;
            if (model !== undefined && !draft.staging.has(upstream.id) && mayLoad(draft, 0)) {
                order(upstream, model.name, `an empty VM of domain ${domain}`, draft);
            }
        }
    }
}

/** VMs whose weights on the host are those on the accelerator, or none: spares first, since they are used first. */
function withRoomOnHost(draft: Draft): Upstream[] {
    const members = [...draft.groupTable.groups.values()].filter(group => group.phase === "open").flatMap(group => group.memberIds);
    const working = members.map(id => draft.usable.get(id)).filter(upstream => upstream !== undefined);
    return [...[...freeByDomain(draft).values()].flat(), ...working].filter(upstream => {
        const held = onAccelerator(upstream, draft);
        return held !== undefined && upstream.stagedModels.every(staged => staged === held);
    });
}

/** Brings the weights of a second model onto the hosts of VMs that have one on the accelerator. */
export function stageSecond(draft: Draft): void {
    for (const upstream of withRoomOnHost(draft)) {
        const others = fittingModels(upstream.domain!, draft).filter(model => model.name !== onAccelerator(upstream, draft));
        const model = leastCovered(others, draft);
        if (model !== undefined && !draft.staging.has(upstream.id) && mayLoad(draft, loadsForEmpty)) {
            order(upstream, model.name, "weights of a second model", draft);
        }
    }
}

/** Coverage with the spares that have the model's weights on the accelerator, or will soon. */
function coverageWithSpares(model: EngineModel, draft: Draft): number {
    const spares = [...freeByDomain(draft).values()].flat().filter(upstream =>
        (onAccelerator(upstream, draft) ?? draft.staging.get(upstream.id)?.model ?? upstream.stagedModels[0]) === model.name).length;
    return coverage(model, draft) + coverageOfVms(spares, model, draft);
}

/** A spare whose heating shows no effect is told again after this long: several times what a join from the host takes. */
const heatAgainMs = 8_000;

/** Has spares with weights on the host alone take them onto the accelerator. */
export function heatSpares(draft: Draft): void {
    const { view } = draft;
    for (const upstream of [...freeByDomain(draft).values()].flat()) {
        const model = view.engine.models.find(candidate => upstream.stagedModels.includes(candidate.name));
        if (model === undefined || model.size === 1 || draft.staging.has(upstream.id) || onAccelerator(upstream, draft) !== undefined) {
            continue;
        }
        const last = draft.heating.get(upstream.id);
        if (last?.bornMs === upstream.bornMs && last.model === model.name && view.nowMs - last.atMs < heatAgainMs) {
            continue;
        }
        draft.lastEpoch++;
        draft.heating.set(upstream.id, { model: model.name, bornMs: upstream.bornMs, atMs: view.nowMs });
        const group = standbyNameOf(model.name, draft.lastEpoch);
        draft.orders.push({
            upstreamId: upstream.id,
            order: { kind: "join", group, epoch: draft.lastEpoch, model: model.name, memberIds: [upstream.id] },
            reason: "a spare takes its weights onto the accelerator",
        });
    }
}
