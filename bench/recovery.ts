/**
 * Measures how a small published site recovers after all its processes were killed at once while its upstreams went on running: three
 * control daemons and two entries as real processes on loopback. Prints when each part was there, in ms after the start of the processes.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import {
    callControlDaemon, configurationText, createSiteProcesses, type Runner, send, type SiteProcesses, startRunner,
} from "../standin/platform/index.js";

const usage = "usage: npm run bench:recovery -- [--runs N] [--engines N] [--plain N] [--forget]";
const [net, port] = [96, 23_700];
const heartbeatMs = 1_200;
const joinMs = 150;
const groupSize = 2;
/** Groups that the planner may leave out to keep spares. */
const maxSpareGroups = 2;
const downMs = 1_000;
const pollMs = 10;
const requestIntervalMs = 20;
/** Time between the first complete answers and the crash, in which the hints are written and the heartbeats of all upstreams come. */
const steadyMs = 3_500;
const timeoutMs = 30_000;

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitUntil(description: string, condition: () => Promise<boolean> | boolean) {
    const deadlineMs = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`not within ${timeoutMs} ms: ${description}`);
        }
        await pause(pollMs);
    }
}

/** Returns the time of the first log line with `message` that was written after `fromUnixMs`, in ms after it. */
function findFirst(output: string, message: string, fromUnixMs: number): number {
    const lines = output.split("\n").filter(line => line.includes(`"message":"${message}"`));
    const times = lines.map(line => Date.parse((JSON.parse(line) as { timestamp: string }).timestamp) - fromUnixMs);
    return times.find(atMs => atMs >= 0) ?? Infinity;
}

interface Answer {
    readonly sentMs: number;
    readonly endedMs: number;
    readonly status: number | undefined;
}

/** Sends requests in turn to the entries, alternately plain and for streams, until `isOver`. Times are in ms after the call. */
async function sendRequests(processes: SiteProcesses, isOver: () => boolean): Promise<readonly Answer[]> {
    const startMs = performance.now();
    const pending: Promise<Answer>[] = [];
    for (let count = 0; !isOver(); count++) {
        const entry = processes.entries[Math.floor(count / 2) % processes.entries.length]!;
        const sentMs = performance.now() - startMs;
        const request = count % 2 === 0
            ? { id: `r${count}`, method: "GET", path: "/read/1" }
            : {
                    id: `r${count}`, method: "POST", path: "/caption/1", body: "x",
                    headers: { "zinnialanding-model": "lm", "zinnialanding-token-usage": "20,30" },
                };
        const answer = send(processes.callersAddress(entry), request);
        pending.push(answer.then(({ status }) => ({ sentMs, endedMs: performance.now() - startMs, status })));
        await pause(requestIntervalMs);
    }
    return Promise.all(pending);
}

