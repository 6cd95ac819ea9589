/**
 * One step of planning a service's groups: follow those that stand, adopt those that were found, form new ones, stage spares. Pure:
 * the shell sends the orders and calls again soon, and an order whose effect is not seen by then is sent again.
 *
 * Epochs grow strictly over all leaders, since each starts above what the log's term gives it; engines refuse a join of an earlier
 * epoch, so an order that is carried out late finds nothing that it can harm.
 *
 * @module
 */

import { modelOfGroup } from "../fleet/index.js";
import { adoptGroups } from "./adopt.js";
import { type Coverage, coverageOf } from "./coverage.js";
import { type Draft, usableOf } from "./draft.js";
import { endGroup, type Followed, followGroup } from "./follow.js";
import { formGroups } from "./form.js";
import { regroup } from "./regroup.js";
import { createGroupTable } from "./table.js";
import { heatSpares, stageEmpty, stageSecond } from "./spares.js";
import type { GroupPhase, GroupsState, GroupsView, OrderTo, PlannedGroup, SentOrder, Staging } from "./types.js";

/** A new leader hears every VM at least once before it decides: heartbeats come about every 1.2 s. */
const settleMs = 1_500;
/** An unanswered order is sent again after this long: the effect is reported within some hundred ms when all is well. */
const resendMs = 1_200;
/** Groups that are remembered as over: far more than can end while a member that has not been given to another still reports one. */
const rememberedOver = 256;
/** Epochs that one term of the log may use. */
const epochsPerTerm = 1 << 20;

/** A group that went on to another phase, for the log. */
export interface GroupNote {
    readonly group: string;
    readonly memberIds: readonly string[];
    readonly from: GroupPhase;
    readonly to: GroupPhase | "over";
    readonly reason: string;
}

export interface GroupsPlan {
    readonly state: GroupsState;
    readonly orders: readonly OrderTo[];
    readonly notes: readonly GroupNote[];
    /** Worked out when asked for: the log wants it far less often than steps are planned. */
    coverage(): Coverage;
}

/** The epoch after which a leader of `term` counts. */
export function firstEpochOf(term: number): number {
    return term * epochsPerTerm;
}

/** Leaves out orders that were sent a moment ago. */
function unsent(orders: readonly OrderTo[], state: GroupsState, view: GroupsView): { due: OrderTo[]; sent: Map<string, SentOrder> } {
    const sent = new Map([...state.sent].filter(([id]) => view.upstreams.has(id)));
    const due = orders.filter(({ upstreamId, order }) => {
        const born = view.upstreams.get(upstreamId)?.bornMs;
        const text = `${born} ${JSON.stringify(order)}`;
        const last = sent.get(upstreamId);
        if (last?.text === text && view.nowMs - last.atMs < resendMs) {
            return false;
        }
        sent.set(upstreamId, { text, atMs: view.nowMs });
        return true;
    });
    return { due, sent };
}

function noteLastModels(state: GroupsState, view: GroupsView): GroupsState["lastModels"] {
    const next = new Map<string, { bornMs: number; model: string }>();
    for (const { id, bornMs, group } of view.upstreams.values()) {
        const known = state.lastModels.get(id);
        const reached = group !== undefined && group.state !== "joining" ? modelOfGroup(group.name) : undefined;
        if (reached !== undefined) {
            next.set(id, { bornMs, model: reached });
        }
        else if (known?.bornMs === bornMs) {
            next.set(id, known);
        }
    }
    return next;
}

/** A load that takes longer than this many times its time was never begun, or shares the store with many others. */
const stagingPatience = 2;

/** The loads that may still be under way. */
function stillStaging(state: GroupsState, view: GroupsView): Map<string, Staging> {
    return new Map([...state.staging].filter(([id, { model, atMs, bornMs }]) => {
        const upstream = view.upstreams.get(id);
        const loadMs = view.engine.models.find(candidate => candidate.name === model)?.loadMs ?? 0;
        const isDone = upstream?.bornMs !== bornMs || upstream.stagedModels.includes(model);
        return !isDone && view.nowMs - atMs < loadMs * stagingPatience;
    }));
}

/** Takes one step of one group into the draft. */
function takeStep(group: PlannedGroup, followed: Followed, draft: Draft, notes: GroupNote[]): void {
    draft.orders.push(...followed.orders);
    if (followed.group?.phase !== group.phase) {
        notes.push({ group: group.name, memberIds: group.memberIds, from: group.phase, to: followed.group?.phase ?? "over", reason: followed.reason });
    }
    if (followed.group === undefined) {
        draft.groupTable.remove(group.name);
        if (followed.mayReturn !== true) {
            draft.overNames.add(group.name);
        }
        return;
    }
    draft.groupTable.put(followed.group);
}

/** Plans one step. */
export function planGroups(state: GroupsState, view: GroupsView): GroupsPlan {
    const notes: GroupNote[] = [];
    const draft: Draft = {
        view,
        ...usableOf(view),
        groupTable: createGroupTable(state.groups),
        orders: [],
        lastModels: noteLastModels(state, view),
        staging: stillStaging(state, view),
        overNames: new Set(state.overNames),
        heating: new Map([...state.heating].filter(([id]) => view.upstreams.has(id))),
        lastEpoch: state.lastEpoch,
        shortSince: state.shortSince,
        reserved: new Map([...state.reserved].filter(([, { untilMs }]) => view.nowMs < untilMs)),
    };
    if (view.nowMs - view.leadsSinceMs >= settleMs) {
        adoptGroups(draft.groupTable.groups, draft.overNames, view).forEach(draft.groupTable.put);
        for (const group of [...draft.groupTable.groups.values()]) {
            takeStep(group, followGroup(group, view), draft, notes);
        }
        formGroups(draft);
        const move = regroup(draft);
        for (const group of move?.broken ?? []) {
            takeStep(group, endGroup(group, view, `its VMs are needed for ${move!.model.name}`, view.hasTraffic), draft, notes);
        }
        stageEmpty(draft);
        heatSpares(draft);
        stageSecond(draft);
    }
    const { due, sent } = unsent(draft.orders, state, view);
    return {
        state: {
            groups: draft.groupTable.groups, lastEpoch: draft.lastEpoch, sent, lastModels: draft.lastModels, staging: draft.staging,
            heating: draft.heating, shortSince: draft.shortSince, reserved: draft.reserved,
            overNames: [...draft.overNames].slice(-rememberedOver),
        },
        orders: due,
        notes,
        coverage: () => coverageOf(draft),
    };
}
