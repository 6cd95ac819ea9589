/**
 * The control leader's table of the loads that entries report. It lives in memory only; a new leader has it after one round of reports.
 *
 * A view may be taken while entries still spend what an earlier one allowed them, so that they exceed the limit for a while. With 16
 * entries and a limit of 34 it was by at most 10, at 50 to 1,600 requests a second. Views that stay until every entry has reported were no
 * better (by at most 6), and 120 ms old instead of 45.
 *
 * @module
 */

import type { EntryLoads } from "../feed/index.js";

/** An entry is forgotten after this time without a report; later if its share of arrivals is above the mean, as more requests are its. */
const silenceMs = 1_000;
const busySilenceMs = 1_500;
const maxReportsPerSecond = 400;
const minReportMs = 100;
/** The sum is taken and encoded at most this often, so that the cost of a report does not depend on the number of entries and heads. */
const minViewMs = 50;
/** How long a new leader collects reports before it answers. An entry reports every 250 ms; a sum without some entries would be too low. */
const collectMs = 500;
/** Time constant of the decaying sums by which the arrivals of entries are compared. */
const arrivalsTimeConstantMs = 2_000;
/** With fewer arrivals than this of a model, its shares are equal. */
const minArrivals = 0.01;

interface Arrivals {
    readonly sum: number;
    readonly atMs: number;
}

interface EntryRecord {
    readonly heardAtMs: number;
    readonly running: Readonly<Record<string, number>>;
    /** `running` as it is counted in the current view. */
    counted: Readonly<Record<string, number>>;
    /** Its shares of arrivals by model when the current view was made. All shares of a model sum to 1. */
    shares: Readonly<Record<string, number>>;
    readonly arrivals: Map<string, Arrivals>;
}

export interface LoadTable {
    /** Records an entry's loads. Returns the encoded answer; undefined while this daemon does not lead or has just begun to. */
    report(entryId: string, loads: EntryLoads): Uint8Array | undefined;
}

export interface LoadTableOptions {
    readonly daemonId: string;
    leads(): boolean;
    nowMs(): number;
}

function decayed(arrivals: Arrivals | undefined, nowMs: number): number {
    return arrivals === undefined ? 0 : arrivals.sum * Math.exp(-(nowMs - arrivals.atMs) / arrivalsTimeConstantMs);
}

function addArrivals(target: Map<string, Arrivals>, model: string, count: number, nowMs: number): void {
    target.set(model, { sum: Math.max(0, decayed(target.get(model), nowMs) + count), atMs: nowMs });
}

/** Creates an empty table. */
export function createLoadTable({ daemonId, leads, nowMs }: LoadTableOptions): LoadTable {
    const entries = new Map<string, EntryRecord>();
    const sums = new Map<string, number>();
    const totalArrivals = new Map<string, Arrivals>();
    let leadsSinceMs: number | undefined;
    let reportedAtMs = 0;
    let view: { readonly number: number; readonly atMs: number; readonly encoded: string } | undefined;

    function clear() {
        [entries, sums, totalArrivals].forEach(collection => collection.clear());
        leadsSinceMs = undefined;
        view = undefined;
    }

    function addRunning(running: Readonly<Record<string, number>>, sign: 1 | -1) {
        for (const [head, count] of Object.entries(running)) {
            const sum = (sums.get(head) ?? 0) + sign * count;
            if (sum > 0) {
                sums.set(head, sum);
            }
            else {
                sums.delete(head);
            }
        }
    }

    function nextReportMs(): number {
        return Math.max(minReportMs, Math.ceil(entries.size / maxReportsPerSecond * 1_000));
    }

    function sharesOf(arrivals: ReadonlyMap<string, Arrivals>): Record<string, number> {
        return Object.fromEntries([...totalArrivals].map(([model, total]) => {
            const sum = decayed(total, nowMs());
            return [model, sum < minArrivals ? 1 / entries.size : Math.min(1, decayed(arrivals.get(model), nowMs()) / sum)];
        }));
    }

    function forgetSilent() {
        for (const [id, entry] of entries) {
            const isSilent = nowMs() - entry.heardAtMs > silenceMs;
            if (isSilent && (nowMs() - entry.heardAtMs > busySilenceMs || !isAboveMean(entry))) {
                entries.delete(id);
                addRunning(entry.running, -1);
                entry.arrivals.forEach((arrivals, model) => addArrivals(totalArrivals, model, -decayed(arrivals, nowMs()), nowMs()));
            }
        }
    }

    function isAboveMean(entry: EntryRecord): boolean {
        return Object.values(entry.shares).some(share => share > 1 / entries.size);
    }

    function record(entryId: string, loads: EntryLoads) {
        const known = entries.get(entryId);
        addRunning(known?.running ?? {}, -1);
        addRunning(loads.running, 1);
        const arrivals = known?.arrivals ?? new Map<string, Arrivals>();
        Object.entries(loads.arrivals).forEach(([model, count]) => {
            addArrivals(arrivals, model, count, nowMs());
            addArrivals(totalArrivals, model, count, nowMs());
        });
        entries.set(entryId, {
            heardAtMs: nowMs(), running: loads.running, arrivals, counted: known?.counted ?? {},
            // An entry that the current view does not count has no share of the room that it divides.
            shares: known?.shares ?? Object.fromEntries([...totalArrivals.keys()].map(model => [model, 0])),
        });
    }

    /** Takes a new sum unless the last one is recent. */
    function updateView() {
        if (view !== undefined && nowMs() - view.atMs < minViewMs) {
            return view;
        }
        forgetSilent();
        const number = (view?.number ?? 0) + 1;
        const all = {
            view: { leader: daemonId, number }, running: Object.fromEntries(sums), entries: entries.size, nextReportMs: nextReportMs(),
        };
        entries.forEach(entry => {
            entry.counted = entry.running;
            entry.shares = sharesOf(entry.arrivals);
        });
        view = { number, atMs: nowMs(), encoded: JSON.stringify(all) };
        return view;
    }

    return {
        report(entryId, loads) {
            // Entries report to whichever daemon leads, so without reports this one has not led for a while.
            if (!leads() || nowMs() - reportedAtMs > collectMs) {
                clear();
            }
            if (!leads()) {
                return undefined;
            }
            reportedAtMs = nowMs();
            leadsSinceMs ??= nowMs();
            record(entryId, loads);
            if (nowMs() - leadsSinceMs < collectMs) {
                return undefined;
            }
            const { encoded, atMs } = updateView();
            const entry = entries.get(entryId)!;
            const rest = JSON.stringify({ ageMs: nowMs() - atMs, own: entry.counted, shares: entry.shares });
            return Buffer.from(`{"all":${encoded},${rest.slice(1)}`);
        },
    };
}
