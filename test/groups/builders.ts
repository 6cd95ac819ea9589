import type { Upstream } from "../../src/fleet/index.js";
import { type GroupsPlan, type GroupsState, type GroupsView, emptyGroupsState, type AddressedOrder, createUnansweredOrders, planGroups } from "../../src/groups/index.js";
import { type EngineSpec, siteServiceSchema } from "../../src/site/index.js";

export const engine: EngineSpec = siteServiceSchema.parse({
    name: "pool", maxConnections: 10, coldMs: 0, coldRequestsPerSecond: 0,
    engine: {
        slots: 4, stepMs: 10, stepPerRequestMs: 0, stepPerThousandTokensMs: 0, promptTokensPerSecond: 1_000,
        usualPromptTokens: 1, usualAnswerTokens: 1, loadsPerSecond: 3, loadsAtOnce: 6, formMs: 300,
        models: [
            { name: "big", size: 4, share: 0.5, pace: 1, loadMs: 16_000, warmMs: 1_600 },
            { name: "small", size: 2, share: 0.5, pace: 1, loadMs: 12_000, warmMs: 1_100 },
        ],
    },
}).engine!;

/** Returns `engine` with groups of `size` VMs for the large model. */
export function engineWithBig(size: number): EngineSpec {
    return { ...engine, models: engine.models.map(model => model.name === "big" ? { ...model, size } : model) };
}

/** Simulated engines that execute orders in realistic time, together with the state of the leader that plans their groups. */
export interface Fleet {
    readonly engine: EngineSpec;
    nowMs: number;
    leadsSinceMs: number;
    heartbeatMs: number;
    state: GroupsState;
    readonly upstreams: Map<string, Upstream>;
    readonly lost: Set<string>;
    /** Engines whose addresses refuse the leader's connections. */
    readonly refusing: Set<string>;
    /** Engines that this leader has not heard of yet. */
    readonly unknown: Set<string>;
    /** Running engines whose reports do not reach the leader. */
    readonly notReporting: Set<string>;
    /** Engines that report to the leader but execute no orders. */
    readonly ignoringOrders: Set<string>;
    /** Engines that want no requests from the leader's VM. */
    readonly pushingBack: Set<string>;
    /** Heads whose requests make progress. */
    readonly makingProgress: Set<string>;
    hasTraffic: boolean;
    /** Number of VMs kept busy, by model. */
    demand: ReadonlyMap<string, number>;
    /** Whether the rules for a shortage apply, and the demand that they expect; without a forecast it is the demand of now. */
    plansForShortage: boolean;
    forecastDemand?: (horizonMs: number) => ReadonlyMap<string, number>;
    /** Whether loads ordered with traffic take the model's time, and the loads in progress by upstream id; otherwise they end at once. */
    loadsTakeTime: boolean;
    readonly loads: Map<string, { readonly model: string; readonly bornMs: number; readonly doneAtMs: number }>;
    /** When each joining engine is ready. */
    readonly readyAtMs: Map<string, number>;
    /** The model of each engine's last group. */
    readonly lastModels: Map<string, string>;
    /** All executed orders, oldest first. */
    readonly executedOrders: AddressedOrder[];
}

/** When the leader of a new fleet took over. */
const startMs = 10_000;

export function createFleet(domains: Record<string, number>, spec: EngineSpec = engine): Fleet {
    const upstreams = new Map<string, Upstream>();
    for (const [domain, count] of Object.entries(domains)) {
        for (let index = 0; index < count; index++) {
            const id = `${domain}${index}`;
            upstreams.set(id, {
                id, service: "pool", address: `10.0.0.1:${8000 + upstreams.size}`, dataCentre: domain, bornMs: 1, sequence: 1, state: "ready",
                coldForMs: 0, slots: 4, domain, stagedModels: [], heardAtMs: 0, coldUntilMs: 0, isGone: false, hasLeft: false,
            });
        }
    }
    return {
        engine: spec, nowMs: startMs, leadsSinceMs: startMs, heartbeatMs: 1_200, state: emptyGroupsState, upstreams, hasTraffic: false,
        plansForShortage: false, loadsTakeTime: false, loads: new Map(),
        demand: new Map([["big", 0.3 * upstreams.size], ["small", 0.3 * upstreams.size]]),
        lost: new Set(), refusing: new Set(), unknown: new Set(), notReporting: new Set(), ignoringOrders: new Set(),
        pushingBack: new Set(), makingProgress: new Set(), readyAtMs: new Map(), lastModels: new Map(), executedOrders: [],
    };
}

function isReached(fleet: Fleet, id: string): boolean {
    return !fleet.lost.has(id) && !fleet.refusing.has(id) && !fleet.unknown.has(id);
}

