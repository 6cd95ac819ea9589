/**
 * Runs the daemons of a small deployment as separate processes on loopback, with the commands and the template of the deploy file. Each
 * machine has a loopback address of its own; its processes are killed, stopped, continued and restarted, and its disk is removed, as the
 * users' platform would do it.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { renderSettings } from "./settings.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const portNames = ["front", "ready", "control"];
/** Ports between daemons: the first to the last of `portRange`. */
const rangePorts = 16;
/** The metrics ports of the deploy file. */
const metricsPorts = [9101, 9102];
const [firstNetwork, networks, lockPort] = [20, 200, 20_999];
const cannotRunExit = 2;

/** The bounds of a small deployment, as DEPLOY.md shows them. */
export const smallBounds = {
    seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lostSlackMs: 200, configApplyMs: 2000,
    downgradeSlackMs: 250, outerMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 162,
    coldOverage: 1.5, coldSlack: 5, evacuateMs: 5000, recoverS: 12, passMs: 120, retryAfterS: 0, stallMs: 5000, requireFencing: false,
    ceilingWindowS: 5, ceilingOverage: 1.1,
};

/** Reads the command of a role from the deploy file. */
function commandOf(role) {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    const section = text.slice(text.indexOf(`[roles.${role}]`));
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

function canListen(host, port) {
    return new Promise(resolve => {
        const server = createServer().once("error", () => resolve(false));
        server.listen({ host, port, exclusive: true }, () => server.close(() => resolve(true)));
    });
}

async function areFree(hosts, ports) {
    const results = await Promise.all(hosts.flatMap(host => ports.map(port => canListen(host, port))));
    return results.every(Boolean);
}

/** Listens at an address that a site holds as long as it exists, so that no other site chooses its network. */
function holdNetwork(net) {
    return new Promise(resolve => {
        const server = createServer().once("error", () => resolve(undefined));
        server.listen({ host: `127.${net}.254.1`, port: lockPort, exclusive: true }, () => resolve(server.unref()));
    });
}

/** Chooses a network 127.N that no other site has, and ports that are free on all of its addresses. */
async function chooseAddresses(machines) {
    for (let attempt = 0; attempt < networks; attempt++) {
        const net = firstNetwork + (process.pid + attempt) % networks;
        const base = 21_000 + Math.floor(Math.random() * 300) * 32;
        const lock = await holdNetwork(net);
        const hosts = machines.map((_, index) => `127.${net}.1.${1 + index}`);
        const ports = [...Array.from({ length: portNames.length + rangePorts }, (_, index) => base + index), ...metricsPorts];
        if (lock !== undefined && await areFree(hosts, ports)) {
            return { net, base, hosts, lock };
        }
        lock?.close();
    }
    throw new Error("no free addresses");
}

/**
 * Creates a site. `machines` have `name`, `zone`, `hasDisk` and `roles`; the first one with a disk in each zone, up to three, are seeds.
 * Nothing runs before `start` is called.
 */
export async function createSite({ machines, bounds = smallBounds, tolerance, heartbeatMs = 1200, memoryMb = 350, diskMb = 64 }) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const { net, base, hosts, lock } = await chooseAddresses(machines);
    const specs = new Map(machines.map((machine, index) => [machine.name, { ...machine, ip: hosts[index] }]));
    const ports = { front: base, ready: base + 1, control: base + 2, range: base + 3 };
    const controls = [...specs.values()].filter(({ roles }) => roles.includes("control"));
    const zones = [...new Set(machines.map(({ zone }) => zone))];
    const seeds = zones.map(zone => controls.find(machine => machine.zone === zone && machine.hasDisk)).filter(Boolean).slice(0, 3)
        .map(({ ip }) => `${ip}:${ports.control}`);
    /** Running processes by machine and role. */
    const running = new Map();
    /** Every exit that nobody has asked for. */
    const ownEnds = [];
    const keyOf = (name, role) => `${name}/${role}`;
    // Whatever ends this process, no daemon stays behind.
    process.once("exit", () => running.forEach(({ child }) => child.kill("SIGKILL")));
    process.once("SIGTERM", () => process.exit(cannotRunExit));

    function fieldsOf({ name, zone, ip, hasDisk }, role, bootstrap) {
        const listen = role === "entry"
            ? { front: `${ip}:${ports.front}`, readyAddr: `${ip}:${ports.ready}` }
            : { control: `${ip}:${ports.control}` };
        return {
            nodeName: name, role, machineClass: "front", serves: [role === "entry" ? "front" : "control"], ip, zone, region: "region",
            portRange: [ports.range, ports.range + rangePorts - 1], seeds, bootstrap, inTolerance: hasDisk,
            ...hasDisk ? { dataDir: dataFolder(name, role) } : {},
            discovery: "registry", entry: "vip", heartbeatMs, configMode: "highest",
            zones: Object.fromEntries(zones.map(item => [item, "region"])), listen,
            limits: { cpuShare: 0.608, cores: 2, memoryMb, maxFds: 4100, linkMbps: 1000, diskMb: hasDisk ? diskMb : 0 },
            faultTolerance: tolerance, bounds,
        };
    }

    function dataFolder(name, role) {
        return join(folder, "disks", name, role);
    }

    function startRole(name, role, bootstrap) {
        const key = keyOf(name, role);
        if (running.has(key)) {
            return;
        }
        const machine = specs.get(name);
        if (machine.hasDisk) {
            mkdirSync(dataFolder(name, role), { recursive: true });
        }
        const settingsFile = join(folder, `${name}-${role}.ini`);
        writeFileSync(settingsFile, renderSettings(join(root, "platform", "settings.ini"), fieldsOf(machine, role, bootstrap)));
        const log = openSync(join(folder, `${name}-${role}.log`), "a");
        const [program, ...options] = commandOf(role);
        const child = spawn(program, options, {
            cwd: root, stdio: ["ignore", log, log],
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ZINNIALANDING_NODE_FILE: settingsFile },
        });
        const entry = { child, isAsked: false };
        running.set(key, entry);
        child.once("exit", (code, signal) => {
            running.delete(key);
            if (!entry.isAsked) {
                ownEnds.push({ name, role, code, signal });
            }
        });
    }

    const rolesOf = (name, role) => role === undefined ? specs.get(name).roles : [role];

    function signal(name, kind, role) {
        for (const item of rolesOf(name, role)) {
            running.get(keyOf(name, item))?.child.kill(kind);
        }
    }

    async function end(name, kind, role) {
        await Promise.all(rolesOf(name, role).map(item => {
            const entry = running.get(keyOf(name, item));
            if (entry === undefined) {
                return undefined;
            }
            entry.isAsked = true;
            const exited = new Promise(resolve => entry.child.once("exit", resolve));
            entry.child.kill(kind);
            if (kind === "SIGKILL") {
                entry.child.kill("SIGCONT");
            }
            return exited;
        }));
    }

    return {
        folder, net, ports, seeds, ownEnds,
        machines: [...specs.values()],
        machine: name => specs.get(name),
        controlAddresses: controls.map(({ ip }) => `${ip}:${ports.control}`),
        frontAddress: name => `${specs.get(name).ip}:${ports.front}`,
        readyAddress: name => `${specs.get(name).ip}:${ports.ready}`,
        /** An address of this network that no machine has, for upstreams. */
        freeHost: index => `127.${net}.9.${index + 1}`,
        /** Starts the processes of a machine. */
        start: (name, { bootstrap = false, role } = {}) => rolesOf(name, role).forEach(item => startRole(name, item, bootstrap)),
        /** Ends the processes of a machine at once; their disk stays. */
        kill: (name, role) => end(name, "SIGKILL", role),
        /** Asks the processes of a machine to stop and waits for their end. */
        terminate: (name, role) => end(name, "SIGTERM", role),
        freeze: (name, role) => signal(name, "SIGSTOP", role),
        thaw: (name, role) => signal(name, "SIGCONT", role),
        /** Removes the disk of a machine whose processes have ended. */
        wipe: name => rmSync(join(folder, "disks", name), { recursive: true, force: true }),
        pid: (name, role) => running.get(keyOf(name, role))?.child.pid,
        isRunning: (name, role) => running.has(keyOf(name, role)),
        log: (name, role) => readFileSync(join(folder, `${name}-${role}.log`), "utf8"),
        async stop() {
            await Promise.all([...specs.keys()].map(name => end(name, "SIGKILL")));
            await pause(50);
            lock.close();
            if (process.env.KEEP === undefined) {
                rmSync(folder, { recursive: true, force: true });
            }
        },
    };
}
