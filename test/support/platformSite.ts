/**
 * A site of real daemons, as separate processes, in front of runners of the platform emulator.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    type CallerAnswer, type CallerRequest, configurationText, createSiteProcesses, callControlDaemon, type Runner, send, type SiteProcesses,
    startRunner,
} from "../../standin/platform/index.js";

/** Waits until the condition holds; throws an error with its description on timeout. */
export async function waitUntil(description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 15_000): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

export interface PlatformSiteOptions {
    /** Second octet of the daemons' loopback addresses; with `port`, must differ from sites that run at the same time. */
    readonly net: number;
    /** First port of the daemons. */
    readonly port: number;
    /** Number of engines; two of them form a group. */
    readonly poolSize: number;
    /** Number of control daemons; three by default. */
    readonly controls?: number;
    /** Number of control daemons that are configured but not started with the others. */
    readonly spareControls?: number;
    /** Indices of the control daemons without a disk. */
    readonly diskless?: readonly number[];
}

export interface PlatformSite {
    readonly processes: SiteProcesses;
    readonly runners: readonly Runner[];
    poolRunners(): Runner[];
    sendRequest(entry: number, method: string, path: string, more?: Partial<CallerRequest>): Promise<CallerAnswer>;
    /** Requests a stream from the site's only model; `path` begins with /caption/. */
    requestCaption(entry: number, path?: string, id?: string): Promise<CallerAnswer>;
    publish(text: string, control?: number): Promise<number | undefined>;
    stop(): Promise<void>;
}

/** Starts the control daemons, two entries, two upstreams of a plain service and the engines; resolves when captions are served. */
export async function startPlatformSite(options: PlatformSiteOptions): Promise<PlatformSite> {
    const { net, port, controls = 3, spareControls = 0, diskless = [] } = options;
    const folder = mkdtempSync(join(tmpdir(), "site-"));
    const processes = createSiteProcesses({ folder, controls: controls + spareControls, diskless, entries: 2, net, port });
    const runners: Runner[] = [];
    let requestCount = 0;

    async function startRunners(count: number, service: string, domain?: string) {
        for (let index = 0; index < count; index++) {
            runners.push(await startRunner({
                id: `i-${service}-${runners.length}`, service, zone: `dc-${index % 3}`, heartbeatMs: 400, joinMs: 150,
                ...domain === undefined ? {} : { domain },
                controls: () => processes.controls.map(processes.controlAddress),
                peer: id => runners.find(runner => runner.id === id),
            }));
        }
    }

    const site: PlatformSite = {
        processes,
        runners,
        poolRunners: () => runners.filter(runner => runner.id.startsWith("i-pool")),
        sendRequest: (entry, method, path, overrides = {}) =>
            send(processes.callersAddress(processes.entries[entry]!), { id: `r${++requestCount}`, method, path, ...overrides }),
        requestCaption: (entry, path = "/caption/1", id = `r${++requestCount}`) =>
            site.sendRequest(entry, "POST", path, { id, body: "x", headers: { "zinnialanding-model": "lm", "zinnialanding-token-usage": "20,30" } }),
        publish: async (text, control = 0) =>
            (await callControlDaemon(processes.controlAddress(processes.controls[control]!), "POST", "/api/config/put", text)).status,
        async stop() {
            await processes.stop();
            await Promise.all(runners.map(runner => runner.close()));
            rmSync(folder, { recursive: true });
        },
    };

    [...processes.controls.slice(0, controls), ...processes.entries].forEach(daemon => processes.start(daemon.id, { firstStart: true }));
    await startRunners(2, "orders");
    await startRunners(options.poolSize, "pool", "d0");
    await waitUntil("a configuration is accepted", async () => await site.publish(configurationText(1)) === 200);
    const groups = Math.floor(options.poolSize / 2);
    await waitUntil("all groups are open", () => site.poolRunners().filter(runner => runner.membership?.state === "open").length === groups);
    const readiness = () => Promise.all(processes.entries.map(entry => callControlDaemon(processes.readyAddress(entry), "GET", "/")));
    await waitUntil("entries are ready", async () => (await readiness()).every(answer => answer.status === 200));
    await waitUntil("captions are served", async () => (await site.requestCaption(0)).status === 200 && (await site.requestCaption(1)).status === 200);
    return site;
}
