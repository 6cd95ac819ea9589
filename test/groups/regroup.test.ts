import { expect } from "chai";
import * as fc from "fast-check";
import { engineWithBig, type Fleet, createFleet, openGroupsByModel, run } from "./builders.js";

/** Removes one member of an open group of `model` for good. */
function loseMember(fleet: Fleet, model: string, domain?: string) {
    const head = [...fleet.upstreams.values()].find(upstream =>
        upstream.group?.state === "open" && upstream.group.name.startsWith(model) && (domain ?? upstream.domain) === upstream.domain)!;
    const member = [...fleet.upstreams.values()].find(({ id, group }) => id !== head.id && group?.name === head.group!.name)!;
    fleet.upstreams.delete(member.id);
}

function findSpares(fleet: Fleet) {
    return [...fleet.upstreams.values()].filter(({ group }) => group === undefined || group.name.includes("standby"));
}

describe("dividing VMs between models", () => {
    // A site starts: three VMs of each domain report at once, the others some seconds later, all before the first caller. Small groups fill
    // the first VMs; if they stayed there, callers of the large model would be refused all day.
    it("gives the large model its share although most VMs announce themselves late", () => {
        const fleet = createFleet({ a: 10, b: 10, c: 10 });
        const late = [...fleet.upstreams.keys()].filter(id => Number(id.slice(1)) >= 3);
        late.forEach(id => fleet.unknown.add(id));
        run(fleet, 2_500);
        expect(openGroupsByModel(fleet).big ?? 0).to.equal(0);
        late.sort((a, b) => Number(a.slice(1)) - Number(b.slice(1)));
        while (late.length > 0) {
            late.splice(0, 3).forEach(id => fleet.unknown.delete(id));
            run(fleet, 450);
        }
        run(fleet, 3_000);
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 3, small: 6 });
    });

    // VMs of all domains announce themselves in pairs. Each pair fills a small group, so that callers of the large model would be refused.
    it("gives a model its share although one of its groups takes nearly half of a domain", () => {
        const fleet = createFleet({ a: 18, b: 18, c: 18 }, engineWithBig(8));
        const late = [...fleet.upstreams.keys()].sort((a, b) => Number(a.slice(1)) - Number(b.slice(1)));
        late.forEach(id => fleet.unknown.add(id));
        run(fleet, 1_500);
        while (late.length > 0) {
            late.splice(0, 6).forEach(id => fleet.unknown.delete(id));
            run(fleet, 450);
        }
        run(fleet, 6_000);
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 3, small: 12 });
    });

    // VMs are lost for good all day. Both spares of a domain go to small groups; then a large group loses a member. Callers of its model
    // would wait until an empty VM has arrived and has loaded weights for 16 s, while three of the group's VMs are idle.
    it("breaks up a small group for a large one that lacks one member", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 12_000);
        fleet.hasTraffic = true;
        for (let loss = 0; loss < 2; loss++) {
            loseMember(fleet, "small");
            run(fleet, 3_000);
        }
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 1, small: 2 });
        expect(findSpares(fleet)).to.deep.equal([]);
        loseMember(fleet, "big");
        run(fleet, 4_000);
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 1, small: 1 });
    });

    // The same with slightly more than half of the work for the small model. Judged only by the model with the lower coverage, the move
    // gains next to nothing, and three VMs would be idle for the rest of the day.
    it("does so even if the small model becomes slightly short of VMs", () => {
        const fleet = createFleet({ a: 10, b: 10, c: 10 });
        run(fleet, 12_000);
        fleet.hasTraffic = true;
        fleet.demand = new Map([["big", 8], ["small", 7]]);
        for (let loss = 0; loss < 2; loss++) {
            loseMember(fleet, "small");
            run(fleet, 3_000);
        }
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 3, small: 6 });
        loseMember(fleet, "big");
        run(fleet, 5_000);
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 3, small: 5 });
    });

    // Two large groups in different domains lack a member. Until the first move has formed its group, the model looks as short of VMs as
    // before; the small model must not lose groups in both domains for the same shortage.
    it("completes one move before it makes the next", () => {
        const fleet = createFleet({ a: 10, b: 10, c: 10 });
        run(fleet, 12_000);
        fleet.hasTraffic = true;
        for (const domain of ["a", "b"]) {
            loseMember(fleet, "small", domain);
            run(fleet, 3_000);
            loseMember(fleet, "small", domain);
            run(fleet, 3_000);
        }
        fleet.demand = new Map([["big", 10], ["small", 5]]);
        loseMember(fleet, "big", "a");
        loseMember(fleet, "big", "b");
        run(fleet, 2_500);
        expect([...fleet.state.groups.values()].filter(group => group.model === "small" && group.phase === "open")).to.have.length(5);
        run(fleet, 9_000);
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 3, small: 4 });
    });

    // VMs are lost until the domains no longer have room for all groups of both models. Groups must not be broken up back and forth.
    it("reaches a stable division after each loss", () => {
        const fleet = createFleet({ a: 10, b: 10 });
        run(fleet, 12_000);
        fleet.hasTraffic = true;
        for (let loss = 0; loss < 5; loss++) {
            loseMember(fleet, loss % 2 === 0 ? "big" : "small");
            run(fleet, 6_000);
            const before = JSON.stringify([...fleet.state.groups.keys()]);
            run(fleet, 6_000);
            expect(JSON.stringify([...fleet.state.groups.keys()])).to.equal(before);
        }
    });

    // Weights on the accelerator need not stay on the host. With the other model's weights there, any VM can repair groups of both models.
    it("loads the weights of a second model onto every host before callers arrive", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 12_000);
        const modelsByVm = [...fleet.upstreams.values()].map(({ id, stagedModels }) => [fleet.lastModels.get(id), ...stagedModels].sort().join(" "));
        expect([...new Set(modelsByVm)]).to.deep.equal(["big small"]);
    });

    // One domain has only a large group, another only a small one, and the small model has the lower coverage overall. An empty VM arrives
    // in the first domain. Groups are repaired only by VMs of their own domain, so the small model's weights would be useless there.
    it("loads onto an empty VM the weights that the groups of its own domain need", () => {
        const fleet = createFleet({ a: 5, b: 2 });
        const join = (ids: readonly string[], model: string, epoch: number) => ids.forEach((id, rank) => fleet.upstreams.set(id, {
            ...fleet.upstreams.get(id)!, stagedModels: [model],
            group: { name: `${model}/${epoch}`, epoch, rank, state: rank === 0 ? "open" : "ready" },
        }));
        join(["a0", "a1", "a2", "a3"], "big", 1);
        join(["b0", "b1"], "small", 2);
        fleet.hasTraffic = true;
        run(fleet, 3_000);
        const loads = fleet.executedOrders.flatMap(({ upstreamId, order }) => upstreamId === "a4" && order.kind === "stage" ? [order.model] : []);
        expect(loads[0]).to.equal("big");
    });

    // The domain has only three VMs, fewer than a large group needs. Loads for a model whose groups can never be formed would be wasted.
    it("loads nothing for a model that is larger than the domain", () => {
        const fleet = createFleet({ a: 3 });
        run(fleet, 8_000);
        const loaded = fleet.executedOrders.flatMap(({ order }) => order.kind === "stage" ? [order.model] : []);
        expect(new Set(loaded)).to.deep.equal(new Set(["small"]));
        expect(openGroupsByModel(fleet)).to.deep.equal({ small: 1 });
    });
});

