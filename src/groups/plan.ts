/**
 * Plans one step for the groups of a service: adopts reported groups, advances known ones, forms new ones and prepares spares. Planning is
 * pure: the caller sends the orders and soon plans again, and an order that has had no visible effect by then is sent again.
 *
 * Epochs grow strictly across leaders, since each leader starts from an epoch derived from its term. Engines refuse a join of an earlier
 * epoch than the last one, but not a late join of the last group that they were in, so a head that has left its group may be back in it.
 *
 * @module
 */

import { modelOfGroup, type ReportedGroup, reportedGroups, type Upstream } from "../fleet/index.js";
import { adoptGroups } from "./adopt.js";
import { type Coverage, summarizeCoverage } from "./coverage.js";
import { formGroups } from "./form.js";
import { advanceGroup, endGroup, type GroupUpdate } from "./lifecycle.js";
import { collectUsable, type PlanningStep } from "./planningStep.js";
import { demandAt, joinHorizonMs, loadHorizonMs, moveHorizonMs, roundedCoverage, updateArrivals } from "./shortage.js";
import { regroup } from "./regroup.js";
import { createGroupTable } from "./table.js";
import { joinStandbyGroups, stageEmptyVms, stageSecondModel } from "./spares.js";
import type { GroupPhase, GroupsState, GroupsView, AddressedOrder, PendingLoad, PlannedGroup, SentOrder } from "./types.js";

/** How long a new leader waits before planning, in heartbeat intervals, to hear from every VM at least once despite jitter. */
const settleIntervals = 1.25;
/** An order without a visible effect is sent again after this many heartbeat intervals. Engines report effects at once. */
const orderResendIntervals = 1;
/** Number of ended groups to remember: far more than can end while a member that has not been reassigned still reports one. */
const maxEndedGroupNames = 256;
/** Number of epochs that one term of the log may use. */
const epochsPerTerm = 1 << 20;

/** A phase change of a group, for the log. */
export interface GroupTransition {
    readonly group: string;
    readonly memberIds: readonly string[];
    readonly from: GroupPhase;
    readonly to: GroupPhase | "over";
    readonly reason: string;
}

export interface GroupsPlan {
    readonly state: GroupsState;
    readonly orders: readonly AddressedOrder[];
    readonly transitions: readonly GroupTransition[];
    /** Computed on demand, since it is logged far less often than steps are planned. */
    coverage(): Coverage;
}

/** Returns the epoch after which a leader of `term` numbers its groups. */
export function firstEpochOf(term: number): number {
    return term * epochsPerTerm;
}

/**
 * Whether the head of the group that an upstream reports serves, by its own report. The upstream must not join another group then, whatever
 * this leader believes of that group.
 */
function isInServingGroup({ group }: Upstream, reported: ReadonlyMap<string, ReportedGroup>): boolean {
    const head = group === undefined ? undefined : reported.get(group.name)?.members[0];
    return head?.group?.epoch === group?.epoch && (head?.group?.state === "open" || head?.group?.state === "closing");
}

/** Leaves out orders that were sent recently, those to upstreams that want no requests, and joins of members of serving groups. */
function filterDueOrders(
    orders: readonly AddressedOrder[], state: GroupsState, view: GroupsView,
): { due: AddressedOrder[]; lastOrders: Map<string, SentOrder> } {
    const lastOrders = new Map([...state.lastOrders].filter(([id]) => view.upstreams.has(id)));
    const reported = orders.some(({ order }) => order.kind === "join") ? reportedGroups(view.upstreams.values()) : new Map();
    const due = orders.filter(({ upstreamId, order }) => {
        const upstream = view.upstreams.get(upstreamId);
        const isHeldByGroup = order.kind === "join" && upstream !== undefined && isInServingGroup(upstream, reported);
        if (view.hasPushedBack(upstreamId) || isHeldByGroup) {
            return false;
        }
        const born = upstream?.bornMs;
        const serializedOrder = `${born} ${JSON.stringify(order)}`;
        const last = lastOrders.get(upstreamId);
        if (last?.serializedOrder === serializedOrder && view.nowMs - last.atMs < orderResendIntervals * view.heartbeatMs) {
            return false;
        }
        lastOrders.set(upstreamId, { serializedOrder, atMs: view.nowMs });
        return true;
    });
    return { due, lastOrders };
}

