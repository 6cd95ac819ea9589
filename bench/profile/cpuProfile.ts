/**
 * Summarises a V8 CPU profile: processor time by function and by part of the program, and the longest stretches without idling.
 *
 * @module
 */

import { z } from "zod";

export const cpuProfileSchema = z.object({
    nodes: z.array(z.object({
        id: z.number(),
        callFrame: z.object({ functionName: z.string(), url: z.string(), lineNumber: z.number() }),
    })),
    startTime: z.number(),
    endTime: z.number(),
    /** The node that ran at each sample, and the time since the sample before, in microseconds. */
    samples: z.array(z.number()),
    timeDeltas: z.array(z.number()),
});
export type CpuProfile = z.infer<typeof cpuProfileSchema>;

export interface ProfileShare {
    readonly name: string;
    readonly ms: number;
}

export interface ProfileSummary {
    readonly durationMs: number;
    /** Processor time, without idling. */
    readonly busyMs: number;
    /** Self time by function, largest first. */
    readonly functions: readonly ProfileShare[];
    /** Self time by part of the program, largest first. */
    readonly parts: readonly ProfileShare[];
    /** The longest stretches between two idle samples, longest first: for so long the event loop took nothing new. */
    readonly longestBusyMs: readonly number[];
}

const usPerMs = 1_000;
const idleFunctions = new Set(["(idle)", "(program)"]);
const longestCount = 5;

type CallFrame = CpuProfile["nodes"][number]["callFrame"];

/** Returns the part of the program to which a function belongs: a folder of the project, a package, or the runtime. */
export function partOf({ functionName, url }: CallFrame): string {
    const packageName = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(url)?.[1];
    if (packageName !== undefined) {
        return packageName;
    }
    if (url.startsWith("node:")) {
        return "node.js";
    }
    const folder = /dist\/((?:src\/)?[^/]+)\//.exec(url)?.[1];
    return folder ?? (functionName === "(garbage collector)" ? functionName : "runtime");
}

function nameOf({ functionName, url, lineNumber }: CallFrame): string {
    const place = url === "" ? "" : ` ${url.split("/").slice(-2).join("/")}:${lineNumber + 1}`;
    return `${functionName || "(anonymous)"}${place}`;
}

function toShares(times: ReadonlyMap<string, number>): ProfileShare[] {
    return [...times].map(([name, us]) => ({ name, ms: us / usPerMs })).sort((a, b) => b.ms - a.ms);
}

/** A part of a profile, in ms since its start. */
export interface ProfileWindow {
    readonly fromMs: number;
    readonly toMs: number;
}

/** Summarises the part of a profile in a window. */
export function summarizeProfile(profile: CpuProfile, { fromMs, toMs }: ProfileWindow): ProfileSummary {
    const frames = new Map(profile.nodes.map(({ id, callFrame }) => [id, callFrame]));
    const byFunction = new Map<string, number>();
    const byPart = new Map<string, number>();
    const busyStretches: number[] = [];
    let busyUs = 0;
    let atUs = 0;
    let stretchUs = 0;
    for (const [index, nodeId] of profile.samples.entries()) {
        const frame = frames.get(nodeId)!;
        // A sample's node has run until the next sample.
        const us = profile.timeDeltas[index + 1] ?? 0;
        atUs += profile.timeDeltas[index]!;
        if (atUs < fromMs * usPerMs || atUs > toMs * usPerMs) {
            continue;
        }
        if (idleFunctions.has(frame.functionName)) {
            busyStretches.push(stretchUs / usPerMs);
            stretchUs = 0;
            continue;
        }
        busyUs += us;
        stretchUs += us;
        byFunction.set(nameOf(frame), (byFunction.get(nameOf(frame)) ?? 0) + us);
        byPart.set(partOf(frame), (byPart.get(partOf(frame)) ?? 0) + us);
    }
    busyStretches.push(stretchUs / usPerMs);
    return {
        durationMs: Math.min(toMs, (profile.endTime - profile.startTime) / usPerMs) - fromMs,
        busyMs: busyUs / usPerMs,
        functions: toShares(byFunction),
        parts: toShares(byPart),
        longestBusyMs: busyStretches.sort((a, b) => b - a).slice(0, longestCount),
    };
}
