/**
 * Six control daemons with disks, two of which may be lost at once. Machines lose power one after the other, and one of them is back for
 * a while in between. Then a manifest is acknowledged, and two machines lose their disks. See `claim.txt`.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createOperator } from "../lib-2/operator.mjs";
import { createSite, smallBounds } from "../lib-2/site.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const [heldExit, brokenExit, cannotRunExit] = [0, 1, 2];
/** The bounds of a deployment with two disks in each zone. */
const bounds = { ...smallBounds, contactMs: 4000, ackMs: 5000, catchUpS: 6, configApplyMs: 2500, outerMs: 6000, recoverS: 15 };
const names = ["a", "b", "c", "d", "e", "f"];
const machines = names.map((name, index) => ({ name, zone: `zone-${Math.floor(index / 2)}`, hasDisk: true, roles: ["control"] }));
/** Time without power, several times what it takes until others notice. */
const darkMs = 4_000;
const msPerSecond = 1_000;
/** After the machines are back: `recoverS`, and twice the time for which the manifest is read back. */
const readBackMs = bounds.recoverS * msPerSecond + 2 * bounds.contactMs;

const startedAtMs = performance.now();
const lines = [];
function record(line) {
    lines.push(`${((performance.now() - startedAtMs) / msPerSecond).toFixed(2)} s  ${line}`);
}

const manifest = version => ({
    version,
    routes: [{ name: "r", host: "a.example", pathPrefix: "/r/", kind: "idempotent", timeoutMs: 4000, service: "app", maxAttempts: 2 }],
    services: [{ name: "app", healthPath: "/healthz", maxConns: 100, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
});

async function run(site) {
    const operator = createOperator(site.controlAddresses, record);
    const start = async name => {
        site.start(name);
        record(`${name} has power again`);
    };
    const lose = async (...lost) => {
        await Promise.all(lost.map(name => site.kill(name)));
        record(`${lost.join(", ")}: no power; on: ${names.filter(name => site.isRunning(name, "control")).join(", ")}`);
        await pause(darkMs);
    };

    names.forEach(name => site.start(name, { bootstrap: true }));
    if (!(await operator.publish(manifest(1))).isAcknowledged) {
        return cannotRunExit;
    }
    // All six vote by now: each has been up for longer than `catchUpS`.
    await pause(bounds.catchUpS * msPerSecond);
    if (hasTrouble) {
        await lose("e", "f");
        await lose("d");
        await start("e");
        await pause(bounds.catchUpS * msPerSecond);
        await lose("c");
        await lose("e");
    }
    // Not acknowledged: service may be suspended during losses beyond the tolerance.
    const { isAcknowledged } = await operator.publish(manifest(2), 2 * bounds.ackMs);
    if (hasTrouble) {
        await Promise.all(["a", "b"].map(name => site.kill(name)));
        ["a", "b"].forEach(name => site.wipe(name));
        record("a, b: no power, disks lost");
        await pause(msPerSecond);
        await Promise.all(names.map(start));
    }
    const expected = isAcknowledged ? 2 : 1;
    record(`all machines are on; the manifest that was acknowledged last is ${expected}`);
    const untilMs = performance.now() + (hasTrouble ? readBackMs : bounds.contactMs);
    const versions = new Map();
    while (performance.now() < untilMs) {
        const answers = await Promise.all(site.controlAddresses.map(address => operator.read(address)));
        answers.forEach(version => versions.set(version, (versions.get(version) ?? 0) + 1));
        await pause(500);
    }
    [...versions].forEach(([version, count]) => record(`read back: ${version === undefined ? "no manifest" : `manifest ${version}`}, ${count} times`));
    // A version above the acknowledged one was sent without a clear answer, and may be in force.
    const isThere = [...versions.keys()].some(version => version >= expected);
    const isOlder = hasTrouble ? false : [...versions.keys()].some(version => version < expected);
    record(isThere && !isOlder ? "held" : "LOST: what was acknowledged is gone");
    return isThere && !isOlder ? heldExit : brokenExit;
}

let status = cannotRunExit;
let site;
try {
    site = await createSite({ machines, bounds, tolerance: { machines: 2, zones: 1, regions: 0 }, memoryMb: 250 });
    status = await run(site);
    site.ownEnds.forEach(({ name, code }) => record(`${name} ended by itself with ${code}`));
}
catch (error) {
    record(`the case could not run: ${error.message}`);
}
finally {
    await site?.stop();
}
writeFileSync(join(dirname(fileURLToPath(import.meta.url)), "record.txt"), `${lines.join("\n")}\n`);
process.exit(status);
