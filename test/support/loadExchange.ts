/** Entries that send to one group and exchange its load through a control leader, on a virtual clock. */

import { type Allowance, computeAllowance, initialAllowance } from "../../src/admission/index.js";
import { entryLoadsSchema, sharedLoadsSchema } from "../../src/feed/index.js";
import { createSharedLoads, type SharedLoadsView } from "../../src/gateway/sharedLoads.js";
import { createLoadTable } from "../../src/siteControl/loadTable.js";

export const stepMs = 10;
const answerDelayMs = 10;

export interface LoadExchangeOptions {
    readonly entries: number;
    readonly limit: number;
    /** Without the exchange every entry sees only its own requests, and may use all of the room that is left by them. */
    readonly hasExchange: boolean;
}

interface SimulatedEntry {
    own: number;
    sharedLoads: SharedLoadsView;
    allowance: Allowance;
    arrivals: number;
    reportAtMs: number;
    isCutOff: boolean;
}

/** Creates entries without requests that all report with different phases. */
export function createLoadExchange({ entries: count, limit, hasExchange }: LoadExchangeOptions) {
    let nowMs = 1_000;
    let leader = createLeader(0);
    let leaders = 1;
    const answers: { readonly atMs: number; apply(): void }[] = [];
    const entries = Array.from({ length: count }, (_, index) => createEntry(index));

    function createLeader(index: number) {
        return createLoadTable({ daemonId: `c${index}`, leads: () => true, nowMs: () => nowMs });
    }

    function createEntry(index: number): SimulatedEntry {
        const sharedLoads = createSharedLoads({ nowMs: () => nowMs, entries: () => count, logger: { info: () => undefined as never } });
        const reportAtMs = nowMs + index * 70 % 250;
        return { own: 0, sharedLoads, allowance: { state: initialAllowance, allowance: 0 }, arrivals: 0, reportAtMs, isCutOff: false };
    }

    function allowanceOf(entry: SimulatedEntry): number {
        const { sharedLoads, own } = entry;
        if (!hasExchange) {
            return limit - own;
        }
        entry.allowance = computeAllowance(entry.allowance.state, {
            viewNumber: sharedLoads.viewNumber, limit, others: sharedLoads.othersAt("h"), own,
            countedOwn: sharedLoads.countedOwnAt("h"), share: sharedLoads.shareOf("m"), ownAtModel: own,
        });
        return entry.allowance.allowance;
    }

    function report(index: number, entry: SimulatedEntry) {
        const isBusy = entry.own + (entry.sharedLoads.othersAt("h") ?? 0) > limit / 2;
        entry.reportAtMs = nowMs + (isBusy ? 100 : 250);
        if (entry.isCutOff) {
            return;
        }
        const sent = { running: { h: entry.own }, arrivals: { m: entry.arrivals } };
        entry.arrivals = 0;
        const bytes = leader.report(`e${index}`, entryLoadsSchema.parse(JSON.parse(JSON.stringify(sent))));
        if (bytes !== undefined) {
            const answer = sharedLoadsSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
            answers.push({ atMs: nowMs + answerDelayMs, apply: () => entry.sharedLoads.apply(answer) });
        }
    }

    return {
        entries,
        get total() {
            return entries.reduce((sum, { own }) => sum + own, 0);
        },
        /** Advances the clock by one step and exchanges what is due. */
        step() {
            nowMs += stepMs;
            while (answers[0] !== undefined && answers[0].atMs <= nowMs) {
                answers.shift()!.apply();
            }
            entries.forEach((entry, index) => nowMs >= entry.reportAtMs ? report(index, entry) : undefined);
        },
        /** A caller's request at an entry. Returns whether it was sent to the group. */
        request(index: number): boolean {
            const entry = entries[index]!;
            entry.arrivals++;
            const isSent = allowanceOf(entry) >= 1;
            entry.own += isSent ? 1 : 0;
            return isSent;
        },
        end(index: number) {
            const entry = entries[index]!;
            entry.own = Math.max(0, entry.own - 1);
        },
        /** Kills an entry and starts it again without any requests or views. */
        restart(index: number) {
            entries[index] = createEntry(index);
        },
        changeLeader() {
            leader = createLeader(leaders++);
        },
    };
}
