/**
 * Starts the daemons of a small site as separate processes on loopback addresses, with the commands and the settings of the deploy file,
 * and calls them as the operator does. Uses nothing but Node.js.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const repository = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const pause = ms => new Promise(done => setTimeout(done, ms));
export const hasTrouble = process.env.TROUBLE !== "0";

/** Thrown if a case can't run; the script ends with 2. */
export class CannotRun extends Error {}

/** Writes the lines of a run to `record.txt` in the folder of the case, each with the time since the start. */
export function openRecord(folder) {
    const file = join(folder, "record.txt");
    const startedMs = performance.now();
    writeFileSync(file, "");
    return line => {
        const text = `${((performance.now() - startedMs) / 1_000).toFixed(2).padStart(7)} s  ${line}`;
        appendFileSync(file, `${text}\n`);
        console.log(text);
    };
}

const portOffsets = { callers: 0, ready: 1, control: 2, rpc: 3, metrics: 4 };
const listenersByRole = { entry: ["callers", "ready", "metrics"], control: ["control", "rpc", "metrics"] };

function canListen(host, port) {
    return new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen({ host, port }, () => server.close(() => done(true)));
    });
}

/** Chooses a second octet and a port at which all the daemons can listen. */
async function chooseNet(names) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const net = 100 + Math.floor(Math.random() * 100);
        const port = 20_000 + 10 * Math.floor(Math.random() * 1_000);
        const checks = names.flatMap(({ host }) => Object.values(portOffsets).map(offset => canListen(host(net), port + offset)));
        if ((await Promise.all(checks)).every(Boolean)) {
            return { net, port };
        }
    }
    throw new CannotRun("no free ports");
}

function settingsOf({ id, role, host, zone, dataFolder }, { port, seeds, firstStart, memoryMb, heartbeatMs, graceS }) {
    const listeners = listenersByRole[role].map(name => `${name} = ${host}:${port + portOffsets[name]}`);
    return [
        "[daemon]", `id = ${id}`, `data_centre = ${zone}`, `roles = ${role}`, ...dataFolder === undefined ? [] : [`data_folder = ${dataFolder}`],
        `stop_s = ${graceS}`, "", "[listen]", ...listeners, "", "[control]", `seeds = ${seeds.join(",")}`, `rpc_port = ${port + portOffsets.rpc}`,
        `first_start = ${firstStart}`, `heartbeat_ms = ${heartbeatMs}`, "", "[repeats]", "ratio = 0.2", "slack = 162", "", "[memory]",
        `limit_mb = ${memoryMb}`, "",
    ].join("\n");
}

/**
 * Lays out a site of `controls` control daemons with a disk and `entries` entries in three zones. Daemons that use more memory than
 * `memoryMb` are killed, and daemons that end are started again after `restartMs`, both as the platform does.
 */
export async function createSite({
    controls = 3, entries = 0, memoryMb = 350, heartbeatMs = 1_200, graceS = 8, restartMs = 500, zones = ["scl-a", "scl-b", "scl-c"], record,
}) {
    const folder = mkdtempSync(join(tmpdir(), "review-2-"));
    const layout = [
        ...Array.from({ length: controls }, (_, index) => ({ id: `control-${index}`, role: "control", index, host: net => `127.${net}.1.${index + 1}` })),
        ...Array.from({ length: entries }, (_, index) => ({ id: `entry-${index}`, role: "entry", index, host: net => `127.${net}.2.${index + 1}` })),
    ];
    const { net, port } = await chooseNet(layout);
    const daemons = new Map(layout.map(({ id, role, index, host }) => [id, {
        id, role, host: host(net), zone: zones[index % zones.length], dataFolder: role === "control" ? join(folder, id) : undefined,
        child: undefined, output: "", ends: [], wanted: false, maxMb: 0, starts: 0,
    }]));
    const seeds = [...daemons.values()].filter(({ role }) => role === "control").slice(0, 3).map(({ host }) => `${host}:${port + portOffsets.control}`);
    let isStopped = false;

    function start(id, firstStart = false) {
        const daemon = daemons.get(id);
        if (daemon.child !== undefined || isStopped) {
            return;
        }
        daemon.wanted = true;
        daemon.starts++;
        if (daemon.dataFolder !== undefined) {
            mkdirSync(daemon.dataFolder, { recursive: true });
        }
        const file = join(folder, `${id}.ini`);
        writeFileSync(file, settingsOf(daemon, { port, seeds, firstStart, memoryMb, heartbeatMs, graceS }));
        const { PATH, HOME } = process.env;
        const child = spawn(process.execPath, ["--max-old-space-size=180", "target/start.mjs"], {
            cwd: repository, env: { PATH, HOME, LANG: "C.UTF-8", ZINNIALANDING_NODE_FILE: file }, stdio: ["ignore", "pipe", "pipe"],
        });
        daemon.child = child;
        child.stdout.on("data", chunk => daemon.output += chunk);
        child.stderr.on("data", chunk => daemon.output += chunk);
        child.on("error", error => daemon.output += `${error}\n`);
        child.on("exit", (status, signal) => {
            daemon.child = undefined;
            daemon.ends.push({ atMs: performance.now(), status, signal });
            if (daemon.wanted && !isStopped) {
                record?.(`${id} has ended by itself: status ${status}, signal ${signal}`);
                setTimeout(() => daemon.wanted && start(id), restartMs);
            }
        });
    }

    function memoryOf({ child }) {
        try {
            const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
            return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * 1_024 / 1e6;
        }
        catch {
            return 0;
        }
    }

    const memoryTimer = setInterval(() => {
        for (const daemon of daemons.values()) {
            if (daemon.child === undefined) {
                continue;
            }
            const usedMb = memoryOf(daemon);
            daemon.maxMb = Math.max(daemon.maxMb, usedMb);
            if (usedMb > memoryMb) {
                record?.(`the platform kills ${daemon.id}, which uses ${usedMb.toFixed(0)} MB of ${memoryMb} MB`);
                daemon.child.kill("SIGKILL");
            }
        }
    }, 20);

    /** Sends a signal. A daemon that gets SIGKILL or SIGTERM is not started again until `start`. Resolves once it has ended, if it does. */
    function signal(id, name) {
        const daemon = daemons.get(id);
        const { child } = daemon;
        if (child === undefined) {
            return Promise.resolve();
        }
        const ends = name === "SIGKILL" || name === "SIGTERM";
        daemon.wanted &&= !ends;
        const ended = ends ? new Promise(done => child.once("exit", done)) : Promise.resolve();
        child.kill(name);
        return ended;
    }

    async function stop() {
        isStopped = true;
        clearInterval(memoryTimer);
        const running = [...daemons.values()].filter(({ child }) => child !== undefined);
        const ended = running.map(({ child }) => new Promise(done => child.once("exit", done)));
        running.forEach(({ child }) => child.kill("SIGKILL"));
        await Promise.all(ended);
        rmSync(folder, { recursive: true, force: true });
    }

    const addressOf = (id, listener) => `${daemons.get(id).host}:${port + portOffsets[listener]}`;
    /** The processor time that a daemon has used, in ms. */
    function busyMs(id) {
        try {
            const fields = readFileSync(`/proc/${daemons.get(id).child.pid}/stat`, "utf8").split(") ")[1].split(" ");
            return (Number(fields[11]) + Number(fields[12])) * 10;
        }
        catch {
            return 0;
        }
    }

    return {
        busyMs, daemons, folder, net, port, start, signal, stop, addressOf,
        controls: [...daemons.values()].filter(({ role }) => role === "control").map(({ id }) => id),
        entries: [...daemons.values()].filter(({ role }) => role === "entry").map(({ id }) => id),
        wipe: id => rmSync(daemons.get(id).dataFolder, { recursive: true, force: true }),
    };
}

