/**
 * What the logs of several daemons say of one request: its own lines in order, and the lines about the upstreams that it was sent to, and
 * about other members of their groups, from shortly before it came until shortly after its end. Clocks of daemons differ a little, so the
 * order between daemons is a hint.
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

export interface RequestStory {
    readonly own: readonly LogLine[];
    /** Lines about the upstreams that it was sent to and the members of their groups. */
    readonly around: readonly LogLine[];
    /** What became of it, in a sentence. */
    readonly verdict: string;
}

const endMessage = "request ended";
const earlyMessage = "request refused";
/** A lost member is noticed within half a second and its group repaired within some more: what explains a request is as near. */
const beforeMs = 3_000;
const afterMs = 1_000;

/** The log lines in a text; what is no log line is left out, as is what a collector has put before one. */
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
            // Another program's line, or one that is being written.
            return [];
        }
    });
}

function atMs(line: LogLine): number {
    return Date.parse(line.timestamp);
}

function verdictOf(own: readonly LogLine[]): string {
    const early = own.find(line => line.message === earlyMessage);
    if (early !== undefined) {
        return `refused with ${String(early.status)} before an upstream was chosen: ${String(early.reason)}`;
    }
    const ended = own.findLast(line => line.message === endMessage);
    const end = endSchema.safeParse(ended);
    if (!end.success) {
        return "no end of it is in these files: its daemon was ended, or a file is missing";
    }
    const { outcome, tookMs, attempts, firstMs, reason, status } = end.data;
    const first = firstMs === undefined ? "" : `, the first event after ${firstMs} ms`;
    const why = reason !== undefined ? `: ${reason}` : status === undefined ? "" : ` with status ${status}`;
    return `${outcome} after ${tookMs} ms and ${attempts} attempts${first}${why}`;
}

function idsIn(line: LogLine): string[] {
    return [...line.upstream === undefined ? [] : [line.upstream], ...line.memberIds ?? []];
}

/** Puts together what `lines` say of a request; undefined where they don't name it. */
export function storyOf(requestId: string, lines: readonly LogLine[]): RequestStory | undefined {
    const sorted = [...lines].sort((a, b) => atMs(a) - atMs(b));
    const own = sorted.filter(line => line.request === requestId);
    if (own.length === 0) {
        return undefined;
    }
    const upstreams = new Set(own.flatMap(line => line.upstream ?? []));
    const tookMs = Math.max(0, ...own.map(line => typeof line.tookMs === "number" ? line.tookMs : 0));
    const [fromMs, untilMs] = [atMs(own[0]!) - tookMs - beforeMs, atMs(own.at(-1)!) + afterMs];
    const near = sorted.filter(line => line.request === undefined && atMs(line) >= fromMs && atMs(line) <= untilMs);
    const concerned = new Set([...upstreams, ...near.filter(line => idsIn(line).some(id => upstreams.has(id))).flatMap(idsIn)]);
    const around = near.filter(line => idsIn(line).some(id => concerned.has(id)));
    return { own, around, verdict: verdictOf(own) };
}

const shownElsewhere = new Set(["daemonId", "message", "timestamp", "level", "request"]);

/** A line as a row of a table: when, who, what, and the facts that decided it. */
export function rowOf(line: LogLine): [string, string, string, string] {
    const facts = Object.entries(line)
        .filter(([name, value]) => !shownElsewhere.has(name) && value !== undefined)
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return [line.timestamp.slice("2026-01-01T".length), line.daemonId, line.message, facts.join(" ")];
}
