/**
 * The plain service stand-in: `node dist/standin/service.js --listen 127.0.0.1:9001`. It counts runs by request key, so that tests detect
 * duplicate executions, and echoes the caller's marker, so that tests detect answers delivered to the wrong caller.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import Fastify from "fastify";
import { listen } from "./listen.js";

const { values: options } = parseArgs({
    options: {
        listen: { type: "string", default: "127.0.0.1:0" },
        "delay-ms": { type: "string", default: "0" },
        capacity: { type: "string", default: "64" },
    },
});

interface Order {
    readonly id: string;
    readonly body: unknown;
}

const bootId = randomUUID();
const defaultDelayMs = Number(options["delay-ms"]);
const orders = new Map<string, Order>();
const runsByKey = new Map<string, number>();
let running = 0;

const server = Fastify({ bodyLimit: 16 * 1024 * 1024, forceCloseConnections: true });

function firstHeaderValue(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}

/** Stores the order before the delay, so that an order has run even if its caller gives up during the delay. */
server.post("/orders", async (request, reply) => {
    const body = (request.body ?? {}) as { id?: string; marker?: string };
    const key = firstHeaderValue(request.headers["x-run-key"]) ?? body.id ?? "unnamed";
    const runs = (runsByKey.get(key) ?? 0) + 1;
    const order: Order = { id: randomUUID(), body };
    runsByKey.set(key, runs);
    orders.set(order.id, order);
    running++;
    try {
        await sleep(Number(firstHeaderValue(request.headers["x-delay-ms"]) ?? defaultDelayMs));
    }
    finally {
        running--;
    }
    return reply.code(201).send({ orderId: order.id, key, run: runs, marker: firstHeaderValue(request.headers["x-marker"]) ?? body.marker });
});

server.get("/orders/:id", (request, reply) => {
    const order = orders.get((request.params as { id: string }).id);
    return order === undefined ? reply.code(404).send({ error: "no such order" }) : order;
});

server.get("/counts", () => ({ total: orders.size, byKey: Object.fromEntries(runsByKey) }));

server.get("/state", () => ({ bootId, running, queued: 0, capacity: Number(options.capacity), models: [], cold: false }));

await listen(server, options.listen);
