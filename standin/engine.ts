/**
 * The model engine stand-in: `node dist/standin/engine.js --listen 127.0.0.1:9000`. Serves OpenAI-like completions from a continuous
 * batch and reproduces the known faults of the platform's engines: overload during a cold start, crashes on certain prompts, delayed and
 * lost cache events, stale load reports, and fencing epochs that are ignored. Exit codes: 70 for a cold overload, 71 for a prompt crash.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { parseArgs } from "node:util";
import Fastify from "fastify";
import { z } from "zod";
import { createBatch, type BatchOptions } from "./batch.js";
import { createCacheEventFeed } from "./cacheEvents.js";
import { addCompletionRoutes } from "./completion.js";
import { createEngineOrders, engineOrderSchema } from "./engineOrders.js";
import { listen } from "./listen.js";
import { createPrefixCache } from "./prefixCache.js";

const coldOverloadExitCode = 70;
const promptCrashExitCode = 71;

const { values: options } = parseArgs({
    options: {
        listen: { type: "string", default: "127.0.0.1:0" },
        models: { type: "string", default: "standin" },
        "step-ms": { type: "string", default: "5" },
        "step-growth": { type: "string", default: "0.05" },
        "prefill-chars-per-ms": { type: "string", default: "100" },
        capacity: { type: "string", default: "32" },
        "warm-after": { type: "string", default: "0" },
        "cold-capacity": { type: "string", default: "2" },
        "fall-over": { type: "string", default: "exit" },
        "crash-on": { type: "string", default: "CRASH-PROMPT" },
        "cache-blocks": { type: "string", default: "4096" },
        "cache-event-delay-ms": { type: "string", default: "200" },
        "cache-event-lose-every": { type: "string", default: "10" },
        "load-lag-ms": { type: "string", default: "0" },
        "load-ms": { type: "string", default: "500" },
        fencing: { type: "string", default: "check" },
    },
});

const controlSchema = z.object({
    turnCold: z.boolean().optional(),
    stall: z.number().optional(),
    stepMs: z.number().optional(),
    crashOn: z.string().optional(),
    warmAfter: z.number().int().optional(),
    coldCapacity: z.number().int().optional(),
});

const batchOptions: BatchOptions = {
    stepMs: Number(options["step-ms"]),
    stepGrowth: Number(options["step-growth"]),
    prefillCharsPerMs: Number(options["prefill-chars-per-ms"]),
    capacity: Number(options.capacity),
    warmAfter: Number(options["warm-after"]),
    coldCapacity: Number(options["cold-capacity"]),
    crashOn: options["crash-on"],
};
const bootId = randomUUID();
const loadLagMs = Number(options["load-lag-ms"]);
const cacheEventFeed = createCacheEventFeed(Number(options["cache-event-delay-ms"]), Number(options["cache-event-lose-every"]));
const cache = createPrefixCache(Number(options["cache-blocks"]), {
    stored: hash => cacheEventFeed.publish("stored", hash),
    removed: hash => cacheEventFeed.publish("removed", hash),
});
const batch = createBatch(batchOptions, cache, {
    onColdOverload() {
        if (options["fall-over"] === "stall") {
            batch.stallFor(24 * 3_600_000);
            return;
        }
        process.exit(coldOverloadExitCode);
    },
    onCrash: () => process.exit(promptCrashExitCode),
});
const orders = createEngineOrders(options.models.split(","), options.fencing === "ignore" ? "ignore" : "check", Number(options["load-ms"]));

let reportedLoad = batch.state;
let reportedAtMs = 0;
function sampleLoad() {
    if (Date.now() - reportedAtMs >= loadLagMs) {
        reportedLoad = batch.state;
        reportedAtMs = Date.now();
    }
    return reportedLoad;
}

const server = Fastify({ bodyLimit: 16 * 1024 * 1024, forceCloseConnections: true });
/** The number of completion requests since the start. */
let completionRequests = 0;
server.addHook("onRequest", async request => {
    completionRequests += request.url.startsWith("/v1/") ? 1 : 0;
});
addCompletionRoutes(server, batch, () => orders.state.models);

server.get("/state", () => {
    const { epoch, models, loading, role, replicaId, members } = orders.state;
    return {
        bootId, taken: completionRequests, ...sampleLoad(), capacity: batchOptions.capacity,
        epoch, models, loading, role, replicaId, members,
    };
});

server.post("/orders", (request, reply) => {
    const order = engineOrderSchema.parse(request.body);
    if (!orders.apply(order)) {
        return reply.code(409).send({ error: "stale-epoch", epoch: orders.state.epoch });
    }
    return { epoch: orders.state.epoch };
});

server.get("/orders", () => ({ obeyed: orders.state.obeyed }));

server.get("/cache", () => cache.counts);

server.get("/cache-events", (_request, reply) => {
    reply.hijack();
    cacheEventFeed.subscribe(reply.raw);
});

server.post("/control", request => {
    const { turnCold, stall, ...changes } = controlSchema.parse(request.body);
    Object.assign(batchOptions, changes);
    if (turnCold === true) {
        batch.turnCold();
    }
    if (stall !== undefined) {
        batch.stallFor(stall);
    }
    return { bootId, ...batch.state };
});

await listen(server, options.listen);
