/**
 * A small deployment of the project's own daemons as separate processes on loopback, started with the commands of the deploy file.
 * Each machine has an address of its own, so that all of them use the same ports, as on the platform.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { drawNetwork, findPorts } from "./ports.mjs";
import { bounds, heartbeatMs, readDeployment, renderSettings } from "./settings.mjs";

const root = fileURLToPath(new URL("../..", import.meta.url));
export const zones = ["reduit", "moka", "ebene"];
/** Ports by their offset from the first one. */
const offsets = { front: 0, ready: 1, control: 2, rpc: 3 };
/** The template has fixed ports for metrics. */
const metricsPorts = [9_101, 9_102];
const memoryMb = 350;

function fieldsOf(machine, port, seeds, isFirstStart) {
    const at = offset => `${machine.ip}:${port + offset}`;
    return {
        nodeName: machine.name, role: machine.role, zone: machine.zone, ip: machine.ip, seeds, bootstrap: isFirstStart, heartbeatMs, bounds,
        portRange: [port + offsets.rpc, port + offsets.rpc + 12], limits: { memoryMb },
        ...machine.role === "control" ? { dataDir: machine.folder, listen: { control: at(offsets.control) } } : {},
        ...machine.role === "entry" ? { listen: { front: at(offsets.front), readyAddr: at(offsets.ready) } } : {},
    };
}

/** Creates a site of three control daemons with a disk, one in each zone, and `entryCount` entries. Starts nothing yet. */
export async function createSite(entryCount) {
    const network = drawNetwork();
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const deployment = readDeployment(join(root, "deploy/system.toml"));
    const createMachine = (role, index) => ({
        name: `front-${zones[index % zones.length]}-${role === "control" ? 1 : 2 + Math.floor(index / zones.length)}`, role,
        ip: `${network}.${(role === "control" ? 10 : 20) + index}`, zone: zones[index % zones.length], folder: join(folder, `${role}-${index}`),
    });
    const controls = zones.map((_, index) => createMachine("control", index));
    const entries = Array.from({ length: entryCount }, (_, index) => createMachine("entry", index));
    const port = await findPorts([...controls, ...entries].map(({ ip }) => ip), Object.keys(offsets).length, metricsPorts);
    const seeds = controls.map(({ ip }) => `${ip}:${port + offsets.control}`);
    const processes = new Map();
    const outputs = new Map();

    // Whatever ends this process, no daemon stays behind.
    process.once("exit", () => processes.forEach(child => child.kill("SIGKILL")));

    function start(machine, isFirstStart) {
        const { command, template } = deployment[machine.role];
        const settingsFile = join(folder, `${machine.role}-${machine.ip}.ini`);
        mkdirSync(machine.folder, { recursive: true });
        const text = readFileSync(join(root, template), "utf8");
        writeFileSync(settingsFile, renderSettings(text, fieldsOf(machine, port, seeds, isFirstStart)));
        const [program, ...args] = command;
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: root, stdio: ["ignore", "pipe", "pipe"],
            env: { PATH: process.env.PATH, HOME: folder, LANG: "C", ZINNIALANDING_NODE_FILE: settingsFile },
        });
        const lines = outputs.get(machine) ?? [];
        outputs.set(machine, lines);
        child.stdout.on("data", chunk => lines.push(String(chunk)));
        child.stderr.on("data", chunk => lines.push(String(chunk)));
        processes.set(machine, child);
        child.once("exit", () => processes.get(machine) === child && processes.delete(machine));
    }

    return {
        controls,
        entries,
        /** The addresses at which the operator and the runners reach control. */
        controlAddresses: seeds,
        controlAddress: machine => `${machine.ip}:${port + offsets.control}`,
        frontAddress: machine => `${machine.ip}:${port + offsets.front}`,
        readyAddress: machine => `${machine.ip}:${port + offsets.ready}`,
        /** An address of the site's network for a runner. */
        runnerHost: index => `${network}.${100 + index}`,
        startAll: isFirstStart => [...controls, ...entries].forEach(machine => start(machine, isFirstStart)),
        start: machine => start(machine, false),
        isRunning: machine => processes.has(machine),
        /** What a process has printed, over all its starts. */
        output: machine => (outputs.get(machine) ?? []).join(""),
        /** Sends a signal; for one that ends the process, resolves when it has ended. */
        signal(machine, signal) {
            const child = processes.get(machine);
            if (child === undefined) {
                return Promise.resolve();
            }
            const isEnd = signal === "SIGKILL" || signal === "SIGTERM";
            const ended = isEnd ? new Promise(resolve => child.once("exit", resolve)) : Promise.resolve();
            child.kill(signal);
            return ended;
        },
        /** Ends every process that was started and removes the temporary folder. */
        async stop() {
            await Promise.all([...processes.values()].map(child => new Promise(resolve => {
                child.once("exit", resolve);
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            })));
            rmSync(folder, { recursive: true, force: true });
        },
    };
}
