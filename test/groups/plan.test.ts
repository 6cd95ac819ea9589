import { expect } from "chai";
import { isStandby, modelOfGroup } from "../../src/fleet/index.js";
import { noGroups } from "../../src/groups/index.js";
import { type Fleet, fleetOf, modelsOpen, openGroups, planNow, run } from "./builders.js";

function headOf(fleet: Fleet, model: string) {
    return [...fleet.upstreams.values()].find(upstream => upstream.group?.state === "open" && upstream.group.name.startsWith(model))!;
}

function memberOf(fleet: Fleet, group: string, rank: number) {
    return [...fleet.upstreams.values()].find(upstream => upstream.group?.name === group && upstream.group.rank === rank)!;
}

describe("planning groups of engines", () => {
    it("tells how well each model is covered", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 4_000);
        fleet.hasTraffic = true;
        fleet.demand = new Map([["big", 6], ["small", 2]]);
        expect(planNow(fleet).coverage()).to.deep.equal({
            models: [
                { model: "big", groups: { forming: 0, open: 1, ending: 0 }, vms: 4, demandVms: 6, coverage: 0.7 },
                { model: "small", groups: { forming: 0, open: 2, ending: 0 }, vms: 4, demandVms: 2, coverage: 2 },
            ],
            freeVms: 2,
        });
    });

    it("fills domains of ten with large groups first and leaves spares with weights", () => {
        const fleet = fleetOf({ a: 10, b: 10, c: 10 });
        run(fleet, 4_000);
        expect(modelsOpen(fleet)).to.deep.equal({ big: 3, small: 6 });
        const open = new Set(openGroups(fleet));
        const spares = [...fleet.upstreams.values()].filter(upstream => !open.has(upstream.group?.name ?? ""));
        expect(spares).to.have.length(6);
        expect(spares.every(spare => spare.stagedModels.length === 1)).to.equal(true);
    });

    // A member of a large group goes dark. Its head is told to leave, and the same VMs with a spare in place of the lost one serve again;
    // no member is in two groups at any time.
    it("repairs a group that lost a member from a spare of its domain", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 4_000);
        fleet.hasTraffic = true;
        const head = headOf(fleet, "big");
        const member = memberOf(fleet, head.group!.name, 2);
        fleet.lost.add(member.id);
        run(fleet, 2_000);
        expect(modelsOpen(fleet).big).to.equal(1);
        expect(openGroups(fleet)).not.to.include(head.group!.name);
    });

    // Callers of a group wait from the loss of a member until another has joined in its place. A spare that holds the weights on its host
    // alone needs 1.6 s for that; one that has them on the accelerator already 0.2 s.
    it("keeps spares hot, so that a repair doesn't wait for weights to be brought onto the accelerator", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const spares = [...fleet.upstreams.values()].filter(upstream => isStandby(upstream.group?.name ?? ""));
        expect(spares).to.have.length(2);
        const model = modelOfGroup(spares[0]!.group!.name);
        const head = headOf(fleet, model);
        fleet.lost.add(memberOf(fleet, head.group!.name, 1).id);
        const before = modelsOpen(fleet)[model]!;
        run(fleet, 150);
        expect(modelsOpen(fleet)[model] ?? 0).to.equal(before - 1);
        run(fleet, 900);
        expect(modelsOpen(fleet)[model]).to.equal(before);
    });

    // The leader before was cut off from this one and from the others, but not from the engines: it repaired a group once more. This leader
    // goes by the group as it was. When it hears its members again, they are out of that one and serve in another, which it has not formed.
    it("takes over a group that another leader has formed from members of one that it knows", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = headOf(fleet, "big");
        const spare = [...fleet.upstreams.values()].find(({ group }) => group?.name.startsWith("big/standby"))!;
        const ids = [head.id, memberOf(fleet, head.group!.name, 2).id, memberOf(fleet, head.group!.name, 3).id, spare.id];
        fleet.lost.add(memberOf(fleet, head.group!.name, 1).id);
        ids.forEach((id, rank) => fleet.upstreams.set(id, {
            ...fleet.upstreams.get(id)!, group: { name: "big/900", epoch: 900, rank, state: rank === 0 ? "open" : "ready" },
        }));
        fleet.state = { ...fleet.state, lastEpoch: 1_000 };
        fleet.done.length = 0;
        run(fleet, 5_000);
        expect(fleet.done.filter(({ upstreamId }) => ids.includes(upstreamId))).to.deep.equal([]);
        expect(openGroups(fleet)).to.include("big/900");
    });

    // A VM has joined a group of the leader before just before that one was killed, and its report went there. Until it is heard again, the
    // new leader believes it free; put into another group it would be in two.
    it("puts no VM into a group that it has not heard since it began to lead", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const spares = [...fleet.upstreams.values()].filter(({ group }) => isStandby(group?.name ?? "")).map(({ id }) => id);
        fleet.lost.add(memberOf(fleet, headOf(fleet, "big").group!.name, 1).id);
        fleet.state = { ...noGroups, lastEpoch: 1_000 };
        fleet.leadsSinceMs = fleet.nowMs;
        spares.forEach(id => fleet.unheard.add(id));
        fleet.done.length = 0;
        run(fleet, 4_000);
        expect(fleet.done.filter(({ upstreamId }) => spares.includes(upstreamId))).to.deep.equal([]);
        fleet.unheard.clear();
        run(fleet, 2_000);
        expect(modelsOpen(fleet).big).to.equal(1);
    });

    // A new leader finds the standbys of the one before. They are no groups that lost their members: ended, they would be cold again.
    it("leaves standbys of an earlier leader as they are", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        fleet.state = { ...noGroups, lastEpoch: 1_000 };
        fleet.done.length = 0;
        run(fleet, 3_000);
        expect(fleet.done).to.deep.equal([]);
    });

    // The leader can't reach the head of a group, nor one of its members, while callers still reach both: the group serves on. Were the
    // member given to another group when it is heard again, it would be in two groups at once. It has to leave first.
    it("gives no member of a group whose head it can't reach to another before it has left", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 4_000);
        fleet.hasTraffic = true;
        const head = headOf(fleet, "small");
        const member = memberOf(fleet, head.group!.name, 1);
        fleet.lost.add(head.id);
        fleet.lost.add(member.id);
        run(fleet, 8_000);
        fleet.lost.delete(member.id);
        fleet.done.length = 0;
        run(fleet, 3_000);
        const orders = fleet.done.filter(item => item.upstreamId === member.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
        expect(fleet.upstreams.get(head.id)!.group!.state).to.equal("open");
    });

    // Something between the leader and a head refuses connections in its name, while callers reach it and it serves on with its members.
    // Taken for the end of its process, that would free the members at once, and each would be in two groups.
    it("gives no member of a group whose head refuses connections to another before it has left", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = headOf(fleet, "big");
        const members = [1, 2, 3].map(rank => memberOf(fleet, head.group!.name, rank).id);
        fleet.refusing.add(head.id);
        fleet.done.length = 0;
        run(fleet, 3_000);
        for (const id of members) {
            const orders = fleet.done.filter(item => item.upstreamId === id).map(item => item.order.kind);
            expect(orders[0]).to.equal("leave");
        }
        expect(fleet.upstreams.get(head.id)!.group!.state).to.equal("open");
    });

    // The head is reached again after its members have left, still open: joined to another group at once, it would be in two.
    it("gives a head that refused connections to another group only after it has left its own", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = headOf(fleet, "small");
        fleet.refusing.add(head.id);
        run(fleet, 3_000);
        fleet.refusing.delete(head.id);
        fleet.done.length = 0;
        run(fleet, 3_000);
        const orders = fleet.done.filter(item => item.upstreamId === head.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
        expect(orders).to.include("join");
    });

    // A new leader hears a member of a group seconds after the others; the head is still out of its reach and serves on. The member has to
    // leave its group before it is given to another.
    it("has a member that it hears late leave a group whose head it has not heard of", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = headOf(fleet, "big");
        const group = head.group!.name;
        [0, 1, 2, 3].forEach(rank => fleet.unknown.add(memberOf(fleet, group, rank).id));
        fleet.state = { ...noGroups, lastEpoch: 1_000 };
        run(fleet, 7_000);
        const late = memberOf(fleet, group, 1);
        fleet.unknown.delete(late.id);
        fleet.done.length = 0;
        run(fleet, 10_000);
        const orders = fleet.done.filter(item => item.upstreamId === late.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
    });

    // A new leader ends a group whose head it hears only later, still open: joined to another group at once, it would be in two.
    it("gives a head that it hears late to another group only after it has left its own", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = headOf(fleet, "small");
        fleet.unknown.add(head.id);
        fleet.state = { ...noGroups, lastEpoch: 1_000 };
        run(fleet, 4_000);
        fleet.unknown.delete(head.id);
        fleet.done.length = 0;
        run(fleet, 3_000);
        const orders = fleet.done.filter(item => item.upstreamId === head.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
        expect(orders).to.include("join");
    });

    // Callers' streams at a head go on, so every member of its group works, whatever the leader hears of them.
    it("leaves a group alone whose streams move", () => {
        const fleet = fleetOf({ a: 10 });
        run(fleet, 4_000);
        const before = openGroups(fleet);
        const head = headOf(fleet, "small");
        const member = memberOf(fleet, head.group!.name, 1);
        fleet.moving.add(head.id);
        fleet.lost.add(member.id);
        run(fleet, 5_000);
        expect(openGroups(fleet)).to.deep.equal(before);
    });

    // An order that got no answer is carried out late: its group may stand among others by then. Epochs grow with every group, whoever
    // leads, so that an engine can tell which membership is the later one.
    it("never uses an epoch twice, also for groups that are formed again", () => {
        const fleet = fleetOf({ a: 10, b: 10 });
        run(fleet, 4_000);
        fleet.hasTraffic = true;
        for (const id of ["a0", "b3", "a5"]) {
            fleet.refusing.add(id);
            fleet.upstreams.delete(id);
            run(fleet, 3_000);
        }
        const epochs = fleet.done.flatMap(({ order }) => order.kind === "join" ? [`${order.epoch} ${order.memberIds.join()}`] : []);
        const distinct = new Set(epochs);
        expect(new Set([...distinct].map(text => text.split(" ")[0])).size).to.equal(distinct.size);
    });
});