function updateLastModels(state: GroupsState, view: GroupsView): GroupsState["lastModels"] {
    const next = new Map<string, { bornMs: number; model: string }>();
    for (const { id, bornMs, group } of view.upstreams.values()) {
        const known = state.lastModels.get(id);
        const loadedModel = group !== undefined && group.state !== "joining" ? modelOfGroup(group.name) : undefined;
        if (loadedModel !== undefined) {
            next.set(id, { bornMs, model: loadedModel });
        }
        else if (known?.bornMs === bornMs) {
            next.set(id, known);
        }
    }
    return next;
}

/** A load that takes longer than this many times its expected duration was never started, or shares the store with many others. */
const loadTimeoutFactor = 2;

/** Returns the loads that may still be in progress. */
function retainPendingLoads(state: GroupsState, view: GroupsView): Map<string, PendingLoad> {
    return new Map([...state.pendingLoads].filter(([id, { model, atMs, bornMs }]) => {
        const upstream = view.upstreams.get(id);
        const loadMs = view.engine.models.find(candidate => candidate.name === model)?.loadMs ?? 0;
        const isDone = upstream?.bornMs !== bornMs || upstream.stagedModels.includes(model);
        return !isDone && view.nowMs - atMs < loadMs * loadTimeoutFactor;
    }));
}

/** Applies the update of one group to the planning step. */
function applyUpdate(group: PlannedGroup, update: GroupUpdate, step: PlanningStep, transitions: GroupTransition[]): void {
    step.orders.push(...update.orders);
    if (update.group?.phase !== group.phase) {
        transitions.push({ group: group.name, memberIds: group.memberIds, from: group.phase, to: update.group?.phase ?? "over", reason: update.reason });
    }
    if (update.group === undefined) {
        step.groupTable.remove(group.name);
        if (update.mayReappear !== true) {
            step.endedGroupNames.add(group.name);
        }
        return;
    }
    step.groupTable.put(update.group);
}

/** Plans one step. */
export function planGroups(state: GroupsState, view: GroupsView): GroupsPlan {
    const groupTransitions: GroupTransition[] = [];
    const usable = collectUsable(view);
    const step: PlanningStep = {
        view,
        demand: view.demand,
        ...usable,
        arrivals: updateArrivals(state.arrivals, usable.usableByDomain, view.nowMs),
        groupTable: createGroupTable(state.groups),
        orders: [],
        lastModels: updateLastModels(state, view),
        pendingLoads: retainPendingLoads(state, view),
        endedGroupNames: new Set(state.endedGroupNames),
        standbyJoins: new Map([...state.standbyJoins].filter(([id]) => view.upstreams.has(id))),
        lastEpoch: state.lastEpoch,
        shortSince: state.shortSince,
        reservations: new Map([...state.reservations].filter(([, { untilMs }]) => view.nowMs < untilMs)),
    };
    if (view.nowMs - view.leadsSinceMs >= settleIntervals * view.heartbeatMs) {
        for (const group of adoptGroups(step.groupTable.groups, step.endedGroupNames, view)) {
            step.groupTable.put(group);
            step.endedGroupNames.delete(group.name);
        }
        for (const group of [...step.groupTable.groups.values()]) {
            applyUpdate(group, advanceGroup(group, view), step, groupTransitions);
        }
        step.demand = demandAt(joinHorizonMs(view), view);
        formGroups(step);
        step.demand = demandAt(moveHorizonMs(view), view);
        const move = regroup(step);
        const shortage = move === undefined || !view.plansForShortage ? "" : `, which covers ${roundedCoverage(move.model, step)} of its demand`;
        for (const group of move?.groupsToBreak ?? []) {
            applyUpdate(group, endGroup(group, view, `its VMs are needed for ${move!.model.name}${shortage}`, view.hasTraffic), step, groupTransitions);
        }
        step.demand = demandAt(loadHorizonMs(view), view);
        stageEmptyVms(step);
        joinStandbyGroups(step);
        stageSecondModel(step);
        step.demand = view.demand;
    }
    const { due, lastOrders } = filterDueOrders(step.orders, state, view);
    return {
        state: {
            groups: step.groupTable.groups, lastEpoch: step.lastEpoch, lastOrders, lastModels: step.lastModels,
            pendingLoads: step.pendingLoads, standbyJoins: step.standbyJoins, shortSince: step.shortSince,
            reservations: step.reservations, arrivals: step.arrivals, endedGroupNames: [...step.endedGroupNames].slice(-maxEndedGroupNames),
        },
        orders: due,
        transitions: groupTransitions,
        coverage: () => summarizeCoverage(step),
    };
}
