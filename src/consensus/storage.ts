/**
 * The voter's data folder: the identity of its disk, its snapshot and its log. Writes requested while another is in progress are
 * batched into one record and one sync. A write is reported as synced only once it is on disk. A failed write is kept and retried.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as path from "node:path";
import { z } from "zod";
import { type FileOperations, type OpenFile, diskOperations, replaceFile } from "./files.js";
import { type Entry, entrySchema, type Identity, identitySchema, type Snapshot, snapshotSchema } from "./messages.js";
import { CorruptionError, decodeSegment, encodeRecord } from "./segment.js";
import { type DiskImage, emptyDisk, type PersistEffect } from "./state.js";

const identityName = "identity.json";
const segmentPattern = /^log-(\d{12})\.seg$/;
const snapshotPattern = /^snapshot-(\d{16})\.snap$/;

const voteSchema = z.strictObject({ term: z.number().int(), votedFor: z.string().optional() });
type Vote = z.infer<typeof voteSchema>;

/** One write: each part replaces the log from the part's first index on. */
const recordSchema = z.strictObject({
    /** Invalidates everything before this record; the log starts after the snapshot at index `resetTo`. */
    resetTo: z.number().int().optional(),
    vote: voteSchema.optional(),
    /** Entries up to this index are committed. */
    commitIndex: z.number().int().optional(),
    parts: z.array(z.array(entrySchema)),
});
type LogRecord = z.infer<typeof recordSchema>;

/** How the storage reports the results of writes. */
export interface StorageCallbacks {
    /** Every write up to `syncId` is on disk. `snapshotBytes`: the size of the snapshot among the writes, if any. */
    synced(syncId: number, snapshotBytes?: number): void;
    /** Called each time a write fails. */
    failed(reason: string): void;
}

export interface StorageOptions {
    readonly folder: string;
    readonly voterId: string;
    readonly files?: FileOperations;
    /** Size at which a new segment is started. */
    readonly segmentBytes?: number;
    /** Delay before a failed write is retried. */
    readonly retryMs?: number;
}

export interface Storage {
    readonly identity: Identity;
    readonly image: DiskImage;
    /** Bytes truncated from the end of the log when it was opened: a write that a crash interrupted. */
    readonly tornBytes: number;
    /** Starts to perform writes. */
    start(callbacks: StorageCallbacks): void;
    persist(effect: PersistEffect): void;
    /** Waits for the write in progress and closes the files. */
    close(): Promise<void>;
}

/** Creates the storage of a process without a data folder, which never votes. Writes throw, as they would promise what no disk holds. */
export function createNullStorage(voterId: string): Storage {
    return {
        identity: { voterId, diskId: randomUUID() },
        image: emptyDisk,
        tornBytes: 0,
        start: () => undefined,
        persist() {
            throw new Error("there is no data folder to write to");
        },
        close: async () => undefined,
    };
}

/** Thrown when the data folder belongs to another voter than the one in the settings. */
export class ForeignFolderError extends Error {
    override name = "ForeignFolderError";
}

const defaultSegmentBytes = 8 * 1024 * 1024;
const defaultRetryMs = 500;

function parseJson<Output>(schema: z.ZodType<Output>, bytes: Buffer, file: string, offsetBytes: number): Output {
    try {
        return schema.parse(JSON.parse(bytes.toString("utf8")));
    }
    catch (error) {
        throw new CorruptionError(file, offsetBytes, `unexpected content: ${(error as Error).message}`);
    }
}

async function openIdentity(files: FileOperations, folder: string, voterId: string, hasLog: boolean): Promise<Identity> {
    const file = path.join(folder, identityName);
    const bytes = await files.read(file);
    if (bytes === undefined) {
        if (hasLog) {
            throw new CorruptionError(file, 0, "missing although the folder holds a log");
        }
        const identity: Identity = { voterId, diskId: randomUUID() };
        await replaceFile(files, file, Buffer.from(JSON.stringify(identity)));
        return identity;
    }
    const identity = parseJson(identitySchema, bytes, file, 0);
    if (identity.voterId !== voterId) {
        throw new ForeignFolderError(`${folder} belongs to voter "${identity.voterId}", the settings say "${voterId}"`);
    }
    return identity;
}

