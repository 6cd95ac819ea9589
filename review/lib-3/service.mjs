/**
 * A plain service as the pages describe it: checks in, and answers each request with a body that tells the request and the runner. Uses
 * nothing but Node.js.
 *
 * @module
 */

import { createServer } from "node:http";
import { call, pause } from "./site.mjs";

/**
 * Starts a runner of a plain service. `framing()` says how its next success ends: "length", "close" (with a length, and the channel closes
 * after it) or "unframed" (no length; the answer ends with its channel). `failure()` may return a failure in place of it: its status, the
 * size of its body, and whether the channel closes after it. Calls `onRun` with each request that it runs.
 */
export async function startService({
    id, service, zone, host = "127.0.0.1", controls, heartbeatMs = 1_200, workMs = 20, answerBytes = 800, framing = () => "length",
    failure = () => undefined, onRun = () => undefined, rank = 0,
}) {
    const bornMs = Date.now();
    let sequence = 0;
    const sockets = new Set();

    async function answer(message, response) {
        for await (const chunk of message) {
            void chunk;
        }
        const target = message.headers["zinnialanding-target-instance"];
        const attemptId = message.headers["zinnialanding-attempt-id"];
        const headers = { "zinnialanding-served-by": id, ...attemptId === undefined ? {} : { "zinnialanding-attempt-id": attemptId } };
        if (target !== undefined && target !== id) {
            response.writeHead(421, { ...headers, "content-length": "0" }).end();
            return;
        }
        if (message.url === "/healthz" || message.url === "/api/report") {
            response.writeHead(200, { ...headers, "content-length": "2" }).end("{}");
            return;
        }
        onRun({ attemptId, runner: id, path: message.url });
        await pause(workMs * (0.5 + Math.random()));
        const failed = failure();
        const ends = failed === undefined ? framing() : failed.closes ? "close" : "length";
        const body = Buffer.from(`${attemptId} ${id} `.padEnd(failed?.bytes ?? answerBytes, "."));
        const signed = { ...headers, "zinnialanding-upstream-signature": `${id}.${attemptId}` };
        if (ends === "unframed") {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(200, { ...signed, connection: "close" }).end(body);
            return;
        }
        const closing = ends === "close" ? { connection: "close" } : {};
        response.writeHead(failed?.status ?? 200, { ...signed, "content-length": String(body.length), ...closing }).end(body);
    }

    const server = createServer((message, response) => void answer(message, response).catch(() => response.destroy()));
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
    });
    await new Promise(done => server.listen(0, host, done));
    const address = `${host}:${server.address().port}`;

    async function checkIn() {
        const body = JSON.stringify({ service, address, zone, version: "v1", slots: 6, state: "ready", coldRemainingMs: 0, seq: ++sequence, born: bornMs });
        const addresses = controls();
        for (let attempt = 0; attempt < addresses.length; attempt++) {
            const { status } = await call(addresses[(rank + attempt) % addresses.length], "POST", `/api/instances/${id}/heartbeat`, { body });
            if (status >= 200 && status < 300) {
                return;
            }
        }
    }

    await checkIn();
    const timer = setInterval(() => void checkIn(), heartbeatMs);
    return {
        id,
        async stop() {
            clearInterval(timer);
            sockets.forEach(socket => socket.destroy());
            await Promise.race([new Promise(done => server.close(done)), pause(500)]);
        },
    };
}