/** Sends one HTTP request on a new connection; resolves to its answer, without a status if none came. Never rejects. */
export function call(address, method, path, { body, headers = {}, timeoutMs = 1_000 } = {}) {
    const [host, port] = address.split(":");
    return new Promise(done => {
        const finish = (status, text) => {
            clearTimeout(timer);
            done({ status, text });
        };
        const outgoing = request({
            host, port, method, path, agent: false,
            headers: { ...body === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(body) }, ...headers },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => finish(response.statusCode, Buffer.concat(chunks).toString()));
            response.on("error", () => finish(undefined, ""));
        });
        const timer = setTimeout(() => {
            outgoing.destroy();
            finish(undefined, "");
        }, timeoutMs);
        outgoing.on("error", () => finish(undefined, ""));
        outgoing.end(body);
    });
}

/** Waits until `isMet` resolves to true; throws `CannotRun` if it doesn't in time. */
export async function waitUntil(what, isMet, timeoutMs = 20_000) {
    const untilMs = performance.now() + timeoutMs;
    while (performance.now() < untilMs) {
        if (await isMet()) {
            return;
        }
        await pause(50);
    }
    throw new CannotRun(`not within ${timeoutMs} ms: ${what}`);
}

/**
 * Calls daemons as the operator does: in turn, with increasing backoff, until one answers 2xx. Resolves to that answer, or to undefined
 * after `timeoutMs`. `timeoutOf` is how long one call may take.
 */
export async function callAsOperator(addresses, method, path, { body, timeoutMs, callTimeoutMs = 1_000, first = 0 }) {
    const untilMs = performance.now() + timeoutMs;
    for (let attempt = 0; performance.now() < untilMs; attempt++) {
        const answer = await call(addresses[(first + attempt) % addresses.length], method, path, { body, timeoutMs: callTimeoutMs });
        if (answer.status >= 200 && answer.status < 300) {
            return answer;
        }
        if ([400, 409, 412, 413, 422].includes(answer.status)) {
            return answer;
        }
        await pause(Math.min(1_000, 50 * 2 ** Math.min(attempt, 4)));
    }
    return undefined;
}

/** Runs a case: ends with 1 if it returns false, with 0 if it returns true, and with 2 if it can't run. Stops the site in any case. */
export async function runCase(folder, play) {
    const record = openRecord(folder);
    const stops = [];
    const stopAll = async () => {
        for (const stop of stops.splice(0).reverse()) {
            await stop();
        }
    };
    ["SIGINT", "SIGTERM", "SIGHUP"].forEach(name => process.once(name, () => void stopAll().then(() => process.exit(2))));
    const watchdog = setTimeout(() => {
        record("the case takes too long");
        void stopAll().then(() => process.exit(2));
    }, 115_000);
    let status = 2;
    try {
        record(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
        const held = await play({ record, onStop: stop => stops.push(stop) });
        status = held ? 0 : 1;
        record(held ? "the rule held" : "THE RULE WAS BROKEN");
    }
    catch (error) {
        record(`the case could not run: ${error instanceof CannotRun ? error.message : error.stack}`);
    }
    clearTimeout(watchdog);
    await stopAll();
    process.exit(status);
}