describe("dividing VMs between models under random losses and demand", () => {
    // VMs are lost one by one while the demand shifts between the models. Once both are constant, groups must not change any more: each one
    // that is broken up and formed again is down for two seconds.
    for (const { bigSize, domainVms } of [{ bigSize: 4, domainVms: 10 }, { bigSize: 8, domainVms: 18 }]) {
        it(`reaches a stable division with large groups of ${bigSize}`, () => {
            const vms = fc.integer({ min: 1, max: domainVms + 2 });
            const loss = fc.record({ model: fc.constantFrom("big", "small"), big: vms, small: vms });
            fc.assert(fc.property(fc.array(loss, { minLength: 1, maxLength: 8 }), fc.integer({ min: 1, max: 3 }), (losses, domains) => {
                const fleet = createFleet(Object.fromEntries(["a", "b", "c"].slice(0, domains).map(name => [name, domainVms])), engineWithBig(bigSize));
                run(fleet, 12_000);
                fleet.hasTraffic = true;
                for (const { model, big, small } of losses) {
                    fleet.demand = new Map([["big", big], ["small", small]]);
                    if (openGroupsByModel(fleet)[model] !== undefined) {
                        loseMember(fleet, model);
                    }
                    run(fleet, 3_000);
                }
                run(fleet, 40_000);
                const before = [...fleet.state.groups.keys()].join(" ");
                run(fleet, 15_000);
                expect([...fleet.state.groups.keys()].join(" ")).to.equal(before);
                expect(Object.keys(openGroupsByModel(fleet)).length).to.be.greaterThan(0);
            }), { seed: 19, numRuns: 40 });
        });
    }
});
