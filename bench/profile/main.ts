/**
 * Profiles an entry and the control leader of a small published site under load: real processes on loopback, open-loop requests for streams
 * and plain answers, and configurations that grow. Prints processor time by part and by function, for each request and event.
 *
 * @module
 */

import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import {
    callControlDaemon, configurationText, createSiteProcesses, eventIds, type Runner, send, startRunner,
} from "../../standin/platform/index.js";
import { createRandom, nextArrivalMs } from "../random.js";
import { cpuProfileSchema, type ProfileShare, type ProfileWindow, summarizeProfile } from "./cpuProfile.js";

const usage = "usage: npm run bench:profile -- [--rate PER-SECOND] [--seconds N] [--seed N] [--engines N] [--routes N] [--top N]";
const [net, port] = [97, 23_500];
const plainShare = 0.15;
const heartbeatMs = 1_200;
const joinMs = 150;
const configurationIntervalMs = 5_000;
const readinessTimeoutMs = 30_000;

interface Options {
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly seed: number;
    readonly engines: number;
    /** Routes that each configuration has beside the usual ones. */
    readonly routes: number;
    /** Functions printed for each process. */
    readonly top: number;
}

function readOptions(): Options {
    const { values } = parseArgs({
        options: {
            rate: { type: "string", default: "60" }, seconds: { type: "string", default: "20" }, seed: { type: "string", default: "1" },
            engines: { type: "string", default: "12" }, routes: { type: "string", default: "0" }, top: { type: "string", default: "15" },
        },
    });
    const amounts = Object.entries(values).map(([name, text]) => {
        const amount = Number(text);
        if (!Number.isFinite(amount) || amount < 0) {
            throw new Error(`--${name} must be a number that is at least 0, not "${text}"`);
        }
        return [name, amount];
    });
    const { rate, seconds, seed, engines, routes, top } = Object.fromEntries(amounts) as Record<keyof typeof values, number>;
    return { ratePerSecond: rate, seconds, seed, engines, routes, top };
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitUntil(description: string, condition: () => Promise<boolean> | boolean) {
    const deadlineMs = performance.now() + readinessTimeoutMs;
    while (!await condition()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`not within ${readinessTimeoutMs} ms: ${description}`);
        }
        await pause(100);
    }
}

function extraRoutes(count: number): object[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `extra-${index}`, host: `host-${index % 20}.example`, pathPrefix: `/extra/${index}/`, kind: "idempotent", service: "orders",
        timeoutMs: 4_000, targetLatencyMs: 400, priority: 1, maxAttempts: 2,
    }));
}

/** Sends requests for `seconds`; resolves to their numbers. */
async function sendLoad(address: string, { ratePerSecond, seconds, seed }: Options) {
    const random = createRandom(seed);
    const endsAtMs = performance.now() + seconds * 1_000;
    const answers: Promise<{ isDelivered: boolean; events: number }>[] = [];
    for (let index = 0; performance.now() < endsAtMs; index++) {
        const isPlain = random() < plainShare;
        answers.push(send(address, isPlain
            ? { id: `p${index}`, method: "GET", path: "/read/1" }
            : { id: `s${index}`, method: "POST", path: "/caption/1", body: "x",
                    headers: { "zinnialanding-model": "lm", "zinnialanding-token-usage": "20,30" } })
            .then(({ status, body }) => ({ isDelivered: status === 200, events: eventIds(body).length })));
        await pause(nextArrivalMs(random, ratePerSecond));
    }
    const ended = await Promise.all(answers);
    return {
        requests: ended.length, delivered: ended.filter(({ isDelivered }) => isDelivered).length,
        events: ended.reduce((sum, { events }) => sum + events, 0),
    };
}

function formatShares(shares: readonly ProfileShare[], busyMs: number, count: number): string {
    return shares.slice(0, count).map(({ name, ms }) => `${(100 * ms / busyMs).toFixed(1).padStart(6)} %  ${ms.toFixed(0).padStart(6)} ms  ${name}`).join("\n");
}

interface Load extends ProfileWindow {
    readonly requests: number;
    readonly events: number;
}

function printProfile(title: string, folder: string, { top }: Options, load: Load) {
    const file = readdirSync(folder).find(name => name.endsWith(".cpuprofile"));
    if (file === undefined) {
        throw new Error(`${title} wrote no profile`);
    }
    const summary = summarizeProfile(cpuProfileSchema.parse(JSON.parse(readFileSync(join(folder, file), "utf8"))), load);
    const { busyMs, durationMs, parts, functions, longestBusyMs } = summary;
    console.log(`\n${title}: busy for ${busyMs.toFixed(0)} ms of ${durationMs.toFixed(0)} ms, ${
        (busyMs / load.requests).toFixed(2)} ms a request, ${(1_000 * busyMs / load.events).toFixed(0)} us an event; longest without idling ${
        longestBusyMs.map(ms => ms.toFixed(0)).join(", ")} ms`);
    console.log(`${formatShares(parts, busyMs, top)}\n\n${formatShares(functions, busyMs, top)}`);
}

async function main(options: Options) {
    const folder = mkdtempSync(join(tmpdir(), "profile-"));
    const processes = createSiteProcesses({ folder, controls: 1, entries: 1, net, port });
    const [[control], [entry]] = [processes.controls, processes.entries] as [[typeof processes.controls[0]], [typeof processes.entries[0]]];
    const runners: Runner[] = [];
    const startedAtMs = performance.now();
    const startProfiled = (id: string) =>
        processes.start(id, { firstStart: true, execArgv: ["--cpu-prof", "--cpu-prof-dir", join(folder, `profile-${id}`)] });
    let version = 0;
    const publish = async () => {
        const text = configurationText(++version, { routes: extraRoutes(options.routes) });
        return (await callControlDaemon(processes.controlAddress(control), "POST", "/api/config/put", text)).status === 200;
    };
    try {
        [control.id, entry.id].forEach(startProfiled);
        const startRunners = async (count: number, service: string, domain?: string) => {
            for (let index = 0; index < count; index++) {
                runners.push(await startRunner({
                    id: `i-${service}-${index}`, service, zone: "dc-0", heartbeatMs, joinMs, ...domain === undefined ? {} : { domain },
                    controls: () => [processes.controlAddress(control)], peer: id => runners.find(runner => runner.id === id),
                }));
            }
        };
        await startRunners(2, "orders");
        await startRunners(options.engines, "pool", "d0");
        await waitUntil("a configuration is accepted", publish);
        await waitUntil("captions are served", async () => (await sendLoad(processes.callersAddress(entry), { ...options, seconds: 0.2 })).events > 0);
        const configurations = setInterval(() => void publish(), configurationIntervalMs);
        const fromMs = performance.now() - startedAtMs;
        const load = { ...await sendLoad(processes.callersAddress(entry), options), fromMs, toMs: performance.now() - startedAtMs };
        clearInterval(configurations);
        await Promise.all([control, entry].map(({ id }) => processes.signal(id, "SIGTERM")));
        console.log(`${load.requests} requests, ${load.delivered} delivered, ${load.events} events; ${options.engines} engines, ${
            version} configurations with ${options.routes} further routes`);
        printProfile("entry", join(folder, `profile-${entry.id}`), options, load);
        printProfile("control leader", join(folder, `profile-${control.id}`), options, load);
    }
    finally {
        await processes.stop();
        await Promise.all(runners.map(runner => runner.close()));
        rmSync(folder, { recursive: true });
    }
}

try {
    await main(readOptions());
    process.exit(0);
}
catch (error) {
    console.error(`${(error as Error).message}\n${usage}`);
    process.exit(1);
}
