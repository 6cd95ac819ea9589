import { PassThrough } from "node:stream";
import type { FileOperations } from "../../src/consensus/index.js";
import type { Upstream } from "../../src/fleet/index.js";
import type { UpstreamHint } from "../../src/siteControl/upstreamHints.js";
import { createLogger, type Logger } from "../../src/telemetry/index.js";

export const createHint = (id: string, overrides: Partial<UpstreamHint> = {}): UpstreamHint => ({
    id, service: "pool", address: `${id}:1`, dataCentre: "a", bornMs: 5, sequence: 7, state: "ready", slots: 4, domain: "d",
    coldUntilUnixMs: 0, ...overrides,
});

export const createKnown = (id: string, overrides: Partial<Upstream> = {}): Upstream => ({
    id, service: "pool", address: `${id}:1`, dataCentre: "a", bornMs: 5, sequence: 7, state: "ready", slots: 4, domain: "d",
    coldForMs: 0, stagedModels: [], heardAtMs: 0, coldUntilMs: 0, isGone: false, hasLeft: false, ...overrides,
});

/** A logger whose lines are collected. */
export function createLineLogger(): { readonly logger: Logger; readonly lines: string[] } {
    const lines: string[] = [];
    const output = new PassThrough();
    output.on("data", chunk => lines.push(...String(chunk).trim().split("\n").map(line => (JSON.parse(line) as { message: string }).message)));
    return { logger: createLogger("info", "test", output), lines };
}

/** Files in memory. While `isFull`, nothing can be written. */
export function createMemoryFiles() {
    const contents = new Map<string, Buffer>();
    const state = { isFull: false, writes: 0 };
    const files: FileOperations = {
        makeFolder: async () => "exists",
        list: async () => [...contents.keys()],
        read: async file => contents.get(file),
        async openForAppend(file) {
            return {
                async append(bytes) {
                    if (state.isFull) {
                        throw new Error("ENOSPC: no space left on device");
                    }
                    contents.set(file, Buffer.concat([contents.get(file) ?? Buffer.alloc(0), bytes]));
                },
                sync: async () => undefined, truncate: async () => undefined, close: async () => undefined,
            };
        },
        async rename(from, to) {
            contents.set(to, contents.get(from)!);
            contents.delete(from);
            state.writes++;
        },
        remove: async file => void contents.delete(file),
        syncFolder: async () => undefined,
    };
    return { files, contents, state };
}
