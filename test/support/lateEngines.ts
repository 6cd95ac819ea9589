/**
 * A model of engines that carry out orders at once, late and after newer ones, twice or not at all, and of control leaders that plan their
 * groups and follow one another. It checks what must hold at the engines, whatever a leader knows.
 *
 * @module
 */

import type { GroupMembership, Upstream } from "../../src/fleet/index.js";
import {
    type AddressedOrder, createUnansweredOrders, emptyGroupsState, type EngineOrder, firstEpochOf, type GroupsState, planGroups,
    type UnansweredOrders,
} from "../../src/groups/index.js";
import type { EngineSpec } from "../../src/site/index.js";

const stepMs = 50;
const planEverySteps = 3;
const heartbeatMs = 1_200;
/** How long requests wait for a lost member before a head counts as broken. */
const stallMs = 5_000;
const quickJoinMs = 200;
const startMs = 10_000;

export interface LateEnginesOptions {
    readonly seed: number;
    readonly engine: EngineSpec;
    /** VMs by domain. */
    readonly domains: Readonly<Record<string, number>>;
    /** The share of orders that get no answer; they are carried out late, at once and late, at once, or never. */
    readonly unansweredShare: number;
    /** Mean times between disruptions of each kind; unset for none. */
    readonly crashEveryMs?: number;
    readonly cutEveryMs?: number;
    readonly newLeaderEveryMs?: number;
    readonly evacuationEveryMs?: number;
}

interface Engine {
    readonly id: string;
    readonly domain: string;
    readonly address: string;
    bornMs: number;
    isRunning: boolean;
    returnsAtMs: number;
    /** Whether the leader reaches it, and it the leader; callers and other engines always do. */
    cutUntilMs: number;
    membership: (GroupMembership & { readonly memberIds: readonly string[]; readonly model: string; changesAtMs: number }) | undefined;
    highestEpoch: number;
    lastModel: string | undefined;
    stagedModels: readonly string[];
    sequence: number;
    nextReportMs: number;
    stillSinceMs: number | undefined;
}

interface Delivery {
    readonly atMs: number;
    readonly run: () => void;
}

export interface LateEngines {
    run(forMs: number): void;
    /** What must not happen and did. */
    readonly broken: readonly string[];
    /** How often engines have opened a group, by model. */
    readonly openings: ReadonlyMap<string, number>;
    readonly openGroups: readonly string[];
}

