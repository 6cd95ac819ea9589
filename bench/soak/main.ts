/**
 * Runs the soak from the command line: one seed or several one after the other. Prints each seed first and its verdict last, and keeps the
 * logs of a run with findings.
 *
 * @module
 */

import { loadavg } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { runSoak } from "./run.js";
import { faultKinds, type FaultKind } from "./schedule.js";

const usage = "usage: npm run soak -- [--seed N] [--count SEEDS] [--seconds N] [--entries N] [--engines N] [--callers N] [--kinds A,B] " +
    "[--net N] [--port N] [--logs FOLDER] [--keep]";

/** Pause of a caller between two requests. */
const pauseMs = 40;

function readOptions() {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" }, count: { type: "string", default: "1" }, seconds: { type: "string", default: "20" },
            entries: { type: "string", default: "3" }, engines: { type: "string", default: "8" }, callers: { type: "string", default: "12" },
            net: { type: "string", default: "98" }, port: { type: "string", default: "23600" }, kinds: { type: "string" },
            logs: { type: "string", default: ".soak" }, keep: { type: "boolean", default: false },
        },
    });
    const { kinds, logs, keep, ...numbers } = values;
    const amounts = Object.entries(numbers).map(([name, text]): [string, number] => {
        const amount = Number(text);
        if (!Number.isInteger(amount) || amount < 0) {
            throw new Error(`--${name} must be an integer that is at least 0, not "${text}"`);
        }
        return [name, amount];
    });
    const unknown = kinds?.split(",").find(kind => !faultKinds.includes(kind as FaultKind));
    if (unknown !== undefined) {
        throw new Error(`--kinds: there is no fault "${unknown}"; there are ${faultKinds.join(", ")}`);
    }
    const byName = Object.fromEntries(amounts) as Record<keyof typeof numbers, number>;
    return { ...byName, logs, keep, kinds: kinds?.split(",") as FaultKind[] | undefined };
}

async function main() {
    const options = readOptions();
    const failed: number[] = [];
    for (let seed = options.seed; seed < options.seed + options.count; seed++) {
        console.log(`seed ${seed}: ${options.seconds} s, ${options.entries} entries, ${options.engines} engines, ${options.callers} callers`);
        const logFolder = join(options.logs, `seed-${seed}`);
        const { calls, served, callsWhenCalm, servedWhenCalm, faults, findings, longestStallMs } = await runSoak({
            seed, lengthMs: options.seconds * 1_000, entries: options.entries, engines: options.engines, callers: options.callers,
            pauseMs, net: options.net, port: options.port, logFolder, keepsAll: options.keep,
            ...options.kinds === undefined ? {} : { kinds: options.kinds },
        });
        findings.slice(0, 20).forEach(({ check, text }) => console.log(`  ${check}: ${text}`));
        const verdict = findings.length === 0 ? "passed" : `FAILED with ${findings.length} findings, logs in ${logFolder}`;
        const counts = `${served} of ${calls} requests served, ${servedWhenCalm} of ${callsWhenCalm} once calm`;
        const circumstances = `load ${loadavg()[0]!.toFixed(0)}, longest stall ${Math.round(longestStallMs)} ms`;
        console.log(`seed ${seed}: ${verdict}; ${faults.length} faults, ${counts}; ${circumstances}`);
        if (findings.length > 0) {
            failed.push(seed);
        }
    }
    console.log(failed.length === 0 ? "all seeds passed" : `seeds with findings: ${failed.join(", ")}`);
    return failed.length === 0 ? 0 : 1;
}

try {
    process.exit(await main());
}
catch (error) {
    console.error(`${(error as Error).message}\n${usage}`);
    process.exit(2);
}
