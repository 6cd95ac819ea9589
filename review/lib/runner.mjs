/**
 * A runner as the platform's pages describe it: it checks in at control, answers health checks and requests, and hands orders to its
 * engine. A plain service has no engine. Faults are put in by the hooks of its options.
 *
 * @module
 */

import { createServer } from "node:http";
import { call } from "./http.mjs";
import { heartbeatMs } from "./settings.mjs";

const checkInTimeoutMs = 1_000;
const healthPath = "/healthz";

async function readBody(message) {
    const chunks = [];
    for await (const chunk of message) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/**
 * Starts a runner.
 *
 * - `engine`: executes orders and runs streams (`engine.mjs`); absent for a plain service.
 * - `workMs`: how long a plain service works on a request.
 * - `losesAnswer(attemptId)`: whether the answer to a request that has run is lost and its channel reset.
 * - `orderDelayMs(order)`: undefined, or for how long an order is neither answered nor carried out.
 * - `onRun(attemptId, path)`: called when a request begins to run.
 */
export async function startRunner(options) {
    const { id, service, zone, host, controls, record, engine, workMs = 0 } = options;
    const bornMs = Date.now();
    const sockets = new Set();
    let sequence = 0;
    let nextControl = options.firstControl ?? 0;
    let coldUntilMs = performance.now() + (options.coldMs ?? 0);
    let isEnded = false;
    let running = 0;

    function coldRemainingMs() {
        return Math.max(0, Math.round(coldUntilMs - performance.now()));
    }

    function statement() {
        return { born: bornMs, ...engine === undefined ? {} : engine.statement() };
    }

    async function checkIn() {
        const body = JSON.stringify({
            service, address, zone, version: "v1", slots: options.slots, state: "ready", coldRemainingMs: coldRemainingMs(),
            seq: ++sequence, ...statement(),
        });
        for (let attempt = 0; attempt < controls.length && !isEnded; attempt++) {
            const headers = { "content-type": "application/json" };
            const path = `/api/instances/${id}/heartbeat`;
            const answer = await call(controls[nextControl % controls.length], {
                method: "POST", path, body, headers, timeoutMs: checkInTimeoutMs,
            });
            if (answer.status === 200) {
                return;
            }
            nextControl++;
        }
    }

    function commonHeaders(message) {
        const attemptId = message.headers["zinnialanding-attempt-id"];
        return {
            ...attemptId === undefined ? {} : { "Zinnialanding-Attempt-Id": attemptId }, "Zinnialanding-Served-By": id,
            "Zinnialanding-Instance-Load": `${running},0,${options.slots}`,
        };
    }

    function isOtherInstanceMeant(message) {
        const target = message.headers["zinnialanding-target-instance"];
        return target !== undefined && target !== id;
    }

    async function takeOrder(message, response) {
        const order = JSON.parse(await readBody(message));
        const delayMs = options.orderDelayMs?.(order);
        if (delayMs !== undefined) {
            record(`order ${order.operation} ${order.group} at ${id}: left unanswered, carried out ${delayMs} ms later`);
            setTimeout(() => {
                if (!isEnded) {
                    const status = engine.execute(order);
                    record(`order ${order.operation} ${order.group} at ${id}: carried out late, ${status}`);
                    void checkIn();
                }
            }, delayMs);
            return;
        }
        const status = engine.execute(order);
        record(`order ${order.operation} ${order.group ?? order.model} at ${id}: ${status}`);
        response.writeHead(status).end();
        void checkIn();
    }

    async function runPlain(message, response) {
        const attemptId = message.headers["zinnialanding-attempt-id"];
        await readBody(message);
        options.onRun?.(attemptId, message.url);
        running++;
        await new Promise(resolve => setTimeout(resolve, workMs));
        running--;
        if (options.losesAnswer?.(attemptId)) {
            record(`run ${attemptId} at ${id}: its answer is lost, channel reset`);
            message.socket.resetAndDestroy();
            return;
        }
        const headers = { ...commonHeaders(message), "Zinnialanding-Upstream-Signature": `${id}.${attemptId}`, "Content-Type": "text/plain" };
        response.writeHead(200, headers).end(`${id} ${attemptId}`);
    }

    async function handle(message, response) {
        if (isOtherInstanceMeant(message)) {
            message.resume();
            response.writeHead(421, { "Zinnialanding-Served-By": id }).end();
            return;
        }
        if (message.url === "/api/order") {
            await takeOrder(message, response);
            return;
        }
        if (message.url === "/api/report" || message.url === healthPath) {
            const cold = { "Zinnialanding-Cold-Remaining-Ms": String(coldRemainingMs()) };
            const body = message.url === healthPath ? "" : JSON.stringify({ ...statement(), busy: false, queued: 0, running });
            response.writeHead(200, { ...commonHeaders(message), ...cold }).end(body);
            return;
        }
        options.onArrival?.(message.headers["zinnialanding-attempt-id"], coldRemainingMs() > 0);
        if (engine === undefined) {
            await runPlain(message, response);
            return;
        }
        await readBody(message);
        engine.serve(message, response, commonHeaders(message), () => options.onRun?.(message.headers["zinnialanding-attempt-id"], message.url));
    }

    const server = createServer((message, response) => {
        handle(message, response).catch(() => response.destroy());
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port: 0 }, resolve);
    });
    const address = `${host}:${server.address().port}`;
    const timer = setInterval(() => void checkIn(), heartbeatMs);
    engine?.onChanged(() => void checkIn());
    void checkIn();

    return {
        id,
        address,
        engine,
        get isEnded() {
            return isEnded;
        },
        get isCold() {
            return coldRemainingMs() > 0;
        },
        /** The runner becomes cold again and says so at once. */
        becomeCold(forMs) {
            coldUntilMs = performance.now() + forMs;
            void checkIn();
        },
        /** Ends as a process that crashes: its channels are reset, nothing listens, and it says nothing. */
        async crash() {
            isEnded = true;
            clearInterval(timer);
            engine?.end();
            sockets.forEach(socket => socket.resetAndDestroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
}
