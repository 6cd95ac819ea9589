import { freePorts } from "../../bench/processes.js";
import { createLogger } from "../../src/telemetry/index.js";
import type { Admission } from "../../src/gateway/admission.js";
import { createBalancer } from "../../src/gateway/balancer.js";
import { createConnections } from "../../src/gateway/connections.js";
import { type Memory, unboundedMemory } from "../../src/gateway/memory/index.js";
import { type GatewayServer, listenForCallers, type ServerDependencies } from "../../src/gateway/server.js";
import type { StopLabels } from "../../src/gateway/stopRecord.js";
import type { QueueLimits } from "../../src/gateway/work.js";
import { createSiteView, type SiteView } from "../../src/gateway/siteView.js";
import { headerNames } from "../../platform/headers.js";
import { createPushbacks, type RelayedUpstream } from "../../src/fleet/index.js";
import { type Site, siteSchema } from "../../src/site/index.js";
import { PassThrough } from "node:stream";
import { connect, type Socket } from "node:net";

/** Builds a site with one plain service, `orders`, and one model, `lm`, served by groups of size one. */
export function createSite(overrides: Partial<Site> = {}): Site {
    const engine = {
        slots: 4, models: [{ name: "lm", size: 1, share: 1, pace: 1, loadMs: 1_000, warmMs: 100 }], stepMs: 10, stepPerRequestMs: 1,
        stepPerThousandTokensMs: 0, promptTokensPerSecond: 10_000, usualPromptTokens: 100, usualAnswerTokens: 20,
        loadsPerSecond: 2, loadsAtOnce: 2, formMs: 100,
    };
    const service = { healthPath: "/", maxConnections: 50, coldMs: 0, coldRequestsPerSecond: 0 };
    const route = { host: "shop.example", timeoutMs: 3_000, maxAttempts: 2 };
    return siteSchema.parse({
        version: 1,
        routes: [
            { ...route, name: "charge", pathPrefix: "/charge/", kind: "non-idempotent", targets: [{ service: "orders", weight: 1 }] },
            { ...route, name: "read", pathPrefix: "/read/", kind: "idempotent", targets: [{ service: "orders", weight: 1 }] },
            { ...route, name: "caption", pathPrefix: "/caption/", kind: "stream", isResumable: true, targets: [{ service: "pool", weight: 1 }] },
        ],
        services: [{ ...service, name: "orders" }, { ...service, name: "pool", engine }],
        limits: {},
        organisations: [{ name: "studio", keys: ["key-1"] }],
        ...overrides,
    });
}

/** Builds an upstream of the service `orders` as control daemons publish it. */
export function createUpstream(address: string, id: string, overrides: Partial<RelayedUpstream> = {}): RelayedUpstream {
    return {
        id, address, service: "orders", dataCentre: "a", bornMs: 1, sequence: 1, state: "ready", coldForMs: 0, slots: 4,
        stagedModels: [], heardAgoMs: 0, isGone: false, hasLeft: false, ...overrides,
    };
}

/** Builds the head of a group of size one for the model `lm`. */
export function createGroupHead(address: string, id: string, epoch: number): RelayedUpstream {
    return createUpstream(address, id, { service: "pool", domain: "d", group: { name: `lm/${epoch}`, epoch, rank: 0, state: "open" } });
}

/** Fails the test: an exception that is contained must not go unnoticed. */
export function rethrow(error: unknown): never {
    throw error;
}

export interface GatewaySite {
    readonly port: number;
    readonly view: SiteView;
    readonly outcomes: string[];
    /** Labels of the requests counted while the listener was stopping. */
    readonly stopCounts: StopLabels[];
    readonly server: GatewayServer;
    /** What is left of the retry budget. */
    readonly retriesLeft: number;
    stop(): void;
}

/**
 * Starts an entry's listener for the given upstreams, without control daemons. `rateLimits` maps an upstream to the requests per second
 * that this entry may send to it. `createAdmissionFor` creates the admission of streams, without which none waits. `memory` is checked
 * every 100 ms. `overrides` replace what the listener depends on.
 */