async function readSnapshot(files: FileOperations, folder: string, names: readonly string[]): Promise<Snapshot | undefined> {
    const newest = names.filter(name => snapshotPattern.test(name)).sort().at(-1);
    if (newest === undefined) {
        return undefined;
    }
    const file = path.join(folder, newest);
    const { records, validBytes } = decodeSegment(file, await files.read(file) ?? Buffer.alloc(0), false);
    if (records.length !== 1) {
        throw new CorruptionError(file, validBytes, "a snapshot must consist of one record");
    }
    return parseJson(snapshotSchema, records[0]!, file, 0);
}

/** Replaces the tail of `entries`, from the first index of `part` on, by `part`. */
function replaceTail(entries: Entry[], part: readonly Entry[], file: string): void {
    const first = part[0];
    if (first === undefined) {
        return;
    }
    const position = entries.length === 0 ? 0 : first.index - entries[0]!.index;
    if (position < 0 || position > entries.length) {
        throw new CorruptionError(file, 0, `entry ${first.index} does not follow the log`);
    }
    entries.length = position;
    entries.push(...part);
}

/** Opens the folder, creating it if necessary. Truncates a torn write at the end and rejects a damaged log. */
export async function openStorage(options: StorageOptions): Promise<Storage> {
    const files = options.files ?? diskOperations;
    const { folder } = options;
    await files.makeFolder(folder);
    const names = await files.list(folder);
    const segments = names.filter(name => segmentPattern.test(name)).sort();
    const snapshot = await readSnapshot(files, folder, names);
    const identity = await openIdentity(files, folder, options.voterId, segments.length > 0 || snapshot !== undefined);
    let vote: Vote = { term: 0 };
    let commitIndex = 0;
    const entries: Entry[] = [];
    let tornBytes = 0;
    const liveSegments: { readonly file: string; readonly records: readonly LogRecord[] }[] = [];
    // Reads from the newest segment back to the one that invalidates all before it. After a power loss, any removed segment may be back.
    for (let position = segments.length - 1; position >= 0 && liveSegments[0]?.records[0]?.resetTo === undefined; position--) {
        const file = path.join(folder, segments[position]!);
        const bytes = await files.read(file) ?? Buffer.alloc(0);
        const { records, validBytes } = decodeSegment(file, bytes, position === segments.length - 1);
        liveSegments.unshift({ file, records: records.map(content => parseJson(recordSchema, content, file, 0)) });
        if (validBytes < bytes.byteLength) {
            tornBytes = bytes.byteLength - validBytes;
            const handle = await files.openForAppend(file);
            await handle.truncate(validBytes);
            await handle.sync();
            await handle.close();
        }
    }
    for (const { file, records } of liveSegments) {
        for (const record of records) {
            vote = record.vote ?? vote;
            commitIndex = Math.max(commitIndex, record.commitIndex ?? 0);
            record.parts.forEach(part => replaceTail(entries, part, file));
        }
    }
    const base = snapshot?.index ?? 0;
    const after = entries.filter(entry => entry.index > base);
    if (after.length > 0 && after[0]!.index !== base + 1) {
        throw new CorruptionError(path.join(folder, segments.at(-1)!), 0, `entries ${base + 1} to ${after[0]!.index - 1} are missing`);
    }
    const image: DiskImage = { term: vote.term, votedFor: vote.votedFor, snapshot, entries: after, commitIndex };
    const nextSegment = segments.length === 0 ? 1 : Number(segmentPattern.exec(segments.at(-1)!)![1]) + 1;
    return createWriter({ ...options, files, identity, image, tornBytes, vote, nextSegment });
}

interface WriterOptions extends StorageOptions {
    readonly files: FileOperations;
    readonly identity: Identity;
    readonly image: DiskImage;
    readonly tornBytes: number;
    readonly vote: Vote;
    readonly nextSegment: number;
}

