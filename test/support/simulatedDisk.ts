/**
 * A disk in memory that a process uses through `FileOperations`, and that can end the process after any one of them. What has not been
 * synced survives the end of the process, but not a loss of power.
 *
 * @module
 */

import * as path from "node:path";
import type { FileOperations, OpenFile } from "../../src/consensus/files.js";

interface SimulatedFile {
    bytes: Buffer;
    syncedBytes: Buffer;
}

interface SimulatedFolder {
    /** Whether its own entry in its parent is synced. */
    isSynced: boolean;
    names: Map<string, SimulatedFile>;
    syncedNames: Map<string, SimulatedFile>;
}

/** When a process ends: after its operation number `afterOperations`; if `isTorn`, with half of the bytes that it appends written. */
export interface EndPoint {
    readonly afterOperations: number;
    readonly isTorn: boolean;
}

/** What a loss of power leaves of what was not synced: nothing, or the folders' entries but not the files' content. */
export type PowerLoss = "nothing" | "entries";

export interface SimulatedDisk {
    /** The operations of a new process; `onEnded` is called when it ends. Operations of an ended process never complete. */
    startProcess(endPoint?: EndPoint, onEnded?: () => void): FileOperations;
    /** Every point at which the newest process could have ended. */
    readonly endPoints: readonly EndPoint[];
    losePower(kept: PowerLoss): void;
}

export function createSimulatedDisk(): SimulatedDisk {
    const folders = new Map<string, SimulatedFolder>([[path.sep, { isSynced: true, names: new Map(), syncedNames: new Map() }]]);
    let endPoints: EndPoint[] = [];

    function folderOf(file: string): SimulatedFolder {
        const folder = folders.get(path.dirname(file));
        if (folder === undefined) {
            throw Object.assign(new Error(`${file}: its folder is missing`), { code: "ENOENT" });
        }
        return folder;
    }

    function childrenOf(folder: string): SimulatedFolder[] {
        return [...folders].filter(([name]) => name !== folder && path.dirname(name) === folder).map(([, child]) => child);
    }

    /** Whether a folder and all of its parents are synced. */
    function isReachable(folder: string): boolean {
        return folders.get(folder)?.isSynced === true && (folder === path.sep || isReachable(path.dirname(folder)));
    }

    function startProcess(endPoint?: EndPoint, onEnded?: () => void): FileOperations {
        const possibleEnds: EndPoint[] = [];
        endPoints = possibleEnds;
        let operationCount = 0;
        let isEnded = false;

        /** Performs one operation, or `torn` in its place if the process ends in the middle of it. */
        async function perform<Result>(operation: () => Result, torn?: () => Result): Promise<Result> {
            if (isEnded) {
                return new Promise<never>(() => undefined);
            }
            operationCount++;
            possibleEnds.push({ afterOperations: operationCount, isTorn: false });
            if (torn !== undefined) {
                possibleEnds.push({ afterOperations: operationCount, isTorn: true });
            }
            isEnded = operationCount === endPoint?.afterOperations;
            const result = isEnded && endPoint!.isTorn ? torn!() : operation();
            if (isEnded) {
                onEnded?.();
                return new Promise<never>(() => undefined);
            }
            return result;
        }

        function open(file: SimulatedFile): OpenFile {
            const append = (bytes: Uint8Array) => void (file.bytes = Buffer.concat([file.bytes, bytes]));
            return {
                append: bytes => perform(() => append(bytes), () => append(bytes.subarray(0, bytes.byteLength / 2))),
                sync: () => perform(() => void (file.syncedBytes = file.bytes)),
                truncate: sizeBytes => perform(() => void (file.bytes = file.bytes.subarray(0, sizeBytes))),
                close: () => perform(() => undefined),
            };
        }

        return {
            makeFolder: folder => perform(() => {
                if (!folders.has(path.dirname(folder))) {
                    return "no-parent";
                }
                if (folders.has(folder)) {
                    return "exists";
                }
                folders.set(folder, { isSynced: false, names: new Map(), syncedNames: new Map() });
                return "made";
            }),
            list: folder => perform(() => [...folderOf(path.join(folder, "x")).names.keys()].sort()),
            read: file => perform(() => folderOf(file).names.get(path.basename(file))?.bytes),
            openForAppend: file => perform(() => {
                const { names } = folderOf(file);
                const opened = names.get(path.basename(file)) ?? { bytes: Buffer.alloc(0), syncedBytes: Buffer.alloc(0) };
                names.set(path.basename(file), opened);
                return open(opened);
            }),
            rename: (from, to) => perform(() => {
                const { names } = folderOf(from);
                folderOf(to).names.set(path.basename(to), names.get(path.basename(from))!);
                names.delete(path.basename(from));
            }),
            remove: file => perform(() => void folderOf(file).names.delete(path.basename(file))),
            syncFolder: folder => perform(() => {
                const synced = folderOf(path.join(folder, "x"));
                synced.syncedNames = new Map(synced.names);
                childrenOf(folder).forEach(child => void (child.isSynced = true));
            }),
        };
    }

    return {
        startProcess,
        get endPoints() {
            return endPoints;
        },
        losePower(kept) {
            if (kept === "nothing") {
                const lost = [...folders.keys()].filter(name => !isReachable(name));
                lost.forEach(name => folders.delete(name));
            }
            for (const folder of folders.values()) {
                folder.names = new Map(kept === "entries" ? folder.names : folder.syncedNames);
                folder.syncedNames = new Map(folder.names);
                folder.names.forEach(file => void (file.bytes = file.syncedBytes));
            }
        },
    };
}
