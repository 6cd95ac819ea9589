import { expect } from "chai";
import { type Fleet, fleetOf, modelsOpen, openGroups, run } from "./builders.js";

function headOf(fleet: Fleet, model: string) {
    return [...fleet.upstreams.values()].find(upstream => upstream.group?.state === "open" && upstream.group.name.startsWith(model))!;
}

function memberOf(fleet: Fleet, group: string, rank: number) {
    return [...fleet.upstreams.values()].find(upstream => upstream.group?.name === group && upstream.group.rank === rank)!;
}

describe("planning groups of engines", () => {
    it("fills domains of ten with large groups first and leaves spares with weights", () => {
        const fleet = fleetOf({ a: 10, b: 10, c: 10 });
        run(fleet, 4_000);
        expect(modelsOpen(fleet)).to.deep.equal({ big: 3, small: 6 });
        const spares = [...fleet.upstreams.values()].filter(upstream => upstream.group === undefined);
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
            fleet.ended.add(id);
            fleet.upstreams.delete(id);
            run(fleet, 3_000);
        }
        const epochs = fleet.done.flatMap(({ order }) => order.kind === "join" ? [`${order.epoch} ${order.memberIds.join()}`] : []);
        const distinct = new Set(epochs);
        expect(new Set([...distinct].map(text => text.split(" ")[0])).size).to.equal(distinct.size);
    });
});
