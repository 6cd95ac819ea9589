/**
 * A model runner as the pages describe it: checks in, carries out orders, forms groups, answers with streams of events. Uses nothing but
 * Node.js.
 *
 * @module
 */

import { createServer } from "node:http";
import { call, pause } from "./site.mjs";

const eventMs = 40;

/**
 * Starts a runner. `controls` lists the addresses for its check-ins. `crashPart`, if set, is the part of a prompt under which it crashes as
 * it begins to write; it is back under a new id after `backAfterMs`. Calls `onArrival` with each request that reaches it and if it ran,
 * and `onCrash` with each crash.
 */
export async function startRunner({
    name, service, zone, domain, host = "127.0.0.1", controls, heartbeatMs = 1_200, joinMs = 200, events = 5, backAfterMs = 2_000,
    crashPart, onArrival = () => undefined, onCrash = () => undefined, onRun = () => undefined, rank = 0,
}) {
    let life = 0;
    let id = "";
    let bornMs = 0;
    let sequence = 0;
    let orders = 0;
    let membership;
    let highestEpoch = 0;
    let staged = [];
    let state = "ready";
    let isDown = true;
    let isClosed = false;
    let port = 0;
    let server;
    const sockets = new Set();

    const stated = () => ({
        born: bornMs, staged, domain, stage: "mixed", models: [],
        group: membership && { name: membership.name, epoch: membership.epoch, rank: membership.rank, state: membership.state },
    });

    async function checkIn() {
        if (isDown || isClosed) {
            return;
        }
        const body = JSON.stringify({
            service, address: `${host}:${port}`, zone, version: "v1", slots: 8, state, coldRemainingMs: 0, seq: ++sequence, ...stated(),
        });
        const [own, addresses] = [id, controls()];
        for (let attempt = 0; attempt < addresses.length && own === id; attempt++) {
            const address = addresses[(rank + attempt) % addresses.length];
            const { status } = await call(address, "POST", `/api/instances/${own}/heartbeat`, { body });
            if (status >= 200 && status < 300) {
                return;
            }
        }
    }

    function carryOut(order) {
        const isCurrent = membership?.name === order.group && membership?.epoch === order.epoch;
        switch (order.operation) {
            case "stage":
                staged = [order.model];
                return 202;
            case "join": {
                if (order.epoch < highestEpoch) {
                    return 412;
                }
                if (isCurrent) {
                    return 200;
                }
                const joined = {
                    name: order.group, epoch: order.epoch, rank: order.members.indexOf(id), members: order.members, model: order.model,
                    state: "joining",
                };
                membership = joined;
                highestEpoch = order.epoch;
                setTimeout(() => {
                    if (membership === joined) {
                        joined.state = "ready";
                        staged = [joined.model];
                        void checkIn();
                    }
                }, joinMs);
                return 202;
            }
            case "open":
                if (!isCurrent || membership.state === "joining") {
                    return 409;
                }
                membership.state = "open";
                return 202;
            case "close":
                if (!isCurrent) {
                    return 409;
                }
                membership.state = "ready";
                return 202;
            case "leave":
                if (!isCurrent) {
                    return 409;
                }
                membership = undefined;
                return 202;
            default:
                return 400;
        }
    }

    function crash(cause) {
        if (isDown) {
            return;
        }
        isDown = true;
        onCrash({ runner: id, cause, atMs: performance.now() });
        sockets.forEach(socket => socket.resetAndDestroy());
        server.close();
        setTimeout(() => void start(), backAfterMs);
    }

    function stream(message, response, headers, attemptId) {
        response.writeHead(200, { ...headers, "content-type": "text/event-stream", "zinnialanding-upstream-signature": `${id}.${attemptId}` });
        const parts = String(message.headers["zinnialanding-prefix-hash"] ?? "").split(",").map(entry => entry.split(":")[0].trim());
        let eventId = Number(message.headers["last-event-id"] ?? 0);
        const timer = setInterval(() => {
            if (response.destroyed || isDown) {
                clearInterval(timer);
                return;
            }
            if (crashPart !== undefined && parts.includes(crashPart)) {
                clearInterval(timer);
                crash(attemptId);
                return;
            }
            response.write(`id: ${++eventId}\ndata: ${attemptId} ${eventId}\n\n`);
            if (eventId >= events) {
                clearInterval(timer);
                response.end();
            }
        }, eventMs);
    }

    async function answer(message, response) {
        const chunks = [];
        for await (const chunk of message) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks).toString();
        const target = message.headers["zinnialanding-target-instance"];
        const attemptId = message.headers["zinnialanding-attempt-id"];
        const headers = { "zinnialanding-served-by": id, ...attemptId === undefined ? {} : { "zinnialanding-attempt-id": attemptId } };
        if (target !== undefined && target !== id) {
            response.writeHead(421, { ...headers, "content-length": "0" }).end();
            return;
        }
        if (message.url === "/healthz") {
            response.writeHead(state === "ready" ? 200 : 503, { ...headers, "content-length": "0" }).end();
            return;
        }
        if (message.url === "/api/report") {
            response.writeHead(200, { "content-type": "application/json" })
                .end(JSON.stringify({ ...stated(), busy: false, seq: orders, queued: 0, running: 0, kvUsed: 0, kvTotal: 1, handles: 0 }));
            return;
        }
        if (message.url === "/api/order") {
            const status = carryOut(JSON.parse(body));
            orders += status === 202 ? 1 : 0;
            response.writeHead(status, { "content-type": "application/json" }).end("{}");
            void checkIn();
            return;
        }
        if (membership?.state !== "open" || message.headers["zinnialanding-model"] !== membership.model) {
            response.writeHead(421, { ...headers, "at-server": id, "content-length": "0" }).end();
            return;
        }
        onArrival({ attemptId, runner: id, headers: message.headers, atMs: performance.now() });
        onRun({ attemptId, runner: id, atMs: performance.now() });
        stream(message, response, headers, attemptId);
    }

    async function start() {
        if (isClosed) {
            return;
        }
        [id, bornMs, sequence, orders, membership, highestEpoch, staged] = [`i-${name}-${++life}`, Date.now(), 0, 0, undefined, 0, staged];
        server = createServer((message, response) => void answer(message, response).catch(() => response.destroy()));
        server.on("connection", socket => {
            sockets.add(socket);
            socket.on("close", () => sockets.delete(socket));
            socket.on("error", () => undefined);
        });
        await new Promise(done => server.listen(port, host, done));
        port = server.address().port;
        isDown = false;
        await checkIn();
    }

    await start();
    const timer = setInterval(() => void checkIn(), heartbeatMs);
    return {
        name,
        get id() {
            return id;
        },
        get isOpen() {
            return !isDown && membership?.state === "open";
        },
        async stop() {
            isClosed = true;
            clearInterval(timer);
            sockets.forEach(socket => socket.destroy());
            await Promise.race([new Promise(done => server.close(done)), pause(500)]);
        },
    };
}
