/**
 * A control daemon is killed while it takes over a snapshot. It comes back and serves, but its log has a hole: after its next restart it
 * never starts again. So when one other daemon loses its disk, what the operator was told is accepted is gone.
 *
 * @module
 */

import { readdirSync, readFileSync, rmSync, watch } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, pause } from "../lib/http.mjs";
import { order } from "../lib/operator.mjs";
import { runCase } from "../lib/record.mjs";
import { bounds } from "../lib/settings.mjs";
import { createSite } from "../lib/site.mjs";

/** Changes that the daemon misses while it is down, more than the others keep in their logs, and the pause between two of them. */
const [missedChanges, changeGapMs] = [52, 80];
/** Changes that the daemon acknowledges after it is back, less than those after which it writes a snapshot itself. */
const laterChanges = 5;
/** How often the daemon is killed anew if it had completed the snapshot before the kill. */
const maxRounds = 10;
const changeWithinMs = 10_000;
const snapshotWithinMs = 10_000;
/** A process that was killed is started again after a short delay. */
const restartDelayMs = 300;
const downMs = 1_000;
/** The operator reads the manifest back at least for `contactMs`; this is well beyond that and beyond `recoverS`. */
const readBackMs = bounds.recoverS * 1_000 + 2 * bounds.contactMs;

const route = {
    name: "listing", host: "talks.example", pathPrefix: "/listing/", kind: "idempotent", targetLatencyMs: 386, priority: 2,
    service: "listings", maxAttempts: 2, public: true,
};
const services = [{ name: "listings", healthPath: "/healthz", maxConns: 55, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0 }];

let site;
let version = 0;
/** Ends the restarts of processes that end by themselves. */
let isOver = false;

/** Sends the next manifest until it is acknowledged. */
async function change(machines) {
    version++;
    const manifest = JSON.stringify({ version, routes: [{ ...route, timeoutMs: 1_000 + version }], services, limits: {} });
    if (!await order(machines.map(site.controlAddress), "/api/config/put", manifest, changeWithinMs)) {
        throw new Error(`version ${version} was not acknowledged`);
    }
}

/** The names of a daemon's files of one kind, the newest last. */
function listFiles(machine, pattern) {
    return readdirSync(machine.folder).filter(name => pattern.test(name)).sort();
}

/** Whether the log on disk begins anew after the newest snapshot. */
function isSnapshotCompleted(machine) {
    const newest = listFiles(machine, /^log-\d+\.seg$/).at(-1);
    const index = Number(/\d+/.exec(listFiles(machine, /^snapshot-\d+\.snap$/).at(-1))[0]);
    return readFileSync(join(machine.folder, newest), "latin1").includes(`"resetTo":${index}`);
}

/** Resolves to the name of the next snapshot that a daemon has put in place, after `onPlaced`. */
function waitForSnapshot(machine, onPlaced) {
    return new Promise((resolve, reject) => {
        const known = new Set(listFiles(machine, /\.snap$/));
        const watcher = watch(machine.folder, (_event, name) => {
            if (name?.endsWith(".snap") && !known.has(name)) {
                onPlaced();
                done();
                resolve(name);
            }
        });
        const timer = setTimeout(() => {
            done();
            reject(new Error(`${machine.name} took over no snapshot`));
        }, snapshotWithinMs);
        function done() {
            clearTimeout(timer);
            watcher.close();
        }
    });
}

