/**
 * A simulated runner of the platform: sends heartbeats, executes orders, joins groups and answers requests in the platform's wire format.
 * Tests inject faults through its properties and read the requests it ran from `runs`.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { carryOutLate } from "./lateOrders.js";
import { isHeadCut, readBody, writePartOfHead } from "./messages.js";
import type { Arrival, Membership, Pushback, Run, Runner, RunnerOptions } from "./runnerTypes.js";

/** Events in a streamed answer; an event stands for five tokens. */
export const eventsPerAnswer = 6;
const eventMs = 30;
/** Streams below this path have events of a mebibyte, more than a connection takes up whose reader has stopped. */
export const bulkPath = "/bulk/";
export const bulkPadding = `: ${"x".repeat(1 << 20)}\n`;
const healthPath = "/";
const restartAfterCrashMs = 300;

/** Starts a runner on a free loopback port. */
export async function startRunner(options: RunnerOptions): Promise<Runner> {
    let startedAtMs = Date.now();
    const coldUntilMs = performance.now() + (options.coldForMs ?? 0);
    const crashTimesMs: number[] = [];
    let isDown = false;
    const runs: Run[] = [];
    const arrivals: Arrival[] = [];
    const pushbacks: Pushback[] = [];
    const anomalies: string[] = [];
    let heartbeatSeq = 0;
    let orderSeq = 0;
    let membership: Membership | undefined;
    let highestEpoch = 0;
    let staged: string[] = [];
    let state: "ready" | "draining" = "ready";
    let refusedJoins = 0;
    let address = "";
    let isClosed = false;
    const sockets = new Set<Socket>();
    /** Streams that run or wait, in order of arrival. */
    const streams = new Set<ServerResponse>();
    const { slots = Infinity } = options;

    const runner: Runner = {
        id: options.id,
        zone: options.zone,
        get address() {
            return address;
        },
        runs,
        arrivals,
        pushbacks,
        anomalies,
        get membership() {
            return membership;
        },
        get refusedJoins() {
            return refusedJoins;
        },
        isPoweredOff: false,
        sendsHeartbeats: true,
        orderDelayMs: 0,
        resetAfterEvents: undefined,
        crashPath: undefined,
        crashPart: undefined,
        limitPerSecond: undefined,
        pushbackS: undefined,
        saysLeaving: false,
        losesAnswers: false,
        cutsHeads: false,
        get crashes() {
            return crashTimesMs.length;
        },
        crashTimesMs,
        async drain() {
            state = "draining";
            await sendHeartbeat();
        },
        async close() {
            clearInterval(heartbeatTimer);
            isClosed = true;
            server.closeAllConnections();
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };

    function coldRemainingMs(): number {
        return Math.max(0, Math.round(coldUntilMs - performance.now()));
    }

    function reportFields() {
        const group = membership === undefined
            ? undefined
            : { name: membership.name, epoch: membership.epoch, rank: membership.rank, state: membership.state };
        return { born: startedAtMs, staged, domain: options.domain, group, stage: "mixed", models: [] };
    }

    async function sendHeartbeat() {
        if (runner.isPoweredOff || isDown || !runner.sendsHeartbeats) {
            return;
        }
        const body = JSON.stringify({
            service: options.service, address, zone: options.zone, version: "v1", slots: 8, state, coldRemainingMs: coldRemainingMs(),
            seq: ++heartbeatSeq, ...reportFields(),
        });
        for (const control of options.controls()) {
            const url = `http://${control}/api/instances/${options.id}/heartbeat`;
            const answer = await fetch(url, { method: "POST", body, headers: { "content-type": "application/json" }, signal: AbortSignal.timeout(800) })
                .catch(() => undefined);
            if (answer?.ok) {
                return;
            }
        }
    }

    function executeOrder(order: Record<string, unknown>): number {
        const epoch = Number(order.epoch);
        const isCurrentMembership = membership?.name === order.group && membership?.epoch === epoch;
        switch (order.operation) {
            case "stage":
                staged = [String(order.model)];
                break;
            case "join": {
                if (epoch < highestEpoch) {
                    refusedJoins++;
                    return 412;
                }
                if (isCurrentMembership) {
                    return 200;
                }
                const members = order.members as string[];
                const head = membership === undefined ? undefined : options.peer(membership.members[0]!);
                if (membership !== undefined && membership.members[0] !== options.id && head?.isPoweredOff === false &&
                    head.membership?.name === membership.name && head.membership.state === "open") {
                    anomalies.push(`${options.id} takes a join of ${String(order.group)} while the head of ${membership.name} is open`);
                }
                const newMembership: Membership = {
                    name: String(order.group), epoch, rank: members.indexOf(options.id), members, model: String(order.model), state: "joining",
                };
                membership = newMembership;
                highestEpoch = epoch;
                setTimeout(() => {
                    newMembership.state = newMembership.state === "joining" ? "ready" : newMembership.state;
                    staged = [newMembership.model];
                    void sendHeartbeat();
                }, options.joinMs);
                break;
            }
            case "open":
                if (!isCurrentMembership || membership!.state === "joining") {
                    return 409;
                }
                membership!.state = "open";
                break;
            case "close":
                if (!isCurrentMembership) {
                    return 409;
                }
                membership!.state = "ready";
                break;
            case "leave":
                if (!isCurrentMembership) {
                    return 409;
                }
                membership = undefined;
                break;
            default:
                return 400;
        }
        orderSeq++;
        void sendHeartbeat();
        return 202;
    }

    /** Returns whether every member of the group is powered on and still belongs to it. */
    function isGroupComplete(): boolean {
        return membership!.members.every(id => {
            const peer = id === options.id ? runner : options.peer(id);
            return peer !== undefined && !peer.isPoweredOff && peer.membership?.name === membership!.name;
        });
    }

    /** Headers by which the runner states its needs. */
    function statementHeaders(): Record<string, string> {
        return {
            ...runner.limitPerSecond === undefined ? {} : { "server-limit": String(runner.limitPerSecond) },
            ...runner.saysLeaving ? { "server-leaving": "1" } : {},
        };
    }

    async function handleRequest(message: IncomingMessage, response: ServerResponse) {
        const id = message.headers["zinnialanding-attempt-id"] as string;
        const commonHeaders = { "zinnialanding-attempt-id": id, "zinnialanding-served-by": options.id, "zinnialanding-instance-load": "1,0,8", ...statementHeaders() };
        const targetInstance = message.headers["zinnialanding-target-instance"];
        await readBody(message);
        if (targetInstance !== undefined && targetInstance !== options.id) {
            response.writeHead(421, commonHeaders).end();
            return;
        }
        const arrival: Arrival = { id, atMs: performance.now(), isCold: coldRemainingMs() > 0, limitPerSecond: runner.limitPerSecond };
        arrivals.push(arrival);
        if (runner.pushbackS !== undefined) {
            pushbacks.push({ ...arrival, forMs: runner.pushbackS * 1_000 });
            response.writeHead(503, { ...commonHeaders, "zinnialanding-not-executed": "1", "retry-after": String(runner.pushbackS) }).end();
            return;
        }
        const tenant = message.headers["zinnialanding-tenant"] as string | undefined;
        if (options.domain === undefined) {
            runs.push({ id, runner: options.id, tenant, atMs: performance.now() });
            if (runner.losesAnswers) {
                response.socket?.resetAndDestroy();
                return;
            }
            if (runner.cutsHeads && isHeadCut()) {
                return writePartOfHead(response.socket!, commonHeaders);
            }
            response.writeHead(200, { ...commonHeaders, "zinnialanding-upstream-signature": `${options.id}.${id}` }).end(`done ${id}`);
            return;
        }
        if (membership?.state !== "open" || message.headers["zinnialanding-model"] !== membership.model) {
            response.writeHead(421, commonHeaders).end();
            return;
        }
        runs.push({ id, runner: options.id, tenant, atMs: performance.now() });
        if (message.url === runner.crashPath) {
            crash();
            return;
        }
        if (runner.cutsHeads && isHeadCut()) {
            return writePartOfHead(response.socket!, commonHeaders);
        }
        const padding = message.url?.startsWith(bulkPath) ? bulkPadding : "";
        const parts = String(message.headers["zinnialanding-prefix-hash"] ?? "").split(",").map(entry => entry.split(":")[0]!);
        const isCrashing = runner.crashPart !== undefined && parts.includes(runner.crashPart);
        streamEvents(response, commonHeaders, id, { lastEventId: Number(message.headers["last-event-id"] ?? 0), padding, isCrashing });
    }

    function streamEvents(
        response: ServerResponse, commonHeaders: Record<string, string>, id: string,
        { lastEventId, padding, isCrashing }: { lastEventId: number; padding: string; isCrashing: boolean },
    ) {
        response.writeHead(200, { ...commonHeaders, "content-type": "text/event-stream", "zinnialanding-upstream-signature": `${options.id}.${id}` });
        let nextEventId = lastEventId + 1;
        const initialMembership = membership;
        streams.add(response);
        response.on("close", () => streams.delete(response));
        const eventTimer = setInterval(() => {
            if (response.destroyed) {
                clearInterval(eventTimer);
                return;
            }
            if (membership !== initialMembership) {
                // A head that leaves its group cuts off the requests that run in it.
                clearInterval(eventTimer);
                response.socket?.resetAndDestroy();
                return;
            }
            if (runner.isPoweredOff || !isGroupComplete() || [...streams].indexOf(response) >= slots) {
                return;
            }
            if (runner.resetAfterEvents !== undefined && nextEventId > lastEventId + runner.resetAfterEvents) {
                clearInterval(eventTimer);
                response.socket?.resetAndDestroy();
                return;
            }
            response.write(`id: ${nextEventId}\ndata: ${id} ${nextEventId}\n${padding}\n`);
            nextEventId++;
            if (isCrashing) {
                clearInterval(eventTimer);
                crash();
                return;
            }
            if (nextEventId > eventsPerAnswer) {
                clearInterval(eventTimer);
                response.end();
            }
        }, eventMs);
    }

    /** Simulates a crash and a restart under the same id and address; only the models staged on the VM's disk survive. */
    function crash() {
        if (isDown) {
            return;
        }
        crashTimesMs.push(performance.now());
        isDown = true;
        sockets.forEach(socket => socket.resetAndDestroy());
        server.close();
        setTimeout(() => {
            if (isClosed) {
                return;
            }
            startedAtMs = Date.now();
            [heartbeatSeq, orderSeq, highestEpoch, membership] = [0, 0, 0, undefined];
            server.listen(Number(listensAt.split(":")[1]), "127.0.0.1", () => {
                isDown = false;
                void sendHeartbeat();
            });
        }, restartAfterCrashMs);
    }

    async function handleOrder(message: IncomingMessage, response: ServerResponse) {
        const order = JSON.parse(await readBody(message)) as Record<string, unknown>;
        if (runner.orderDelayMs > 0) {
            return carryOutLate(runner.orderDelayMs, () => startedAtMs, () => executeOrder(order));
        }
        response.writeHead(executeOrder(order), statementHeaders()).end("{}");
    }

    /** Answers a health check: 200 while the runner is not leaving. */
    function answerHealthCheck(message: IncomingMessage, response: ServerResponse) {
        const target = message.headers["zinnialanding-target-instance"];
        const status = target !== undefined && target !== options.id ? 421 : state === "draining" ? 503 : 200;
        response.writeHead(status, { "zinnialanding-served-by": options.id, ...statementHeaders() }).end();
    }

    const server: Server = createServer((message, response) => {
        if (runner.isPoweredOff) {
            return;
        }
        if (message.method === "GET" && message.url === healthPath) {
            answerHealthCheck(message, response);
            return;
        }
        if (message.url === "/api/order") {
            void handleOrder(message, response);
        }
        else if (message.url === "/api/report") {
            const target = message.headers["zinnialanding-target-instance"];
            const isIntended = target === undefined || target === options.id;
            response.writeHead(isIntended ? 200 : 421, { "content-type": "application/json", ...statementHeaders() }).end(JSON.stringify({ ...reportFields(), seq: orderSeq, queued: 0, running: 0 }));
        }
        else {
            void handleRequest(message, response);
        }
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const listensAt = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    address = await options.advertise?.(listensAt) ?? listensAt;
    const heartbeatTimer = setInterval(() => void sendHeartbeat(), options.heartbeatMs);
    void sendHeartbeat();
    return runner;
}
