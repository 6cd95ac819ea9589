/**
 * A runner of the pages: checks in, carries out orders, forms groups and answers requests. A plain service has no `domain`. What it does
 * beside that, a case puts into `onRequest`.
 *
 * @module
 */

import { createServer } from "node:http";
import { call } from "./operator.mjs";

const [jitterShare, checkInTimeoutMs] = [0.1, 1_000];
const eventTokens = 5;
/** The longest that an order may take to show in a report: a change is checked in at once. */
const afterOrderMs = 5;

async function readBody(message) {
    const chunks = [];
    for await (const chunk of message) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}

/**
 * Starts a runner that listens at `host` and `port`. `options.controls` lists the addresses of the daemons that serve control;
 * `options.onRequest(request)` may take a request over, by returning true; `options.onArrival(request)` is told of each one that runs.
 */
export async function startRunner(options) {
    const { id, service, host, port, zone, controls, domain, models = [], slots = 24, heartbeatMs = 1200, workMs = 40 } = options;
    const bornMs = Date.now();
    const runner = {
        id, service, zone, address: `${host}:${port}`, bornMs, state: "ready", membership: undefined, staged: [], checksIn: true, running: 0,
        coldUntilMs: performance.now() + (options.coldMs ?? 0),
        /** What ran here, in order. */
        runs: [],
    };
    const sockets = new Set();
    let [sequence, orders, highestEpoch] = [0, 0, 0];
    let isClosed = false;
    let timer;

    function stated() {
        const { membership: group, staged } = runner;
        return {
            born: bornMs, stage: "mixed", models: group === undefined ? [] : [{ name: group.model, version: 1, adapters: [] }],
            domain, staged: domain === undefined ? undefined : staged,
            group: group === undefined ? undefined : { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state },
        };
    }

    /** Calls the daemons in turn until one acknowledges. */
    async function callControl(path, body) {
        const addresses = controls();
        const first = Math.floor(Math.random() * addresses.length);
        for (let turn = 0; turn < addresses.length && !isClosed; turn++) {
            const address = addresses[(first + turn) % addresses.length];
            const { status } = await call(address, "POST", path, body, checkInTimeoutMs);
            if (status >= 200 && status < 300) {
                return address;
            }
        }
        return undefined;
    }

    function checkIn() {
        if (!runner.checksIn || isClosed) {
            return undefined;
        }
        return callControl(`/api/instances/${id}/heartbeat`, JSON.stringify({
            service, address: runner.address, zone, version: "v1", slots, state: runner.state, seq: ++sequence, ...stated(),
            coldRemainingMs: Math.max(0, Math.round(runner.coldUntilMs - performance.now())),
        }));
    }

    function scheduleCheckIn() {
        timer = setTimeout(async () => {
            scheduleCheckIn();
            await checkIn();
        }, heartbeatMs * (1 - jitterShare + 2 * jitterShare * Math.random()));
    }

    function join({ group: name, epoch, model, members }) {
        if (epoch < highestEpoch) {
            return 412;
        }
        if (runner.membership?.name === name && runner.membership.epoch === epoch) {
            return runner.membership.members.join() === members.join() ? 200 : 412;
        }
        const { loadS, warmS } = models.find(item => item.name === model);
        const durationS = runner.staged.includes(model) ? warmS : loadS;
        const joined = { name, epoch, model, members, rank: members.indexOf(id), state: "joining" };
        runner.membership = joined;
        highestEpoch = epoch;
        setTimeout(() => {
            joined.state = joined.state === "joining" ? "ready" : joined.state;
            runner.staged = [model];
            void checkIn();
        }, durationS * 1000);
        return 202;
    }

    function carryOut(order) {
        const group = runner.membership;
        const isCurrent = group !== undefined && group.name === order.group && group.epoch === order.epoch;
        switch (order.operation) {
            case "join":
                return join(order);
            case "open":
                if (!isCurrent || group.state !== "ready" || group.rank !== 0) {
                    return isCurrent && group.state === "open" ? 200 : 409;
                }
                group.state = "open";
                return 202;
            case "close":
                if (!isCurrent) {
                    return 409;
                }
                group.state = "ready";
                return 202;
            case "leave":
                if (!isCurrent) {
                    return 409;
                }
                runner.membership = undefined;
                return 202;
            case "stage": {
                const { loadS } = models.find(item => item.name === order.model);
                setTimeout(() => {
                    runner.staged = [order.model];
                    void checkIn();
                }, loadS * 1000);
                return 202;
            }
            default:
                return 400;
        }
    }

    /** Headers of every answer to a request. */
    runner.headersFor = message => ({
        "zinnialanding-attempt-id": message.headers["zinnialanding-attempt-id"],
        "zinnialanding-served-by": id,
        "zinnialanding-instance-load": `${runner.running},0,${slots}`,
        ...runner.state === "draining" ? { "server-leaving": "1" } : {},
    });
    runner.signature = message => ({ "zinnialanding-upstream-signature": `${id}.${message.headers["zinnialanding-attempt-id"]}` });

    function answerStream(message, response) {
        const [, maxTokens] = String(message.headers["zinnialanding-token-usage"] ?? "0,30").split(",").map(Number);
        const events = Math.max(1, Math.ceil(maxTokens / eventTokens));
        let next = Number(message.headers["last-event-id"] ?? 0) + 1;
        response.writeHead(200, { ...runner.headersFor(message), ...runner.signature(message), "content-type": "text/event-stream" });
        const pieces = setInterval(() => {
            if (response.destroyed) {
                clearInterval(pieces);
                return;
            }
            response.write(`id: ${next}\ndata: ${message.headers["zinnialanding-attempt-id"]} ${next}\n\n`);
            if (next++ >= events) {
                clearInterval(pieces);
                response.end();
            }
        }, workMs);
    }

    async function handleRequest(message, response) {
        const body = await readBody(message);
        const target = message.headers["zinnialanding-target-instance"];
        const { state, model } = runner.membership ?? {};
        const isServing = domain === undefined || (state === "open" && model === message.headers["zinnialanding-model"]);
        if ((target !== undefined && target !== id) || !isServing) {
            response.writeHead(421, runner.headersFor(message)).end();
            return;
        }
        const run = { id: message.headers["zinnialanding-attempt-id"], atMs: performance.now(), path: message.url, body };
        runner.runs.push(run);
        options.onArrival?.(runner, run);
        runner.running++;
        response.on("close", () => runner.running--);
        if (await options.onRequest?.(runner, message, response)) {
            return;
        }
        if (domain !== undefined) {
            answerStream(message, response);
            return;
        }
        setTimeout(() => response.writeHead(200, { ...runner.headersFor(message), ...runner.signature(message) })
            .end(`done ${message.headers["zinnialanding-attempt-id"]}`), workMs);
    }

    const server = createServer({ keepAliveTimeout: 20_000 }, (message, response) => {
        const target = message.headers["zinnialanding-target-instance"];
        const isOther = target !== undefined && target !== id;
        if (message.url === "/healthz") {
            response.writeHead(isOther ? 421 : runner.state === "draining" ? 503 : 200, { "zinnialanding-served-by": id }).end();
        }
        else if (message.url === "/api/report") {
            const counts = { seq: orders, queued: 0, running: runner.running, kvUsed: 0, kvTotal: 1_000_000, handles: 0 };
            response.writeHead(isOther ? 421 : 200, { "content-type": "application/json" })
                .end(JSON.stringify({ ...stated(), busy: false, ...counts, pace: 1 }));
        }
        else if (message.url === "/api/order") {
            readBody(message).then(text => {
                const status = isOther ? 421 : carryOut(JSON.parse(text));
                orders += status === 202 ? 1 : 0;
                response.writeHead(status).end("{}");
                setTimeout(checkIn, afterOrderMs);
            }, () => response.destroy());
        }
        else {
            handleRequest(message, response).catch(() => response.destroy());
        }
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => server.once("error", reject).listen({ host, port, backlog: 512 }, resolve));
    scheduleCheckIn();
    void checkIn();

    return Object.assign(runner, {
        checkIn,
        /** Says that it leaves; resolves to the daemon that has acknowledged it. */
        drain() {
            runner.state = "draining";
            return checkIn();
        },
        /** Says that it is gone; resolves to the daemon that has acknowledged it. */
        deregister: () => callControl(`/api/instances/${id}/deregister`, JSON.stringify({ born: bornMs })),
        /** Ends like a process that is killed. */
        close() {
            isClosed = true;
            clearTimeout(timer);
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    });
}
