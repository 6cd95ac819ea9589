/**
 * Remembers the last known upstreams in a file, so that a control daemon that restarts can ask them at once instead of waiting for their
 * heartbeats. The file is a hint and never read as truth: what it names counts only after it has answered.
 *
 * @module
 */

import * as path from "node:path";
import { z } from "zod";
import { type FileOperations, replaceFile } from "../consensus/index.js";
import { decodeItems } from "../feed/index.js";
import { announcementSchema, type DirectoryState, type Upstream } from "../fleet/index.js";
import type { Logger } from "../telemetry/index.js";

const { id, service, address, dataCentre, bornMs, sequence, state, slots, domain } = announcementSchema.shape;

const hintSchema = z.strictObject({
    id, service, address, dataCentre, bornMs, sequence, state, slots, domain,
    /** When the upstream stops being cold, as Unix time in ms; 0 if it was not cold. */
    coldUntilUnixMs: z.number(),
});

/** An upstream as it was last known. */
export type UpstreamHint = z.infer<typeof hintSchema>;

/** More upstreams than a site is designed for. Those beyond are not remembered. */
const maxHints = 20_000;
/** A larger file was not written by this daemon. */
const maxFileBytes = 16 * 1024 * 1024;
const formatVersion = 1;

const hintsSchema = z.strictObject({
    format: z.literal(formatVersion),
    /** The data centres that were evacuated. The log on disk may not yet record the latest evacuation as committed. */
    evacuated: z.array(z.string()),
    /** Decoded one by one, so that an odd one doesn't make the others unusable. */
    upstreams: z.array(z.unknown()).max(maxHints),
});

export interface UpstreamHints {
    readonly evacuated: readonly string[];
    readonly upstreams: readonly UpstreamHint[];
}

export const noHints: UpstreamHints = { evacuated: [], upstreams: [] };

const fileName = "upstreams.json";
const minWriteIntervalMs = 2_000;
/** A drain or departure is acknowledged to the upstream, so a restart must not undo it. Bounds the writes when many drain together. */
const minUrgentWriteIntervalMs = 100;
/** Urgent writes may take this part of the time, since the replicated log uses the same disk. */
const maxUrgentShare = 0.1;
const retryDelayMs = 10_000;

/** Reads the file. Upstreams that can't be read are left out; no hints if there is no file or it can't be read. What is odd is logged. */
export async function readHints(files: FileOperations, folder: string, logger: Logger): Promise<UpstreamHints> {
    try {
        const bytes = await files.read(path.join(folder, fileName));
        if (bytes === undefined) {
            return noHints;
        }
        if (bytes.byteLength > maxFileBytes) {
            throw new RangeError(`the file has ${bytes.byteLength} bytes`);
        }
        const { evacuated, upstreams } = hintsSchema.parse(JSON.parse(bytes.toString("utf8")));
        const { items, refused } = decodeItems(hintSchema, upstreams);
        if (refused.length > 0) {
            logger.warn("some remembered upstreams cannot be read", { count: refused.length, ...refused[0] });
        }
        return { evacuated, upstreams: items };
    }
    catch (error) {
        logger.warn("remembered upstreams cannot be read", { error: (error as Error).message.slice(0, 200) });
        return noHints;
    }
}

/** Converts an upstream to a hint. `nowMs` and `nowUnixMs` are the same moment on this process's clock and on the wall clock. */
export function toHint(upstream: Upstream, nowMs: number, nowUnixMs: number): UpstreamHint {
    const { coldUntilMs } = upstream;
    return {
        id: upstream.id, service: upstream.service, address: upstream.address, dataCentre: upstream.dataCentre, bornMs: upstream.bornMs,
        sequence: upstream.sequence, state: upstream.state, slots: upstream.slots, domain: upstream.domain,
        coldUntilUnixMs: coldUntilMs > nowMs ? Math.ceil(nowUnixMs + coldUntilMs - nowMs) : 0,
    };
}

