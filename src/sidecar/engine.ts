/**
 * Polls the engine or plain service next to the sidecar, and communicates with it over HTTP.
 *
 * @module
 */

import { Agent, request } from "undici";
import { z } from "zod";
import { readBoundedText } from "../http/index.js";
import { createEngineConnection, type EngineConnection } from "./engineConnection.js";

const pollIntervalMs = 250;
const pollTimeoutMs = 1_000;
const orderTimeoutMs = 5_000;
/** Far more than a state takes. */
const maxStateBytes = 262_144;
const connectionRefusedCode = "ECONNREFUSED";
const connectionBrokenCodes = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

const engineStateSchema = z.object({
    bootId: z.string(),
    running: z.number().default(0),
    queued: z.number().default(0),
    capacity: z.number().default(1),
    models: z.array(z.string()).default([]),
    loading: z.string().nullish(),
    stepLatencyMs: z.number().default(0),
});

/** The state that the upstream last reported. */
export type EngineState = z.infer<typeof engineStateSchema>;

export interface Engine {
    readonly address: string;
    /** Undefined while the upstream does not answer. */
    readonly state: EngineState | undefined;
    /** Whether the last poll found no process. A stalled process does not count as gone. */
    readonly isGone: boolean;
    /** Creates a connection for one request, which is closed by the caller, or by `stop`. */
    connect(): EngineConnection;
    /** Polls immediately, or joins a poll in progress. Used after a connection to the upstream was reset. */
    poll(): Promise<void>;
    /** Sends an order, fenced by its epoch; resolves to false if the engine refused it or did not answer. */
    order(body: Record<string, unknown>): Promise<boolean>;
    stop(): void;
}

/**
 * Starts polling. Calls `onPoll` after each poll; `isChanged` is true if the upstream appeared, disappeared or restarted, or if its
 * loaded or loading models changed.
 */
export function createEngine(address: string, onPoll: (state: EngineState | undefined, isChanged: boolean) => void): Engine {
    const connections = new Set<EngineConnection>();
    const orderAgent = new Agent({ pipelining: 0, headersTimeout: orderTimeoutMs, bodyTimeout: 0 });
    const pollAgent = new Agent({
        headersTimeout: pollTimeoutMs,
        bodyTimeout: pollTimeoutMs,
        connect: { timeout: pollTimeoutMs },
    });
    let state: EngineState | undefined;
    let isGone = false;
    let currentPoll: Promise<void> | undefined;

    /**
     * Fetches the state, with one retry after a broken connection. Only a refused connection shows that the process is gone: a broken one
     * may have been an idle connection that the upstream closed, and a timeout may be a stall.
     */
    async function fetchState(isRetry = false): Promise<EngineState | undefined> {
        try {
            const answer = await request(`http://${address}/state`, { dispatcher: pollAgent, signal: AbortSignal.timeout(pollTimeoutMs) });
            isGone = false;
            return engineStateSchema.parse(JSON.parse(await readBoundedText(answer.body, maxStateBytes)));
        }
        catch (error) {
            const code = (error as { code?: string }).code ?? "";
            isGone = code === connectionRefusedCode;
            return connectionBrokenCodes.has(code) && !isRetry ? fetchState(true) : undefined;
        }
    }

    async function pollOnce() {
        const previous = state;
        state = await fetchState();
        currentPoll = undefined;
        const isChanged = previous?.bootId !== state?.bootId || previous?.models.join() !== state?.models.join() ||
            previous?.loading !== state?.loading;
        onPoll(state, isChanged);
    }

    function poll(): Promise<void> {
        currentPoll ??= pollOnce();
        return currentPoll;
    }

    const timer = setInterval(() => void poll(), pollIntervalMs);
    void poll();
    return {
        address,
        get state() {
            return state;
        },
        get isGone() {
            return isGone;
        },
        connect() {
            const connection = createEngineConnection(address, closed => connections.delete(closed));
            connections.add(connection);
            return connection;
        },
        poll,
        async order(body) {
            try {
                const answer = await request(`http://${address}/orders`, {
                    method: "POST",
                    dispatcher: orderAgent,
                    headers: { "content-type": "application/json" },
                    body: JSON.stringify(body),
                });
                await answer.body.dump();
                return answer.statusCode < 300;
            }
            catch {
                return false;
            }
        },
        stop() {
            clearInterval(timer);
            connections.forEach(connection => connection.close());
            void orderAgent.destroy();
            void pollAgent.destroy();
        },
    };
}
