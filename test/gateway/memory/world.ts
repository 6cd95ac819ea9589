import { PassThrough } from "node:stream";
import type { ServerResponse } from "node:http";
import { createPushbacks } from "../../../src/fleet/index.js";
import { createCallerAnswer } from "../../../src/gateway/answer.js";
import { createBalancer } from "../../../src/gateway/balancer.js";
import { createCallerConnection } from "../../../src/gateway/callerConnection.js";
import type { Connections, ExchangeEvents } from "../../../src/gateway/connections.js";
import { headerValue } from "../../../src/gateway/headers.js";
import type { Memory } from "../../../src/gateway/memory/index.js";
import type { ParsedRequest } from "../../../src/gateway/parsedRequest.js";
import { startRequest } from "../../../src/gateway/request.js";
import type { RunningRequest } from "../../../src/gateway/requestTypes.js";
import { createSiteView } from "../../../src/gateway/siteView.js";
import { createLogger } from "../../../src/telemetry/index.js";
import { headerNames } from "../../../platform/headers.js";
import { createGroupHead, createSite, createUpstream, rethrow } from "../../support/gatewaySite.js";

export const logger = createLogger("error", "test", new PassThrough().resume());

/** Returns a seeded generator of numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/** A response whose caller takes bytes when the test says so. */
export interface FakeResponse {
    readonly response: ServerResponse;
    readonly takenBytes: number;
    readonly unsentBytes: number;
    readonly isDestroyed: boolean;
    take(bytes: number): void;
    onClose(callback: () => void): void;
}

const highWaterBytes = 16_384;

/**
 * Like a socket's, its `writableLength` falls only when the kernel has taken a whole write; the bytes that come meanwhile are one further
 * write.
 */
function createFakeResponse(): FakeResponse {
    let writeBytes = 0;
    let queuedBytes = 0;
    let waitingBytes = 0;
    let takenBytes = 0;
    let isEnded = false;
    let isClosed = false;
    let isDestroyed = false;
    let needsDrain = false;
    let waitingCallbacks: (() => void)[] = [];
    let writeCallbacks: (() => void)[] = [];
    let onDrain = () => undefined as void;
    const closeCallbacks: (() => void)[] = [];
    const unsentBytes = () => writeBytes + waitingBytes;
    function close() {
        if (!isClosed) {
            isClosed = true;
            writeBytes = queuedBytes = waitingBytes = 0;
            closeCallbacks.forEach(callback => callback());
        }
    }
    function startWrite() {
        if (queuedBytes === 0) {
            const doneCallbacks = writeCallbacks;
            writeCallbacks = waitingCallbacks;
            waitingCallbacks = [];
            writeBytes = queuedBytes = waitingBytes;
            waitingBytes = 0;
            doneCallbacks.forEach(callback => callback());
        }
    }
    function add(chunk?: Buffer, callback?: () => void) {
        waitingCallbacks.push(...callback === undefined ? [] : [callback]);
        waitingBytes += isClosed ? 0 : chunk?.length ?? 0;
        startWrite();
        needsDrain ||= unsentBytes() >= highWaterBytes;
        return unsentBytes() < highWaterBytes;
    }
    function take(bytes: number) {
        const taken = Math.min(bytes, queuedBytes);
        queuedBytes -= taken;
        takenBytes += taken;
        startWrite();
        if (taken > 0 && taken < bytes) {
            take(bytes - taken);
        }
    }
    const response = {
        on: (_event: "drain", callback: () => void) => {
            onDrain = callback;
        },
        writeHead: () => undefined,
        flushHeaders: () => undefined,
        write: add,
        end(chunk?: Buffer) {
            add(chunk);
            isEnded = true;
            if (unsentBytes() === 0) {
                close();
            }
        },
        destroy() {
            isDestroyed = true;
            close();
        },
        get writableLength() {
            return unsentBytes();
        },
        socket: {
            _handle: {
                get writeQueueSize() {
                    return queuedBytes;
                },
            },
        },
    };
    return {
        response: response as unknown as ServerResponse,
        take(bytes) {
            take(bytes);
            if (unsentBytes() === 0 && isEnded) {
                close();
            }
            else if (unsentBytes() === 0 && needsDrain) {
                needsDrain = false;
                onDrain();
            }
        },
        onClose: callback => closeCallbacks.push(callback),
        get takenBytes() {
            return takenBytes;
        },
        get unsentBytes() {
            return unsentBytes();
        },
        get isDestroyed() {
            return isDestroyed;
        },
    };
}

