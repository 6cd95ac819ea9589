/**
 * Decides which groups to form from the free VMs.
 *
 * The pattern it answers: VMs are lost for good every few seconds, one of a group each time, and empty ones arrive about as often. A
 * group that lost a member serves again as soon as a spare with its weights joins, some 2 s; without such a spare it waits for a
 * load from the weight store, 12 to 16 s. So each domain keeps spares, one with the weights of each model where it can.
 *
 * @module
 */

import { groupNameOf, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    byCoverage, coverage, demandOf, type Draft, freeByDomain, freeIn, isRepair, type Readiness, ranks, readinessOf, sparesOf, vmsOf,
} from "./draft.js";

interface Choice {
    readonly domain: string;
    readonly members: readonly Upstream[];
    readonly readiness: Readiness;
    readonly left: number;
}

/** The best place for one more group of `model`: the one that serves soonest, then the domain with most VMs left over. */
function bestPlace(model: EngineModel, free: ReadonlyMap<string, Upstream[]>, draft: Draft): Choice | undefined {
    const choices = [...free].flatMap(([domain, upstreams]): Choice[] => {
        if (upstreams.length < model.size) {
            return [];
        }
        const rankOf = (upstream: Upstream) => ranks[readinessOf(upstream, model, draft)];
        // Those that can join no other model's groups go first, the others stay as spares.
        const others = (upstream: Upstream) => draft.view.engine.models.filter(other => readinessOf(upstream, other, draft) !== "empty").length;
        const order = [...upstreams].sort((a, b) => rankOf(a) - rankOf(b) || others(a) - others(b) || (a.id < b.id ? -1 : 1));
        const members = order.slice(0, model.size);
        return [{ domain, members, readiness: readinessOf(members.at(-1)!, model, draft), left: upstreams.length - model.size }];
    });
    return choices.sort((a, b) => ranks[a.readiness] - ranks[b.readiness] || b.left - a.left || (a.domain < b.domain ? -1 : 1))[0];
}

/**
 * Whether the group would use VMs that a worse covered model could need: they have that one's weights on the accelerator, or none.
 */
function takesOver(choice: Choice, model: EngineModel, draft: Draft): boolean {
    const [worst] = byCoverage(draft);
    return worst !== undefined && coverage(worst, draft) < coverage(model, draft) && choice.readiness !== "hot";
}

/** Whether the group may be formed now, given what it leaves of spares and what it has to load. */
function isWorthwhile(choice: Choice, model: EngineModel, draft: Draft): boolean {
    const { view } = draft;
    const isServed = [...draft.groupTable.groups.values()].some(group => group.model === model.name && group.phase !== "ending");
    if (!isServed) {
        return true;
    }
    if (view.hasTraffic && takesOver(choice, model, draft)) {
        return false;
    }
    if (!isRepair(choice.members, model, draft) && choice.left < sparesOf(choice.domain, draft)) {
        return false;
    }
    return !view.hasTraffic || choice.readiness !== "empty";
}

function form(choice: Choice, model: EngineModel, draft: Draft): void {
    const { view } = draft;
    draft.lastEpoch++;
    const epoch = draft.lastEpoch;
    const name = groupNameOf(model.name, epoch);
    const memberIds = choice.members.map(member => member.id);
    draft.groupTable.put({
        name, epoch, model: model.name, domain: choice.domain, memberIds,
        bornMs: choice.members.map(member => member.bornMs), phase: "forming", sinceMs: view.nowMs, isGentle: false,
    });
    for (const upstreamId of memberIds) {
        draft.orders.push({ upstreamId, order: { kind: "join", group: name, epoch, model: model.name, memberIds }, reason: `a group of ${choice.readiness} VMs` });
    }
}

/** VMs that fall to a model when all that may be used are split by demand. */
function fairVms(model: EngineModel, draft: Draft): number {
    const { engine } = draft.view;
    const usable = [...draft.usableByDomain].reduce((sum, [domain, upstreams]) => sum + upstreams.length - sparesOf(domain, draft), 0);
    const total = engine.models.reduce((sum, candidate) => sum + demandOf(candidate, draft), 0);
    return usable * demandOf(model, draft) / Math.max(total, 1e-6);
}

/**
 * The model to form a group of next: the largest that is short of its fair part by half a group or more, since small groups fit into what
 * large ones leave and not the other way round; then the one with the least coverage.
 */
function nextModel(refused: ReadonlySet<string>, draft: Draft): EngineModel | undefined {
    const open = draft.view.engine.models.filter(model => !refused.has(model.name));
    const short = open.filter(model => vmsOf(model, draft) + model.size / 2 <= fairVms(model, draft));
    return short.sort((a, b) => b.size - a.size)[0] ?? open.sort((a, b) => coverage(a, draft) - coverage(b, draft))[0];
}

/** Free VMs that may go to a model: what is reserved is for one alone. */
function freeFor(model: EngineModel, draft: Draft): ReadonlyMap<string, Upstream[]> {
    return new Map([...freeByDomain(draft)].filter(([domain]) => (draft.reserved.get(domain)?.model ?? model.name) === model.name));
}

/** Forms the groups for which others were broken, as soon as their VMs are free. */
function formReserved(draft: Draft): void {
    for (const [domain, { model: name }] of [...draft.reserved]) {
        const model = draft.view.engine.models.find(candidate => candidate.name === name);
        const free = freeIn(domain, draft);
        const choice = model === undefined ? undefined : bestPlace(model, new Map([[domain, free]]), draft);
        if (choice !== undefined && (!draft.view.hasTraffic || choice.readiness !== "empty")) {
            form(choice, model!, draft);
            draft.reserved.delete(domain);
        }
    }
}

/** Forms groups for the models that are short of VMs, as long as one is worthwhile. */
export function formGroups(draft: Draft): void {
    formReserved(draft);
    const refused = new Set<string>();
    for (;;) {
        const model = nextModel(refused, draft);
        if (model === undefined) {
            return;
        }
        const choice = bestPlace(model, freeFor(model, draft), draft);
        if (choice === undefined || !isWorthwhile(choice, model, draft)) {
            refused.add(model.name);
            continue;
        }
        form(choice, model, draft);
    }
}
