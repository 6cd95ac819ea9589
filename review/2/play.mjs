/**
 * The head of a group leaves it, then carries out a join and an open of that group late, and serves it again, while control takes its
 * members for free.
 *
 * @module
 */

import { fileURLToPath } from "node:url";
import { createEngine, createPool } from "../lib/engine.mjs";
import { call, pause } from "../lib/http.mjs";
import { order } from "../lib/operator.mjs";
import { runCase } from "../lib/record.mjs";
import { startRunner } from "../lib/runner.mjs";
import { bounds } from "../lib/settings.mjs";
import { createSite, zones } from "../lib/site.mjs";

const model = "m0";
/** The figures of the site's first model (`sites/sr-listings.toml`). */
const modelTimes = { size: 4, loadS: 16, warmS: 1.6, formMs: 300 };
/**
 * The head leaves three orders unanswered and carries them out late: its first join, its first open, and its join of the next group. The
 * pages allow 2 to 12 s.
 */
const lateJoinMs = 10_000;
const lateOpenAfterJoinMs = 1_000;
const lateNextJoinMs = 5_000;
const [minDelayMs, maxDelayMs] = [2_000, 12_000];
/** When a member crashes, after the group has opened, and when it is back, after the late open was carried out. */
const crashAfterMs = 700;
const returnAfterMs = 1_300;
/** How long the site is observed after that. */
const observedMs = 8_000;
const formedWithinMs = 20_000;
const slots = 24;

const manifest = {
    version: 1,
    routes: [{
        name: "draft", host: "talks.example", pathPrefix: "/draft/", kind: "streaming", timeoutMs: 8_000, targetLatencyMs: 400, priority: 1,
        service: "lm", maxAttempts: 2, public: false, sessionAffinity: true, resumeStreams: true, targetGapMs: 300,
    }],
    services: [{
        name: "lm", healthPath: "/healthz", maxConns: 426, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0,
        engine: {
            slots, kvCapacity: 1_312_941, tokenKvBytes: 136_362, linkMbps: 400_000, stride: 5,
            models: [{ name: model, size: modelTimes.size, share: 1, pace: 1, loadS: modelTimes.loadS, warmS: modelTimes.warmS }],
            step_ms: 7.8, per_seq_ms: 0.134, context_per_k: 0.0136, read_per_s: 45_900, pairs_per_m: 0.433, chunk: 2_048,
            report_lag_ms: 200, loadsPerS: 3, loads_at_once: 6, delays: [], usual: { prompt: 919, answer: 135 }, retainedCount: 1, far_x: 3,
            formMs: modelTimes.formMs,
        },
    }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: "law", apiKeys: ["key-law"], priority: 1 }],
};

let site;
const runners = [];

/** What the rule says of the head of a runner's group at the moment at which the runner takes a join of another group. */
function findBreak(pool, id, membership, newGroup) {
    if (membership === undefined || membership.name === newGroup || membership.members[0] === id) {
        return undefined;
    }
    const head = pool.members.get(membership.members[0])?.membership;
    const isHeadOfGroup = head?.name === membership.name && head.epoch === membership.epoch;
    return isHeadOfGroup && (head.state === "open" || head.state === "closing")
        ? `${id} takes a join of ${newGroup} while ${membership.members[0]}, the head of its group ${membership.name}, is ${head.state}`
        : undefined;
}

/** The orders that the head leaves unanswered, and when the first of them came. */
function createLateOrders() {
    const held = [];
    const orders = {
        firstJoinAtMs: undefined,
        /** Returns for how long an order is left unanswered; undefined if it is carried out at once. */
        delayMs({ operation, group }) {
            orders.firstJoinAtMs ??= performance.now();
            const key = `${operation} ${group}`;
            if (!["join", "open"].includes(operation) || held.includes(key) || held.length === 3) {
                return undefined;
            }
            held.push(key);
            const openDelayMs = orders.firstJoinAtMs + lateJoinMs + lateOpenAfterJoinMs - performance.now();
            return Math.round(Math.min(maxDelayMs, Math.max(minDelayMs, [lateJoinMs, openDelayMs, lateNextJoinMs][held.length - 1])));
        },
    };
    return orders;
}

