/**
 * A small deployment: three machines with a disk, each with both roles, a pool of model runners and an application. The figures are
 * those of the pages' small installations.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { setTimeout as pause } from "node:timers/promises";
import { createOperator } from "./operator.mjs";
import { startRunner } from "./runner.mjs";
import { createSite } from "./site.mjs";

export const exits = { held: 0, broken: 1, cannotRun: 2 };
export const hasTrouble = process.env.TROUBLE !== "0";
export const host = "site.example";
export const key = "n2ctnfzs989anu6wsjnb";
export const model = { name: "daka510000", size: 2, share: 1, pace: 1, loadS: 1, warmS: 0.3 };
export const zones = ["reduit", "moka", "ebene"];
/** The time in which a stream's first event is on time, and the longest pause between two events that is. */
const [streamObjectiveMs, streamPauseMs] = [300, 200];
/** Clients abandon a stream after the longest of two seconds, four times the objective and eight times the pause. */
export const streamPatienceMs = Math.max(2_000, 4 * streamObjectiveMs, 8 * streamPauseMs);
export const appTimeoutMs = 1_500;
export const appDeadlineMs = 3_000;
export const streamTimeoutMs = 6_000;
const msPerSecond = 1_000;
const readyTimeoutMs = 30_000;
const upstreamPort = 8_080;

const engine = {
    slots: 24, kvCapacity: 1_312_941, tokenKvBytes: 136_362, linkMbps: 400_000, stride: 5, models: [model], step_ms: 7.8, per_seq_ms: 0.134,
    context_per_k: 0.0136, read_per_s: 45_900, pairs_per_m: 0.433, chunk: 2048, report_lag_ms: 200, loadsPerS: 3, loads_at_once: 6,
    usual: { prompt: 919, answer: 135 }, retainedCount: 1, far_x: 3, formMs: 300,
};

/** A valid manifest. `changes` replaces parts of it. */
export function manifestOf(version, changes = {}) {
    const app = { host, timeoutMs: appTimeoutMs, targetLatencyMs: 300, priority: 2, public: false, service: "app" };
    return {
        version,
        routes: [
            {
                name: "draft", host, pathPrefix: "/draft/", kind: "streaming", timeoutMs: streamTimeoutMs, targetLatencyMs: streamObjectiveMs, priority: 1,
                service: "pool", maxAttempts: 2, public: false, sessionAffinity: true, resumeStreams: true, targetGapMs: streamPauseMs,
            },
            { ...app, name: "booking", pathPrefix: "/booking/", kind: "non_idempotent", maxAttempts: 1 },
            { ...app, name: "reading", pathPrefix: "/reading/", kind: "idempotent", maxAttempts: 2 },
        ],
        services: [
            { name: "pool", healthPath: "/healthz", maxConns: 426, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0, engine },
            { name: "app", healthPath: "/healthz", maxConns: 55, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0 },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "hule930", apiKeys: [key], priority: 1 }],
        ...changes,
    };
}

/** Returns a function that records lines with their time, and one that writes them. */
export function createRecord() {
    const startedAtMs = performance.now();
    const lines = [];
    return {
        line: text => lines.push(`${((performance.now() - startedAtMs) / msPerSecond).toFixed(2)} s  ${text}`),
        write: file => writeFileSync(file, `${lines.join("\n")}\n`),
    };
}

export async function waitUntil(description, condition, timeoutMs = readyTimeoutMs) {
    const untilMs = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > untilMs) {
            throw new Error(`not within ${timeoutMs} ms: ${description}`);
        }
        await pause(100);
    }
}

/** Starts the deployment; resolves once `groups` groups are open and all machines have been up for longer than `contactMs`. */
export async function startDeployment({ record, poolSize, groups, appSize = 3, ...runnerOptions }) {
    const machines = zones.map((zone, index) => ({ name: `front-${index}`, zone, hasDisk: true, roles: ["control", "entry"] }));
    const site = await createSite({ machines, tolerance: { machines: 1, zones: 1, regions: 0 } });
    const runners = [];
    const controls = () => site.controlAddresses;
    const operator = createOperator(site.controlAddresses, record.line);
    const stop = async () => {
        runners.forEach(runner => runner.close());
        await site.stop();
    };
    try {
        machines.forEach(({ name }) => site.start(name, { bootstrap: true }));
        if (!(await operator.publish(manifestOf(1))).isAcknowledged) {
            throw new Error("the first manifest was not acknowledged");
        }
        for (let index = 0; index < poolSize + appSize; index++) {
            const isPool = index < poolSize;
            runners.push(await startRunner({
                id: isPool ? `i-pool${index}` : `i-app${index - poolSize}`, service: isPool ? "pool" : "app", host: site.freeHost(index),
                port: upstreamPort, zone: zones[index % zones.length], controls,
                ...isPool ? { domain: "d0", models: [model] } : { slots: 6, workMs: 43 }, ...runnerOptions,
            }));
        }
        await waitUntil("groups are open", () => runners.filter(({ membership }) => membership?.state === "open").length >= groups);
        await pause(3 * msPerSecond);
    }
    catch (error) {
        await stop();
        throw error;
    }
    return { site, runners, operator, machines, stop, heads: () => runners.filter(({ membership }) => membership?.state === "open") };
}

/** Runs a case: writes its record and ends the process with its result. `check(record)` resolves to an exit code. */
export async function runCase(recordFile, check) {
    const record = createRecord();
    let status = exits.cannotRun;
    try {
        status = await check(record);
    }
    catch (error) {
        record.line(`the case could not run: ${error.message}`);
    }
    record.write(recordFile);
    process.exit(status);
}
