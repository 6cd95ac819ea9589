/**
 * Keeps the VMs that no group uses ready to repair one: brings weights onto their hosts, and from there onto their accelerators.
 *
 * The pattern it answers: a group of VMs is down from the loss of one until another has joined in its place. A VM whose last group had the
 * same model joins in 0.2 s; one that has the weights on its host alone needs 1.1 to 1.6 s, an empty one 12 to 16 s. So a spare joins a
 * group of its own, which is never opened, as soon as it has weights: one order for each spare buys about a second of each repair.
 *
 * @module
 */

import { standbyNameOf, type Upstream } from "../fleet/index.js";
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

/**
 * Brings weights onto spares. An empty one gets those of the model with the least coverage, spares counted; where a model is starved, a
 * spare of the best covered one is loaded anew, since it would repair groups of which there are enough.
 */
export function stageSpares(draft: Draft): void {
    const { view } = draft;
    for (const [domain, upstreams] of freeByDomain(draft)) {
        for (const upstream of upstreams) {
            if (draft.staging.has(upstream.id) || !mayLoad(draft)) {
                continue;
            }
            const covered = view.engine.models.map(model => ({ model, coverage: coverageWithSpares(model, draft) }));
            const least = covered.reduce((a, b) => b.coverage < a.coverage ? b : a);
            const most = covered.reduce((a, b) => b.coverage > a.coverage ? b : a);
            const isStarved = least.coverage < starvedShare * most.coverage;
            const holdsMost = upstream.stagedModels.includes(most.model.name) && !upstream.stagedModels.includes(least.model.name);
            if (upstream.stagedModels.length === 0 || (isStarved && holdsMost)) {
                order(upstream, least.model.name, `a spare of domain ${domain}`, draft);
            }
        }
    }
}

/** Coverage with the spares that hold the model's weights, or will soon. */
function coverageWithSpares(model: EngineModel, draft: Draft): number {
    const demand = draft.view.demand.get(model.name) ?? model.share;
    const spares = [...freeByDomain(draft).values()].flat().filter(upstream =>
        (draft.staging.get(upstream.id)?.model ?? upstream.stagedModels[0]) === model.name).length;
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