async function stream(entry, record, number) {
    const id = `draft-${number}`;
    const answer = await call(site.frontAddress(entry), {
        method: "POST", path: `/draft/${number}`, body: "prompt", timeoutMs: 4_000,
        headers: {
            host: "talks.example", "Api-Key": "key-law", "Zinnialanding-Attempt-Id": id, "Zinnialanding-Model": model,
            "Zinnialanding-Deadline-Ms": "4000", "Zinnialanding-Token-Usage": "100,30", "Zinnialanding-Prefix-Hash": `aa:40,${id}:60`,
        },
    });
    record(`client ${id}: status ${answer.status ?? answer.reason}, ${answer.isComplete ? "complete" : "cut off"}`);
}

async function waitUntil(what, isMet, withinMs) {
    const untilMs = performance.now() + withinMs;
    while (!isMet()) {
        if (performance.now() > untilMs) {
            throw new Error(`not within ${withinMs} ms: ${what}`);
        }
        await pause(20);
    }
}

async function play(record, isTroubled) {
    const broken = [];
    site = await createSite(3);
    site.startAll(true);
    const pool = createPool({ model, ...modelTimes, stallMs: bounds.stallMs });
    if (!await order(site.controlAddresses, "/api/config/put", JSON.stringify(manifest), formedWithinMs)) {
        throw new Error("the manifest was not acknowledged");
    }
    record("operator: manifest 1 acknowledged");
    const lateOrders = createLateOrders();
    const startEngine = async (id, index, staged = []) => {
        const engine = createEngine({
            id, domain: "0", pool, staged,
            onJoinTaken(membership, newGroup) {
                const found = findBreak(pool, id, membership, newGroup);
                if (found !== undefined) {
                    record(`TWO: ${found}`);
                    broken.push(found);
                }
            },
        });
        const runner = await startRunner({
            id, service: "lm", zone: zones[0], host: site.runnerHost(index), controls: site.controlAddresses, firstControl: index, slots,
            record, engine, onRun: attemptId => record(`run ${attemptId} at ${id} in ${engine.membership.name}`),
            orderDelayMs(sent) {
                const delayMs = id === "i-a" ? lateOrders.delayMs(sent) : undefined;
                return isTroubled ? delayMs : undefined;
            },
        });
        runners.push(runner);
        record(`runner ${id} started at ${runner.address}`);
        return runner;
    };
    for (const [index, id] of ["i-a", "i-b", "i-c", "i-d"].entries()) {
        await startEngine(id, index);
    }
    await waitUntil("the group is open", () => pool.members.get("i-a").membership?.state === "open", formedWithinMs);
    record("the group is open");
    const openedAtMs = performance.now();
    for (let number = 0; number < 3; number++) {
        await stream(site.entries[number % site.entries.length], record, number);
    }
    await pause(openedAtMs + crashAfterMs - performance.now());
    await runners[3].crash();
    record("runner i-d crashed");
    await pause(lateOrders.firstJoinAtMs + lateJoinMs + lateOpenAfterJoinMs + returnAfterMs - performance.now());
    await startEngine("i-d2", 4, [model]);
    const endMs = performance.now() + observedMs;
    for (let number = 4; performance.now() < endMs; number++) {
        await stream(site.entries[number % site.entries.length], record, number);
        await pause(500);
    }
    return broken[0];
}

async function cleanUp() {
    await Promise.all(runners.filter(({ isEnded }) => !isEnded).map(runner => runner.crash()));
    if (process.env.KEEP_LOGS !== undefined) {
        site?.controls.forEach(machine => console.log(site.output(machine)));
    }
    await site?.stop();
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), play, cleanUp);
