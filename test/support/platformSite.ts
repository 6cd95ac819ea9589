/**
 * A site of real daemons as separate processes before runners of the platform's emulator, ready to be asked.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    type CallerAnswer, type CallerRequest, configurationText, createSiteProcesses, operate, type Runner, send, type SiteProcesses,
    startRunner,
} from "../../standin/platform/index.js";

/** Waits until `holds`, or fails with what was waited for. */
export async function until(what: string, holds: () => Promise<boolean> | boolean, withinMs = 15_000): Promise<void> {
    const untilMs = performance.now() + withinMs;
    while (!await holds()) {
        if (performance.now() > untilMs) {
            throw new Error(`not within ${withinMs} ms: ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

export interface PlatformSiteOptions {
    /** The second part of the daemons' loopback addresses, and their first port: apart from other sites that run at the same time. */
    readonly net: number;
    readonly port: number;
    /** Engines; two of them make a group. */
    readonly pool: number;
    /** Control daemons; three by default. */
    readonly controls?: number;
    /** Control daemons that are laid out and not started with the others. */
    readonly spareControls?: number;
    /** Places of control daemons without a disk. */
    readonly diskless?: readonly number[];
}

export interface PlatformSite {
    readonly processes: SiteProcesses;
    readonly runners: readonly Runner[];
    pool(): Runner[];
    ask(entry: number, method: string, path: string, more?: Partial<CallerRequest>): Promise<CallerAnswer>;
    /** A stream of the one model; `path` begins with /caption/. */
    caption(entry: number, path?: string): Promise<CallerAnswer>;
    publish(text: string, control?: number): Promise<number | undefined>;
    stop(): Promise<void>;
}

/** Starts the control daemons, two entries, two upstreams of a plain service and the engines; resolves once captions are served. */
export async function startPlatformSite(options: PlatformSiteOptions): Promise<PlatformSite> {
    const { net, port, controls = 3, spareControls = 0, diskless = [] } = options;
    const folder = mkdtempSync(join(tmpdir(), "site-"));
    const processes = createSiteProcesses({ folder, controls: controls + spareControls, diskless, entries: 2, net, port });
    const runners: Runner[] = [];
    let requests = 0;

    async function run(count: number, service: string, domain?: string) {
        for (let place = 0; place < count; place++) {
            runners.push(await startRunner({
                id: `i-${service}-${runners.length}`, service, zone: `dc-${place % 3}`, heartbeatMs: 400, joinMs: 150,
                ...domain === undefined ? {} : { domain },
                controls: () => processes.controls.map(processes.controlAddress),
                peer: id => runners.find(runner => runner.id === id),
            }));
        }
    }

    const site: PlatformSite = {
        processes,
        runners,
        pool: () => runners.filter(runner => runner.id.startsWith("i-pool")),
        ask: (entry, method, path, more = {}) =>
            send(processes.callersAddress(processes.entries[entry]!), { id: `r${++requests}`, method, path, ...more }),
        caption: (entry, path = "/caption/1") =>
            site.ask(entry, "POST", path, { body: "x", headers: { "zinnialanding-model": "lm", "zinnialanding-token-usage": "20,30" } }),
        publish: async (text, control = 0) =>
            (await operate(processes.controlAddress(processes.controls[control]!), "POST", "/api/config/put", text)).status,
        async stop() {
            await processes.stop();
            await Promise.all(runners.map(runner => runner.close()));
            rmSync(folder, { recursive: true });
        },
    };

    [...processes.controls.slice(0, controls), ...processes.entries].forEach(place => processes.start(place.id, { firstStart: true }));
    await run(2, "orders");
    await run(options.pool, "pool", "d0");
    await until("a configuration is accepted", async () => await site.publish(configurationText(1)) === 200);
    const groups = Math.floor(options.pool / 2);
    await until("all groups are open", () => site.pool().filter(runner => runner.membership?.state === "open").length === groups);
    const readiness = () => Promise.all(processes.entries.map(entry => operate(processes.readyAddress(entry), "GET", "/")));
    await until("entries are ready", async () => (await readiness()).every(answer => answer.status === 200));
    await until("captions are served", async () => (await site.caption(0)).status === 200 && (await site.caption(1)).status === 200);
    return site;
}
