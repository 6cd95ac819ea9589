/**
 * The file operations that the storage needs, as an interface, so that tests can simulate a full or slow disk, and a process that ends
 * after any of them.
 *
 * @module
 */

import * as fs from "node:fs/promises";
import * as path from "node:path";

/** A file opened for appending. */
export interface OpenFile {
    append(bytes: Uint8Array): Promise<void>;
    /** Resolves once everything written is on disk. */
    sync(): Promise<void>;
    truncate(sizeBytes: number): Promise<void>;
    close(): Promise<void>;
}

export interface FileOperations {
    /** Creates a folder in an existing one. */
    makeFolder(folder: string): Promise<"made" | "exists" | "no-parent">;
    list(folder: string): Promise<string[]>;
    /** Returns the content; undefined when the file does not exist. */
    read(file: string): Promise<Buffer | undefined>;
    openForAppend(file: string): Promise<OpenFile>;
    rename(from: string, to: string): Promise<void>;
    remove(file: string): Promise<void>;
    /** Makes creations, renames and removals in a folder durable. */
    syncFolder(folder: string): Promise<void>;
}

function hasCode(error: unknown, ...codes: readonly string[]): boolean {
    return error instanceof Error && "code" in error && codes.includes(error.code as string);
}

async function appendAll(handle: fs.FileHandle, bytes: Uint8Array): Promise<void> {
    let writtenBytes = 0;
    while (writtenBytes < bytes.byteLength) {
        const { bytesWritten } = await handle.write(bytes, writtenBytes, bytes.byteLength - writtenBytes);
        writtenBytes += bytesWritten;
    }
}

/** The operations on the real disk. */
export const diskOperations: FileOperations = {
    async makeFolder(folder) {
        try {
            await fs.mkdir(folder);
            return "made";
        }
        catch (error) {
            if (hasCode(error, "EEXIST")) {
                return "exists";
            }
            if (hasCode(error, "ENOENT")) {
                return "no-parent";
            }
            throw error;
        }
    },
    list: folder => fs.readdir(folder),
    async read(file) {
        try {
            return await fs.readFile(file);
        }
        catch (error) {
            if (hasCode(error, "ENOENT")) {
                return undefined;
            }
            throw error;
        }
    },
    async openForAppend(file) {
        const handle = await fs.open(file, "a");
        return {
            append: bytes => appendAll(handle, bytes),
            sync: () => handle.datasync(),
            truncate: sizeBytes => handle.truncate(sizeBytes),
            close: () => handle.close(),
        };
    },
    rename: (from, to) => fs.rename(from, to),
    remove: file => fs.rm(file, { force: true }),
    async syncFolder(folder) {
        const handle = await fs.open(folder, "r");
        try {
            await handle.sync();
        }
        finally {
            await handle.close();
        }
    },
};

/** Makes the entry of a folder in its parent durable. A folder whose parent this process may not read was made by somebody else. */
async function syncEntryOf(files: FileOperations, folder: string): Promise<void> {
    try {
        await files.syncFolder(path.dirname(folder));
    }
    catch (error) {
        if (!hasCode(error, "EACCES", "EPERM")) {
            throw error;
        }
    }
}

/**
 * Creates a folder and its parents durably. Each is made only once its parent is durable, so if a process ends in between, only the
 * innermost existing one may not be.
 */
export async function makeFolders(files: FileOperations, folder: string): Promise<void> {
    const outcome = await files.makeFolder(folder);
    if (outcome === "no-parent") {
        await makeFolders(files, path.dirname(folder));
        return makeFolders(files, folder);
    }
    if (outcome === "made") {
        await syncEntryOf(files, path.dirname(folder));
    }
    await syncEntryOf(files, folder);
}

/** Replaces a file atomically: after a crash it has either the old content or the new one. */
export async function replaceFile(files: FileOperations, file: string, bytes: Uint8Array): Promise<void> {
    const temporary = `${file}.tmp`;
    await files.remove(temporary);
    const handle = await files.openForAppend(temporary);
    try {
        await handle.append(bytes);
        await handle.sync();
    }
    finally {
        await handle.close();
    }
    await files.rename(temporary, file);
    await files.syncFolder(path.dirname(file));
}
