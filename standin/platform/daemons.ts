/**
 * Runs the real daemons of a small site as separate processes on loopback, each with its settings file and,
 * for control daemons with a disk, its data folder.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";

export interface DaemonSpec {
    readonly id: string;
    readonly role: "entry" | "control";
    /** A separate loopback address for each daemon, so that all daemons can use the same ports. */
    readonly host: string;
    readonly dataCentre: string;
    readonly hasDisk: boolean;
}

export interface StartOptions {
    /** Whether the site starts for the first time. */
    readonly firstStart?: boolean;
    /** Options of Node.js for the process. */
    readonly execArgv?: readonly string[];
}

/** One start of a daemon: a process from its start to its end. Times are on the clock of `performance.now()`. */
export interface ProcessRun {
    readonly daemon: string;
    readonly pid: number | undefined;
    readonly startedAtMs: number;
    /** What has been sent to the process that may end it. */
    readonly endOrders: readonly NodeJS.Signals[];
    /** When and how the process ended, on its own or not; undefined while it runs. */
    readonly end: { readonly atMs: number; readonly status: number | undefined; readonly signal: NodeJS.Signals | undefined } | undefined;
    /** What it has written to stdout and stderr so far. */
    readonly output: string;
}

export interface SiteProcesses {
    readonly controls: readonly DaemonSpec[];
    readonly entries: readonly DaemonSpec[];
    controlAddress(daemon: DaemonSpec): string;
    callersAddress(daemon: DaemonSpec): string;
    readyAddress(daemon: DaemonSpec): string;
    metricsAddress(daemon: DaemonSpec): string;
    /** Starts a daemon unless it runs, as when several faults that overlap end by starting it again. */
    start(id: string, options?: StartOptions): void;
    /** Sends a signal to a running daemon; for SIGKILL and SIGTERM, resolves when the process has exited. */
    signal(id: string, signal: NodeJS.Signals): Promise<void>;
    wipe(id: string): void;
    /** The output that a daemon has written to stdout and stderr so far, over all its starts. */
    output(id: string): string;
    /** The part of the output on stdout, where daemons write their logs. */
    log(id: string): string;
    isRunning(id: string): boolean;
    /** Whether a daemon runs and has said that it has started. */
    hasStarted(id: string): boolean;
    /** Every start of every daemon so far, in the order of time. */
    runs(): ProcessRun[];
    stop(): Promise<void>;
}

export interface SiteProcessesOptions {
    readonly folder: string;
    readonly controls: number;
    /** Indexes of the control daemons that run without a disk. */
    readonly diskless?: readonly number[];
    readonly entries: number;
    /** The second octet of the loopback addresses; distinct for each site that runs on the machine at the same time. */
    readonly net: number;
    readonly port: number;
    /** The memory that each daemon may use, in MB; not stated by default. */
    readonly memoryLimitMb?: number;
}

interface RecordedRun extends Omit<ProcessRun, "output"> {
    readonly child: ChildProcess;
    readonly endOrders: NodeJS.Signals[];
    readonly chunks: string[];
    readonly logChunks: string[];
    end: ProcessRun["end"];
}

const endingSignals: readonly NodeJS.Signals[] = ["SIGTERM", "SIGKILL"];

function formatSettings(daemon: DaemonSpec, seeds: readonly string[], firstStart: boolean, options: SiteProcessesOptions): string {
    const { port, memoryLimitMb, controls, diskless = [] } = options;
    const toleratedDiskLosses = Math.max(0, Math.floor((controls - diskless.length - 1) / 2));
    const listen = daemon.role === "entry"
        ? `callers = ${daemon.host}:${port}\nready = ${daemon.host}:${port + 1}\nmetrics = ${daemon.host}:${port + 4}`
        : `control = ${daemon.host}:${port + 2}\nrpc = ${daemon.host}:${port + 3}\nmetrics = ${daemon.host}:${port + 4}`;
    return `[daemon]
id = ${daemon.id}
data_centre = ${daemon.dataCentre}
roles = ${daemon.role}
${daemon.hasDisk ? `data_folder = ${join(options.folder, daemon.id)}\n` : ""}stop_s = 4
[listen]
${listen}
[control]
seeds = ${seeds.join(",")}
rpc_port = ${port + 3}
first_start = ${firstStart}
tolerated_disk_losses = ${toleratedDiskLosses}
[repeats]
ratio = 0.2
slack = 160
[overload]
mode = auto
${memoryLimitMb === undefined ? "" : `[memory]\nlimit_mb = ${memoryLimitMb}\n`}`;
}