export async function startGateway(
    upstreams: RelayedUpstream[], site: Site = createSite(), maxRepeats = Infinity, queueCapacity: QueueLimits = { onTime: 100, late: 0 },
    rateLimits: Readonly<Record<string, number>> = {}, createAdmissionFor: (view: SiteView) => Admission | undefined = () => undefined,
    memory: Memory = unboundedMemory, overrides: Partial<ServerDependencies> = {},
): Promise<GatewaySite> {
    const logger = createLogger("error", "test", new PassThrough().resume());
    const view = createSiteView({ decodeSite: () => ({ site }) }, logger);
    view.apply({ kind: "site", version: site.version, text: "" });
    view.apply({ kind: "upstreams", upstreams });
    const outcomes: string[] = [];
    const stopCounts: StopLabels[] = [];
    const connections = createConnections();
    const port = (await freePorts(1))[0]!;
    const nowMs = () => performance.now();
    const pushbacks = createPushbacks(nowMs, () => undefined);
    let repeatsLeft = maxRepeats;
    const server = await listenForCallers(`127.0.0.1:${port}`, {
        names: headerNames, view, logger, connections, memory, dataCentre: "a", nowMs, random: () => 0.5,
        balancer: createBalancer({
            nowMs, random: () => 0, entries: () => 1, shareOfLimit: ({ id }) => rateLimits[id], pushbackLeftMs: pushbacks.leftMs,
        }),
        admission: createAdmissionFor(view),
        mayRetry: () => repeatsLeft-- > 0,
        queueLimits: () => queueCapacity,
        recordOutcome: outcome => outcomes.push(outcome),
        countFailedAttempt: () => undefined,
        pushbacks,
        recordCrash: () => undefined,
        recordArrival: () => undefined,
        isBarred: () => false,
        countEarlyRefusal: () => undefined,
        recordLimit: () => undefined, countWhileStopping: labels => stopCounts.push(labels),
        recordException: rethrow,
        ...overrides,
    });
    const memoryTimer = setInterval(() => memory.check(), 100);
    return {
        port, view, outcomes, stopCounts, server,
        get retriesLeft() {
            return repeatsLeft;
        },
        stop() {
            clearInterval(memoryTimer);
            void server.closeListener();
            server.close();
            connections.close();
        },
    };
}

/** Sends bytes on a new connection and resolves to everything received until the connection closes or is idle for `idleMs`. */
export function exchangeRaw(port: number, bytes: string, idleMs = 400): Promise<string> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        let text = "";
        const finish = () => {
            socket.destroy();
            resolve(text);
        };
        let timer = setTimeout(finish, idleMs);
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            clearTimeout(timer);
            timer = setTimeout(finish, idleMs);
        });
        socket.on("error", finish);
        socket.on("close", finish);
        socket.write(bytes);
    });
}

/** A caller that keeps its connection open. */
export interface KeepAliveCaller {
    send(bytes: string): void;
    /** Everything received so far. */
    readonly text: string;
    /** True once the entry has ended the connection. */
    readonly isEnded: boolean;
    /** True once the connection was reset, which loses data in transit. */
    readonly isReset: boolean;
    /** The underlying socket, to pause and resume reading. */
    readonly socket: Socket;
    close(): void;
}

/** Opens a connection that stays open until either side ends it. */
export async function openCaller(port: number, host = "127.0.0.1"): Promise<KeepAliveCaller> {
    return createKeepAliveCaller(connect(port, host));
}

/** Opens a connection whose caller does not read until it has sent everything, even if the other side ends the connection first. */
export async function openPausedCaller(port: number): Promise<KeepAliveCaller> {
    const caller = await createKeepAliveCaller(connect({ port, host: "127.0.0.1", allowHalfOpen: true }));
    caller.socket.pause();
    return caller;
}

async function createKeepAliveCaller(socket: Socket): Promise<KeepAliveCaller> {
    let text = "";
    let isEnded = false;
    let isReset = false;
    socket.on("data", chunk => {
        text += chunk.toString("latin1");
    });
    socket.on("error", () => {
        isReset = true;
    });
    socket.on("end", () => {
        isEnded = true;
    });
    await new Promise(resolve => socket.once("connect", resolve));
    return {
        socket,
        send: bytes => void socket.write(bytes),
        get text() {
            return text;
        },
        get isEnded() {
            return isEnded || socket.destroyed;
        },
        get isReset() {
            return isReset;
        },
        close: () => void socket.destroy(),
    };
}

/** Resolves to true if connections to `port` are refused. */
export function refusesConnections(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        const finish = (refused: boolean) => {
            socket.destroy();
            resolve(refused);
        };
        socket.once("connect", () => finish(false)).once("error", () => finish(true));
    });
}

/** Encodes a caller's request with the platform's headers. */
export function encodeRequest(
    method: string, path: string, options: { id?: string; body?: string; headers?: Record<string, string> } = {},
): string {
    const { id = "attempt-1", body } = options;
    const headers: Record<string, string> = {
        Host: "shop.example", "Zinnialanding-Attempt-Id": id, "Zinnialanding-Deadline-Ms": "2000", "Api-Key": "key-1", ...options.headers,
        ...body === undefined ? {} : { "Content-Length": String(body.length) },
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n${body ?? ""}`;
}

/** Returns the status code of a raw response; undefined if there is none. */
export function parseStatus(response: string): number | undefined {
    const status = /^HTTP\/1\.1 (\d+)/.exec(response)?.[1];
    return status === undefined ? undefined : Number(status);
}
