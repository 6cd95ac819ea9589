/**
 * A runner of the platform, in small: announces itself, takes orders, joins groups, and answers requests in the platform's wire forms. It
 * is a model for tests: faults are switched on from outside, and what it ran is on record.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

interface Membership {
    readonly name: string;
    readonly epoch: number;
    readonly rank: number;
    readonly members: readonly string[];
    readonly model: string;
    state: "joining" | "ready" | "open" | "closing" | "broken";
}

export interface RunnerOptions {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    /** Undefined for a plain service, which forms no groups. */
    readonly domain?: string;
    /** Where heartbeats go, in turn until one is acknowledged. */
    controls(): readonly string[];
    /** Other runners, to know whether a group still has its members. */
    peer(id: string): Runner | undefined;
    readonly heartbeatMs: number;
    readonly joinMs: number;
}

/** A request that was run, by its id. */
export interface Run {
    readonly id: string;
    readonly runner: string;
    readonly tenant: string | undefined;
    /** When it began, on the clock of `performance.now()`. */
    readonly atMs: number;
}

export interface Runner {
    readonly id: string;
    readonly address: string;
    readonly runs: Run[];
    readonly membership: Membership | undefined;
    /** Orders refused for their epoch. */
    readonly refusedJoins: number;
    /** True: nothing is answered and no heartbeat leaves, as on a VM that lost power. */
    isDark: boolean;
    /** Orders are carried out this much later and get no answer; 0 for at once. */
    lateOrdersMs: number;
    /** Ends each answer after this many events, with a reset. */
    breakAfter: number | undefined;
    /** Ends the process whenever a request with this path begins to run; it is back under the same id after a moment. */
    crashPath: string | undefined;
    /** The requests a second that its answers name as its limit; undefined for none. */
    limitPerSecond: number | undefined;
    /** How often it has crashed. */
    readonly crashes: number;
    drain(): Promise<void>;
    close(): Promise<void>;
}

/** Five tokens make an event; a test's answers have this many events. */
export const eventsPerAnswer = 6;
const eventMs = 30;
/** How long a runner that crashed is down. */
const restartMs = 300;

async function bodyOf(message: IncomingMessage): Promise<string> {
    let text = "";
    for await (const chunk of message) {
        text += String(chunk);
    }
    return text;
}