/** The daemon misses changes, comes back and takes over a snapshot. Returns whether it was killed in the middle of that. */
async function comeBack(daemon, others, record, isTroubled) {
    await site.signal(daemon, "SIGKILL");
    record(`${daemon.name} is killed`);
    for (let count = 0; count < missedChanges; count++) {
        await change(others);
        await pause(changeGapMs);
    }
    record(`operator: versions up to ${version} acknowledged`);
    let hasEnded = Promise.resolve();
    const placed = waitForSnapshot(daemon, () => {
        hasEnded = isTroubled ? site.signal(daemon, "SIGKILL") : hasEnded;
    });
    site.start(daemon);
    record(`${daemon.name} is started again`);
    const name = await placed;
    await hasEnded;
    if (!isTroubled) {
        record(`${daemon.name} has put ${name} in place`);
        return false;
    }
    const isHit = !isSnapshotCompleted(daemon);
    record(`${daemon.name} has put ${name} in place and is killed, ${isHit ? "before" : "after"} its log begins anew`);
    await pause(restartDelayMs);
    site.start(daemon);
    record(`${daemon.name} is started again`);
    return isHit;
}

/** Starts processes again that end by themselves, as the platform does. */
async function restartEnded(record, starts) {
    while (!isOver) {
        for (const machine of site.controls.filter(control => !site.isRunning(control))) {
            await pause(restartDelayMs);
            if (!isOver) {
                starts.set(machine, (starts.get(machine) ?? 0) + 1);
                site.start(machine);
            }
        }
        await pause(50);
    }
}

/** The final fault: one daemon loses its disk; all others of the core are killed at the same moment. All are back a second later. */
async function finalFault(wiped, record) {
    await Promise.all(site.controls.map(machine => site.signal(machine, "SIGKILL")));
    rmSync(wiped.folder, { recursive: true, force: true });
    record(`final fault: ${wiped.name} loses its disk, all control daemons are killed`);
    await pause(downMs);
    site.controls.forEach(site.start);
    record("all control daemons are started again");
}

/** Reads the manifest back at all daemons in turn. Returns the newest version read; 0 if none came. */
async function readBack(record) {
    const untilMs = performance.now() + readBackMs;
    let newest = 0;
    for (let attempt = 0; performance.now() < untilMs && newest < version; attempt++) {
        const machine = site.controls[attempt % site.controls.length];
        const { status, text, reason } = await call(site.controlAddress(machine), { path: "/api/config/get", timeoutMs: 1_000 });
        const read = status === 200 ? JSON.parse(text).version : undefined;
        newest = Math.max(newest, read ?? 0);
        record(`operator: read at ${machine.name}: ${read === undefined ? status ?? reason : `version ${read}`}`);
        await pause(200);
    }
    return newest;
}

async function play(record, isTroubled) {
    site = await createSite(1);
    site.startAll(true);
    const [first, second, third] = site.controls;
    await change(site.controls);
    record("operator: version 1 acknowledged");
    let isHit = false;
    for (let round = 0; round < maxRounds && !isHit; round++) {
        isHit = await comeBack(third, [first, second], record, isTroubled);
        if (!isTroubled) {
            break;
        }
    }
    if (isTroubled && !isHit) {
        throw new Error("the daemon was never killed in the middle of a snapshot");
    }
    await pause(1_000);
    for (let count = 0; count < laterChanges; count++) {
        await change(site.controls);
    }
    record(`operator: versions up to ${version} acknowledged`);
    // Until then the daemon still counts as lost.
    await pause(bounds.catchUpS * 1_000);
    record(`${third.name} ${site.isRunning(third) ? "runs" : "does not run"}`);
    await change(site.controls);
    record(`operator: version ${version} acknowledged`);
    await finalFault(second, record);
    const starts = new Map();
    const restarting = restartEnded(record, starts);
    const newest = await readBack(record);
    isOver = true;
    await restarting;
    starts.forEach((count, machine) => record(`${machine.name} ended by itself ${count} times: ${lastError(machine)}`));
    return newest < version
        ? `version ${version} was acknowledged, and is gone after the final fault: ${newest === 0 ? "no manifest comes" : `version ${newest} is read`}`
        : undefined;
}

function lastError(machine) {
    const line = site.output(machine).split("\n").filter(text => text.includes("Error")).at(-1) ?? "no error printed";
    return line.replaceAll(machine.folder, "(data folder)");
}

async function cleanUp() {
    isOver = true;
    await site?.stop();
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), play, cleanUp);