/** An exchange with an upstream, driven by the test. */
export interface FakeExchange {
    readonly events: ExchangeEvents;
    readonly isPaused: boolean;
    readonly isAborted: boolean;
}

export interface WorldRequest {
    readonly id: string;
    readonly caller: FakeResponse;
    readonly exchanges: readonly FakeExchange[];
    readonly running: RunningRequest;
}

export type RouteKind = "caption" | "read" | "charge";

/** The request path of an entry (request, attempt, answer and account) between fake callers and fake upstreams. */
export function createWorld(memory: Memory) {
    const view = createSiteView({ decodeSite: () => ({ site: createSite() }) }, logger);
    view.apply({ kind: "site", version: 1, text: "" });
    view.apply({ kind: "upstreams", upstreams: [
        createUpstream("127.0.0.1:1", "u1"), createUpstream("127.0.0.1:2", "u2"),
        createGroupHead("127.0.0.1:3", "g1", 1), createGroupHead("127.0.0.1:4", "g2", 2),
    ] });
    const nowMs = () => performance.now();
    const pushbacks = createPushbacks(nowMs, () => undefined);
    const balancer = createBalancer({ nowMs, random: () => 0, entries: () => 1, shareOfLimit: () => undefined, pushbackLeftMs: () => 0 });
    const exchangesById = new Map<string, FakeExchange[]>();
    const connections: Connections = {
        start(_address, { headers }, events) {
            const exchange = { events, isPaused: false, isAborted: false };
            exchangesById.get(headerValue(headers, headerNames.attemptId)!)!.push(exchange);
            return {
                abort: () => void (exchange.isAborted = true), pause: () => void (exchange.isPaused = true),
                resume: () => void (exchange.isPaused = false),
            };
        },
        hasIdle: () => false, sweep: () => undefined, open: 0, close: () => undefined,
    };
    let requests = 0;
    return {
        start(routeKind: RouteKind, bodyBytes: number, timeoutMs = 60_000): WorldRequest {
            const id = `r${requests++}`;
            const caller = createFakeResponse();
            const exchanges: FakeExchange[] = [];
            exchangesById.set(id, exchanges);
            const answer = createCallerAnswer(caller.response, {
                announcesClose: () => false, whenBodyRead: callback => callback(), ownHeaders: [], onDrain: () => running?.resume(),
                onWritten: () => holder.hold("caller", caller.response.writableLength),
            });
            const isResumable = routeKind === "caption";
            const holder = memory.open(createCallerConnection(caller.response, answer, id, () => isResumable));
            let running: RunningRequest | undefined = undefined as RunningRequest | undefined;
            caller.onClose(() => {
                running?.callerLeft();
                holder.callerClosed();
            });
            holder.hold("head", 100);
            const body = holder.readBody({ pause: () => undefined, resume: () => undefined }, bodyBytes);
            body.received(bodyBytes);
            body.completed();
            const table = view.table!;
            const parsed: ParsedRequest = {
                attemptId: id, method: "POST", path: `/${routeKind}/1`, rawHeaders: ["Zinnialanding-Attempt-Id", id], body: Buffer.alloc(bodyBytes),
                route: table.route("shop.example", `/${routeKind}/1`)!, table, organisation: "studio", priority: 0,
                model: isResumable ? "lm" : undefined, promptTokens: 1, sharedParts: [], answerTokens: 1, arrivedAtMs: nowMs(),
                deadlineAtMs: nowMs() + timeoutMs, giveUpAtMs: nowMs() + timeoutMs,
            };
            running = startRequest(parsed, answer, holder, {
                names: headerNames, view, balancer, connections, pushbacks, logger, dataCentre: "a", nowMs, random: () => 0.5,
                mayRetry: () => true, queueLimits: () => ({ onTime: Infinity, late: 0 }), recordOutcome: () => undefined,
                recordLimit: () => undefined, recordCrash: () => undefined, isBarred: () => false, countFailedAttempt: () => undefined,
                recordException: rethrow,
            });
            return { id, caller, exchanges, running };
        },
    };
}

/** Returns the headers of an upstream's answer to the request. */
export function answerHead({ id }: WorldRequest): string[] {
    return ["Zinnialanding-Attempt-Id", id, "Zinnialanding-Upstream-Signature", "s1"];
}