function createWriter(options: WriterOptions): Storage {
    const { files, folder } = options;
    const segmentLimitBytes = options.segmentBytes ?? defaultSegmentBytes;
    const retryMs = options.retryMs ?? defaultRetryMs;
    let queue: PersistEffect[] = [];
    let callbacks: StorageCallbacks | undefined;
    let segment: OpenFile | undefined;
    /** Number of bytes of the segment that are synced. */
    let syncedBytes = 0;
    /** Whether the segment may hold more than the synced bytes: a partial record, or one whose sync failed. */
    let hasUnsyncedTail = false;
    let { vote, nextSegment } = options;
    let writing: Promise<void> | undefined;
    let closed = false;
    let endRetryDelay: (() => void) | undefined;

    function segmentFile(number: number): string {
        return path.join(folder, `log-${String(number).padStart(12, "0")}.seg`);
    }

    /** Truncates what a failed write left behind: an invalid record before a valid one would make the log unreadable. */
    async function truncateUnsyncedTail(): Promise<void> {
        if (segment !== undefined && hasUnsyncedTail) {
            await segment.truncate(syncedBytes);
            await segment.sync();
            hasUnsyncedTail = false;
        }
    }

    /** Starts a segment; its first record is on disk before any other is appended to it. */
    async function beginSegment(first: LogRecord): Promise<void> {
        await truncateUnsyncedTail();
        await segment?.close();
        segment = undefined;
        const file = segmentFile(nextSegment);
        const record = encodeRecord(Buffer.from(JSON.stringify(first)));
        await replaceFile(files, file, record);
        nextSegment++;
        segment = await files.openForAppend(file);
        syncedBytes = record.byteLength;
    }

    async function writeRecord(record: LogRecord): Promise<void> {
        if (segment === undefined || syncedBytes >= segmentLimitBytes) {
            await beginSegment({ vote, parts: [] });
        }
        const bytes = encodeRecord(Buffer.from(JSON.stringify(record)));
        await truncateUnsyncedTail();
        hasUnsyncedTail = true;
        await segment!.append(bytes);
        // A failed sync may have dropped the written pages: the record is on disk only once it has been written again and synced.
        await segment!.sync();
        hasUnsyncedTail = false;
        syncedBytes += bytes.byteLength;
    }

    async function writeSnapshot({ snapshot, after }: NonNullable<PersistEffect["snapshot"]>): Promise<number> {
        const name = `snapshot-${String(snapshot.index).padStart(16, "0")}.snap`;
        const bytes = encodeRecord(Buffer.from(JSON.stringify(snapshot)));
        await replaceFile(files, path.join(folder, name), bytes);
        const current = nextSegment;
        await beginSegment({ resetTo: snapshot.index, vote, parts: [[...after]] });
        for (const old of await files.list(folder)) {
            const number = Number(segmentPattern.exec(old)?.[1] ?? current);
            if (number < current || (snapshotPattern.test(old) && old < name)) {
                await files.remove(path.join(folder, old));
            }
        }
        await files.syncFolder(folder);
        return bytes.byteLength;
    }

    /** Writes the queued effects up to the next snapshot as one batch, or that snapshot if it comes first. */
    async function writeBatch(): Promise<void> {
        const snapshotPosition = queue.findIndex(effect => effect.snapshot !== undefined);
        // A copy: writes requested while this batch is written are not part of it and must not be reported with it.
        const batch = queue.slice(0, snapshotPosition < 0 ? queue.length : Math.max(1, snapshotPosition));
        const newestVote = batch.findLast(effect => effect.vote !== undefined)?.vote;
        if (newestVote !== undefined) {
            vote = { term: newestVote.term, ...newestVote.votedFor === undefined ? {} : { votedFor: newestVote.votedFor } };
        }
        const firstEffect = batch[0]!;
        let snapshotBytes: number | undefined;
        if (firstEffect.snapshot === undefined) {
            const parts = batch.flatMap(effect => effect.entries === undefined ? [] : [[...effect.entries]]);
            const commitIndex = batch.findLast(effect => effect.commitIndex !== undefined)?.commitIndex;
            await writeRecord({ ...newestVote === undefined ? {} : { vote }, ...commitIndex === undefined ? {} : { commitIndex }, parts });
        }
        else {
            snapshotBytes = await writeSnapshot(firstEffect.snapshot);
        }
        queue = queue.slice(batch.length);
        callbacks!.synced(batch.at(-1)!.syncId, snapshotBytes);
    }

    async function writeAll(): Promise<void> {
        while (queue.length > 0 && !closed) {
            try {
                await writeBatch();
            }
            catch (error) {
                callbacks!.failed((error as Error).message);
                await new Promise<void>(resolve => {
                    endRetryDelay = resolve;
                    setTimeout(resolve, retryMs).unref();
                });
            }
        }
    }

    function startWriting() {
        if (writing !== undefined || callbacks === undefined || queue.length === 0 || closed) {
            return;
        }
        writing = writeAll().finally(() => {
            writing = undefined;
            startWriting();
        });
    }

    return {
        identity: options.identity,
        image: options.image,
        tornBytes: options.tornBytes,
        start(newCallbacks) {
            callbacks = newCallbacks;
            startWriting();
        },
        persist(effect) {
            queue.push(effect);
            startWriting();
        },
        async close() {
            closed = true;
            endRetryDelay?.();
            await writing;
            await segment?.close();
            segment = undefined;
        },
    };
}