/** Creates the layout of a site without starting any daemon. */
export function createSiteProcesses(options: SiteProcessesOptions): SiteProcesses {
    const { folder, port, net } = options;
    const createSpec = (role: "entry" | "control", index: number): DaemonSpec => ({
        id: `${role}-${index}`, role, host: `127.${net}.${role === "control" ? 1 : 2}.${index + 1}`, dataCentre: `dc-${index % 3}`,
        hasDisk: role === "control" && options.diskless?.includes(index) !== true,
    });
    const controls = Array.from({ length: options.controls }, (_, index) => createSpec("control", index));
    const entries = Array.from({ length: options.entries }, (_, index) => createSpec("entry", index));
    const specs = new Map([...controls, ...entries].map(item => [item.id, item]));
    const running = new Map<string, RecordedRun>();
    const runs: RecordedRun[] = [];
    const seeds = controls.slice(0, 3).map(item => `${item.host}:${port + 2}`);

    return {
        controls,
        entries,
        controlAddress: item => `${item.host}:${port + 2}`,
        callersAddress: item => `${item.host}:${port}`,
        readyAddress: item => `${item.host}:${port + 1}`,
        metricsAddress: item => `${item.host}:${port + 4}`,
        start(id, { firstStart = false, execArgv = [] } = {}) {
            if (running.has(id)) {
                return;
            }
            const item = specs.get(id)!;
            mkdirSync(join(folder, id), { recursive: true });
            const file = join(folder, `${id}.ini`);
            writeFileSync(file, formatSettings(item, seeds, firstStart, options));
            const child = spawn(process.execPath, [...execArgv, "dist/platform/main.js"], {
                env: { ...process.env, ZINNIALANDING_NODE_FILE: file }, stdio: ["ignore", "pipe", "pipe"],
            });
            const run: RecordedRun = {
                daemon: id, pid: child.pid, startedAtMs: performance.now(), child, endOrders: [], end: undefined, chunks: [], logChunks: [],
            };
            runs.push(run);
            running.set(id, run);
            child.stdout.on("data", chunk => [run.chunks, run.logChunks].forEach(chunks => chunks.push(String(chunk))));
            child.stderr.on("data", chunk => run.chunks.push(String(chunk)));
            child.on("exit", (status, signal) => {
                run.end = { atMs: performance.now(), status: status ?? undefined, signal: signal ?? undefined };
                running.delete(id);
            });
        },
        signal(id, signal) {
            const run = running.get(id);
            if (run === undefined) {
                return Promise.resolve();
            }
            const { child, endOrders } = run;
            const endsProcess = endingSignals.includes(signal);
            const exited = endsProcess ? new Promise<void>(resolve => child.once("exit", () => resolve())) : Promise.resolve();
            child.kill(signal);
            if (endsProcess) {
                endOrders.push(signal);
            }
            return exited;
        },
        wipe: id => rmSync(join(folder, id), { recursive: true, force: true }),
        output: id => runs.filter(({ daemon }) => daemon === id).flatMap(({ chunks }) => chunks).join(""),
        log: id => runs.filter(({ daemon }) => daemon === id).flatMap(({ logChunks }) => logChunks).join(""),
        isRunning: id => running.has(id),
        hasStarted: id => running.get(id)?.chunks.some(chunk => chunk.includes("\"message\":\"started\"")) === true,
        runs: () => runs.map(({ daemon, pid, startedAtMs, endOrders, end, chunks }) => ({ daemon, pid, startedAtMs, endOrders, end, output: chunks.join("") })),
        async stop() {
            const exits = [...running.values()].map(({ child, endOrders }) => new Promise<void>(resolve => {
                child.once("exit", () => resolve());
                endOrders.push("SIGKILL");
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }));
            await Promise.all(exits);
        },
    };
}
