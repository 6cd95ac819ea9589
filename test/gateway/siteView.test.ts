import { PassThrough } from "node:stream";
import { expect } from "chai";
import { createSiteView, type SiteView } from "../../src/gateway/siteView.js";
import { createLogger } from "../../src/telemetry/index.js";
import { createSite, createUpstream } from "../support/gatewaySite.js";

describe("the site view", () => {
    let view: SiteView;

    const ids = () => view.candidates("orders", undefined).map(({ upstream }) => upstream.id);
    const heard = (id: string, agoMs: number) => view.apply({ kind: "heard", heard: [{ id, agoMs }] });
    const pause = () => new Promise(resolve => setTimeout(resolve, 20));

    beforeEach(() => {
        const site = createSite();
        view = createSiteView({ decodeSite: () => ({ site }) }, createLogger("error", "test", new PassThrough().resume()));
        view.apply({ kind: "site", version: site.version, text: "" });
        view.apply({ kind: "upstreams", upstreams: [createUpstream("10.0.0.1:80", "u1"), createUpstream("10.0.0.2:80", "u2")] });
    });

    // A link may refuse connections for seconds. If this counted as the end of the upstream's process, the entry would never again use the
    // upstream, nor any group with it.
    it("lists an upstream that refused connections again once it has been heard after that", async () => {
        await pause();
        view.markRefusing(view.candidates("orders", undefined)[0]!.upstream);
        expect(ids()).to.deep.equal(["u2"]);
        await pause();
        heard("u1", 0);
        expect(ids()).to.deep.equal(["u1", "u2"]);
    });

    // The upstream has crashed. Its last heartbeat at the control daemons is older than the refusal, however late they report it.
    it("excludes an upstream that refused connections while it has not been heard since", async () => {
        await pause();
        view.markRefusing(view.candidates("orders", undefined)[0]!.upstream);
        await pause();
        heard("u1", 1_000);
        view.apply({ kind: "upstreams", upstreams: [createUpstream("10.0.0.1:80", "u1", { sequence: 2, heardAgoMs: 500 })] });
        expect(ids()).to.deep.equal(["u2"]);
    });

    it("names the upstreams that refused connections until they are heard or gone", async () => {
        const [first, second] = view.candidates("orders", undefined).map(({ upstream }) => upstream);
        await pause();
        view.markRefusing(first!);
        view.markRefusing(second!);
        expect(view.refusingIds).to.deep.equal(["u1", "u2"]);
        await pause();
        heard("u1", 0);
        expect(view.refusingIds).to.deep.equal(["u2"]);
        view.apply({ kind: "upstreams", upstreams: [createUpstream("10.0.0.2:80", "u2", { sequence: 2, isGone: true })] });
        expect(view.refusingIds).to.deep.equal([]);
    });

    // Guards against a burst to an upstream that is cold a second time: the entry has not learnt of its heartbeats in between.
    it("applies that an upstream is cold again although it has not been told of its heartbeats", async () => {
        view.apply({ kind: "upstreams", upstreams: [createUpstream("10.0.0.1:80", "u1", { sequence: 2, coldForMs: 10 })] });
        const upstream = () => view.candidates("orders", undefined).find(({ upstream: { id } }) => id === "u1")!.upstream;
        await pause();
        expect(upstream().coldUntilMs).to.be.below(performance.now());
        view.markCold(upstream(), 5_000);
        expect(upstream().coldUntilMs).to.be.above(performance.now() + 4_000);
    });

    it("excludes an upstream at whose address another one answers until it has restarted", async () => {
        view.markGone(view.candidates("orders", undefined)[0]!.upstream);
        await pause();
        heard("u1", 0);
        expect(ids()).to.deep.equal(["u2"]);
        view.apply({ kind: "upstreams", upstreams: [createUpstream("10.0.0.1:80", "u1", { bornMs: 2 })] });
        expect(ids()).to.have.members(["u1", "u2"]);
    });

    describe("with evacuated data centres", () => {
        const position = (clusterId: string, index: number, leader?: string) => ({ clusterId, term: 1, index, leader });
        const evacuate = (index: number, dataCentres: string[], log?: ReturnType<typeof position>) =>
            view.apply({ kind: "evacuated", index, dataCentres }, "10.0.0.9:1", log);

        beforeEach(() => {
            evacuate(9, ["a"], position("old", 9, "10.0.0.9:1"));
            expect(ids()).to.deep.equal([]);
        });

        // Guards against a daemon that is behind and brings a data centre back that is being evacuated.
        it("ignores an earlier state of the same log, with or without a position", () => {
            evacuate(8, [], position("old", 8, "10.0.0.9:1"));
            evacuate(8, []);
            expect(ids()).to.deep.equal([]);
            evacuate(10, [], position("old", 10));
            expect(ids()).to.deep.equal(["u1", "u2"]);
        });

        // Guards against an entry that outlives the log and never again applies an evacuation, since the indexes of the next log are lower.
        it("applies the state of a log that was formed anew once its sender knows a leader", () => {
            evacuate(2, [], position("new", 2));
            expect(ids()).to.deep.equal([]);
            evacuate(2, [], position("new", 2, "10.0.0.9:1"));
            expect(ids()).to.deep.equal(["u1", "u2"]);
            evacuate(12, ["a"], position("old", 12));
            expect(ids()).to.deep.equal(["u1", "u2"]);
            evacuate(3, ["a"], position("new", 3, "10.0.0.9:1"));
            expect(ids()).to.deep.equal([]);
        });
    });
});
