/**
 * The voter's data folder: the identity of its disk, its snapshot and its log. Writes requested while another is in progress are
 * batched into one record and one sync. A write is reported as synced only once it is on disk. A failed write is kept and retried.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import * as path from "node:path";
import { entryBytes } from "./entries.js";
import { type FileOperations, type OpenFile, diskOperations, replaceFile } from "./files.js";
import {
    type FolderContent, type LogRecord, openFolder, segmentName, segmentPattern, snapshotName, snapshotPattern,
    unfinishedSnapshotPattern, voteOf,
} from "./folder.js";
import type { Entry, Identity } from "./messages.js";
import { encodeRecord } from "./segment.js";
import { type DiskImage, emptyDisk, type PersistEffect } from "./state.js";

/** How the storage reports the results of writes. */
export interface StorageCallbacks {
    /**
     * Every write up to `syncId` is on disk; 0 stands for what was read from the folder. `snapshotBytes`: the size of the snapshot among
     * the writes, if any.
     */
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
        start: ({ synced }) => synced(0),
        persist() {
            throw new Error("there is no data folder to write to");
        },
        close: async () => undefined,
    };
}

const defaultSegmentBytes = 8 * 1024 * 1024;
const defaultRetryMs = 500;
/** Maximum size of the entries written as one record; those of one effect are written together whatever their size. */
const maxBatchBytes = 1024 * 1024;

/** Opens the folder, creating it if necessary. Truncates a torn write at the end and rejects a damaged log. */
export async function openStorage(options: StorageOptions): Promise<Storage> {
    const files = options.files ?? diskOperations;
    return createWriter({ ...options, files, ...await openFolder(files, options.folder, options.voterId) });
}

/** Returns the first effects that are written as one batch: up to the next snapshot, or that snapshot alone if it comes first. */
function nextBatch(queue: readonly PersistEffect[]): PersistEffect[] {
    let bytes = 0;
    const endPosition = queue.findIndex(({ snapshot, entries = [] }, position) => {
        bytes += entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
        return position > 0 && (snapshot !== undefined || bytes > maxBatchBytes);
    });
    const isSnapshot = queue[0]!.snapshot !== undefined;
    // A copy: writes requested while this batch is written are not part of it and must not be reported with it.
    return queue.slice(0, isSnapshot ? 1 : endPosition < 0 ? queue.length : endPosition);
}

interface WriterOptions extends StorageOptions, FolderContent {
    readonly files: FileOperations;
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
    let { nextSegment, isLogReset } = options;
    let { commitIndex } = options.image;
    let vote = voteOf(options.image);
    let isSettled = false;
    let writing: Promise<void> | undefined;
    let closed = false;
    let endRetryDelay: (() => void) | undefined;

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
        const file = path.join(folder, segmentName(nextSegment));
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

    /** Begins the log anew after a snapshot that is on disk, and removes what both replace. */
    async function resetLog(index: number, after: readonly Entry[]): Promise<void> {
        const current = nextSegment;
        await beginSegment({ resetTo: index, vote, commitIndex, parts: [[...after]] });
        for (const old of await files.list(folder)) {
            const number = Number(segmentPattern.exec(old)?.[1] ?? current);
            const isOldSnapshot = snapshotPattern.test(old) && old < snapshotName(index);
            if (number < current || isOldSnapshot || unfinishedSnapshotPattern.test(old)) {
                await files.remove(path.join(folder, old));
            }
        }
        await files.syncFolder(folder);
    }

    async function writeSnapshot({ snapshot, after }: NonNullable<PersistEffect["snapshot"]>): Promise<number> {
        const bytes = encodeRecord(Buffer.from(JSON.stringify(snapshot)));
        await replaceFile(files, path.join(folder, snapshotName(snapshot.index)), bytes);
        await resetLog(snapshot.index, after);
        return bytes.byteLength;
    }

    /**
     * Makes durable what was read from the folder: the process before this one may have ended between a write and its sync, and a loss of
     * power would still take that write back.
     */
    async function settle(): Promise<void> {
        await files.syncFolder(folder);
        if (!isLogReset) {
            await resetLog(options.image.snapshot?.index ?? 0, options.image.entries);
        }
        else if (options.newestSegment !== undefined) {
            // A failed sync may have dropped the written pages, so the next attempt writes the log anew.
            isLogReset = false;
            const newest = await files.openForAppend(path.join(folder, options.newestSegment));
            try {
                await newest.sync();
            }
            finally {
                await newest.close();
            }
        }
        isLogReset = true;
        isSettled = true;
        callbacks!.synced(0);
    }

    async function writeBatch(): Promise<void> {
        const batch = nextBatch(queue);
        const newestVote = batch.findLast(effect => effect.vote !== undefined)?.vote;
        if (newestVote !== undefined) {
            vote = voteOf(newestVote);
        }
        const newestCommitIndex = batch.findLast(effect => effect.commitIndex !== undefined)?.commitIndex;
        commitIndex = newestCommitIndex ?? commitIndex;
        const firstEffect = batch[0]!;
        let snapshotBytes: number | undefined;
        if (firstEffect.snapshot === undefined) {
            const parts = batch.flatMap(effect => effect.entries === undefined ? [] : [[...effect.entries]]);
            const votePart = newestVote === undefined ? {} : { vote };
            await writeRecord({ ...votePart, ...newestCommitIndex === undefined ? {} : { commitIndex }, parts });
        }
        else {
            snapshotBytes = await writeSnapshot(firstEffect.snapshot);
        }
        queue = queue.slice(batch.length);
        callbacks!.synced(batch.at(-1)!.syncId, snapshotBytes);
    }

    async function writeAll(): Promise<void> {
        while ((!isSettled || queue.length > 0) && !closed) {
            try {
                await (isSettled ? writeBatch() : settle());
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
        if (writing !== undefined || callbacks === undefined || (isSettled && queue.length === 0) || closed) {
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
