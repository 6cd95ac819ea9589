/**
 * The runners of a service end each answer with its channel, in order. After a while, requests that everybody sends alike are refused.
 *
 * @module
 */

import { Agent, request } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { startService } from "../../lib-3/service.mjs";
import { call, callAsOperator, createSite, hasTrouble, pause, runCase, waitUntil } from "../../lib-3/site.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const zones = ["scl-a", "scl-b", "scl-c"];
const clients = 12;
const warmUpMs = 25_000;
const judgedMs = 15_000;
const subjects = 40;
/** The share of the requests that ask for the board. */
const boardShare = 0.28;

const manifest = JSON.stringify({
    version: 1,
    routes: [["board", "/puxa403/"], ["lookup", "/lohu930/"]].map(([name, pathPrefix]) => ({
        name, host: "ficu95.example", pathPrefix, kind: "idempotent", timeoutMs: 1_500, targetLatencyMs: 193, priority: 2,
        service: "orders", maxAttempts: 2, public: false, sessionAffinity: false, resumeStreams: false,
    })),
    services: [{ name: "orders", healthPath: "/healthz", maxConns: 120, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: "hule930", apiKeys: ["n2ctnfzs989anu6wsjnb"], priority: 1 }],
});

async function play({ record, onStop }) {
    const site = await createSite({ controls: 3, entries: 3, zones, record });
    onStop(site.stop);
    [...site.controls, ...site.entries].forEach(id => site.start(id, true));
    const controls = site.controls.map(id => site.addressOf(id, "control"));
    await waitUntil("the manifest is acknowledged", async () =>
        (await callAsOperator(controls, "POST", "/api/config/put", { body: manifest, timeoutMs: 3_000 }))?.status === 200);
    let runs = 0;
    for (let index = 0; index < 3; index++) {
        const runner = await startService({
            id: `i-orders${index}`, service: "orders", zone: zones[index], rank: index, controls: () => controls, onRun: () => runs++,
            framing: () => hasTrouble ? "unframed" : "length",
        });
        onStop(runner.stop);
    }
    await waitUntil("the entries are ready", async () =>
        (await Promise.all(site.entries.map(id => call(site.addressOf(id, "ready"), "GET", "/api/readyz")))).every(({ status }) => status === 200));
    await pause(3_500);

    let sent = 0;
    let counts = {};
    const agent = new Agent({ keepAlive: true });
    onStop(() => agent.destroy());
    function ask(entry, name) {
        const attemptId = `a${sent++}`;
        const [host, port] = site.addressOf(entry, "callers").split(":");
        return new Promise(done => {
            let text = "";
            const finish = outcome => {
                counts[name] ??= {};
                counts[name][outcome] = (counts[name][outcome] ?? 0) + 1;
                done();
            };
            const outgoing = request({
                host, port, path: name === "board" ? "/puxa403/today" : `/lohu930/${Math.floor(Math.random() * subjects)}`, agent, headers: {
                    host: "ficu95.example", "api-key": "n2ctnfzs989anu6wsjnb", "zinnialanding-attempt-id": attemptId, "zinnialanding-deadline-ms": "1500",
                },
            }, response => {
                response.on("data", chunk => text += chunk);
                response.on("end", () => finish(response.statusCode === 200 && !text.startsWith(`${attemptId} `) ? "foreign" : String(response.statusCode)));
                response.on("error", () => finish("cut"));
            });
            outgoing.on("error", () => finish("no answer"));
            outgoing.end();
        });
    }
    let isOver = false;
    const loops = Array.from({ length: clients }, async (_, client) => {
        while (!isOver) {
            await ask(site.entries[client % site.entries.length], Math.random() < boardShare ? "board" : "lookup");
            await pause(20 + Math.random() * 40);
        }
    });
    const show = when => record(`${when}: ${JSON.stringify(counts)}; ${runs} runs so far`);
    await pause(warmUpMs);
    show("at first");
    counts = {};
    await pause(judgedMs);
    show("then");
    isOver = true;
    await Promise.all(loops);
    const totals = names => {
        const lists = names.map(name => Object.entries(counts[name] ?? {}));
        return lists.flat().reduce((sum, [outcome, count]) => [sum[0] + (outcome === "200" ? count : 0), sum[1] + count], [0, 0]);
    };
    const servedShare = (...names) => totals(names)[0] / Math.max(1, totals(names)[1]);
    const resets = site.entries.map(id => site.daemons.get(id).output.split("was reset before the answer's end").length - 1);
    record(`attempts that the entries took for reset, although no runner has reset a channel: ${resets.join(", ")}`);
    record(`served in the last ${judgedMs} ms: ${(100 * servedShare("board")).toFixed(0)} in 100 of the requests for the board, ` +
        `${(100 * servedShare("board", "lookup")).toFixed(0)} in 100 of all; a quarter of that must be`);
    return servedShare("board") >= servedShare("board", "lookup") / 4;
}

void runCase(folder, play);