function viewOf(fleet: Fleet): GroupsView {
    const upstreams = new Map([...fleet.upstreams].filter(([id]) => !fleet.refusing.has(id) && !fleet.unknown.has(id)));
    return {
        nowMs: fleet.nowMs, leadsSinceMs: fleet.leadsSinceMs, heartbeatMs: fleet.heartbeatMs,
        engine: fleet.engine, upstreams, evacuatedDataCentres: [],
        demand: fleet.demand, hasTraffic: fleet.hasTraffic,
        plansForShortage: fleet.plansForShortage,
        forecastDemand: horizonMs => fleet.forecastDemand?.(horizonMs) ?? fleet.demand,
        isLost: id => !isReached(fleet, id), isRefusing: id => fleet.refusing.has(id), hasPushedBack: id => fleet.pushingBack.has(id),
        hasIncarnationEnded: () => false,
        unansweredOrders: createUnansweredOrders(() => fleet.nowMs),
        isMakingProgress: id => fleet.makingProgress.has(id),
    };
}

/** Returns how long a join takes: least for the model of the last group, most for a load of weights, which is faster before traffic. */
function joinDurationMs(fleet: Fleet, upstream: Upstream, name: string): number {
    const model = fleet.engine.models.find(candidate => candidate.name === name)!;
    if (fleet.lastModels.get(upstream.id) === name) {
        return 200;
    }
    return upstream.stagedModels.includes(name) ? model.warmMs : fleet.hasTraffic ? model.loadMs : model.loadMs / 10;
}

function executeOrder(fleet: Fleet, item: AddressedOrder) {
    const upstream = fleet.upstreams.get(item.upstreamId)!;
    const { order } = item;
    fleet.executedOrders.push(item);
    const set = (change: Partial<Upstream>) => fleet.upstreams.set(upstream.id, { ...upstream, ...change });
    switch (order.kind) {
        case "stage":
            if (fleet.loadsTakeTime && fleet.hasTraffic) {
                const { loadMs } = fleet.engine.models.find(({ name }) => name === order.model)!;
                fleet.loads.set(upstream.id, { model: order.model, bornMs: upstream.bornMs, doneAtMs: fleet.nowMs + loadMs });
                break;
            }
            set({ stagedModels: [order.model] });
            break;
        case "join":
            if (upstream.group?.name === order.group) {
                break;
            }
            fleet.readyAtMs.set(upstream.id, fleet.nowMs + joinDurationMs(fleet, upstream, order.model));
            set({
                stagedModels: fleet.lastModels.get(upstream.id) === order.model ? upstream.stagedModels : [order.model],
                group: { name: order.group, epoch: order.epoch, rank: order.memberIds.indexOf(upstream.id), state: "joining" },
            });
            fleet.lastModels.set(upstream.id, order.model);
            break;
        default: {
            if (upstream.group?.name !== order.group || upstream.group.epoch !== order.epoch) {
                return;
            }
            if (order.kind === "open" && upstream.group.state === "joining") {
                return;
            }
            set({ group: order.kind === "leave" ? undefined : { ...upstream.group, state: order.kind === "open" ? "open" : "ready" } });
        }
    }
}

function finishLoads(fleet: Fleet) {
    for (const [id, { model, bornMs, doneAtMs }] of fleet.loads) {
        const upstream = fleet.upstreams.get(id);
        if (upstream?.bornMs !== bornMs || doneAtMs <= fleet.nowMs) {
            fleet.loads.delete(id);
            if (upstream?.bornMs === bornMs) {
                fleet.upstreams.set(id, { ...upstream, stagedModels: [model] });
            }
        }
    }
}

/** Returns the plan of the next step without applying it. */
export function planNow(fleet: Fleet): GroupsPlan {
    return planGroups(fleet.state, viewOf(fleet));
}

/** Plans and executes orders for `ms`. In each step, all reachable engines report unless they are in `notReporting`. */
export function run(fleet: Fleet, ms: number): void {
    const untilMs = fleet.nowMs + ms;
    while (fleet.nowMs < untilMs) {
        fleet.nowMs += 150;
        for (const [id, upstream] of fleet.upstreams) {
            if (isReached(fleet, id) && !fleet.notReporting.has(id)) {
                const isReady = upstream.group?.state === "joining" && fleet.readyAtMs.get(id)! <= fleet.nowMs;
                const group = isReady ? { ...upstream.group!, state: "ready" as const } : upstream.group;
                fleet.upstreams.set(id, { ...upstream, group, heardAtMs: fleet.nowMs });
            }
        }
        finishLoads(fleet);
        const plan = planNow(fleet);
        fleet.state = plan.state;
        const isReceived = ({ upstreamId }: AddressedOrder) => isReached(fleet, upstreamId) && !fleet.ignoringOrders.has(upstreamId);
        plan.orders.filter(isReceived).forEach(item => executeOrder(fleet, item));
    }
}

/** Returns the names of groups whose head is open, sorted. */
export function openGroups(fleet: Fleet): string[] {
    return [...fleet.upstreams.values()].filter(upstream => upstream.group?.state === "open").map(upstream => upstream.group!.name).sort();
}

export function openGroupsByModel(fleet: Fleet): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const name of openGroups(fleet)) {
        const model = name.slice(0, name.lastIndexOf("/"));
        counts[model] = (counts[model] ?? 0) + 1;
    }
    return counts;
}
