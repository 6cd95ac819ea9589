/**
 * Leaders of control are killed while orders are late. The third one opens a group that it finds whole, and a member of it then carries out
 * a join of another group, of which only the leader before knew.
 *
 * @module
 */

import { fileURLToPath } from "node:url";
import { createEngine, createPool } from "../../lib/engine.mjs";
import { call, pause } from "../../lib/http.mjs";
import { order } from "../../lib/operator.mjs";
import { runCase } from "../../lib/record.mjs";
import { startRunner } from "../../lib/runner.mjs";
import { bounds } from "../../lib/settings.mjs";
import { createSite, zones } from "../../lib/site.mjs";

const model = "m1";
/** The figures of the site's second model (`sites/sr-listings.toml`). */
const modelTimes = { size: 2, loadS: 12, warmS: 1.1, formMs: 300 };
/** How long the orders that are left unanswered are carried out late; the pages allow 2 to 12 s. */
const [lateJoinMs, lateNextJoinMs, lateLeaveMs] = [4_400, 11_000, 12_000];
/** A control daemon that is killed is back after this time. */
const restartAfterMs = 600;
/** The first leader is killed once the head is ready, the second one this long after it has ordered the other member into another group. */
const secondKillAfterMs = 300;
const observedMs = 4_000;
/** The runners by domain. In the second one nothing happens. */
const domains = [["i-a", "i-b", "i-c"], ["i-d", "i-e", "i-f", "i-g"]];
const formedWithinMs = 20_000;
const slots = 24;
/** The control daemons state on this port whether they lead. */
const [metricsPort, leaderPattern] = [9_101, /^zinnialanding_leads(?:\{.*\})? 1$/m];

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

/** The orders that are left unanswered: the second member's joins, and the head's order to leave. */
function createLateOrders() {
    const firstAtMs = new Map();
    return {
        /** From then on, every order is carried out and answered at once. */
        isOver: false,
        /** When the first order of this kind for the group came to the runner; undefined if none has. */
        atMs: (id, operation, group) => firstAtMs.get(`${id} ${operation} ${group}`),
        groups: id => [...firstAtMs.keys()].filter(key => key.startsWith(`${id} join `)).map(key => key.split(" ")[2]),
        /** Returns for how long an order is left unanswered; undefined if it is carried out at once. */
        delayMs(id, { operation, group }) {
            if (this.isOver) {
                return undefined;
            }
            const isLate = (id === "i-b" && operation === "join") || (id === "i-a" && operation === "leave");
            if (!isLate) {
                return undefined;
            }
            const key = `${id} ${operation} ${group}`;
            firstAtMs.set(key, firstAtMs.get(key) ?? performance.now());
            const isFirstGroup = this.groups(id)[0] === group;
            return operation === "leave" ? lateLeaveMs : isFirstGroup ? lateJoinMs : lateNextJoinMs;
        },
    };
}

/** The daemon whose metrics say that it leads; until there is one, this waits. */
async function findLeader() {
    for (;;) {
        for (const machine of site.controls.filter(site.isRunning)) {
            const answer = await call(`${machine.ip}:${metricsPort}`, { method: "GET", path: "/metrics", headers: {}, timeoutMs: 1_000 });
            if (leaderPattern.test(answer.text)) {
                return machine;
            }
        }
        await pause(50);
    }
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
    const startEngine = async (id, index, domain) => {
        const engine = createEngine({
            id, domain, pool, staged: [model],
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
                return isTroubled ? lateOrders.delayMs(id, sent) : undefined;
            },
        });
        runners.push(runner);
        record(`runner ${id} started at ${runner.address}`);
    };
    /** Kills the daemon that leads and starts it again. */
    const killLeader = async () => {
        const leader = await findLeader();
        await site.signal(leader, "SIGKILL");
        record(`the control daemon that leads, ${leader.name}, is killed`);
        await pause(restartAfterMs);
        site.start(leader);
    };
    for (const [domain, ids] of domains.entries()) {
        for (const [index, id] of ids.entries()) {
            await startEngine(id, 10 * domain + index, String(domain));
        }
    }
    const stateOf = id => pool.members.get(id).membership?.state;
    if (isTroubled) {
        await waitUntil("the head is ready", () => stateOf("i-a") === "ready", formedWithinMs);
        await killLeader();
        await waitUntil("the second member is ordered into another group", () => lateOrders.groups("i-b").length === 2, formedWithinMs);
        await pause(secondKillAfterMs);
        lateOrders.isOver = true;
        await killLeader();
    }
    await waitUntil("a group is open", () => stateOf("i-a") === "open", formedWithinMs);
    record("the group of i-a is open");
    const [, nextGroup] = lateOrders.groups("i-b");
    const endMs = observedMs + (isTroubled ? lateOrders.atMs("i-b", "join", nextGroup) + lateNextJoinMs : performance.now());
    for (let number = 0; performance.now() < endMs; number++) {
        await stream(site.entries[number % site.entries.length], record, number);
        await pause(300);
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