export function createLateEngines(options: LateEnginesOptions): LateEngines {
    const broken: string[] = [];
    const openings = new Map<string, number>();
    /** The members that have been ready in a group, by its name. */
    const everReady = new Map<string, Set<string>>();
    const upstreams = new Map<string, Upstream>();
    let deliveries: Delivery[] = [];
    let nowMs = startMs;
    let randomState = options.seed >>> 0;
    let term = 1;
    let leadsSinceMs = startMs;
    let state: GroupsState = { ...emptyGroupsState, lastEpoch: firstEpochOf(term) };
    let unansweredOrders: UnansweredOrders = createUnansweredOrders(() => nowMs);
    let evacuated: string[] = [];
    let demand: ReadonlyMap<string, number> = new Map();

    const ids = Object.entries(options.domains).flatMap(([domain, count]) =>
        Array.from({ length: count }, (_, index) => ({ id: `${domain}${index}`, domain })));
    const engines = new Map(ids.map(({ id, domain }): [string, Engine] => [id, {
        id, domain, address: `${id}:1`, bornMs: 1, isRunning: true, returnsAtMs: 0, cutUntilMs: 0, membership: undefined,
        highestEpoch: -1, lastModel: undefined, stagedModels: [], sequence: 0, nextReportMs: 0,
        stillSinceMs: undefined,
    }]));

    function random(): number {
        randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
        return randomState / 0x1_0000_0000;
    }

    function isDue(everyMs: number | undefined): boolean {
        return everyMs !== undefined && random() < stepMs / everyMs;
    }

    function anyEngine(): Engine {
        return [...engines.values()][Math.floor(random() * engines.size)]!;
    }

    function after(delayMs: number, run: () => void) {
        deliveries.push({ atMs: nowMs + delayMs, run });
    }

    function isReached(engine: Engine): boolean {
        return engine.isRunning && engine.cutUntilMs <= nowMs;
    }

    function report(engine: Engine) {
        engine.nextReportMs = nowMs + heartbeatMs;
        const { id, bornMs, domain, address, stagedModels, membership } = engine;
        const sequence = ++engine.sequence;
        const group = membership === undefined
            ? undefined
            : { name: membership.name, epoch: membership.epoch, rank: membership.rank, state: membership.state };
        const isDelivered = isReached(engine);
        after(random() * 100, () => {
            const known = upstreams.get(id);
            const isNewer = known === undefined || bornMs > known.bornMs || (bornMs === known.bornMs && sequence > known.sequence);
            if (isDelivered && isNewer) {
                upstreams.set(id, {
                    id, service: "pool", address, dataCentre: domain, bornMs, sequence, state: "ready", coldForMs: 0, slots: 4, domain,
                    stagedModels: [...stagedModels], ...group === undefined ? {} : { group }, heardAtMs: nowMs, coldUntilMs: 0,
                    isGone: false, hasLeft: false,
                });
            }
        });
    }

    /** The group whose head serves, if the engine is a member of it. */
    function servingGroupOf({ membership }: Engine): string | undefined {
        const head = membership === undefined ? undefined : engines.get(membership.memberIds[0]!);
        const held = head?.isRunning === true ? head.membership : undefined;
        const isHead = held !== undefined && held.name === membership!.name && held.epoch === membership!.epoch;
        return isHead && (held.state === "open" || held.state === "closing") ? held.name : undefined;
    }

    function join(engine: Engine, order: Extract<EngineOrder, { kind: "join" }>) {
        const { membership } = engine;
        const isSame = membership?.name === order.group && membership.epoch === order.epoch;
        if (order.epoch < engine.highestEpoch || isSame) {
            return;
        }
        const serving = servingGroupOf(engine);
        if (serving !== undefined) {
            broken.push(`${nowMs} ms: ${engine.id} joins ${order.group} while the head of its group ${serving} serves`);
        }
        const model = options.engine.models.find(({ name }) => name === order.model)!;
        const isStaged = engine.stagedModels.includes(order.model);
        const joinMs = engine.lastModel === order.model ? quickJoinMs : isStaged ? model.warmMs : model.loadMs / 10;
        engine.highestEpoch = order.epoch;
        engine.lastModel = undefined;
        engine.membership = {
            name: order.group, epoch: order.epoch, rank: order.memberIds.indexOf(engine.id), state: "joining", memberIds: order.memberIds,
            model: order.model, changesAtMs: nowMs + joinMs,
        };
        report(engine);
    }

    function carryOut(engine: Engine, bornMs: number, order: EngineOrder) {
        if (!engine.isRunning || engine.bornMs !== bornMs) {
            return;
        }
        if (order.kind === "join") {
            join(engine, order);
            return;
        }
        if (order.kind === "stage") {
            engine.stagedModels = [order.model];
            return;
        }
        const { membership } = engine;
        if (membership?.name !== order.group || membership.epoch !== order.epoch) {
            return;
        }
        if (order.kind === "leave") {
            engine.membership = undefined;
        }
        else if (order.kind === "close" && membership.state === "open") {
            membership.state = "ready";
        }
        else if (order.kind === "open" && membership.state === "ready" && membership.rank === 0) {
            membership.changesAtMs = nowMs + options.engine.formMs;
            membership.state = "ready";
            after(options.engine.formMs, () => open(engine, membership));
        }
        report(engine);
    }

    function open(engine: Engine, membership: NonNullable<Engine["membership"]>) {
        if (engine.membership !== membership || !engine.isRunning || membership.state !== "ready") {
            return;
        }
        const ready = everReady.get(membership.name) ?? new Set();
        const unready = membership.memberIds.filter(id => !ready.has(id));
        if (unready.length > 0) {
            broken.push(`${nowMs} ms: ${membership.name} opens although ${unready.join(", ")} has never been ready in it`);
        }
        membership.state = "open";
        openings.set(membership.model, (openings.get(membership.model) ?? 0) + 1);
        report(engine);
    }

    function advance(engine: Engine) {
        if (!engine.isRunning) {
            if (engine.returnsAtMs <= nowMs) {
                Object.assign(engine, {
                    isRunning: true, bornMs: nowMs, membership: undefined, highestEpoch: -1, lastModel: undefined, sequence: 0,
                    stillSinceMs: undefined,
                });
                report(engine);
            }
            return;
        }
        const { membership } = engine;
        if (membership?.state === "joining" && membership.changesAtMs <= nowMs) {
            membership.state = "ready";
            engine.lastModel = membership.model;
            engine.stagedModels = [membership.model];
            everReady.set(membership.name, (everReady.get(membership.name) ?? new Set()).add(engine.id));
            report(engine);
        }
        const isServing = membership?.state === "open" || membership?.state === "closing";
        const isStill = isServing && membership!.memberIds.some(id => {
            const member = engines.get(id)!;
            return !member.isRunning || member.membership?.name !== membership!.name;
        });
        engine.stillSinceMs = isStill ? engine.stillSinceMs ?? nowMs : undefined;
        if (isStill && nowMs - engine.stillSinceMs! > stallMs) {
            membership!.state = "broken";
            report(engine);
        }
        if (engine.nextReportMs <= nowMs) {
            report(engine);
        }
    }

    function send({ upstreamId, order }: AddressedOrder) {
        const engine = engines.get(upstreamId)!;
        const { bornMs } = upstreams.get(upstreamId)!;
        const onAnswered = unansweredOrders.recordSent(upstreamId, bornMs, order);
        if (order.kind === "join") {
            checkReportedGroup(upstreamId, order.group);
        }
        const execute = () => carryOut(engine, bornMs, order);
        if (!isReached(engine)) {
            return;
        }
        if (random() >= options.unansweredShare) {
            after(random() * 20, execute);
            after(20 + random() * 20, onAnswered);
            return;
        }
        const fate = random();
        if (fate < 0.75) {
            after(2_000 + random() * 10_000, execute);
        }
        if (fate > 0.5 && fate < 0.9) {
            after(random() * 20, execute);
        }
    }

    /** An engine whose head is reported to serve is never free. */
    function checkReportedGroup(id: string, group: string) {
        const reported = upstreams.get(id)?.group;
        const head = [...upstreams.values()].find(other => reported !== undefined && other.group?.rank === 0 &&
            other.group.name === reported.name && other.group.epoch === reported.epoch);
        if (reported !== undefined && reported.name !== group && (head?.group?.state === "open" || head?.group?.state === "closing")) {
            broken.push(`${nowMs} ms: ${id} is ordered to join ${group} although the head of its group ${reported.name} is reported to serve`);
        }
    }

    function plan() {
        const isLost = (id: string) => !isReached(engines.get(id)!);
        const result = planGroups(state, {
            nowMs, leadsSinceMs, heartbeatMs, engine: options.engine, upstreams, evacuatedDataCentres: evacuated, demand,
            hasTraffic: nowMs - startMs > 5_000, plansForShortage: false, forecastDemand: () => demand,
            isLost, isRefusing: id => !engines.get(id)!.isRunning, hasPushedBack: () => false, hasIncarnationEnded: () => false,
            unansweredOrders,
            isMakingProgress: () => false,
        });
        state = result.state;
        result.orders.forEach(send);
    }

    function disrupt() {
        const engine = anyEngine();
        if (isDue(options.crashEveryMs) && engine.isRunning) {
            Object.assign(engine, { isRunning: false, returnsAtMs: nowMs + 500 + random() * 8_000 });
        }
        if (isDue(options.cutEveryMs)) {
            engine.cutUntilMs = nowMs + 1_000 + random() * 8_000;
        }
        if (isDue(options.newLeaderEveryMs)) {
            term++;
            leadsSinceMs = nowMs;
            state = { ...emptyGroupsState, lastEpoch: firstEpochOf(term) };
            unansweredOrders = createUnansweredOrders(() => nowMs);
        }
        if (isDue(options.evacuationEveryMs)) {
            evacuated = evacuated.length > 0 ? [] : [engine.domain];
        }
        if (isDue(6_000)) {
            demand = new Map(options.engine.models.map(({ name }) => [name, engines.size * random()]));
        }
    }

    return {
        run(forMs) {
            const untilMs = nowMs + forMs;
            for (let step = 0; nowMs < untilMs; step++) {
                nowMs += stepMs;
                disrupt();
                const due = deliveries.filter(({ atMs }) => atMs <= nowMs);
                deliveries = deliveries.filter(({ atMs }) => atMs > nowMs);
                due.sort((a, b) => a.atMs - b.atMs).forEach(({ run }) => run());
                engines.forEach(advance);
                if (step % planEverySteps === 0) {
                    plan();
                }
            }
        },
        broken,
        openings,
        get openGroups() {
            return [...engines.values()].flatMap(({ membership }) => membership?.state === "open" ? [membership.name] : []);
        },
    };
}
