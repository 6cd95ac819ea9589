import { expect } from "chai";
import * as fc from "fast-check";
import type { DirectoryPosition, Frame } from "../../src/feed/index.js";
import { type Announcement, createDirectory, type Directory, type DirectoryState, toRelayed } from "../../src/fleet/index.js";
import { createDirectoryFeed, type DirectoryFeed } from "../../src/siteControl/directoryFeed.js";
import * as plain from "../support/plainDirectory.js";

function announcementOf(change: Partial<Announcement> = {}): Announcement {
    return {
        id: "u1", service: "orders", address: "10.0.0.1:80", dataCentre: "a", bornMs: 1, sequence: 1, state: "ready", coldForMs: 0, slots: 4,
        stagedModels: [], ...change,
    };
}

interface Published {
    readonly frame: Frame;
    readonly position: DirectoryPosition | undefined;
}

const nextTurn = () => new Promise(resolve => setImmediate(resolve));
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("feed of a control daemon's upstreams", () => {
    let directory: Directory;
    let published: Published[];
    let feed: DirectoryFeed;

    const announce = (change: Partial<Announcement>) => feed.publishChanged(directory.announce(announcementOf(change), performance.now()));
    const publishedIds = () => published.map(({ frame }) => frame.kind === "upstreams" && frame.upstreams.map(({ id }) => id));
    const initialIds = (known?: DirectoryPosition) => [...feed.initialFrames(known)].flatMap(item => {
        const frame = "frame" in item ? item.frame : item;
        return frame.kind === "upstreams" ? frame.upstreams.map(({ id }) => id) : [];
    });

    beforeEach(() => {
        directory = createDirectory();
        published = [];
        feed = createDirectoryFeed({
            directory, publish: (frame, _, position) => published.push({ frame, position }), nowMs: () => performance.now(),
        });
    });

    // Guards against one frame for each change and watcher, which filled the core of a control daemon with 3,000 upstreams.
    it("publishes the changes of one turn together, and those soon after them in one more frame", async () => {
        announce({ id: "u1" });
        announce({ id: "u2", address: "10.0.0.2:80" });
        await nextTurn();
        announce({ id: "u3", address: "10.0.0.3:80" });
        await nextTurn();
        announce({ id: "u4", address: "10.0.0.4:80" });
        announce({ id: "u3", address: "10.0.0.3:80", sequence: 2, slots: 8 });
        await pause(60);
        expect(publishedIds()).to.deep.equal([["u1", "u2"], ["u4", "u3"]]);
    });

    // Guards against acknowledging a departure before entries are told: they would send requests to an upstream that may end.
    it("publishes an upstream that accepts no more work at once, with what is pending", () => {
        announce({ id: "u1" });
        announce({ id: "u2", address: "10.0.0.2:80" });
        feed.publishChanged(directory.depart("u2"));
        expect(publishedIds()).to.deep.equal([["u1", "u2"]]);
        announce({ id: "u1", sequence: 2, state: "draining" });
        expect(publishedIds()).to.deep.equal([["u1", "u2"], ["u1"]]);
    });

    it("sends a watcher what has changed since the position that it has", () => {
        announce({ id: "u1" });
        announce({ id: "u2", address: "10.0.0.2:80" });
        feed.flush();
        const { position } = published.at(-1)!;
        expect(initialIds(position)).to.deep.equal([]);
        announce({ id: "u1", sequence: 2 });
        expect(initialIds(position)).to.deep.equal([]);
        announce({ id: "u1", sequence: 3, stagedModels: ["lm"] });
        expect(initialIds(position)).to.deep.equal(["u1"]);
    });

    // Guards against a watcher that keeps the state of a control daemon's former life for the present one.
    it("sends a watcher everything if its position is of another incarnation or later than the present", () => {
        announce({ id: "u1" });
        feed.flush();
        const { position } = published.at(-1)!;
        expect(initialIds({ ...position!, incarnation: "other" })).to.deep.equal(["u1"]);
        expect(initialIds({ ...position!, version: position!.version + 1 })).to.deep.equal(["u1"]);
        expect(initialIds()).to.deep.equal(["u1"]);
    });

    // Guards against a watcher that is cut off while it receives the state, and would count the missing part as received.
    it("states the position only with the last of the frames that bring a watcher up to date", () => {
        for (let index = 0; index < 250; index++) {
            announce({ id: `u${index}`, address: `10.0.0.${index}:80` });
        }
        const items = [...feed.initialFrames(undefined)];
        expect(items.map(item => "position" in item ? item.position.version : undefined)).to.deep.equal([undefined, undefined, 250]);
    });

    // Guards against an entry that returns to a control daemon and misses a change, or undoes one: it would send callers' requests to an
    // upstream that no longer exists, or never to one that does.
    it("brings a watcher that catches up by its position to the state of one that gets everything, and of a plain model", () => {
        const change = fc.record({
            kind: fc.constantFrom("announce", "announce", "announce", "relay", "drain", "depart", "restart", "heard", "cut", "reconnect", "newDaemon"),
            index: fc.nat(4), addressIndex: fc.nat(5), stagedModels: fc.constantFrom<string[]>([], ["lm"]), slots: fc.constantFrom(4, 8),
        });
        fc.assert(fc.property(fc.array(change, { maxLength: 80 }), changes => {
            const daemon = { directory: createDirectory(), feed: undefined as DirectoryFeed | undefined };
            const connected = createDirectory();
            const watcher = { directory: createDirectory(), isConnected: true, position: undefined as DirectoryPosition | undefined };
            let model: plain.DirectoryState = new Map();
            let nowMs = 0;
            const receive = (to: Directory, frame: Frame) => frame.kind === "upstreams" && to.merge(frame.upstreams, nowMs);
            function restartDaemon() {
                daemon.directory = createDirectory();
                daemon.feed = createDirectoryFeed({
                    directory: daemon.directory,
                    nowMs: () => nowMs,
                    publish(frame, _, position) {
                        receive(connected, frame);
                        if (watcher.isConnected) {
                            receive(watcher.directory, frame);
                            watcher.position = position;
                        }
                    },
                });
            }
            function reconnect() {
                watcher.isConnected = true;
                for (const item of daemon.feed!.initialFrames(watcher.position)) {
                    receive(watcher.directory, "frame" in item ? item.frame : item);
                    watcher.position = "frame" in item ? item.position : watcher.position;
                }
            }
            restartDaemon();
            /** The upstreams as their own processes are: a later process has a later birth. */
            const processes = new Map<string, Announcement>();
            let births = 0;
            for (const { kind, index, addressIndex, stagedModels, slots } of changes) {
                nowMs += 10;
                const id = `u${index}`;
                const before = processes.get(id);
                const isNew = before === undefined || kind === "restart";
                const announcement: Announcement = isNew
                    ? announcementOf({ id, address: `10.0.0.${addressIndex}:80`, bornMs: ++births, stagedModels, slots })
                    : { ...before, sequence: before.sequence + 1, stagedModels, slots };
                if (kind === "announce" || kind === "restart") {
                    processes.set(id, announcement);
                    model = plain.applyAnnouncement(model, announcement, nowMs);
                    daemon.feed!.publishChanged(daemon.directory.announce(announcement, nowMs));
                }
                else if (kind === "relay") {
                    processes.set(id, announcement);
                    const relayed = [{ ...announcement, heardAgoMs: 5, isGone: false, hasLeft: false }];
                    model = plain.mergeRelayed(model, relayed, nowMs);
                    daemon.feed!.publishChanged(daemon.directory.merge(relayed, nowMs));
                }
                else if (kind === "drain" && before !== undefined) {
                    model = plain.applyDraining(model, before);
                    daemon.feed!.publishChanged(daemon.directory.markDraining(before));
                }
                else if (kind === "depart") {
                    model = plain.applyDeparture(model, id);
                    daemon.feed!.publishChanged(daemon.directory.depart(id));
                }
                else if (kind === "heard") {
                    model = plain.updateHeardTimes(model, [{ id, agoMs: 1 }], nowMs);
                    daemon.directory.updateHeardTimes([{ id, agoMs: 1 }], nowMs);
                }
                else if (kind === "cut") {
                    watcher.isConnected = false;
                }
                else if (kind === "reconnect") {
                    reconnect();
                }
                else if (kind === "newDaemon") {
                    // The new process learns the upstreams from another control daemon.
                    daemon.feed!.flush();
                    const known = [...daemon.directory.upstreams.values()].map(upstream => toRelayed(upstream, nowMs));
                    restartDaemon();
                    model = plain.mergeRelayed(new Map(), known, nowMs);
                    daemon.directory.merge(known, nowMs);
                    watcher.isConnected = false;
                }
            }
            daemon.feed!.flush();
            reconnect();
            const fresh = createDirectory();
            [...daemon.feed!.initialFrames(undefined)].forEach(item => receive(fresh, "frame" in item ? item.frame : item));
            const expected = significantState(model);
            expect(significantState(daemon.directory.upstreams)).to.deep.equal(expected);
            expect(significantState(fresh.upstreams)).to.deep.equal(expected);
            expect(significantState(watcher.directory.upstreams)).to.deep.equal(expected);
        }), { seed: 52, numRuns: 500 });
    });
});

/** What entries use of the upstreams, by id. */
function significantState(state: DirectoryState) {
    return Object.fromEntries([...state.values()].map(({ id, bornMs, address, state: work, isGone, slots, stagedModels }) =>
        [id, { bornMs, address, work, isGone, slots, stagedModels }] as const).sort(([a], [b]) => a.localeCompare(b)));
}
