/**
 * The voter's data folder: who the disk is, its snapshot and its log. Writes asked for while one is under way go out together as
 * one record and one sync. What is reported as synced is on the disk. A write that the disk refuses loses nothing: it waits and is tried
 * again.
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

/** One write: each part replaces the log from its first entry on. */
const recordSchema = z.strictObject({
    /** Everything before this record is void; the log begins after the snapshot of `resetTo`. */
    resetTo: z.number().int().optional(),
    vote: voteSchema.optional(),
    parts: z.array(z.array(entrySchema)),
});
type LogRecord = z.infer<typeof recordSchema>;

export interface StorageReports {
    /** `snapshotBytes`: the size of a snapshot that was among the writes. */
    synced(syncId: number, snapshotBytes?: number): void;
    /** Called each time a write fails. */
    failed(reason: string): void;
}

export interface StorageOptions {
    readonly folder: string;
    readonly voterId: string;
    readonly files?: FileOperations;
    /** Size at which a new segment is begun. */
    readonly segmentBytes?: number;
    /** How long a refused write waits before it is tried again. */
    readonly retryMs?: number;
}

export interface Storage {
    readonly identity: Identity;
    readonly image: DiskImage;
    /** Bytes cut off the end at opening: a write that a crash cut short. */
    readonly tornBytes: number;
    /** Begins to take writes. */
    start(reports: StorageReports): void;
    persist(effect: PersistEffect): void;
    /** Waits for what is under way and closes the files. */
    close(): Promise<void>;
}

