import { PassThrough } from "node:stream";
import { expect } from "chai";
import type { ConsensusNode } from "../../src/consensus/index.js";
import { createPushbacks, type DirectoryState, type Upstream, type UpstreamSignals } from "../../src/fleet/index.js";
import type { EngineOrder } from "../../src/groups/index.js";
import { createSiteTable, type OverloadMode, siteSchema } from "../../src/site/index.js";
import { createGroupLeader } from "../../src/siteControl/groupLeader.js";
import type { EngineReport } from "../../src/siteControl/index.js";
import { createLogger, createSiteMetrics } from "../../src/telemetry/index.js";
import { engine, createFleet } from "../groups/builders.js";

const probeMs = 150;
const noSignals: UpstreamSignals = {
    load: undefined, limitPerSecond: undefined, coldForMs: undefined, pushbackMs: undefined, isLeaving: false,
};

/** Creates a leader with simulated engines and a clock advanced by `run`. The engine `silentId` doesn't respond after `silentFromMs`. */
function createLeader(upstreams: readonly Upstream[], silentId?: string, overloadMode?: OverloadMode) {
    const state = {
        nowMs: 0, planAtMs: Number.POSITIVE_INFINITY, silentFromMs: Number.POSITIVE_INFINITY,
        signals: undefined as UpstreamSignals | undefined,
        /** What engines state of themselves, if it is not what they announce; without an answer `undefined`. */
        stated: undefined as Partial<EngineReport> | "no answer" | undefined,
        orderAnswer: "202",
    };
    const log = { leaseHeld: true, term: 1, state: { published: { evacuated: [] } } };
    const gone = new Set<string>();
    const probes: { readonly atMs: number; readonly id: string; answer(): void }[] = [];
    const pushbacks = createPushbacks(() => state.nowMs, () => undefined);
    const recorded: { readonly id: string; readonly signals: UpstreamSignals }[] = [];
    const orders: {
        readonly atMs: number; readonly id: string; readonly order: EngineOrder; readonly expectedRevision: number | undefined;
    }[] = [];
    const heardAtMs = (upstream: Upstream) => upstream.id === silentId ? Math.min(state.nowMs, state.silentFromMs) : state.nowMs;
    const current = () => upstreams.filter(({ id }) => !gone.has(id)).map(upstream => ({ ...upstream, heardAtMs: heardAtMs(upstream) }));
    const directory = (): DirectoryState => new Map(current().map(upstream => [upstream.id, upstream]));
    const leader = createGroupLeader({
        log: log as unknown as ConsensusNode,
        engines: {
            order(upstream, order, expectedRevision) {
                orders.push({ atMs: state.nowMs, id: upstream.id, order, expectedRevision });
                return Promise.resolve({ outcome: state.orderAnswer, signals: undefined });
            },
            async inquire({ id }) {
                if (state.stated === "no answer") {
                    return { kind: "unusable", reason: "no answer" };
                }
                const { bornMs, domain, stagedModels, group } = upstreams.find(upstream => upstream.id === id)!;
                return { kind: "report", report: { bornMs, domain, stagedModels, group, revision: 7, ...state.stated }, signals: noSignals };
            },
            probe: upstream => new Promise(resolve => probes.push({
                atMs: state.nowMs, id: upstream.id,
                answer() {
                    const isSilent = upstream.id === silentId && state.nowMs > state.silentFromMs;
                    resolve({ outcome: isSilent ? "silent" : "answered", signals: isSilent ? undefined : state.signals });
                },
            })),
        },
        logger: createLogger("error", "test", new PassThrough()), metrics: createSiteMetrics(),
        isFirstStart: false, heartbeatMs: 1_200, overloadMode, nowMs: () => state.nowMs, directory, pushbacks,
        recordSignals: ({ id }, signals) => void recorded.push({ id, signals }),
        requestPlanning() {
            state.planAtMs = Math.min(state.planAtMs, state.nowMs + 10);
        },
    });
    const table = createSiteTable(siteSchema.parse({
        version: 1, routes: [], limits: {},
        services: [{ name: "pool", maxConnections: 10, coldMs: 0, coldRequestsPerSecond: 0, engine }],
    }));

    /** Advances the clock in steps of 10 ms. Probes are answered after `probeMs`; planning runs every 150 ms and on request. */
    async function run(ms: number) {
        for (const untilMs = state.nowMs + ms; state.nowMs < untilMs;) {
            state.nowMs += 10;
            while (probes[0] !== undefined && state.nowMs - probes[0].atMs >= probeMs) {
                probes.shift()!.answer();
            }
            await new Promise(resolve => setImmediate(resolve));
            if (state.nowMs >= state.planAtMs || state.nowMs % 150 === 0) {
                state.planAtMs = Number.POSITIVE_INFINITY;
                leader.planStep(table);
            }
        }
    }

    return { state, log, gone, leader, orders, probes, pushbacks, recorded, run };
}

