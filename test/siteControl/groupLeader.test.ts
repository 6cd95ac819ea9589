import { PassThrough } from "node:stream";
import { expect } from "chai";
import type { ConsensusNode } from "../../src/consensus/index.js";
import type { DirectoryState, Upstream } from "../../src/fleet/index.js";
import type { EngineOrder } from "../../src/groups/index.js";
import { createSiteTable, siteSchema } from "../../src/site/index.js";
import { createGroupLeader } from "../../src/siteControl/groupLeader.js";
import { createLogger, createSiteMetrics } from "../../src/telemetry/index.js";
import { engine, fleetOf } from "../groups/builders.js";

const probeMs = 150;

/** A leader over engines that only report, on a clock that the test moves; from `darkFromMs` on the one called `darkId` is silent. */
function leaderOver(upstreams: readonly Upstream[], darkId?: string) {
    const state = { nowMs: 0, wakeAtMs: Number.POSITIVE_INFINITY, darkFromMs: Number.POSITIVE_INFINITY };
    const log = { leaseHeld: true, term: 1, state: { published: { evacuated: [] } } };
    const gone = new Set<string>();
    const probes: { readonly atMs: number; answer(): void }[] = [];
    const orders: { readonly atMs: number; readonly id: string; readonly order: EngineOrder }[] = [];
    const heardAtMs = (upstream: Upstream) => upstream.id === darkId ? Math.min(state.nowMs, state.darkFromMs) : state.nowMs;
    const current = () => upstreams.filter(({ id }) => !gone.has(id)).map(upstream => ({ ...upstream, heardAtMs: heardAtMs(upstream) }));
    const directory = (): DirectoryState => new Map(current().map(upstream => [upstream.id, upstream]));
    const leader = createGroupLeader({
        log: log as unknown as ConsensusNode,
        engines: {
            order(upstream, order) {
                orders.push({ atMs: state.nowMs, id: upstream.id, order });
                return Promise.resolve("202");
            },
            probe: upstream => new Promise(resolve => probes.push({
                atMs: state.nowMs, answer: () => resolve(upstream.id === darkId && state.nowMs > state.darkFromMs ? "silent" : "answered"),
            })),
        },
        logger: createLogger("error", "test", new PassThrough()), metrics: createSiteMetrics(),
        isFirstStart: false, nowMs: () => state.nowMs, directory,
        wake() {
            state.wakeAtMs = Math.min(state.wakeAtMs, state.nowMs + 10);
        },
    });
    const table = createSiteTable(siteSchema.parse({
        version: 1, routes: [], limits: {},
        services: [{ name: "pool", maxConnections: 10, coldMs: 0, coldRequestsPerSecond: 0, engine }],
    }));

    /** Moves the clock by 10 ms at a time: steps of planning come each 150 ms and when the leader asks, answers of probes in their time. */
    async function run(ms: number) {
        for (const untilMs = state.nowMs + ms; state.nowMs < untilMs;) {
            state.nowMs += 10;
            while (probes[0] !== undefined && state.nowMs - probes[0].atMs >= probeMs) {
                probes.shift()!.answer();
            }
            await new Promise(resolve => setImmediate(resolve));
            if (state.nowMs >= state.wakeAtMs || state.nowMs % 150 === 0) {
                state.wakeAtMs = Number.POSITIVE_INFINITY;
                leader.step(table);
            }
        }
    }

    return { state, log, gone, leader, orders, run };
}

/** A leader over one group of two whose second member may go dark. */
function leaderOverTornGroup() {
    const members = [...fleetOf({ a: 2 }).upstreams.values()].map((upstream, rank): Upstream =>
        ({ ...upstream, group: { name: "small/1", epoch: 1, rank, state: rank === 0 ? "open" : "ready" } }));
    const [head, member] = members as [Upstream, Upstream];
    return { ...leaderOver(members, member.id), head };
}

const nothingElse = { workByModel: {}, requests: 1, crashes: [], limits: [] };

describe("a control leader over groups", () => {
    // A member goes dark: the streams at its head stand still, and an entry says so 0.2 s later. Two probes of 150 ms tell that it is the
    // member, and the head is told to leave; callers wait for all of it.
    it("ends a group within 0.4 s of the first report that its head stands still", async () => {
        const { state, leader, orders, head, run } = leaderOverTornGroup();
        await run(2_000);
        expect(orders).to.deep.equal([]);
        leader.report({ ...nothingElse, suspectIds: [], movingIds: [head.id] });
        state.darkFromMs = state.nowMs;
        await run(200);
        const fromMs = state.nowMs;
        leader.report({ ...nothingElse, suspectIds: [head.id], movingIds: [] });
        await run(1_000);
        expect(orders[0]).to.include({ id: head.id });
        expect(orders[0]!.order.kind).to.equal("leave");
        expect(orders[0]!.atMs - fromMs).to.be.at.most(400);
    });

    it("shows how each model is covered", async () => {
        const { leader, run } = leaderOverTornGroup();
        expect(leader.coverage).to.deep.equal([]);
        await run(3_000);
        expect(leader.coverage.map(({ model, groups, vms }) => [model, groups.open, vms])).to.deep.equal([["big", 0, 0], ["small", 1, 2]]);
    });

    // The leader alone is cut off from a member. Streams at the head go on, so the group works; ended, it would cost callers a repair.
    it("leaves a group alone while entries see it move", async () => {
        const { state, leader, orders, head, run } = leaderOverTornGroup();
        state.darkFromMs = 0;
        for (let report = 0; report < 16; report++) {
            leader.report({ ...nothingElse, suspectIds: [head.id], movingIds: [head.id] });
            await run(250);
        }
        expect(orders).to.deep.equal([]);
    });

    // A busy quorum confirms the lease late, again and again: beginning anew each time, the leader repaired no group at all.
    it("goes on at once where its lease lapses for a moment in one term", async () => {
        const { state, log, leader, orders, head, run } = leaderOverTornGroup();
        await run(2_000);
        leader.report({ ...nothingElse, suspectIds: [], movingIds: [head.id] });
        state.darkFromMs = state.nowMs;
        for (let lapse = 0; lapse < 8; lapse++) {
            log.leaseHeld = false;
            await run(150);
            log.leaseHeld = true;
            leader.report({ ...nothingElse, suspectIds: [head.id], movingIds: [] });
            await run(600);
        }
        expect(orders[0]).to.include({ id: head.id });
        expect(orders[0]!.atMs - state.darkFromMs).to.be.at.most(1_500);
    });

    // Counted from the start of the term again after a lapse, epochs name two groups each, and engines refuse to join the second.
    it("gives no epoch to two groups where its lease lapses in one term", async () => {
        const { log, gone, orders, run } = leaderOver([...fleetOf({ a: 4 }).upstreams.values()]);
        await run(3_000);
        log.leaseHeld = false;
        await run(150);
        log.leaseHeld = true;
        gone.add("a0");
        await run(6_000);
        const formed = new Set(orders.flatMap(({ order }) => order.kind === "join" ? [`${order.epoch} of ${order.memberIds.join(" ")}`] : []));
        expect([...formed]).to.deep.equal(["1048577 of a0 a1 a2 a3", "1048578 of a1 a2"]);
    });

    // Another process led meanwhile: VMs used at once by what this one knew before would be in two groups.
    it("waits and begins anew where it leads again in another term", async () => {
        const { state, log, orders, run } = leaderOver([...fleetOf({ a: 4 }).upstreams.values()]);
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