/** Starts a runner on a loopback port. */
export async function startRunner(options: RunnerOptions): Promise<Runner> {
    let born = Date.now();
    let crashes = 0;
    let isDown = false;
    const runs: Run[] = [];
    let heartbeats = 0;
    let orders = 0;
    let membership: Membership | undefined;
    let highestEpoch = 0;
    let staged: string[] = [];
    let state: "ready" | "draining" = "ready";
    let refusedJoins = 0;
    let address = "";
    let isClosed = false;
    const sockets = new Set<Socket>();

    const runner: Runner = {
        id: options.id,
        get address() {
            return address;
        },
        runs,
        get membership() {
            return membership;
        },
        get refusedJoins() {
            return refusedJoins;
        },
        isDark: false,
        lateOrdersMs: 0,
        breakAfter: undefined,
        crashPath: undefined,
        limitPerSecond: undefined,
        get crashes() {
            return crashes;
        },
        async drain() {
            state = "draining";
            await announce();
        },
        async close() {
            clearInterval(timer);
            isClosed = true;
            server.closeAllConnections();
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };

    function facts() {
        const group = membership === undefined
            ? undefined
            : { name: membership.name, epoch: membership.epoch, rank: membership.rank, state: membership.state };
        return { born, staged, domain: options.domain, group, stage: "mixed", models: [] };
    }

    async function announce() {
        if (runner.isDark || isDown) {
            return;
        }
        const body = JSON.stringify({
            service: options.service, address, zone: options.zone, version: "v1", slots: 8, state, coldRemainingMs: 0, seq: ++heartbeats, ...facts(),
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

    function carryOut(order: Record<string, unknown>): number {
        const epoch = Number(order.epoch);
        const isOwn = membership?.name === order.group && membership?.epoch === epoch;
        switch (order.operation) {
            case "stage":
                staged = [String(order.model)];
                break;
            case "join": {
                if (epoch < highestEpoch) {
                    refusedJoins++;
                    return 412;
                }
                if (isOwn) {
                    return 200;
                }
                const members = order.members as string[];
                const joined: Membership = {
                    name: String(order.group), epoch, rank: members.indexOf(options.id), members, model: String(order.model), state: "joining",
                };
                membership = joined;
                highestEpoch = epoch;
                setTimeout(() => {
                    joined.state = joined.state === "joining" ? "ready" : joined.state;
                    staged = [joined.model];
                    void announce();
                }, options.joinMs);
                break;
            }
            case "open":
                if (!isOwn || membership!.state === "joining") {
                    return 409;
                }
                membership!.state = "open";
                break;
            case "close":
                if (!isOwn) {
                    return 409;
                }
                membership!.state = "ready";
                break;
            case "leave":
                if (!isOwn) {
                    return 409;
                }
                membership = undefined;
                break;
            default:
                return 400;
        }
        orders++;
        void announce();
        return 202;
    }

    /** Whether every member of this head's group is still in it. */
    function isWhole(): boolean {
        return membership!.members.every(id => {
            const peer = id === options.id ? runner : options.peer(id);
            return peer !== undefined && !peer.isDark && peer.membership?.name === membership!.name;
        });
    }

    function limitHeader(): Record<string, string> {
        return runner.limitPerSecond === undefined ? {} : { "server-limit": String(runner.limitPerSecond) };
    }

    async function serve(message: IncomingMessage, response: ServerResponse) {
        const id = message.headers["zinnialanding-attempt-id"] as string;
        const echo = { "zinnialanding-attempt-id": id, "zinnialanding-served-by": options.id, "zinnialanding-instance-load": "1,0,8", ...limitHeader() };
        const wanted = message.headers["zinnialanding-target-instance"];
        await bodyOf(message);
        if (wanted !== undefined && wanted !== options.id) {
            response.writeHead(421, echo).end();
            return;
        }
        const tenant = message.headers["zinnialanding-tenant"] as string | undefined;
        if (options.domain === undefined) {
            runs.push({ id, runner: options.id, tenant, atMs: performance.now() });
            response.writeHead(200, { ...echo, "zinnialanding-upstream-signature": `${options.id}.${id}` }).end(`done ${id}`);
            return;
        }
        if (membership?.state !== "open" || message.headers["zinnialanding-model"] !== membership.model) {
            response.writeHead(421, echo).end();
            return;
        }
        runs.push({ id, runner: options.id, tenant, atMs: performance.now() });
        if (message.url === runner.crashPath) {
            crash();
            return;
        }
        stream(response, echo, id, Number(message.headers["last-event-id"] ?? 0));
    }

    function stream(response: ServerResponse, echo: Record<string, string>, id: string, from: number) {
        response.writeHead(200, { ...echo, "content-type": "text/event-stream", "zinnialanding-upstream-signature": `${options.id}.${id}` });
        let next = from + 1;
        const startedIn = membership;
        const ticker = setInterval(() => {
            if (response.destroyed) {
                clearInterval(ticker);
                return;
            }
            if (membership !== startedIn) {
                // A head that has left its group has cut off what ran in it.
                clearInterval(ticker);
                response.socket?.resetAndDestroy();
                return;
            }
            if (runner.isDark || !isWhole()) {
                return;
            }
            if (runner.breakAfter !== undefined && next > from + runner.breakAfter) {
                clearInterval(ticker);
                response.socket?.resetAndDestroy();
                return;
            }
            response.write(`id: ${next}\ndata: ${id} ${next}\n\n`);
            next++;
            if (next > eventsPerAnswer) {
                clearInterval(ticker);
                response.end();
            }
        }, eventMs);
    }

    /** Ends and, after a moment, starts again under the same id and address, with nothing of before but what is on the VM's disk. */
    function crash() {
        crashes++;
        isDown = true;
        sockets.forEach(socket => socket.resetAndDestroy());
        server.close();
        setTimeout(() => {
            if (isClosed) {
                return;
            }
            born = Date.now();
            [heartbeats, orders, highestEpoch, membership] = [0, 0, 0, undefined];
            server.listen(Number(address.split(":")[1]), "127.0.0.1", () => {
                isDown = false;
                void announce();
            });
        }, restartMs);
    }

    async function onOrder(message: IncomingMessage, response: ServerResponse) {
        const order = JSON.parse(await bodyOf(message)) as Record<string, unknown>;
        if (runner.lateOrdersMs > 0) {
            setTimeout(() => carryOut(order), runner.lateOrdersMs);
            return;
        }
        response.writeHead(carryOut(order)).end("{}");
    }

    const server: Server = createServer((message, response) => {
        if (runner.isDark) {
            return;
        }
        if (message.url === "/api/order") {
            void onOrder(message, response);
        }
        else if (message.url === "/api/report") {
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({ ...facts(), seq: orders, queued: 0, running: 0 }));
        }
        else {
            void serve(message, response);
        }
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const timer = setInterval(() => void announce(), options.heartbeatMs);
    void announce();
    return runner;
}