/** Creates a leader with one group of two engines, of which the second may become silent. */
function createLeaderOfPair() {
    const members = [...createFleet({ a: 2 }).upstreams.values()].map((upstream, rank): Upstream =>
        ({ ...upstream, group: { name: "small/1", epoch: 1, rank, state: rank === 0 ? "open" : "ready" } }));
    const [head, member] = members as [Upstream, Upstream];
    return { ...createLeader(members, member.id), head };
}

const baseReport = { workByModel: {}, requests: 1, crashes: [], limits: [], draining: [], pushbacks: [] };

describe("control leader with groups", () => {
    // Guards against a slow repair, for which callers wait: when a member fails, the streams at the head stall and an entry reports this
    // 0.2 s later. Two probes of 150 ms identify the failed member, then the head is ordered to leave.
    it("ends a group within 0.4 s of the first report that its head has stalled", async () => {
        const { state, leader, orders, head, run } = createLeaderOfPair();
        await run(2_000);
        expect(orders).to.deep.equal([]);
        leader.recordReport({ ...baseReport, suspectIds: [], movingIds: [head.id] });
        state.silentFromMs = state.nowMs;
        await run(200);
        const fromMs = state.nowMs;
        leader.recordReport({ ...baseReport, suspectIds: [head.id], movingIds: [] });
        await run(1_000);
        expect(orders[0]).to.include({ id: head.id });
        expect(orders[0]!.order.kind).to.equal("leave");
        expect(orders[0]!.atMs - fromMs).to.be.at.most(400);
    });

    // Guards against probes and orders to an upstream that wants no requests from the leader's VM.
    it("sends neither probes nor orders to an upstream that has pushed back, and both afterwards", async () => {
        const { state, leader, orders, probes, pushbacks, head, run } = createLeaderOfPair();
        await run(2_000);
        state.silentFromMs = state.nowMs;
        pushbacks.record(head.id, 3_000);
        const probedIds = new Set<string>();
        for (let step = 0; step < 60; step++) {
            leader.recordReport({ ...baseReport, suspectIds: [head.id], movingIds: [] });
            await run(50);
            probes.forEach(probe => probedIds.add(probe.id));
        }
        expect([orders.map(({ id }) => id), probedIds.has(head.id)]).to.deep.equal([[], false]);
        await run(300);
        expect(orders[0]).to.include({ id: head.id });
    });

    // Guards against a leader that goes on planning with an upstream that says in its answers that it leaves.
    it("passes on what answers to probes state about upstreams", async () => {
        const { state, recorded, head, leader, run } = createLeaderOfPair();
        state.signals = { load: undefined, limitPerSecond: undefined, coldForMs: undefined, pushbackMs: undefined, isLeaving: true };
        await run(2_000);
        leader.recordReport({ ...baseReport, suspectIds: [head.id], movingIds: [] });
        await run(500);
        expect(recorded).to.deep.include({ id: head.id, signals: state.signals });
    });

    // Guards against an engine that is taken out of a serving group by an order to join another one, carried out late.
    it("orders an engine to join only as it was planned, at the revision that was read", async () => {
        const group = { name: "small/1", epoch: 1, rank: 1, state: "ready" } as const;
        const { state, log, orders, run } = createLeader([...createFleet({ a: 2 }).upstreams.values()]);
        for (const stated of ["no answer", { group }, { bornMs: 2 }] as const) {
            state.stated = stated;
            await run(2_000);
            expect(orders).to.deep.equal([]);
        }
        state.stated = undefined;
        state.orderAnswer = "409 revision";
        await run(400);
        const joins = orders.filter(({ order }) => order.kind === "join").map(({ id, expectedRevision }) => [id, expectedRevision]);
        expect(joins).to.deep.equal([["a0", 7], ["a1", 7], ["a0", 7], ["a1", 7]]);
        const before = orders.length;
        log.leaseHeld = false;
        await run(300);
        expect(orders.length).to.equal(before);
    });

    // Guards against forecasts on a site that does not call for overload control, and against none where the operators ask for them.
    it("plans by forecast only where overload control acts", async () => {
        const models = await Promise.all(([undefined, "off", "on"] as const).map(async mode => {
            const { leader, run } = createLeader([...createFleet({ a: 4 }).upstreams.values()], undefined, mode);
            await run(2_000);
            leader.recordReport({ ...baseReport, workByModel: { big: 300 }, suspectIds: [], movingIds: [] });
            await run(1_000);
            return [...leader.forecasts.keys()];
        }));
        expect(models).to.deep.equal([[], [], ["big"]]);
    });

    it("reports the coverage of each model", async () => {
        const { leader, run } = createLeaderOfPair();
        expect(leader.coverage).to.deep.equal([]);
        await run(3_000);
        expect(leader.coverage.map(({ model, groups, vms }) => [model, groups.open, vms])).to.deep.equal([["big", 0, 0], ["small", 1, 2]]);
    });

    // Guards against needlessly ending a group that still serves requests when a member is cut off from the leader only.
    it("keeps a group while entries report that it makes progress", async () => {
        const { state, leader, orders, head, run } = createLeaderOfPair();
        state.silentFromMs = 0;
        for (let report = 0; report < 16; report++) {
            leader.recordReport({ ...baseReport, suspectIds: [head.id], movingIds: [head.id] });
            await run(250);
        }
        expect(orders).to.deep.equal([]);
    });

    // Guards against a leader that never repairs a group because it starts over whenever a busy quorum confirms its lease late.
    it("continues at once after its lease has lapsed briefly within a term", async () => {
        const { state, log, leader, orders, head, run } = createLeaderOfPair();
        await run(2_000);
        leader.recordReport({ ...baseReport, suspectIds: [], movingIds: [head.id] });
        state.silentFromMs = state.nowMs;
        for (let lapse = 0; lapse < 8; lapse++) {
            log.leaseHeld = false;
            await run(150);
            log.leaseHeld = true;
            leader.recordReport({ ...baseReport, suspectIds: [head.id], movingIds: [] });
            await run(600);
        }
        expect(orders[0]).to.include({ id: head.id });
        expect(orders[0]!.atMs - state.silentFromMs).to.be.at.most(1_500);
    });

    // Guards against restarting the epochs of a term after a lapse: engines refuse to join a second group with the same epoch.
    it("assigns no epoch to two groups if its lease lapses within a term", async () => {
        const { log, gone, orders, run } = createLeader([...createFleet({ a: 4 }).upstreams.values()]);
        await run(3_000);
        log.leaseHeld = false;
        await run(150);
        log.leaseHeld = true;
        gone.add("a0");
        await run(6_000);
        const formed = new Set(orders.flatMap(({ order }) => order.kind === "join" ? [`${order.epoch} of ${order.memberIds.join(" ")}`] : []));
        expect([...formed]).to.deep.equal(["1048577 of a0 a1 a2 a3", "1048578 of a1 a2"]);
    });

    // Guards against assigning VMs to two groups by using outdated state after another process has led in the meantime.
    it("waits and starts over when it becomes the leader again in another term", async () => {
        const { state, log, orders, run } = createLeader([...createFleet({ a: 4 }).upstreams.values()]);
        await run(3_000);
        const before = orders.length;
        log.leaseHeld = false;
        await run(600);
        Object.assign(log, { leaseHeld: true, term: 3 });
        const fromMs = state.nowMs;
        await run(3_000);
        expect(orders[before]!.atMs - fromMs).to.be.at.least(1_500);
        const epochs = (from: number, to?: number) => orders.slice(from, to).flatMap(({ order }) => order.kind === "join" ? [order.epoch] : []);
        expect(Math.min(...epochs(before))).to.be.greaterThan(Math.max(...epochs(0, before)));
    });
});
