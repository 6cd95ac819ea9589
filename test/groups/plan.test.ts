import { expect } from "chai";
import { isStandby, modelOfGroup } from "../../src/fleet/index.js";
import { emptyGroupsState } from "../../src/groups/index.js";
import { type Fleet, createFleet, openGroupsByModel, openGroups, planNow, run } from "./builders.js";

function findHead(fleet: Fleet, model: string) {
    return [...fleet.upstreams.values()].find(upstream => upstream.group?.state === "open" && upstream.group.name.startsWith(model))!;
}

function findMember(fleet: Fleet, group: string, rank: number) {
    return [...fleet.upstreams.values()].find(upstream => upstream.group?.name === group && upstream.group.rank === rank)!;
}

describe("planning groups of engines", () => {
    it("summarizes how well each model is covered", () => {
        const fleet = createFleet({ a: 10 });
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
        const fleet = createFleet({ a: 10, b: 10, c: 10 });
        run(fleet, 4_000);
        expect(openGroupsByModel(fleet)).to.deep.equal({ big: 3, small: 6 });
        const open = new Set(openGroups(fleet));
        const spares = [...fleet.upstreams.values()].filter(upstream => !open.has(upstream.group?.name ?? ""));
        expect(spares).to.have.length(6);
        expect(spares.every(spare => spare.stagedModels.length === 1)).to.equal(true);
    });

    // A member of a large group stops answering. Its head is ordered to leave, and the remaining VMs form a group again with a spare in
    // place of the lost one. No member is in two groups at any time.
    it("repairs a group that lost a member from a spare of its domain", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 4_000);
        fleet.hasTraffic = true;
        const head = findHead(fleet, "big");
        const member = findMember(fleet, head.group!.name, 2);
        fleet.lost.add(member.id);
        run(fleet, 2_000);
        expect(openGroupsByModel(fleet).big).to.equal(1);
        expect(openGroups(fleet)).not.to.include(head.group!.name);
    });

    // Callers of a group wait from the loss of a member until another one has joined in its place. That takes a spare with the weights only
    // on its host 1.6 s, and one with them on the accelerator 0.2 s.
    it("keeps spares hot, so that a repair doesn't wait for weights to be loaded onto the accelerator", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const spares = [...fleet.upstreams.values()].filter(upstream => isStandby(upstream.group?.name ?? ""));
        expect(spares).to.have.length(2);
        const model = modelOfGroup(spares[0]!.group!.name);
        const head = findHead(fleet, model);
        fleet.lost.add(findMember(fleet, head.group!.name, 1).id);
        const before = openGroupsByModel(fleet)[model]!;
        run(fleet, 150);
        expect(openGroupsByModel(fleet)[model] ?? 0).to.equal(before - 1);
        run(fleet, 900);
        expect(openGroupsByModel(fleet)[model]).to.equal(before);
    });

    // The previous leader was partitioned from the other daemons but not from the engines, and repaired a group once more. This leader
    // still knows the old group. When its members report again, they have left it and serve in another group that this leader did not form.
    it("adopts a group that another leader has formed from members of a known group", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = findHead(fleet, "big");
        const spare = [...fleet.upstreams.values()].find(({ group }) => group?.name.startsWith("big/standby"))!;
        const ids = [head.id, findMember(fleet, head.group!.name, 2).id, findMember(fleet, head.group!.name, 3).id, spare.id];
        fleet.lost.add(findMember(fleet, head.group!.name, 1).id);
        ids.forEach((id, rank) => fleet.upstreams.set(id, {
            ...fleet.upstreams.get(id)!, group: { name: "big/900", epoch: 900, rank, state: rank === 0 ? "open" : "ready" },
        }));
        fleet.state = { ...fleet.state, lastEpoch: 1_000 };
        fleet.executedOrders.length = 0;
        run(fleet, 5_000);
        expect(fleet.executedOrders.filter(({ upstreamId }) => ids.includes(upstreamId))).to.deep.equal([]);
        expect(openGroups(fleet)).to.include("big/900");
    });

    // A VM joined a group of the previous leader just before that leader was killed, and reported this only there. Until the VM reports
    // again, the new leader takes it for free; assigned to another group, it would be in two.
    it("assigns no VM to a group before the VM has reported to the new leader", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const spares = [...fleet.upstreams.values()].filter(({ group }) => isStandby(group?.name ?? "")).map(({ id }) => id);
        fleet.lost.add(findMember(fleet, findHead(fleet, "big").group!.name, 1).id);
        fleet.state = { ...emptyGroupsState, lastEpoch: 1_000 };
        fleet.leadsSinceMs = fleet.nowMs;
        spares.forEach(id => fleet.notReporting.add(id));
        fleet.executedOrders.length = 0;
        run(fleet, 4_000);
        expect(fleet.executedOrders.filter(({ upstreamId }) => spares.includes(upstreamId))).to.deep.equal([]);
        fleet.notReporting.clear();
        run(fleet, 2_000);
        expect(openGroupsByModel(fleet).big).to.equal(1);
    });

    // Upstreams of another site announce themselves every 4 s. A leader that expects to have heard all of them sooner would form groups of
    // those heard first, and leave a model without any.
    it("waits until slowly announced VMs can have reported", () => {
        const fleet = createFleet({ a: 10 });
        fleet.heartbeatMs = 4_000;
        run(fleet, 4_900);
        expect(fleet.executedOrders).to.deep.equal([]);
        run(fleet, 3_000);
        expect(fleet.executedOrders.length).to.be.above(0);
    });

    // A new leader finds the standby groups of the previous one. They must not be taken for groups that lost their members: if they were
    // ended, the spares would lose their weights from the accelerator.
    it("keeps the standby groups of an earlier leader", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        fleet.state = { ...emptyGroupsState, lastEpoch: 1_000 };
        fleet.executedOrders.length = 0;
        run(fleet, 3_000);
        expect(fleet.executedOrders).to.deep.equal([]);
    });

    // The leader can't reach the head of a group nor one of its members, while callers still reach both and the group keeps serving. If the
    // member were assigned to another group as soon as it reports again, it would be in two groups at once. It has to leave first.
    it("reassigns no member of a group with an unreachable head before the member has left", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 4_000);
        fleet.hasTraffic = true;
        const head = findHead(fleet, "small");
        const member = findMember(fleet, head.group!.name, 1);
        fleet.lost.add(head.id);
        fleet.lost.add(member.id);
        run(fleet, 8_000);
        fleet.lost.delete(member.id);
        fleet.executedOrders.length = 0;
        run(fleet, 3_000);
        const orders = fleet.executedOrders.filter(item => item.upstreamId === member.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
        expect(fleet.upstreams.get(head.id)!.group!.state).to.equal("open");
    });

    // Something on the path between the leader and a head refuses connections, while callers reach the head and it serves with its members.
    // If the leader concluded that the head's process has ended, it would free the members at once, and each would be in two groups.
    it("reassigns no member of a group whose head refuses connections before the member has left", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = findHead(fleet, "big");
        const members = [1, 2, 3].map(rank => findMember(fleet, head.group!.name, rank).id);
        fleet.refusing.add(head.id);
        fleet.executedOrders.length = 0;
        run(fleet, 3_000);
        for (const id of members) {
            const orders = fleet.executedOrders.filter(item => item.upstreamId === id).map(item => item.order.kind);
            expect(orders[0]).to.equal("leave");
        }
        expect(fleet.upstreams.get(head.id)!.group!.state).to.equal("open");
    });

    // The head becomes reachable again after its members have left and is still open. Assigned to another group at once, it would be in
    // two.
    it("reassigns a head that refused connections only after it has left its group", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = findHead(fleet, "small");
        fleet.refusing.add(head.id);
        run(fleet, 3_000);
        fleet.refusing.delete(head.id);
        fleet.executedOrders.length = 0;
        run(fleet, 3_000);
        const orders = fleet.executedOrders.filter(item => item.upstreamId === head.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
        expect(orders).to.include("join");
    });

    // A member of a group reports to a new leader seconds after the others, while the head is still unreachable and serving. The member has
    // to leave its group before it is assigned to another.
    it("orders a member that reports late to leave a group whose head is still unknown", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = findHead(fleet, "big");
        const group = head.group!.name;
        [0, 1, 2, 3].forEach(rank => fleet.unknown.add(findMember(fleet, group, rank).id));
        fleet.state = { ...emptyGroupsState, lastEpoch: 1_000 };
        run(fleet, 7_000);
        const late = findMember(fleet, group, 1);
        fleet.unknown.delete(late.id);
        fleet.executedOrders.length = 0;
        run(fleet, 10_000);
        const orders = fleet.executedOrders.filter(item => item.upstreamId === late.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
    });

    // A new leader ends a group whose head reports only later and is still open. Assigned to another group at once, it would be in two.
    it("reassigns a head that reports late only after it has left its group", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const head = findHead(fleet, "small");
        fleet.unknown.add(head.id);
        fleet.state = { ...emptyGroupsState, lastEpoch: 1_000 };
        run(fleet, 4_000);
        fleet.unknown.delete(head.id);
        fleet.executedOrders.length = 0;
        run(fleet, 3_000);
        const orders = fleet.executedOrders.filter(item => item.upstreamId === head.id).map(item => item.order.kind);
        expect(orders[0]).to.equal("leave");
        expect(orders).to.include("join");
    });

    // Guards against members that are free although the head of their group, which has left it, has carried out late orders and serves.
    it("ends a group once more whose head serves it again, and assigns none of its members before", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 8_000);
        fleet.hasTraffic = true;
        const { id: headId, group } = findHead(fleet, "big");
        const { name, epoch } = group!;
        const spares = [...fleet.upstreams.values()].filter(upstream => isStandby(upstream.group?.name ?? ""));
        [findMember(fleet, name, 3), ...spares].forEach(({ id }) => fleet.lost.add(id));
        run(fleet, 1_000);
        expect(fleet.upstreams.get(headId)!.group).to.equal(undefined);
        fleet.upstreams.set(headId, { ...fleet.upstreams.get(headId)!, group: group! });
        spares.forEach(({ id }) => fleet.lost.delete(id));
        fleet.executedOrders.length = 0;
        run(fleet, 3_000);
        expect(fleet.executedOrders[0]).to.deep.include({ upstreamId: headId, order: { kind: "leave", group: name, epoch } });
        expect(openGroupsByModel(fleet).big).to.equal(1);
    });

    // As long as callers' streams at a head make progress, every member of its group works, even if the leader can't reach it.
    it("keeps a group whose streams make progress", () => {
        const fleet = createFleet({ a: 10 });
        run(fleet, 4_000);
        const before = openGroups(fleet);
        const head = findHead(fleet, "small");
        const member = findMember(fleet, head.group!.name, 1);
        fleet.makingProgress.add(head.id);
        fleet.lost.add(member.id);
        run(fleet, 5_000);
        expect(openGroups(fleet)).to.deep.equal(before);
    });

    // An unanswered order may be executed late, when its group has already been replaced by others. Epochs grow with every group, whoever
    // leads, so that an engine can tell which membership is the later one.
    it("never uses an epoch twice, also for groups that are formed again", () => {
        const fleet = createFleet({ a: 10, b: 10 });
        run(fleet, 4_000);
        fleet.hasTraffic = true;
        for (const id of ["a0", "b3", "a5"]) {
            fleet.refusing.add(id);
            fleet.upstreams.delete(id);
            run(fleet, 3_000);
        }
        const epochs = fleet.executedOrders.flatMap(({ order }) => order.kind === "join" ? [`${order.epoch} ${order.memberIds.join()}`] : []);
        const distinct = new Set(epochs);
        expect(new Set([...distinct].map(text => text.split(" ")[0])).size).to.equal(distinct.size);
    });
});
