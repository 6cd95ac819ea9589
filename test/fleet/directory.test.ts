import { expect } from "chai";
import * as fc from "fast-check";
import {
    type Announcement, announcementSchema, createDirectory, type Directory, hasIncarnationEnded, isSignificantChange, possiblyRunning,
    toRelayed, type Upstream,
} from "../../src/fleet/index.js";
import * as plain from "../support/plainDirectory.js";

function announcementOf(change: Partial<Announcement> = {}): Announcement {
    return {
        id: "u1", service: "orders", address: "10.0.0.1:80", dataCentre: "a", bornMs: 1, sequence: 1, state: "ready", coldForMs: 0, slots: 4,
        stagedModels: [], ...change,
    };
}

function createDirectoryOf(change: Partial<Announcement>): Directory {
    const directory = createDirectory();
    directory.announce(announcementOf(change), 0);
    return directory;
}

describe("upstream directory", () => {
    let directory: Directory;
    const get = (id: string) => directory.upstreams.get(id)!;
    beforeEach(() => {
        directory = createDirectory();
    });

    // Guards against sending requests to a crashed incarnation because of a heartbeat that was delayed until after the restart.
    it("keeps the later incarnation whatever arrives after it", () => {
        directory.announce(announcementOf({ bornMs: 2, sequence: 1 }), 10);
        directory.announce(announcementOf({ bornMs: 1, sequence: 9 }), 20);
        expect(get("u1").bornMs).to.equal(2);
    });

    it("keeps the newest announcement of an incarnation, and a departure until the next incarnation", () => {
        directory.announce(announcementOf({ sequence: 3, state: "draining" }), 10);
        directory.announce(announcementOf({ sequence: 2 }), 20);
        expect(get("u1").state).to.equal("draining");
        directory.depart("u1");
        directory.announce(announcementOf({ sequence: 9 }), 30);
        expect(get("u1").isGone).to.equal(true);
        directory.announce(announcementOf({ bornMs: 5, sequence: 1 }), 40);
        expect(get("u1").isGone).to.equal(false);
    });

    // Guards against sending requests to an upstream that has said that it leaves, because of an announcement from before that or after it.
    it("keeps an upstream draining until its next incarnation, also if only one process has seen that it drains", () => {
        directory.announce(announcementOf({ sequence: 3 }), 10);
        expect(directory.markDraining({ id: "u1", bornMs: 2 })).to.deep.equal([]);
        expect(directory.markDraining({ id: "u1", bornMs: 1 }).map(({ id }) => id)).to.deep.equal(["u1"]);
        directory.announce(announcementOf({ sequence: 4 }), 20);
        expect(get("u1").state).to.equal("draining");
        const other = createDirectoryOf({ sequence: 9 });
        other.merge([toRelayed(get("u1"), 30)], 30);
        expect(other.upstreams.get("u1")!.state).to.equal("draining");
        directory.announce(announcementOf({ bornMs: 2 }), 40);
        expect(get("u1").state).to.equal("ready");
    });

    // Guards against an upstream that is out for its whole life because the departure of its previous incarnation was read late.
    it("ignores the departure of an earlier incarnation", () => {
        directory.announce(announcementOf({ bornMs: 5 }), 10);
        expect(directory.depart("u1", 4)).to.deep.equal([]);
        expect(directory.depart("u1", 5).map(({ isGone }) => isGone)).to.deep.equal([true]);
    });

    // Guards against sending requests to the upstream of another service that reuses the address.
    it("marks the previous upstream at an address as gone", () => {
        directory.announce(announcementOf(), 10);
        directory.announce(announcementOf({ id: "u2", service: "pool", bornMs: 7 }), 20);
        expect([get("u1").isGone, get("u2").isGone]).to.deep.equal([true, false]);
    });

    // Guards against assigning the members of a group to another one while the group still serves: an engine may leave without draining and
    // continue to serve for seconds.
    it("does not treat a departure as the end of the incarnation", () => {
        const { upstreams } = directory;
        directory.announce(announcementOf(), 10);
        directory.depart("u1");
        expect(hasIncarnationEnded(upstreams, "u1")).to.equal(false);
        expect(possiblyRunning(upstreams).map(upstream => upstream.state)).to.deep.equal(["draining"]);
        directory.announce(announcementOf({ id: "u2", bornMs: 9 }), 20);
        expect([hasIncarnationEnded(upstreams, "u1"), possiblyRunning(upstreams).map(upstream => upstream.id)]).to.deep.equal([true, ["u2"]]);
    });

    // Guards against a frame that states an upstream before the one that has left its address.
    // Guards against a directory that grows with each invented id, and against invented upstreams that take the place of sound ones.
    it("holds a bounded number, keeps those that it knows, and makes room by those that have been silent for long", () => {
        const bounded = createDirectory(10);
        const announce = (ids: readonly string[], nowMs: number) => ids.forEach(id =>
            bounded.announce(announcementOf({ id, address: `${id}.example:80`, sequence: nowMs }), nowMs));
        const soundIds = ["u1", "u2", "u3"];
        announce(soundIds, 1);
        for (let minute = 1; minute <= 30; minute++) {
            announce(Array.from({ length: 40 }, (_, index) => `odd-${minute}-${index}`), minute * 60_000);
            bounded.merge([{ ...toRelayed(bounded.upstreams.get("u1")!, 0), id: "other", address: `other-${minute}:80` }], minute * 60_000);
            announce(soundIds, minute * 60_000);
            bounded.endSilent(minute * 60_000);
            bounded.removeExpired(minute * 60_000);
            expect(bounded.upstreams.size).to.be.at.most(10);
        }
        expect(soundIds.filter(id => bounded.upstreams.get(id)?.isGone !== false)).to.deep.equal([]);
        expect([...bounded.upstreams.keys()].some(id => id.startsWith("odd-2"))).to.equal(true);
    });

    it("lists what has changed since a version in the order of the last changes, and nothing that only was heard", () => {
        directory.announce(announcementOf(), 10);
        directory.announce(announcementOf({ id: "u2", address: "10.0.0.2:80" }), 10);
        const { version } = directory;
        directory.announce(announcementOf({ sequence: 2 }), 20);
        expect([directory.version, directory.changedSince(version)]).to.deep.equal([version, []]);
        directory.announce(announcementOf({ id: "u2", address: "10.0.0.2:80", sequence: 2, slots: 8 }), 30);
        directory.announce(announcementOf({ sequence: 3, slots: 8 }), 30);
        directory.announce(announcementOf({ id: "u2", address: "10.0.0.2:80", sequence: 3, slots: 4 }), 30);
        expect(directory.changedSince(version)).to.deep.equal(["u1", "u2"]);
        expect(directory.changedSince(0)).to.deep.equal(["u1", "u2"]);
    });

    it("reaches the same state whatever the order of announcements", () => {
        const announcement = fc.record({
            bornMs: fc.integer({ min: 1, max: 3 }), sequence: fc.integer({ min: 1, max: 5 }), state: fc.constantFrom("ready" as const, "draining" as const),
        });
        // There is only one announcement for each incarnation and sequence number.
        const list = fc.uniqueArray(announcement, { selector: item => `${item.bornMs} ${item.sequence}`, minLength: 1 });
        fc.assert(fc.property(list, fc.integer(), (items, seed) => {
            const rankOf = (item: { sequence: number; bornMs: number }) => (item.sequence * 31 + item.bornMs * 17 + seed) % 7;
            const shuffled = [...items].sort((a, b) => rankOf(a) - rankOf(b));
            const [announced, relayed] = [createDirectory(), createDirectory()];
            items.forEach(item => announced.announce(announcementOf(item), 0));
            const relayedOf = (item: Partial<Announcement>) => toRelayed(createDirectoryOf(item).upstreams.get("u1")!, 0);
            shuffled.forEach(item => relayed.merge([relayedOf(item)], 0));
            expect(relayed.upstreams.get("u1")).to.deep.equal(announced.upstreams.get("u1"));
        }), { seed: 11 });
    });

    // Guards against entries that send requests into an evacuated data centre because they were not told that an upstream is there, and
    // against a new field of announcements that entries never learn of.
    it("publishes a change of any field but those that each heartbeat changes", () => {
        const group = { name: "lm/1", epoch: 1, rank: 0, state: "open" as const };
        const before: Upstream = {
            ...announcementOf({ domain: "d", group }), heardAtMs: 0, coldUntilMs: 0, isGone: false, hasLeft: false,
        };
        const others: Required<Omit<Upstream, "id">> = {
            service: "pool", address: "10.0.0.2:80", dataCentre: "b", bornMs: 2, sequence: 2, state: "draining", coldForMs: 10, slots: 5,
            domain: "e", stagedModels: ["lm"], group: { ...group, state: "closing" }, heardAtMs: 10, coldUntilMs: 10, isGone: true, hasLeft: true,
        };
        expect(Object.keys(announcementSchema.shape).filter(key => key !== "id" && !(key in others))).to.deep.equal([]);
        const unpublished = (Object.keys(others) as (keyof typeof others)[])
            .filter(key => !isSignificantChange(before, { ...before, [key]: others[key] }));
        expect(unpublished).to.deep.equal(["sequence", "coldForMs", "heardAtMs", "hasLeft"]);
    });

    // Guards against an index that differs from the upstreams after some order of announcements, relays, departures, reused addresses and
    // restarts: callers' requests would go to an upstream that no longer exists, or never to one that does.
    it("agrees with a plain model after any sequence of changes, and publishes each significant one", () => {
        const announcement = fc.record({
            id: fc.constantFrom("u1", "u2", "u3", "u4"), address: fc.constantFrom("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"),
            bornMs: fc.integer({ min: 1, max: 4 }), sequence: fc.integer({ min: 1, max: 6 }),
            state: fc.constantFrom("ready" as const, "draining" as const), coldForMs: fc.constantFrom(0, 3_000),
            stagedModels: fc.constantFrom<string[]>([], ["lm"]),
        });
        const change = fc.record({
            kind: fc.constantFrom("announce", "announce", "merge", "merge", "drain", "cold", "depart", "heard", "expire"), stepMs: fc.nat(9_000),
            items: fc.array(announcement, { minLength: 1, maxLength: 3 }),
            isGone: fc.boolean(), hasLeft: fc.boolean(), agoMs: fc.nat(20_000),
        });
        fc.assert(fc.property(fc.array(change, { maxLength: 60 }), changes => {
            const changing = createDirectory();
            let model: plain.DirectoryState = new Map();
            let nowMs = 0;
            for (const { kind, stepMs, items, isGone, hasLeft, agoMs } of changes) {
                nowMs += stepMs;
                const [first] = items.map(item => announcementOf(item)) as [Announcement];
                const before = model;
                let published: readonly { readonly id: string }[] = [];
                if (kind === "announce") {
                    model = plain.applyAnnouncement(model, first, nowMs);
                    published = changing.announce(first, nowMs);
                }
                else if (kind === "merge") {
                    const relayed = items.map(item => ({ ...announcementOf(item), heardAgoMs: agoMs, isGone, hasLeft: isGone && hasLeft }));
                    model = plain.mergeRelayed(model, relayed, nowMs);
                    published = changing.merge(relayed, nowMs);
                }
                else if (kind === "drain") {
                    model = plain.applyDraining(model, first);
                    published = changing.markDraining(first);
                }
                else if (kind === "cold") {
                    model = plain.applyCold(model, first, nowMs + agoMs);
                    published = changing.markCold(first, nowMs + agoMs);
                }
                else if (kind === "depart") {
                    model = plain.applyDeparture(model, first.id);
                    published = changing.depart(first.id);
                }
                else if (kind === "heard") {
                    model = plain.updateHeardTimes(model, [{ id: first.id, agoMs }], nowMs);
                    changing.updateHeardTimes([{ id: first.id, agoMs }], nowMs);
                }
                else {
                    model = plain.removeExpired(model, nowMs);
                    changing.removeExpired(nowMs);
                }
                expect(new Map(changing.upstreams)).to.deep.equal(model);
                const changed = [...model.values()].filter(upstream => isSignificantChange(before.get(upstream.id), upstream));
                const mustPublish = kind === "heard" || kind === "expire" ? [] : changed.map(({ id }) => id);
                expect(published.map(({ id }) => id)).to.include.members(mustPublish);
            }
        }), { seed: 39, numRuns: 400 });
    });
});
