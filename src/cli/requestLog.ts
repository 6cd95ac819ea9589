/**
 * Explains one request from the logs of several daemons: collects its own lines in order, and the lines about the upstreams that it was
 * sent to and about other members of their groups, from shortly before its arrival until shortly after its end. The clocks of daemons
 * differ slightly, so the order of lines from different daemons is approximate.
 *
 * @module
 */

import { z } from "zod";

const logLineSchema = z.looseObject({
    daemonId: z.string(),
    message: z.string(),
    timestamp: z.string(),
    request: z.string().optional(),
    upstream: z.string().optional(),
    memberIds: z.array(z.string()).optional(),
});
export type LogLine = z.infer<typeof logLineSchema>;

const endSchema = z.looseObject({
    outcome: z.string(), tookMs: z.number(), attempts: z.number(), firstMs: z.number().optional(), reason: z.string().optional(),
    status: z.number().optional(),
});

export interface RequestExplanation {
    readonly own: readonly LogLine[];
    /** Lines about the upstreams that the request was sent to and about the members of their groups. */
    readonly around: readonly LogLine[];
    /** The outcome of the request in one sentence. */
    readonly verdict: string;
}

const endedMessage = "request ended";
const refusedMessage = "request refused";
/** A lost member is detected within half a second and its group repaired soon after, so the lines that explain a request are near it. */
const contextBeforeMs = 3_000;
const contextAfterMs = 1_000;

/** Parses the log lines in a text; skips other lines, and any prefix that a log collector has added. */
export function readLogLines(text: string): LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        if (start < 0) {
            return [];
        }
        try {
            const parsed = logLineSchema.safeParse(JSON.parse(line.slice(start)));
            return parsed.success ? [parsed.data] : [];
        }
        catch {
            // A line of another program, or a line that is still being written.
            return [];
        }
    });
}

function timestampMs(line: LogLine): number {
    return Date.parse(line.timestamp);
}

function describeOutcome(own: readonly LogLine[]): string {
    const refusedLine = own.find(line => line.message === refusedMessage);
    if (refusedLine !== undefined) {
        return `refused with ${String(refusedLine.status)} before an upstream was chosen: ${String(refusedLine.reason)}`;
    }
    const endedLine = own.findLast(line => line.message === endedMessage);
    const end = endSchema.safeParse(endedLine);
    if (!end.success) {
        return "these files do not show how it ended: its daemon was killed, or a file is missing";
    }
    const { outcome, tookMs, attempts, firstMs, reason, status } = end.data;
    const firstEventText = firstMs === undefined ? "" : `, the first event after ${firstMs} ms`;
    const reasonText = reason !== undefined ? `: ${reason}` : status === undefined ? "" : ` with status ${status}`;
    return `${outcome} after ${tookMs} ms and ${attempts} attempts${firstEventText}${reasonText}`;
}

function upstreamIdsIn(line: LogLine): string[] {
    return [...line.upstream === undefined ? [] : [line.upstream], ...line.memberIds ?? []];
}

/** Collects the lines about a request and describes its outcome; returns `undefined` if no line names the request. */
export function explainRequest(requestId: string, lines: readonly LogLine[]): RequestExplanation | undefined {
    const sorted = [...lines].sort((a, b) => timestampMs(a) - timestampMs(b));
    const own = sorted.filter(line => line.request === requestId);
    if (own.length === 0) {
        return undefined;
    }
    const upstreams = new Set(own.flatMap(line => line.upstream ?? []));
    const tookMs = Math.max(0, ...own.map(line => typeof line.tookMs === "number" ? line.tookMs : 0));
    const [fromMs, untilMs] = [timestampMs(own[0]!) - tookMs - contextBeforeMs, timestampMs(own.at(-1)!) + contextAfterMs];
    const nearbyLines = sorted.filter(line => line.request === undefined && timestampMs(line) >= fromMs && timestampMs(line) <= untilMs);
    const relatedIds = new Set([
        ...upstreams, ...nearbyLines.filter(line => upstreamIdsIn(line).some(id => upstreams.has(id))).flatMap(upstreamIdsIn),
    ]);
    const around = nearbyLines.filter(line => upstreamIdsIn(line).some(id => relatedIds.has(id)));
    return { own, around, verdict: describeOutcome(own) };
}

const fieldsNotInFacts = new Set(["daemonId", "message", "timestamp", "level", "request"]);

/** Formats a log line as a table row: time, daemon, message, and all other fields. */
export function toTableRow(line: LogLine): [string, string, string, string] {
    const facts = Object.entries(line)
        .filter(([name, value]) => !fieldsNotInFacts.has(name) && value !== undefined)
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return [line.timestamp.slice("2026-01-01T".length), line.daemonId, line.message, facts.join(" ")];
}
