import { expect } from "chai";
import { createDirectory, toRelayed, type UpstreamSignals } from "../../src/fleet/index.js";
import { createSiteView } from "../../src/gateway/siteView.js";
import { createSite } from "../support/gatewaySite.js";
import { createSiteTable } from "../../src/site/index.js";
import type { EngineReport, InquiryAnswer } from "../../src/siteControl/index.js";
import { createRestorer } from "../../src/siteControl/restorer.js";
import type { UpstreamHint } from "../../src/siteControl/upstreamHints.js";
import { createHint, createKnown, createLineLogger } from "./builders.js";

const noSignals: UpstreamSignals = {
    load: undefined, limitPerSecond: undefined, pushbackMs: undefined, coldForMs: undefined, isLeaving: false,
};
const openHead: EngineReport = { bornMs: 5, domain: "d", stagedModels: ["lm"], group: { name: "lm/3", epoch: 3, rank: 0, state: "open" } };
const report = (overrides: Partial<EngineReport> = {}, signals: Partial<UpstreamSignals> = {}): InquiryAnswer =>
    ({ kind: "report", report: { ...openHead, ...overrides }, signals: { ...noSignals, ...signals } });
const healthy = (id: string, signals: Partial<UpstreamSignals> = {}): InquiryAnswer =>
    ({ kind: "healthy", id, signals: { ...noSignals, ...signals } });
const plain = { service: "orders", domain: undefined };
const unusable: InquiryAnswer = { kind: "unusable", reason: "status 421" };
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Restarts a daemon of data centre `a` with the hints. Each upstream gives its answer; those without one are silent for `silentMs`. */
function restart(hints: readonly UpstreamHint[], answers: Readonly<Record<string, InquiryAnswer>> = {}, options: {
    readonly evacuated?: readonly string[]; readonly rememberedEvacuated?: readonly string[]; readonly coldPerSecond?: number;
    readonly silentMs?: number;
} = {}) {
    const { evacuated = [], rememberedEvacuated = [], coldPerSecond = 0, silentMs = 5 } = options;
    const baseSite = createSite();
    const services = baseSite.services.map(service => ({ ...service, coldMs: 3_000, coldRequestsPerSecond: coldPerSecond }));
    const site = { ...baseSite, services };
    const table = createSiteTable(site);
    const directory = createDirectory();
    const asked: string[] = [];
    const { logger, lines } = createLineLogger();
    const state = { inFlight: 0, maxInFlight: 0 };
    const restorer = createRestorer({
        remembered: { evacuated: rememberedEvacuated, upstreams: hints }, dataCentre: "a", logger,
        inquirer: {
            async inquire({ id }, healthPath) {
                asked.push(healthPath === undefined ? id : `${id} ${healthPath}`);
                state.maxInFlight = Math.max(state.maxInFlight, ++state.inFlight);
                await pause(silentMs);
                state.inFlight--;
                return answers[id] ?? { kind: "unusable", reason: "no answer" };
            },
        },
        service: table.service, evacuated: () => evacuated, isKnown: id => directory.upstreams.has(id), hasPushedBack: id => id === "pushing",
        onSignals: () => undefined,
        onRestored: (announcement, atMs) => void directory.announce(announcement, atMs),
        nowMs: () => performance.now(), nowUnixMs: () => 1_000,
    });
    restorer.start();
    /** The upstreams to which an entry that follows this daemon sends requests. */
    const candidateIds = () => {
        const view = createSiteView({ decodeSite: () => ({ site }) }, logger);
        view.apply({ kind: "site", version: 1, text: "" });
        view.apply({ kind: "upstreams", upstreams: [...directory.upstreams.values()].map(upstream => toRelayed(upstream, performance.now())) });
        return [...view.candidates("pool", "lm"), ...view.candidates("orders", undefined)].map(({ upstream }) => upstream.id);
    };
    return { restorer, directory, asked, state, candidateIds, lines };
}

