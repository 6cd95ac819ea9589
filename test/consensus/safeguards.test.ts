import { expect } from "chai";
import { createWorld } from "../support/consensusWorld.js";

/** Creates a formed region of three voters, led by `a`. */
function createFormedRegion(seed = 1) {
    const world = createWorld(seed, ["a", "b", "c"]);
    const [a, b, c] = world.nodes as [typeof world.nodes[0], typeof world.nodes[0], typeof world.nodes[0]];
    world.actions.endFaults();
    world.actions.runFaultFree(30);
    expect(world.leader()).to.equal(a);
    return { world, a, b, c };
}

function stepUntil<Value>(world: ReturnType<typeof createWorld>, probe: () => Value | undefined | false): Value {
    for (let round = 0; round < 500; round++) {
        const value = probe();
        if (value !== undefined && value !== false) {
            return value;
        }
        world.actions.runFaultFree(1);
    }
    throw new Error("not in 500 rounds");
}

describe("consensus safeguards", () => {
    // c is unreachable. b receives an entry, but crashes while its write is in progress. If b acknowledged the entry before the write
    // completed, the change would be reported as accepted, and b and c could elect a leader without it.
    it("counts an entry only once it is on the follower's disk", () => {
        const { world, a, b, c } = createFormedRegion();
        const committedBefore = world.invariants.committed.length;
        world.actions.blockLink(a, c);
        world.actions.change(a, false);
        world.actions.sync(a, 9);
        for (let count = 0; count < 20; count++) {
            world.actions.deliver(0);
        }
        expect(world.invariants.committed).to.have.length(committedBefore);
        world.actions.crash(b, 0);
        world.actions.crash(a, 0);
        world.actions.unblockLinks();
        world.actions.restart(b);
        world.actions.restart(c);
        world.actions.runFaultFree(60);
        expect(world.leader()).to.not.equal(undefined);
    });

    // c receives no messages, but its own arrive, so it assumes that there is no leader. Without the check, each of its campaigns would
    // depose the leader, and callers would repeatedly find the region without one.
    it("keeps the leader when a voter only loses its incoming links", () => {
        const { world, a, b, c } = createFormedRegion();
        const term = a.state!.term;
        world.actions.blockLink(a, c);
        world.actions.blockLink(b, c);
        world.actions.runFaultFree(200);
        world.actions.unblockLinks();
        world.actions.runFaultFree(50);
        expect([world.leader(), a.state!.term]).to.deep.equal([a, term]);
    });

    // Guards against a stale read: the answer to an append of an earlier term would confirm rounds that the leader has not begun yet.
    it("confirms no round by the answer to an append of an earlier term", () => {
        const { world, a, b } = createFormedRegion();
        const leaderOf = () => a.state!.role.kind === "leader" ? a.state!.role : undefined;
        const { clusterId } = a.state!.membership!;
        const sentAtMs = Number.MAX_SAFE_INTEGER;
        world.actions.deliverMessage(a, b, {
            kind: "append", clusterId, term: a.state!.term - 1, prevIndex: 0, prevTerm: 0, entries: [], commitIndex: 0, round: 1_000_000, sentAtMs,
        });
        world.actions.runFaultFree(10);
        const { progress, round } = leaderOf()!;
        expect(progress[b.diskId]!.confirmedRound).to.be.at.most(round);
        expect(progress[b.diskId]!.confirmedSentAtMs).to.be.below(sentAtMs);
    });

    // All processes are killed after many changes since the last snapshot. Until a leader is elected, each voter would send its
    // watchers the configuration of that snapshot: a revoked key would be valid again, and a new route unknown.
    it("shows an accepted change again after all voters have restarted, before there is a leader", () => {
        const { world, a, b, c } = createFormedRegion();
        world.actions.change(a, false);
        world.actions.runFaultFree(40);
        const versions = [a, b, c].map(world.versionAt);
        expect(versions).to.deep.equal([1, 1, 1]);
        [a, b, c].forEach(node => world.actions.crash(node, 0));
        [a, b, c].forEach(node => world.actions.restart(node));
        expect(world.leader()).to.equal(undefined);
        expect([a, b, c].map(world.versionAt)).to.deep.equal(versions);
    });

    // A voter holds an entry that no majority has. The next leader may replace it, so a restart must not put it into force.
    it("does not apply an entry that is not known to be committed when it restarts", () => {
        const { world, a, b, c } = createFormedRegion();
        world.actions.blockLink(a, b);
        world.actions.blockLink(a, c);
        world.actions.change(a, false);
        world.actions.sync(a, 9);
        world.actions.crash(a, 9);
        world.actions.restart(a);
        expect(world.versionAt(a)).to.equal(0);
    });

    // c has no contact with the leader, and b restarts just as c campaigns. If b did not count its restart as contact with the leader, it
    // would vote for c while the lease that it helped to grant to a is still valid, and two leaders would serve reads at once.
    it("does not let a restarted voter break a lease", () => {
        const { world, a, b, c } = createFormedRegion();
        world.actions.blockLink(a, c);
        world.actions.runFaultFree(60);
        expect(world.leader()).to.equal(a);
        world.actions.blockLink(a, b);
        world.actions.crash(b, 9);
        world.actions.restart(b);
        c.state = { ...c.state!, electionDeadlineMs: 0 };
        while (world.leader() === a) {
            world.actions.runFaultFree(1);
            world.actions.crash(b, 9);
            world.actions.restart(b);
            expect(c.state.role.kind).to.not.equal("leader");
        }
    });

    // The leader is paused while the others elect a new one and accept a change. It gets a read right after it resumes, before it can
    // learn of the new leader, and must not answer with the old configuration.
    it("serves no reads at a leader that was paused while another was elected", () => {
        const { world, a } = createFormedRegion();
        a.paused = true;
        world.actions.runFaultFree(80);
        const newLeader = world.leader()!;
        world.actions.change(newLeader, false);
        world.actions.runFaultFree(10);
        expect(world.versionAt(newLeader)).to.equal(1);
        a.paused = false;
        world.actions.read(a);
        world.actions.runFaultFree(50);
        world.checkHistory();
        expect(world.operations.filter(operation => operation.id.startsWith("read"))).to.deep.equal([]);
    });

    // a and b lose their disks while c still holds every accepted change. To two empty voters of three the region looks new; a second,
    // empty cluster would serve callers without their configuration.
    it("never forms a second cluster beside a voter that holds the state", () => {
        const { world, a, b, c } = createFormedRegion();
        world.actions.change(a, false);
        world.actions.runFaultFree(10);
        world.actions.loseDisk(a);
        world.actions.loseDisk(b);
        world.actions.endFaults();
        world.actions.runFaultFree(300);
        expect(world.leader()).to.equal(undefined);
        expect(world.versionAt(c)).to.equal(1);
        expect(world.logLines.at(-1)).to.contain("hold the region's state");
    });

    // As above, but c never received anything: it would help two wiped voters to form a second cluster. So nothing may be accepted
    // before c holds the first entry.
    it("accepts nothing before every initial voter holds the first entry", () => {
        const world = createWorld(1, ["a", "b", "c"]);
        const [a, b, c] = world.nodes as [typeof world.nodes[0], typeof world.nodes[0], typeof world.nodes[0]];
        world.actions.endFaults();
        for (let round = 0; round < 100; round++) {
            world.actions.runFaultFree(1);
            if (a.state!.membership !== undefined) {
                world.actions.blockLink(a, c);
                world.actions.blockLink(b, c);
            }
        }
        expect(a.state!.membership!.formed).to.equal(false);
        world.actions.change(a, false);
        world.actions.runFaultFree(20);
        expect(world.versionAt(a)).to.equal(0);
        world.actions.unblockLinks();
        world.actions.runFaultFree(30);
        expect(a.state!.membership!.formed).to.equal(true);
    });

    // c comes back with an empty disk and cannot reach the leader. It must not count in place of its lost disk: after a second loss only
    // one voter would have the state, and a quorum could exist without it.
    it("lets a wiped voter vote only once it has caught up, and then tolerates the loss of a second", () => {
        const { world, a, b, c } = createFormedRegion();
        for (let count = 0; count < 30; count++) {
            world.actions.change(a, false);
            world.actions.runFaultFree(2);
        }
        const lostDiskId = c.diskId;
        world.actions.blockLink(a, c);
        world.actions.loseDisk(c);
        world.actions.restart(c);
        world.actions.runFaultFree(100);
        expect(world.invariants.membership!.voters.map(voter => voter.diskId)).to.include(lostDiskId).and.not.include(c.diskId);
        world.actions.unblockLinks();
        world.actions.runFaultFree(60);
        expect(world.invariants.membership!.voters.map(voter => voter.diskId)).to.include(c.diskId).and.not.include(lostDiskId);
        world.actions.loseDisk(b);
        world.actions.runFaultFree(20);
        const leader = world.leader()!;
        world.actions.change(leader, false);
        world.actions.runFaultFree(20);
        expect([world.versionAt(a), world.versionAt(c)]).to.deep.equal([31, 31]);
    });

    // A silently partitioned leader receives a change that it cannot commit. Its operator must get "unknown" within an election timeout,
    // and the voter must stop reporting that it leads.
    it("steps down and answers unknown after losing its quorum", () => {
        const { world, a, b, c } = createFormedRegion();
        [b, c].forEach(other => world.actions.blockLink(other, a));
        world.actions.change(a, false);
        world.actions.runFaultFree(25);
        expect(a.state!.role.kind).to.not.equal("leader");
        expect(world.answers.at(-1)).to.deep.equal({ outcome: "unknown" });
    });

    it("refuses a removal that would leave no quorum, and names the silent voters", () => {
        const { world, a, b, c } = createFormedRegion();
        world.actions.crash(c, 0);
        world.actions.runFaultFree(25);
        world.actions.removeVoter(a, b);
        expect(world.answers.at(-1)).to.deep.equal({ outcome: "refused", reason: "the remaining voters have no quorum: c do not answer" });
    });

    // The leader's disk is full. It must not keep leading by relying on the disks of the others: it logs the fault, answers pending
    // callers with "unknown", and another voter leads until there is space again.
    it("gives up leadership when its disk is full and recovers without loss", () => {
        const { world, a } = createFormedRegion();
        world.actions.change(a, false);
        world.actions.failStorage(a);
        expect(world.answers.at(-1)).to.deep.equal({ outcome: "unknown" });
        expect(world.logLines.at(-2)).to.contain("the disk refuses writes (no space left)");
        const pendingWrites = a.writes.splice(0);
        world.actions.runFaultFree(80);
        expect(world.leader()).to.not.equal(undefined).and.not.equal(a);
        a.writes.push(...pendingWrites);
        world.actions.runFaultFree(60);
        expect([a.state!.storageFault, world.versionAt(a)]).to.deep.equal([undefined, world.versionAt(world.leader()!)]);
    });

    // a appends four changes that reach no other voter and crashes; another voter leads for one term and crashes before its own entry
    // is replicated. a leads again and replicates the four changes to a majority, but crashes before its first entry of the new term is.
    // The other voter's entry may still replace them, so they must not have been reported as accepted.
    it("commits entries of an earlier term only together with one of its own term", () => {
        const { world, a, b, c } = createFormedRegion();
        [b, c].forEach(other => world.actions.blockLink(a, other));
        [1, 2, 3, 4].forEach(() => world.actions.change(a, false));
        world.actions.crash(a, 9);
        const lastIndex = a.disk.entries.at(-1)!.index;
        world.actions.unblockLinks();
        const newLeader = stepUntil(world, () => [b, c].find(node => node.state!.role.kind === "leader"));
        const other = newLeader === b ? c : b;
        world.actions.crash(newLeader, 9);
        world.actions.dropAll();
        world.actions.restart(a);
        stepUntil(world, () => other.state!.log.entries.at(-1)!.index === lastIndex);
        world.actions.runFaultFree(1);
        const term = other.state!.log.entries.at(-1)!.term;
        world.actions.crash(a, 9);
        world.actions.dropAll();
        world.actions.restart(newLeader);
        stepUntil(world, () => newLeader.state!.role.kind === "leader");
        expect(term).to.be.lessThan(newLeader.disk.entries.at(-1)!.term);
    });
});