async function measure(
    processes: SiteProcesses, upstreamCount: number, isForgetting: boolean, folder: string,
): Promise<Record<string, unknown>> {
    const daemons = [...processes.controls, ...processes.entries];
    await Promise.all(daemons.map(({ id }) => processes.signal(id, "SIGKILL")));
    if (isForgetting) {
        processes.controls.forEach(({ id }) => rmSync(join(folder, id, "upstreams.json"), { force: true }));
    }
    await pause(downMs);
    const startUnixMs = Date.now();
    daemons.forEach(({ id }) => processes.start(id));
    let isOver = false;
    const requests = sendRequests(processes, () => isOver);
    const metricsOf = async (index: number) => {
        const answer = await callControlDaemon(processes.metricsAddress(processes.controls[index]!), "GET", "/").catch(() => undefined);
        return answer?.text ?? "";
    };
    /** When each control daemon knew all upstreams, and when one first led. */
    const knownAt = new Map<string, number>();
    let leadsAt: number | undefined;
    const knownUpstreams = (text: string) => Number(/^zinnialanding_upstreams_known (\d+)/m.exec(text)?.[1] ?? 0);
    await waitUntil("all control daemons know all upstreams and one leads", async () => {
        const texts = await Promise.all(processes.controls.map((_, index) => metricsOf(index)));
        const nowMs = Date.now() - startUnixMs;
        processes.controls.forEach(({ id }, index) => {
            if (!knownAt.has(id) && knownUpstreams(texts[index]!) >= upstreamCount) {
                knownAt.set(id, nowMs);
            }
        });
        leadsAt ??= texts.some(text => /^zinnialanding_leads 1$/m.test(text)) ? nowMs : undefined;
        return knownAt.size === processes.controls.length && leadsAt !== undefined;
    });
    await pause(1_500);
    isOver = true;
    const answers = await requests;
    const served = answers.filter(({ status }) => status === 200);
    const notServed = answers.filter(({ status }) => status !== 200);
    const entryOutputs = processes.entries.map(({ id }) => processes.output(id));
    const firstOf = (outputs: readonly string[], message: string) =>
        Math.max(...outputs.map(output => findFirst(output, message, startUnixMs)));
    const controlOutputs = processes.controls.map(({ id }) => processes.output(id));
    return {
        "process and code": firstOf([...entryOutputs, ...controlOutputs], "starting"),
        "entries listen": firstOf(entryOutputs, "started"),
        "controls listen": firstOf(controlOutputs, "started"),
        "control heard": firstOf(entryOutputs, "control daemon heard"),
        "site in force": firstOf(entryOutputs, "site in force"),
        leader: leadsAt,
        "all upstreams known by one control": Math.min(...knownAt.values()),
        "that after its own start": Math.min(...processes.controls.map(({ id }) =>
            knownAt.get(id)! - findFirst(processes.output(id), "started", startUnixMs))),
        "first served": Math.round(Math.min(...served.map(({ endedMs }) => endedMs))),
        "last not served, sent": Math.round(Math.max(0, ...notServed.map(({ sentMs }) => sentMs))),
        "refused with 503": notServed.filter(({ status }) => status === 503).length,
        "connection refused": notServed.filter(({ status }) => status === undefined).length,
    };
}

async function main(runs: number, engines: number, plain: number, isForgetting: boolean) {
    const folder = mkdtempSync(join(tmpdir(), "recovery-"));
    const processes = createSiteProcesses({ folder, controls: 3, entries: 2, net, port });
    const runners: Runner[] = [];
    const startRunners = async (count: number, service: string, domain?: string) => {
        for (let index = 0; index < count; index++) {
            runners.push(await startRunner({
                id: `i-${service}-${index}`, service, zone: `dc-${index % 3}`, heartbeatMs, joinMs, ...domain === undefined ? {} : { domain },
                controls: () => processes.controls.map(processes.controlAddress), peer: id => runners.find(runner => runner.id === id),
            }));
            // Spreads the heartbeats over their interval, as those of upstreams that started at different times.
            await pause(heartbeatMs / (engines + plain));
        }
    };
    try {
        [...processes.controls, ...processes.entries].forEach(({ id }) => processes.start(id, { firstStart: true }));
        await startRunners(plain, "orders");
        await startRunners(engines, "pool", "d0");
        await waitUntil("a configuration is accepted", async () =>
            (await callControlDaemon(processes.controlAddress(processes.controls[0]!), "POST", "/api/config/put", configurationText(1))).status === 200);
        const groups = Math.floor(engines / groupSize);
        const openGroups = () => runners.filter(({ membership }) => membership?.state === "open" && membership.rank === 0).length;
        await waitUntil("all groups are open", () => openGroups() >= groups - maxSpareGroups);
        const rows: Record<string, unknown>[] = [];
        for (let run = 0; run < runs; run++) {
            await pause(steadyMs);
            rows.push(await measure(processes, runners.length, isForgetting, folder));
        }
        console.table(Object.fromEntries(Object.keys(rows[0]!).map(part => [part, rows.map(row => row[part])])));
    }
    finally {
        await processes.stop();
        await Promise.all(runners.map(runner => runner.close()));
        rmSync(folder, { recursive: true });
    }
}

const { values } = parseArgs({
    options: {
        runs: { type: "string", default: "3" }, engines: { type: "string", default: "24" }, plain: { type: "string", default: "6" },
        forget: { type: "boolean", default: false },
    },
});

try {
    await main(Number(values.runs), Number(values.engines), Number(values.plain), values.forget);
    process.exit(0);
}
catch (error) {
    console.error(`${(error as Error).message}\n${usage}`);
    process.exit(1);
}