describe("a control daemon that restarts", () => {
    // All processes were killed. Without the hints nothing is known until the heartbeats come, up to 1.2 s later.
    it("serves from the upstreams that answer before their first heartbeat", async () => {
        const { candidateIds } = restart([createHint("head"), createHint("plain", plain)], { head: report(), plain: healthy("plain") });
        await pause(50);
        expect(candidateIds()).to.deep.equal(["head", "plain"]);
        expect(restart([]).candidateIds()).to.deep.equal([]);
    });

    const unused: Readonly<Record<string, readonly [UpstreamHint, InquiryAnswer]>> = {
        "an upstream whose address another one has taken over": [createHint("u1"), unusable],
        "a plain upstream whose address another one has taken over": [createHint("u1", plain), healthy("u2")],
        "another incarnation under the same id": [createHint("u1"), report({ bornMs: 6 })],
        "an incarnation that is unknown": [createHint("u1", { bornMs: 0 }), report({ bornMs: 0 })],
        "an upstream remembered as draining": [createHint("u1", { state: "draining" }), report()],
        "an upstream that says that it leaves": [createHint("u1"), report({}, { isLeaving: true })],
        "an upstream that pushes back": [createHint("u1"), report({}, { pushbackMs: 500 })],
        "an upstream that pushed back before": [createHint("pushing"), report()],
        "an upstream remembered as cold": [createHint("u1", { coldUntilUnixMs: 1_001 }), report()],
        "an upstream that says that it is cold": [createHint("u1", plain), healthy("u1", { coldForMs: 10 })],
        "an upstream of a service that the site no longer has": [createHint("u1", { service: "old" }), report()],
        "a head that is not open": [createHint("u1"), report({ group: { ...openHead.group!, state: "closing" } })],
        "a group whose epoch is out of range": [createHint("u1"), report({ group: { ...openHead.group!, epoch: -1 } })],
    };
    Object.entries(unused).forEach(([name, [hint, answer]]) => it(`sends nothing to ${name}`, async () => {
        const { candidateIds } = restart([hint], { [hint.id]: answer });
        await pause(50);
        expect(candidateIds()).to.deep.equal([]);
    }));

    // A drain that was acknowledged before the restart holds, although the report doesn't mention it.
    it("doesn't ask an upstream remembered as draining", async () => {
        const { asked, directory } = restart([createHint("u1", { state: "draining" })], { u1: report() });
        await pause(50);
        expect([asked, directory.upstreams.size]).to.deep.equal([[], 0]);
    });

    // A plain service doesn't state its incarnation, so an upstream may have restarted meanwhile and may be overloaded while it is cold.
    it("uses a plain upstream with a cold rate only if it states that it is not cold", async () => {
        const { candidateIds } = restart([createHint("u1", plain), createHint("u2", plain)],
            { u1: healthy("u1"), u2: healthy("u2", { coldForMs: 0 }) }, { coldPerSecond: 2 });
        await pause(50);
        expect(candidateIds()).to.deep.equal(["u2"]);
    });

    // The log on disk may not record the last evacuation as committed, and an evacuated data centre must get no work.
    it("asks nothing in a data centre that is evacuated by the log or was by the hints", async () => {
        const hints = [createHint("u1"), createHint("u2", { dataCentre: "b" }), createHint("u3", { dataCentre: "c" })];
        const { asked } = restart(hints, {}, { evacuated: ["a"], rememberedEvacuated: ["b"] });
        await pause(400);
        expect(asked).to.deep.equal(["u3"]);
    });

    // Guards against probes of every upstream by every control daemon.
    it("asks upstreams of other data centres only if nobody has relayed them", async () => {
        const { asked, directory, lines } = restart([createHint("u1"), createHint("u2", { dataCentre: "b" }), createHint("u3", { dataCentre: "b" })]);
        await pause(100);
        expect(asked).to.deep.equal(["u1"]);
        directory.merge([toRelayed(createKnown("u2", { dataCentre: "b" }), 0)], performance.now());
        await pause(300);
        expect(asked).to.deep.equal(["u1", "u3"]);
        expect(lines).to.deep.equal(["remembered upstreams asked"]);
    });

    it("asks no more than 32 upstreams at once", async () => {
        const { asked, state } = restart(Array.from({ length: 70 }, (_, index) => createHint(`u${index}`)), {}, { silentMs: 30 });
        await pause(200);
        expect([asked.length, state.maxInFlight]).to.deep.equal([70, 32]);
    });

    // A heartbeat may bring news while the upstream is asked, and a later one must always supersede the answer.
    it("lets heartbeats supersede the answers", async () => {
        const { directory } = restart([createHint("u1"), createHint("u2")], { u1: report(), u2: report() }, { silentMs: 30 });
        directory.announce(createKnown("u1", { sequence: 8, state: "draining" }), 0);
        await pause(60);
        directory.announce(createKnown("u2", { sequence: 8 }), 0);
        expect([...directory.upstreams.values()].map(({ id, state, group }) => [id, state, group]))
            .to.deep.equal([["u1", "draining", undefined], ["u2", "ready", undefined]]);
    });
});
