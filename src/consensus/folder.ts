/**
 * The files of a voter's data folder: their names and formats, and reading them when the voter starts. The log starts after the newest
 * snapshot; a segment that begins with `resetTo` says so. A process may end between any two file operations, so a snapshot may also be
 * found beside the log that it was to replace, which is then shorter or ends differently.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as path from "node:path";
import { z } from "zod";
import { type FileOperations, makeFolders, replaceFile } from "./files.js";
import { type Entry, entrySchema, type Identity, identitySchema, type Snapshot, snapshotSchema } from "./messages.js";
import { CorruptionError, decodeSegment } from "./segment.js";
import type { DiskImage } from "./state.js";

const identityName = "identity.json";
/** What is wrong with a record is told for its first entries. */
const maxReasonChars = 500;
export const segmentPattern = /^log-(\d{12})\.seg$/;
export const snapshotPattern = /^snapshot-(\d{16})\.snap$/;
export const unfinishedSnapshotPattern = /^snapshot-\d{16}\.snap\.tmp$/;

export function segmentName(number: number): string {
    return `log-${String(number).padStart(12, "0")}.seg`;
}

export function snapshotName(index: number): string {
    return `snapshot-${String(index).padStart(16, "0")}.snap`;
}

const voteSchema = z.strictObject({ term: z.number().int(), votedFor: z.string().optional() });
type Vote = z.infer<typeof voteSchema>;

export function voteOf({ term, votedFor }: { readonly term: number; readonly votedFor: string | undefined }): Vote {
    return votedFor === undefined ? { term } : { term, votedFor };
}

/** One write: each part replaces the log from the part's first index on. */
const recordSchema = z.strictObject({
    /** Invalidates everything before this record; the log starts after the snapshot at index `resetTo`. */
    resetTo: z.number().int().optional(),
    vote: voteSchema.optional(),
    /** Entries up to this index are committed. */
    commitIndex: z.number().int().optional(),
    parts: z.array(z.array(entrySchema)),
});
export type LogRecord = z.infer<typeof recordSchema>;

/** Thrown when the data folder belongs to another voter than the one in the settings. */
export class ForeignFolderError extends Error {
    override name = "ForeignFolderError";
}

/** What a data folder holds. */
export interface FolderContent {
    readonly identity: Identity;
    readonly image: DiskImage;
    /** Bytes truncated from the end of the log: a write that a crash interrupted. */
    readonly tornBytes: number;
    readonly nextSegment: number;
    readonly newestSegment: string | undefined;
    /** Whether the log on disk starts after the snapshot; otherwise it has to be reset before anything is written. */
    readonly isLogReset: boolean;
}

function parseJson<Output>(schema: z.ZodType<Output>, bytes: Buffer, file: string, offsetBytes: number): Output {
    try {
        return schema.parse(JSON.parse(bytes.toString("utf8")));
    }
    catch (error) {
        throw new CorruptionError(file, offsetBytes, `unexpected content: ${(error as Error).message.slice(0, maxReasonChars)}`);
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

/**
 * Replaces the tail of `entries`, from the first index of `part` on, by `part`. Entries may be missing before `part` if the snapshot up to
 * `snapshotIndex` covers them.
 */
function replaceTail(entries: Entry[], part: readonly Entry[], snapshotIndex: number, file: string): void {
    const first = part[0];
    if (first === undefined) {
        return;
    }
    const position = entries.length === 0 ? 0 : first.index - entries[0]!.index;
    const isGapCovered = position > entries.length && first.index <= snapshotIndex + 1;
    if (position < 0 || (position > entries.length && !isGapCovered)) {
        throw new CorruptionError(file, 0, `entry ${first.index} does not follow the log`);
    }
    entries.length = isGapCovered ? 0 : position;
    // One by one: a call can't have as many arguments as a part can have entries.
    part.forEach(entry => entries.push(entry));
}

/**
 * Returns the entries that follow the snapshot. Terms never decrease in a log, so entries of an earlier term than the snapshot's are the
 * remains of a log that the snapshot was to replace when the process ended.
 */
function entriesAfter(snapshot: Snapshot | undefined, entries: readonly Entry[]): readonly Entry[] {
    const after = entries.filter(entry => entry.index > (snapshot?.index ?? 0));
    return snapshot !== undefined && after.length > 0 && after[0]!.term < snapshot.term ? [] : after;
}

/** Opens the folder, creating it if necessary. Truncates a torn write at the end and rejects a damaged log. */
export async function openFolder(files: FileOperations, folder: string, voterId: string): Promise<FolderContent> {
    await makeFolders(files, folder);
    const names = await files.list(folder);
    const segments = names.filter(name => segmentPattern.test(name)).sort();
    const snapshot = await readSnapshot(files, folder, names);
    const identity = await openIdentity(files, folder, voterId, segments.length > 0 || snapshot !== undefined);
    let vote: Vote = { term: 0 };
    let commitIndex = 0;
    const entries: Entry[] = [];
    const base = snapshot?.index ?? 0;
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
            record.parts.forEach(part => replaceTail(entries, part, base, file));
        }
    }
    const after = entriesAfter(snapshot, entries);
    if (after.length > 0 && after[0]!.index !== base + 1) {
        throw new CorruptionError(path.join(folder, segments.at(-1)!), 0, `entries ${base + 1} to ${after[0]!.index - 1} are missing`);
    }
    const image: DiskImage = { term: vote.term, votedFor: vote.votedFor, snapshot, entries: after, commitIndex };
    const nextSegment = segments.length === 0 ? 1 : Number(segmentPattern.exec(segments.at(-1)!)![1]) + 1;
    const isLogReset = snapshot === undefined || liveSegments[0]?.records[0]?.resetTo === base;
    return { identity, image, tornBytes, nextSegment, newestSegment: segments.at(-1), isLogReset };
}
