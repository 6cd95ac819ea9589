import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { expect } from "chai";
import { diskOperations, type FileOperations } from "../../src/consensus/files.js";
import type { Entry, Snapshot } from "../../src/consensus/messages.js";
import { CorruptionError, encodeRecord } from "../../src/consensus/segment.js";
import { openStorage, type Storage, type StorageOptions } from "../../src/consensus/storage.js";
import type { PersistEffect } from "../../src/consensus/state.js";

function entry(index: number, term = 1): Entry {
    return { index, term, payload: { kind: "command", command: `c${index}.${term}` } };
}

const membership = { clusterId: "x", formed: true, voters: [{ voterId: "a", diskId: "d", address: "h:1" }] };

/** Writes the effects in order and waits until the last one is synced. */
function writeAll(storage: Storage, writes: readonly Omit<PersistEffect, "kind" | "syncId">[]): Promise<void> {
    return new Promise((resolve, reject) => {
        storage.start({
            synced: syncId => syncId === writes.length && resolve(),
            failed: reason => reject(new Error(reason)),
        });
        writes.forEach((write, index) => storage.persist({ kind: "persist", syncId: index + 1, ...write }));
    });
}

describe("consensus storage", () => {
    let folder: string;
    const open = (options: Partial<StorageOptions> = {}) => openStorage({ folder, voterId: "a", retryMs: 5, ...options });
    beforeEach(async () => {
        folder = await fs.mkdtemp(path.join(os.tmpdir(), "storage-"));
    });
    afterEach(() => fs.rm(folder, { recursive: true, force: true }));

    async function openAndClose() {
        const storage = await open();
        await storage.close();
        return storage;
    }

    async function segmentNames(): Promise<string[]> {
        return (await fs.readdir(folder)).filter(name => name.endsWith(".seg")).sort();
    }

    async function writeThreeEntries(): Promise<string> {
        const storage = await open();
        for (const [index, entryIndex] of [1, 2, 3].entries()) {
            await new Promise<void>(resolve => {
                storage.start({ synced: syncId => syncId === index + 1 && resolve(), failed: () => undefined });
                storage.persist({ kind: "persist", syncId: index + 1, entries: [entry(entryIndex)] });
            });
        }
        await storage.close();
        return path.join(folder, (await segmentNames())[0]!);
    }

    it("restores the vote, the entries and a replaced tail, with the same identity", async () => {
        const storage = await open();
        await writeAll(storage, [
            { vote: { term: 2, votedFor: "d" }, entries: [entry(1), entry(2), entry(3)] }, { entries: [entry(2, 2)] }, { vote: { term: 3, votedFor: undefined } },
        ]);
        await storage.close();
        const { identity, image } = await openAndClose();
        expect(identity).to.deep.equal(storage.identity);
        const entries = [entry(1), entry(2, 2)];
        expect(image).to.deep.equal({ term: 3, votedFor: undefined, snapshot: undefined, entries, commitIndex: 0 });
    });

    it("restores the highest commit index that was written, across segments", async () => {
        const storage = await open({ segmentBytes: 1 });
        await writeAll(storage, [
            { entries: [entry(1), entry(2)] }, { commitIndex: 1 }, { entries: [entry(3)], commitIndex: 2 }, { vote: { term: 2, votedFor: "d" } },
        ]);
        await storage.close();
        expect((await openAndClose()).image).to.include({ term: 2, commitIndex: 2 });
    });

    // Entries are submitted while an earlier write is in progress, and may be reported as synced only once they are on disk themselves:
    // a voter that acknowledged them with the earlier write would lose an accepted change in a crash.
    it("reports a write only once that write itself is on disk", async () => {
        const synced: number[] = [];
        let syncs = 0;
        const files: FileOperations = {
            ...diskOperations,
            async openForAppend(file) {
                const handle = await diskOperations.openForAppend(file);
                return {
                    ...handle,
                    async sync() {
                        await handle.sync();
                        syncs++;
                        if (syncs === 2) {
                            storage.persist({ kind: "persist", syncId: 2, entries: [entry(2)] });
                        }
                    },
                };
            },
        };
        const storage = await open({ files });
        await writeAll(storage, [{ entries: [entry(1)] }]);
        await new Promise<void>(resolve => storage.start({ synced: syncId => synced.push(syncId) && resolve(), failed: () => undefined }));
        await storage.close();
        expect(synced).to.deep.equal([2]);
        expect((await openAndClose()).image.entries).to.deep.equal([entry(1), entry(2)]);
    });

    it("truncates a write that a crash interrupted and keeps the rest", async () => {
        const file = await writeThreeEntries();
        const size = (await fs.stat(file)).size;
        for (const cutBytes of [1, 7, 40]) {
            await fs.truncate(file, size - cutBytes);
            const storage = await openAndClose();
            expect(storage.tornBytes).to.be.greaterThan(0);
            expect(storage.image.entries).to.deep.equal([entry(1), entry(2)]);
            expect((await openAndClose()).tornBytes).to.equal(0);
            await fs.rm(folder, { recursive: true });
            await writeThreeEntries();
        }
    });

    // A bad sector damages acknowledged entries. Truncating there would silently revoke them, so the voter must refuse to start and name
    // the offset. Its operators then give it an empty folder, and it catches up from the others.
    // Guards against a voter that can't start because its log holds more entries than a call can have arguments.
    it("opens a log whose entries were written at once, however many they are", async () => {
        const storage = await open();
        const entries = Array.from({ length: 200_000 }, (_, index) => entry(index + 1));
        await writeAll(storage, [{ entries }]);
        await storage.close();
        expect((await openAndClose()).image.entries.length).to.equal(entries.length);
    });

    it("rejects damage in the middle and names the file and the offset", async () => {
        const file = await writeThreeEntries();
        const bytes = await fs.readFile(file);
        const damagedByte = bytes.indexOf("c2.1");
        bytes[damagedByte] = bytes[damagedByte]! ^ 1;
        await fs.writeFile(file, bytes);
        const error = await open().then(() => undefined, (reason: unknown) => reason);
        expect(error).to.be.instanceOf(CorruptionError);
        const { file: damagedFile, offsetBytes } = error as CorruptionError;
        expect([damagedFile, offsetBytes < damagedByte, offsetBytes > bytes.indexOf("c1.1")]).to.deep.equal([file, true, true]);
    });

    const record = (text: string) => encodeRecord(Buffer.from(text));
    const oddFiles: Record<string, { name: string; content: Buffer }> = {
        "an identity that is cut short": { name: "identity.json", content: Buffer.from("{\"voterId\":\"a\"") },
        "a record that is no JSON": { name: "log-000000000001.seg", content: record("{") },
        "a record with a further field": { name: "log-000000000001.seg", content: record("{\"parts\":[],\"later\":1}") },
        "deep nesting": { name: "log-000000000001.seg", content: record("[".repeat(100_000) + "]".repeat(100_000)) },
        "many invalid entries": { name: "log-000000000001.seg", content: record(JSON.stringify({ parts: [Array.from({ length: 20_000 }, () => 1)] })) },
        "an empty snapshot": { name: "snapshot-0000000000000007.snap", content: Buffer.alloc(0) },
        "a snapshot without a state": { name: "snapshot-0000000000000007.snap", content: record("{\"index\":7}") },
        "a snapshot with an absurd length": { name: "snapshot-0000000000000007.snap", content: Buffer.from("5a4c5231ffffffff00000000", "hex") },
    };
    for (const [label, { name, content }] of Object.entries(oddFiles)) {
        // Guards against a voter that ends at each start without a word on which file it can't use, or with megabytes of them.
        it(`says in a short line which file it can't use: ${label}`, async () => {
            await writeThreeEntries();
            await fs.writeFile(path.join(folder, name), content);
            const error = await open().then(() => undefined, (thrown: Error) => thrown);
            expect(error).to.be.instanceOf(CorruptionError);
            expect(error!.message).to.include(name);
            expect(error!.message.length).to.be.below(1_000);
        });
    }

    it("replaces the log before a snapshot by the snapshot and removes old segments", async () => {
        const storage = await open({ segmentBytes: 200 });
        const snapshot: Snapshot = { index: 4, term: 1, membership, data: { state: 4 } };
        const entries = [1, 2, 3, 4, 5].map(index => ({ entries: [entry(index)] }));
        await writeAll(storage, [...entries, { snapshot: { snapshot, after: [entry(5)] } }, { entries: [entry(6)] }]);
        await storage.close();
        const image = { term: 0, votedFor: undefined, snapshot, entries: [entry(5), entry(6)], commitIndex: 0 };
        expect((await openAndClose()).image).to.deep.equal(image);
        expect((await fs.readdir(folder)).filter(name => name.endsWith(".snap"))).to.have.length(1);
    });

    // After a power loss some of the removed segments may be back, with a gap between them. The voter must still start.
    it("opens a log with some removed segments back", async () => {
        for (const index of [1, 2, 3]) {
            const storage = await open();
            await writeAll(storage, [{ entries: [entry(index)] }]);
            await storage.close();
        }
        const [firstSegment, , thirdSegment] = await segmentNames();
        const kept = await Promise.all([firstSegment!, thirdSegment!].map(async name =>
            ({ name, bytes: await fs.readFile(path.join(folder, name)) })));
        const snapshot: Snapshot = { index: 3, term: 1, membership, data: { state: 3 } };
        const storage = await open();
        await writeAll(storage, [{ snapshot: { snapshot, after: [] } }, { entries: [entry(4)] }]);
        await storage.close();
        await Promise.all(kept.map(({ name, bytes }) => fs.writeFile(path.join(folder, name), bytes)));
        const image = { term: 0, votedFor: undefined, snapshot, entries: [entry(4)], commitIndex: 0 };
        expect((await openAndClose()).image).to.deep.equal(image);
    });

    // Guards against a voter that an earlier version left with entries after a snapshot but none before it, and that can't start since.
    it("opens a log with a gap that the snapshot covers, and closes the gap", async () => {
        await writeThreeEntries();
        const snapshot: Snapshot = { index: 9, term: 1, membership, data: {} };
        const record = (content: object) => encodeRecord(Buffer.from(JSON.stringify(content)));
        await fs.writeFile(path.join(folder, "snapshot-0000000000000009.snap"), record(snapshot));
        await fs.writeFile(path.join(folder, "log-000000000002.seg"), record({ vote: { term: 1 }, parts: [[entry(10)]] }));
        const storage = await open();
        expect(storage.image).to.deep.equal({ term: 1, votedFor: undefined, snapshot, entries: [entry(10)], commitIndex: 0 });
        await writeAll(storage, [{ entries: [entry(11)] }]);
        await storage.close();
        expect(await segmentNames()).to.deep.equal(["log-000000000003.seg"]);
        expect((await openAndClose()).image.entries).to.deep.equal([entry(10), entry(11)]);
    });

    // Guards against a disk that fills up with the snapshots that a voter was writing each time it ended.
    it("removes unfinished snapshots once the next one is written", async () => {
        await fs.writeFile(path.join(folder, "snapshot-0000000000000007.snap.tmp"), "unfinished");
        const storage = await open();
        const snapshot: Snapshot = { index: 9, term: 1, membership, data: {} };
        await writeAll(storage, [{ snapshot: { snapshot, after: [] } }]);
        await storage.close();
        expect(await fs.readdir(folder)).to.have.members(["identity.json", "log-000000000001.seg", "snapshot-0000000000000009.snap"]);
    });

    // Guards against a voter that takes the log of its last process for durable although the disk has dropped what was never synced.
    it("writes the log anew if the first sync after a restart fails", async () => {
        await writeThreeEntries();
        let failures = 1;
        const files: FileOperations = {
            ...diskOperations,
            async openForAppend(file) {
                const handle = await diskOperations.openForAppend(file);
                return {
                    ...handle,
                    async sync() {
                        if (failures-- > 0) {
                            await handle.truncate(0);
                            throw Object.assign(new Error("sync failed"), { code: "EIO" });
                        }
                        await handle.sync();
                    },
                };
            },
        };
        const storage = await open({ files });
        await new Promise<void>(resolve => storage.start({ synced: syncId => syncId === 0 && resolve(), failed: () => undefined }));
        await storage.close();
        expect((await openAndClose()).image.entries).to.deep.equal([entry(1), entry(2), entry(3)]);
    });

    // The disk fills up during a write. Nothing may be reported until there is space again; then every entry must be there exactly once.
    it("loses nothing on a full disk and continues when there is space", async () => {
        let refusals = 3;
        const reasons: string[] = [];
        const files: FileOperations = {
            ...diskOperations,
            async openForAppend(file) {
                const handle = await diskOperations.openForAppend(file);
                return {
                    ...handle,
                    async append(bytes) {
                        if (Buffer.from(bytes).includes("c2.1") && refusals-- > 0) {
                            await handle.append(bytes.subarray(0, 20));
                            throw Object.assign(new Error("no space left"), { code: "ENOSPC" });
                        }
                        await handle.append(bytes);
                    },
                };
            },
        };
        const storage = await open({ files });
        await writeAll(storage, [{ entries: [entry(1)] }]);
        await new Promise<void>(resolve => {
            storage.start({ synced: () => resolve(), failed: reason => reasons.push(reason) });
            storage.persist({ kind: "persist", syncId: 2, entries: [entry(2)] });
        });
        await storage.close();
        expect(reasons).to.deep.equal(Array(3).fill("no space left"));
        expect((await openAndClose()).image.entries).to.deep.equal([entry(1), entry(2)]);
    });

    // Guards against a voter that stays silent after a failed sync until its process restarts: the next lost disk then costs the quorum.
    it("writes again after a failed sync, a partial write and a failed truncation, and loses nothing", async () => {
        const failing = ["sync", "append", "truncate", "sync", "append"];
        const reasons: string[] = [];
        function failNext(call: string) {
            if (failing[0] === call) {
                failing.shift();
                throw Object.assign(new Error(`${call} failed`), { code: "EIO" });
            }
        }
        let isFailing = false;
        const files: FileOperations = {
            ...diskOperations,
            async openForAppend(file) {
                const handle = await diskOperations.openForAppend(file);
                return {
                    close: handle.close,
                    async append(bytes) {
                        if (isFailing && failing[0] === "append") {
                            await handle.append(bytes.subarray(0, 20));
                            failNext("append");
                        }
                        await handle.append(bytes);
                    },
                    async sync() {
                        if (isFailing) {
                            failNext("sync");
                        }
                        await handle.sync();
                    },
                    async truncate(sizeBytes) {
                        failNext("truncate");
                        await handle.truncate(sizeBytes);
                    },
                };
            },
        };
        const storage = await open({ files });
        await writeAll(storage, [{ entries: [entry(1)] }]);
        isFailing = true;
        for (const syncId of [2, 3]) {
            await new Promise<void>(resolve => {
                storage.start({ synced: id => id === syncId && resolve(), failed: reason => reasons.push(reason) });
                storage.persist({ kind: "persist", syncId, entries: [entry(syncId)] });
            });
        }
        await storage.close();
        expect(reasons).to.deep.equal(["sync failed", "append failed", "truncate failed", "sync failed", "append failed"]);
        expect((await openAndClose()).image.entries).to.deep.equal([entry(1), entry(2), entry(3)]);
    });
});
