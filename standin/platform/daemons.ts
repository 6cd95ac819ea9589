/**
 * Real daemons of a small site as separate processes on loopback, each with its settings file and, for control, its data folder.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";

export interface DaemonPlace {
    readonly id: string;
    readonly role: "entry" | "control";
    /** A loopback address of its own, so that ports may be equal. */
    readonly host: string;
    readonly dataCentre: string;
    readonly hasDisk: boolean;
}

export interface SiteProcesses {
    readonly controls: readonly DaemonPlace[];
    readonly entries: readonly DaemonPlace[];
    controlAddress(place: DaemonPlace): string;
    callersAddress(place: DaemonPlace): string;
    readyAddress(place: DaemonPlace): string;
    metricsAddress(place: DaemonPlace): string;
    start(id: string, options?: { readonly firstStart?: boolean }): void;
    /** Sends a signal to a daemon started here; resolves when the process is gone, for those that end it. */
    signal(id: string, signal: NodeJS.Signals): Promise<void>;
    wipe(id: string): void;
    /** What a daemon has written so far. */
    output(id: string): string;
    isRunning(id: string): boolean;
    stop(): Promise<void>;
}

export interface SiteProcessesOptions {
    readonly folder: string;
    readonly controls: number;
    /** Places of control daemons without a disk. */
    readonly diskless?: readonly number[];
    readonly entries: number;
    /** The last two parts of the loopback addresses begin here, apart from other sites on the machine. */
    readonly net: number;
    readonly port: number;
}

function settingsOf(place: DaemonPlace, seeds: readonly string[], firstStart: boolean, options: SiteProcessesOptions): string {
    const { port } = options;
    const listen = place.role === "entry"
        ? `callers = ${place.host}:${port}\nready = ${place.host}:${port + 1}\nmetrics = ${place.host}:${port + 4}`
        : `control = ${place.host}:${port + 2}\nrpc = ${place.host}:${port + 3}\nmetrics = ${place.host}:${port + 4}`;
    return `[daemon]
id = ${place.id}
data_centre = ${place.dataCentre}
roles = ${place.role}
${place.hasDisk ? `data_folder = ${join(options.folder, place.id)}\n` : ""}stop_s = 4
[listen]
${listen}
[control]
seeds = ${seeds.join(",")}
rpc_port = ${port + 3}
first_start = ${firstStart}
[repeats]
ratio = 0.2
slack = 160
`;
}

/** Lays out a site; nothing is started yet. */
export function createSiteProcesses(options: SiteProcessesOptions): SiteProcesses {
    const { folder, port, net } = options;
    const place = (role: "entry" | "control", index: number): DaemonPlace => ({
        id: `${role}-${index}`, role, host: `127.${net}.${role === "control" ? 1 : 2}.${index + 1}`, dataCentre: `dc-${index % 3}`,
        hasDisk: role === "control" && options.diskless?.includes(index) !== true,
    });
    const controls = Array.from({ length: options.controls }, (_, index) => place("control", index));
    const entries = Array.from({ length: options.entries }, (_, index) => place("entry", index));
    const places = new Map([...controls, ...entries].map(item => [item.id, item]));
    const running = new Map<string, ChildProcess>();
    const outputs = new Map<string, string[]>();
    const seeds = controls.slice(0, 3).map(item => `${item.host}:${port + 2}`);

    return {
        controls,
        entries,
        controlAddress: item => `${item.host}:${port + 2}`,
        callersAddress: item => `${item.host}:${port}`,
        readyAddress: item => `${item.host}:${port + 1}`,
        metricsAddress: item => `${item.host}:${port + 4}`,
        start(id, { firstStart = false } = {}) {
            const item = places.get(id)!;
            mkdirSync(join(folder, id), { recursive: true });
            const file = join(folder, `${id}.ini`);
            writeFileSync(file, settingsOf(item, seeds, firstStart, options));
            const child = spawn(process.execPath, ["dist/platform/main.js"], {
                env: { ...process.env, ZINNIALANDING_NODE_FILE: file }, stdio: ["ignore", "pipe", "pipe"],
            });
            const lines = outputs.get(id) ?? [];
            outputs.set(id, lines);
            child.stdout.on("data", chunk => lines.push(String(chunk)));
            child.stderr.on("data", chunk => lines.push(String(chunk)));
            running.set(id, child);
            child.on("exit", () => running.get(id) === child && running.delete(id));
        },
        signal(id, signal) {
            const child = running.get(id);
            if (child === undefined) {
                return Promise.resolve();
            }
            const isEnd = signal === "SIGKILL" || signal === "SIGTERM";
            const gone = isEnd ? new Promise<void>(resolve => child.once("exit", () => resolve())) : Promise.resolve();
            child.kill(signal);
            return gone;
        },
        wipe: id => rmSync(join(folder, id), { recursive: true, force: true }),
        output: id => (outputs.get(id) ?? []).join(""),
        isRunning: id => running.has(id),
        async stop() {
            const ended = [...running.values()].map(child => new Promise<void>(resolve => {
                child.once("exit", () => resolve());
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }));
            await Promise.all(ended);
        },
    };
}
