/**
 * A model of engines that carry out orders at once, late and after newer ones, twice or not at all, and of control leaders that plan their
 * groups and follow one another. It checks what must hold at the engines, whatever a leader knows.
 *
 * @module
 */

import type { Upstream } from "../../src/fleet/index.js";
import {
    type AddressedOrder, createRevisions, createUnansweredOrders, emptyGroupsState, type EngineOrder, firstEpochOf, type GroupsState,
    isAsPlanned, planGroups, type UnansweredOrders, withoutLastOrder,
} from "../../src/groups/index.js";
import { createLaggingStates } from "./laggingStates.js";
import type { Delivery, LateEngine as Engine, LateEngines, LateEnginesOptions } from "./lateEnginesTypes.js";

const stepMs = 50;
const planEverySteps = 3;
const heartbeatMs = 1_200;
/** How long requests wait for a lost member before a head counts as broken. */
const stallMs = 5_000;
const quickJoinMs = 200;
const startMs = 10_000;
/** An engine that is asked for its state answers with the one of this long ago. */
const reportLagMs = 200;
const readTimeoutMs = 250;

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
    let revisions = createRevisions();
    const states = createLaggingStates(reportLagMs, () => nowMs);
    let evacuated: string[] = [];
    let demand: ReadonlyMap<string, number> = new Map();

    const ids = Object.entries(options.domains).flatMap(([domain, count]) =>
        Array.from({ length: count }, (_, index) => ({ id: `${domain}${index}`, domain })));
    const engines = new Map(ids.map(({ id, domain }): [string, Engine] => [id, {
        id, domain, address: `${id}:1`, bornMs: 1, isRunning: true, returnsAtMs: 0, cutUntilMs: 0, membership: undefined,
        highestEpoch: -1, lastModel: undefined, stagedModels: [], sequence: 0, nextReportMs: 0,
        stillSinceMs: undefined, revision: 0,
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

    function join(engine: Engine, order: Extract<EngineOrder, { kind: "join" }>): boolean {
        const { membership } = engine;
        const isSame = membership?.name === order.group && membership.epoch === order.epoch;
        if (order.epoch < engine.highestEpoch || isSame) {
            return false;
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
        return true;
    }

    /** Returns whether the engine has accepted the order. */
    function carryOut(engine: Engine, bornMs: number, order: EngineOrder, expectedRevision: number | undefined): boolean {
        const isExpected = expectedRevision === undefined || expectedRevision === engine.revision;
        const isAccepted = engine.isRunning && engine.bornMs === bornMs && isExpected && begin(engine, order);
        engine.revision += Number(isAccepted);
        return isAccepted;
    }

    /** Returns whether the order begins something. */
    function begin(engine: Engine, order: EngineOrder): boolean {
        if (order.kind === "join") {
            return join(engine, order);
        }
        if (order.kind === "stage") {
            engine.stagedModels = [order.model];
            return true;
        }
        const { membership } = engine;
        if (membership?.name !== order.group || membership.epoch !== order.epoch) {
            return false;
        }
        const canClose = order.kind === "close" && membership.state === "open";
        const canOpen = order.kind === "open" && membership.state === "ready" && membership.rank === 0;
        if (order.kind === "leave") {
            engine.membership = undefined;
        }
        else if (canClose) {
            membership.state = "ready";
        }
        else if (canOpen) {
            membership.changesAtMs = nowMs + options.engine.formMs;
            after(options.engine.formMs, () => open(engine, membership));
        }
        report(engine);
        return order.kind === "leave" || canClose || canOpen;
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
                    stillSinceMs: undefined, revision: 0,
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

    /** Returns the revision at which the engine is as planned; undefined if it is not, or doesn't answer. */
    function readRevision(planned: Upstream): number | undefined {
        const isAnswered = isReached(engines.get(planned.id)!) && random() >= options.unansweredShare;
        const read = isAnswered ? states.read(planned.id, planned.bornMs) : undefined;
        if (read !== undefined && isAsPlanned(planned, read)) {
            revisions.recordState(planned.id, read);
            return read.revision;
        }
        replan(planned.id, isAnswered ? 0 : readTimeoutMs);
        return undefined;
    }

    /** Lets the last order to an engine be planned anew. */
    function replan(id: string, delayMs: number) {
        const planned = state.lastOrders.get(id);
        after(delayMs, () => {
            state = state.lastOrders.get(id) === planned ? withoutLastOrder(state, id) : state;
        });
    }

    function send({ upstreamId, order }: AddressedOrder) {
        const engine = engines.get(upstreamId)!;
        const planned = upstreams.get(upstreamId)!;
        const { bornMs } = planned;
        let revision: number | undefined;
        if (order.kind === "join") {
            checkReportedGroup(upstreamId, order.group);
            revision = revisions.revisionOf(planned) ?? readRevision(planned);
            if (revision === undefined) {
                return;
            }
        }
        const onAnswered = unansweredOrders.recordSent(upstreamId, bornMs, order, revision);
        const onAccepted = revisions.recordSent(upstreamId, order);
        if (!isReached(engine)) {
            return;
        }
        let isAccepted = false;
        const execute = () => {
            isAccepted = carryOut(engine, bornMs, order, revision);
        };
        if (random() >= options.unansweredShare) {
            after(random() * 20, execute);
            after(20 + random() * 20, () => {
                onAnswered();
                if (isAccepted) {
                    onAccepted();
                }
                else if (revision !== undefined && revision !== engine.revision) {
                    revisions.forget(upstreamId);
                    replan(upstreamId, 0);
                }
            });
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
        upstreams.forEach(unansweredOrders.recordReported);
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
            revisions = createRevisions();
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
                engines.forEach(({ id, bornMs, membership: group, revision }) => states.record(id, { bornMs, group, revision }));
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
