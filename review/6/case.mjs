/**
 * A control daemon loses its disk. Once it is back for `catchUpS`, another one loses its disk.
 *
 * @module
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, callAsOperator, createSite, hasTrouble, pause, runCase, waitUntil } from "../lib-3/site.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const catchUpMs = 4_000;
const downMs = 1_000;
const readMs = 30_000;
const changes = Number(process.env.CHANGES ?? 400);
/** As many routes as the largest single growth of the manifest of this site adds. */
const routes = 410;

/** A manifest of `routes` routes; versions differ in the time-out of one of them. */
function manifest(version) {
    const route = index => ({
        name: `r-${index.toString(36).padStart(6, "0")}`, host: "ficu95.example", pathPrefix: `/pufi${index}/`, kind: "idempotent",
        timeoutMs: 800 + (index === 0 ? version % 100 : 0), targetLatencyMs: 150, priority: 2, service: "orders", maxAttempts: 2, public: false,
        sessionAffinity: false, resumeStreams: false,
    });
    return JSON.stringify({
        version, routes: Array.from({ length: routes }, (_, index) => route(index)),
        services: [{ name: "orders", healthPath: "/healthz", maxConns: 120, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "hule930", apiKeys: ["n2ctnfzs989anu6wsjnb"], priority: 1 }],
    });
}

async function play({ record, onStop }) {
    const site = await createSite({ controls: 3, entries: 0, record });
    onStop(site.stop);
    site.controls.forEach(id => site.start(id, true));
    const addresses = site.controls.map(id => site.addressOf(id, "control"));
    const put = (version, timeoutMs = 8_000) =>
        callAsOperator(addresses, "POST", "/api/config/put", { body: manifest(version), timeoutMs, callTimeoutMs: 2_000, first: version });
    await waitUntil("the first manifest is acknowledged", async () => (await put(1, 3_000))?.status === 200);
    record(`the first manifest is acknowledged; each has ${manifest(1).length} bytes`);
    let acknowledged = 1;
    for (let version = 2; version <= changes; version++) {
        if ((await put(version))?.status !== 200) {
            record(`version ${version} is not acknowledged`);
            return false;
        }
        acknowledged = version;
    }
    record(`versions up to ${acknowledged} are acknowledged`);
    await pause(2_000);

    const listens = async id => (await call(site.addressOf(id, "control"), "GET", "/api/config/get", { timeoutMs: 300 })).status !== undefined;
    async function loseDisk(id) {
        await site.signal(id, "SIGKILL");
        site.wipe(id);
        record(`${id} loses its process and its disk`);
        await pause(downMs);
        site.start(id);
        await waitUntil(`${id} listens`, () => listens(id));
        record(`${id} is back, with an empty disk`);
    }
    if (hasTrouble) {
        await loseDisk("control-2");
        await pause(catchUpMs + 200);
        record(`control-2 has been back for more than ${catchUpMs} ms, and counts as lost no more`);
        await loseDisk("control-1");
    }
    const untilMs = performance.now() + readMs;
    const answers = new Map();
    for (let attempt = 0; performance.now() < untilMs; attempt++) {
        const { status, text } = await call(addresses[attempt % addresses.length], "GET", "/api/config/get", { timeoutMs: 1_000 });
        answers.set(status, (answers.get(status) ?? 0) + 1);
        if (status === 200) {
            const isNewest = text === manifest(acknowledged);
            record(`the manifest is read back: ${isNewest ? "the newest acknowledged one" : `another one, of ${text.length} bytes`}`);
            return isNewest;
        }
        await pause(200);
    }
    record(`version ${acknowledged} is not read back within ${readMs} ms: ${[...answers].map(([status, count]) => `${status}: ${count}`).join("; ")}`);
    for (const { id, output } of site.daemons.values()) {
        output.split("\n").filter(line => line.includes("consensus: ")).map(line => JSON.parse(line)).slice(-5)
            .forEach(({ message, timestamp }) => record(`${id} at ${timestamp}: ${message}`));
    }
    return false;
}

void runCase(folder, play);