export interface HintWriterOptions {
    readonly files: FileOperations;
    readonly folder: string;
    readonly logger: Logger;
    readonly upstreams: DirectoryState;
    evacuated(): readonly string[];
    /** Hints of the previous process whose upstreams have not become known yet: a second crash soon after the start must not lose them. */
    carriedHints(): readonly UpstreamHint[];
    nowMs(): number;
    nowUnixMs(): number;
}

export interface HintWriter {
    /** Records that upstreams have changed. The file is written only if an incarnation came or went or began to drain. */
    upstreamsChanged(changed: readonly Upstream[]): void;
    evacuationChanged(): void;
    stop(): void;
}

/** Creates a writer that has written nothing yet. A failed write costs one log line and is repeated later. */
export function createHintWriter(options: HintWriterOptions): HintWriter {
    const { files, folder, logger, upstreams, nowMs } = options;
    /** What the file last requested to be written says about each upstream. */
    const rememberedKeys = new Map<string, string>();
    let lastWriteAtMs = Number.NEGATIVE_INFINITY;
    let writeAtMs = Number.POSITIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    let isWriting = false;
    let lastWriteTookMs = 0;
    let hasFailed = false;
    let isStopped = false;

    function schedule(atMs: number) {
        // A write that is overdue by the clock has a timer that is late, as after the VM was suspended.
        const isScheduled = atMs >= writeAtMs && writeAtMs > nowMs();
        if (isStopped || isScheduled) {
            return;
        }
        writeAtMs = atMs;
        if (!isWriting) {
            startTimer();
        }
    }

    function startTimer() {
        clearTimeout(timer);
        timer = setTimeout(() => void write(), Math.max(0, writeAtMs - nowMs()));
        timer.unref();
    }

    function encode(): Buffer {
        const [atMs, atUnixMs] = [nowMs(), options.nowUnixMs()];
        const present = [...upstreams.values()].filter(upstream => !upstream.isGone).map(upstream => toHint(upstream, atMs, atUnixMs));
        const hints = [...present, ...options.carriedHints()].slice(0, maxHints);
        return Buffer.from(JSON.stringify({ format: formatVersion, evacuated: options.evacuated(), upstreams: hints }));
    }

    async function write() {
        isWriting = true;
        writeAtMs = Number.POSITIVE_INFINITY;
        lastWriteAtMs = nowMs();
        try {
            await replaceFile(files, path.join(folder, fileName), encode());
            hasFailed = false;
        }
        catch (error) {
            if (!hasFailed) {
                logger.warn("upstreams cannot be remembered", { error: (error as Error).message });
            }
            hasFailed = true;
            schedule(nowMs() + retryDelayMs);
        }
        isWriting = false;
        lastWriteTookMs = nowMs() - lastWriteAtMs;
        if (writeAtMs !== Number.POSITIVE_INFINITY) {
            startTimer();
        }
    }

    function requestWrite(isUrgent: boolean) {
        const urgentIntervalMs = Math.max(minUrgentWriteIntervalMs, lastWriteTookMs / maxUrgentShare);
        const intervalMs = hasFailed ? retryDelayMs : isUrgent ? Math.min(urgentIntervalMs, minWriteIntervalMs) : minWriteIntervalMs;
        schedule(Math.max(nowMs(), lastWriteAtMs + intervalMs));
    }

    return {
        upstreamsChanged(changed) {
            for (const upstream of changed) {
                const isLeaving = upstream.isGone || upstream.state === "draining";
                const key = upstream.isGone ? undefined : `${upstream.bornMs} ${upstream.state} ${upstream.address}`;
                if (rememberedKeys.get(upstream.id) === key) {
                    continue;
                }
                if (key === undefined) {
                    rememberedKeys.delete(upstream.id);
                }
                else {
                    rememberedKeys.set(upstream.id, key);
                }
                requestWrite(isLeaving);
            }
        },
        evacuationChanged: () => requestWrite(true),
        stop() {
            isStopped = true;
            clearTimeout(timer);
        },
    };
}
