/**
 * Keeps the VMs that no group uses ready to repair one: brings weights onto their hosts, and from there onto their accelerators.
 *
 * The pattern it answers: a group of VMs is down from the loss of one until another has joined in its place. A VM whose last group had the
 * same model joins in 0.2 s; one that has the weights on its host alone needs 1.1 to 1.6 s, an empty one 12 to 16 s. So a spare joins a
 * group of its own, which is never opened, as soon as it has weights: one order for each spare buys about a second of each repair.
 *
 * @module
 */

import { isStandby, standbyNameOf, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import { coverage, type Draft, freeByDomain, readinessOf } from "./form.js";

/** The window over which the store's rate is kept, in ms, and the part of it that is used: another leader's loads may overlap. */
const loadWindowMs = 5_000;
const loadRateShare = 0.8;

function mayLoad(draft: Draft): boolean {
    const { engine, nowMs, hasTraffic } = draft.view;
    if (!hasTraffic) {
        return true;
    }
    const recent = [...draft.staging.values()].filter(({ atMs }) => nowMs - atMs < loadWindowMs).length;
    return recent < engine.loadsPerSecond * loadWindowMs / 1_000 * loadRateShare && draft.staging.size < engine.loadsAtOnce;
}

function order(upstream: Upstream, model: string, reason: string, draft: Draft) {
    draft.staging.set(upstream.id, { model, bornMs: upstream.bornMs, atMs: draft.view.nowMs });
    draft.orders.push({ upstreamId: upstream.id, order: { kind: "stage", model }, reason });
}

/** A model with less than this part of the coverage of another gets spares whose weights are for the other. */
const starvedShare = 0.6;
/** Completing a group serves at once; a spare for the next loss counts a quarter of that, and the one after it a quarter of the first. */
const awaitedShare = 0.25;

/** Free VMs of a domain that hold the model's weights on the host, or will soon. */
function held(model: EngineModel, free: readonly Upstream[], draft: Draft): number {
    return free.filter(upstream => (draft.staging.get(upstream.id)?.model ?? upstream.stagedModels[0]) === model.name).length;
}

/** Whether a free VM is what is left of a group of the model. */
function isSurvivor(upstream: Upstream, model: EngineModel, draft: Draft): boolean {
    return readinessOf(upstream, model, draft) === "hot" && !isStandby(upstream.group?.name ?? "");
}

/**
 * VMs that one more spare of the model brings back into service in its domain. What is left of a broken group serves again with the VMs
 * that it lacks; beside that a spare waits for the next loss, which idles the other members of a group.
 */
function spareValue(model: EngineModel, domain: string, free: readonly Upstream[], draft: Draft): number {
    const spares = held(model, free, draft);
    const groups = [...draft.groups.values()]
        .filter(group => group.domain === domain && group.model === model.name && group.phase !== "ending");
    const isBroken = free.some(upstream => isSurvivor(upstream, model, draft));
    const completes = isBroken && spares < model.size ? model.size / (model.size - spares) : 0;
    const insures = awaitedShare * groups.length * model.size * (model.size - 1) / (spares + 1) ** 2;
    return Math.max(completes, insures);
}

interface Ranked {
    readonly model: EngineModel;
    readonly value: number;
    readonly covered: number;
}

/** The models by what their weights are worth on one more spare of a domain; one that is well covered counts for less. */
function rankForSpare(domain: string, free: readonly Upstream[], draft: Draft): Ranked[] {
    const candidates = draft.view.engine.models.map(model => ({ model, covered: coverage(model, draft) }));
    const least = Math.min(...candidates.map(({ covered }) => covered));
    const valued = candidates.map(({ model, covered }) =>
        ({ model, covered, value: spareValue(model, domain, free, draft) * (covered === 0 ? 1 : least / covered) }));
    return valued.sort((a, b) => b.value - a.value || a.covered - b.covered);
}

/** A spare is loaded anew only for so many times what it is worth as it is: a load takes 12 to 16 s, and losses go on meanwhile. */
const reloadGain = 2;

/** The model that a spare which holds another one's weights should be loaded with instead; undefined for none. */
function modelInstead(upstream: Upstream, domain: string, free: readonly Upstream[], draft: Draft): EngineModel | undefined {
    const others = free.filter(other => other !== upstream);
    const ranked = rankForSpare(domain, others, draft);
    const own = ranked.find(({ model }) => upstream.stagedModels.includes(model.name));
    const [best] = ranked;
    return own !== undefined && best !== own && best!.value > reloadGain * own.value ? best!.model : undefined;
}

/**
 * Brings weights onto spares. An empty one gets those that are worth most in its domain, since a group is repaired from its own domain
 * alone; one that holds weights is loaded anew where others are worth far more, or where a model is starved and its own is not. What is
 * left of a broken group keeps its weights while its domain has VMs enough to complete it.
 */
export function stageSpares(draft: Draft): void {
    const { view } = draft;
    const covered = view.engine.models.map(model =>
        ({ model, serving: coverage(model, draft), withSpares: coverageWithSpares(model, draft) }));
    const least = covered.reduce((a, b) => b.withSpares < a.withSpares ? b : a);
    const most = covered.reduce((a, b) => b.serving > a.serving ? b : a);
    // What is left of broken groups serves nobody, so it does not make its model a well covered one.
    const isStarved = least.withSpares < starvedShare * most.serving;
    for (const [domain, free] of freeByDomain(draft)) {
        for (const upstream of free) {
            if (draft.staging.has(upstream.id) || !mayLoad(draft)) {
                continue;
            }
            if (upstream.stagedModels.length === 0) {
                order(upstream, rankForSpare(domain, free, draft)[0]!.model.name, `a spare of domain ${domain}`, draft);
                continue;
            }
            const survivorOf = view.engine.models.find(model => isSurvivor(upstream, model, draft));
            if (survivorOf !== undefined && free.length >= survivorOf.size) {
                continue;
            }
            const instead = survivorOf === undefined ? modelInstead(upstream, domain, free, draft) : undefined;
            const holdsMost = upstream.stagedModels.includes(most.model.name) && !upstream.stagedModels.includes(least.model.name);
            if (instead !== undefined) {
                order(upstream, instead.name, `a spare of domain ${domain}, worth more so`, draft);
            }
            else if (isStarved && holdsMost) {
                order(upstream, least.model.name, `a spare of domain ${domain} for a starved model`, draft);
            }
        }
    }
}

/** Coverage with the spares that hold the model's weights, or will soon. */
function coverageWithSpares(model: EngineModel, draft: Draft): number {
    const demand = draft.view.demand.get(model.name) ?? model.share;
    const spares = [...freeByDomain(draft).values()].reduce((sum, free) => sum + held(model, free, draft), 0);
    return coverage(model, draft) + spares / Math.max(demand, 1e-6);
}

/** A spare whose heating shows no effect is told again after this long: several times what a join from the host takes. */
const heatAgainMs = 8_000;

/** Has spares that hold a model's weights on the host take them onto the accelerator. */
export function heatSpares(draft: Draft): void {
    const { view } = draft;
    for (const upstream of [...freeByDomain(draft).values()].flat()) {
        const model = view.engine.models.find(candidate => upstream.stagedModels.includes(candidate.name));
        if (model === undefined || model.size === 1 || draft.staging.has(upstream.id) || readinessOf(upstream, model, draft) === "hot") {
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