/** In place of a data folder, for a process that never votes: a write would promise what no disk holds. */
export function createNoStorage(voterId: string): Storage {
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

/** The data folder belongs to another voter than the settings say. */
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

async function openIdentity(files: FileOperations, folder: string, voterId: string, holdsLog: boolean): Promise<Identity> {
    const file = path.join(folder, identityName);
    const bytes = await files.read(file);
    if (bytes === undefined) {
        if (holdsLog) {
            throw new CorruptionError(file, 0, "missing beside a log");
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
    const { records, soundBytes } = decodeSegment(file, await files.read(file) ?? Buffer.alloc(0), false);
    if (records.length !== 1) {
        throw new CorruptionError(file, soundBytes, "a snapshot is one record");
    }
    return parseJson(snapshotSchema, records[0]!, file, 0);
}

/** Joins entries that replace the tail of a list. */
function replaceTail(entries: Entry[], part: readonly Entry[], file: string): void {
    const first = part[0];
    if (first === undefined) {
        return;
    }
    const place = entries.length === 0 ? 0 : first.index - entries[0]!.index;
    if (place < 0 || place > entries.length) {
        throw new CorruptionError(file, 0, `entry ${first.index} does not follow the log`);
    }
    entries.length = place;
    entries.push(...part);
}

/** Opens the folder, made if it is missing, cuts a torn end and refuses a damaged log. */
export async function openStorage(options: StorageOptions): Promise<Storage> {
    const files = options.files ?? diskOperations;
    const { folder } = options;
    await files.makeFolder(folder);
    const names = await files.list(folder);
    const segments = names.filter(name => segmentPattern.test(name)).sort();
    const snapshot = await readSnapshot(files, folder, names);
    const identity = await openIdentity(files, folder, options.voterId, segments.length > 0 || snapshot !== undefined);
    let vote: Vote = { term: 0 };
    const entries: Entry[] = [];
    let tornBytes = 0;
    const live: { readonly file: string; readonly records: readonly LogRecord[] }[] = [];
    // From the newest back to the one that voids all before it: of those, a loss of power may have brought back any.
    for (let place = segments.length - 1; place >= 0 && live[0]?.records[0]?.resetTo === undefined; place--) {
        const file = path.join(folder, segments[place]!);
        const bytes = await files.read(file) ?? Buffer.alloc(0);
        const { records, soundBytes } = decodeSegment(file, bytes, place === segments.length - 1);
        live.unshift({ file, records: records.map(content => parseJson(recordSchema, content, file, 0)) });
        if (soundBytes < bytes.byteLength) {
            tornBytes = bytes.byteLength - soundBytes;
            const handle = await files.openForAppend(file);
            await handle.truncate(soundBytes);
            await handle.sync();
            await handle.close();
        }
    }
    for (const { file, records } of live) {
        for (const record of records) {
            vote = record.vote ?? vote;
            record.parts.forEach(part => replaceTail(entries, part, file));
        }
    }
    const base = snapshot?.index ?? 0;
    const after = entries.filter(entry => entry.index > base);
    if (after.length > 0 && after[0]!.index !== base + 1) {
        throw new CorruptionError(path.join(folder, segments.at(-1)!), 0, `entries ${base + 1} to ${after[0]!.index - 1} are missing`);
    }
    const image: DiskImage = { term: vote.term, votedFor: vote.votedFor, snapshot, entries: after };
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
    let reports: StorageReports | undefined;
    let segment: OpenFile | undefined;
    /** What of the segment is synced. */
    let segmentBytes = 0;
    /** Whether more than that may be in the segment: a part of a record, or one whose sync failed. */
    let hasRemains = false;
    let { vote, nextSegment } = options;
    let writing: Promise<void> | undefined;
    let closed = false;
    let wake: (() => void) | undefined;

    function segmentFile(number: number): string {
        return path.join(folder, `log-${String(number).padStart(12, "0")}.seg`);
    }

    /** Cuts off what a failed write left: a bad record before a sound one would make the log unreadable. */
    async function cutRemains(): Promise<void> {
        if (segment !== undefined && hasRemains) {
            await segment.truncate(segmentBytes);
            await segment.sync();
            hasRemains = false;
        }
    }

    /** Begins a segment whose first record stands before anything else in it is relied on. */
    async function beginSegment(first: LogRecord): Promise<void> {
        await cutRemains();
        await segment?.close();
        segment = undefined;
        const file = segmentFile(nextSegment);
        const record = encodeRecord(Buffer.from(JSON.stringify(first)));
        await replaceFile(files, file, record);
        nextSegment++;
        segment = await files.openForAppend(file);
        segmentBytes = record.byteLength;
    }

    async function writeRecord(record: LogRecord): Promise<void> {
        if (segment === undefined || segmentBytes >= segmentLimitBytes) {
            await beginSegment({ vote, parts: [] });
        }
        const bytes = encodeRecord(Buffer.from(JSON.stringify(record)));
        await cutRemains();
        hasRemains = true;
        await segment!.append(bytes);
        // A sync that failed may have dropped the written pages: only the record written anew and synced proves that it is on the disk.
        await segment!.sync();
        hasRemains = false;
        segmentBytes += bytes.byteLength;
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

    /** Writes the effects of one batch that stand before the next snapshot, or that snapshot. */
    async function writeBatch(): Promise<void> {
        const place = queue.findIndex(effect => effect.snapshot !== undefined);
        // A copy: what is asked for while this batch is written is not in it, and must not be reported with it.
        const batch = queue.slice(0, place < 0 ? queue.length : Math.max(1, place));
        const newestVote = batch.findLast(effect => effect.vote !== undefined)?.vote;
        if (newestVote !== undefined) {
            vote = { term: newestVote.term, ...newestVote.votedFor === undefined ? {} : { votedFor: newestVote.votedFor } };
        }
        const only = batch[0]!;
        let snapshotBytes: number | undefined;
        if (only.snapshot === undefined) {
            const parts = batch.flatMap(effect => effect.entries === undefined ? [] : [[...effect.entries]]);
            await writeRecord(newestVote === undefined ? { parts } : { vote, parts });
        }
        else {
            snapshotBytes = await writeSnapshot(only.snapshot);
        }
        queue = queue.slice(batch.length);
        reports!.synced(batch.at(-1)!.syncId, snapshotBytes);
    }

    async function writeAll(): Promise<void> {
        while (queue.length > 0 && !closed) {
            try {
                await writeBatch();
            }
            catch (error) {
                reports!.failed((error as Error).message);
                await new Promise<void>(resolve => {
                    wake = resolve;
                    setTimeout(resolve, retryMs).unref();
                });
            }
        }
    }

    function kick() {
        if (writing !== undefined || reports === undefined || queue.length === 0 || closed) {
            return;
        }
        writing = writeAll().finally(() => {
            writing = undefined;
            kick();
        });
    }

    return {
        identity: options.identity,
        image: options.image,
        tornBytes: options.tornBytes,
        start(given) {
            reports = given;
            kick();
        },
        persist(effect) {
            queue.push(effect);
            kick();
        },
        async close() {
            closed = true;
            wake?.();
            await writing;
            await segment?.close();
            segment = undefined;
        },
    };
}
