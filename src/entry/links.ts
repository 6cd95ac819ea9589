/**
 * Calls from the entry to sidecars: start, resume, tombstone, acknowledge and cancel attempts.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { type AttemptEvent, type ChosenUpstream, refusalCodeOf, type TombstoneState } from "../attempt/index.js";
import { type PeerConnection, type PeerConnections, type RunEvent, type RunRequestSchema, SidecarService } from "../rpc/index.js";

const tombstoneTimeoutMs = 800;
const acknowledgeTimeoutMs = 2_000;

/** How a connection of an attempt ended: with the last event, by a lost connection, or because the sidecar does not know the attempt. */
export type LinkEnd = "finished" | "lost" | "not-known";

/** Carries one attempt over successive connections, opening a new one whenever the latest may have failed. */
export interface AttemptLink {
    run(request: MessageInitShape<typeof RunRequestSchema>, onEvent: EventHandler, signal: AbortSignal): Promise<LinkEnd>;
    resume(fromSequence: number, onEvent: EventHandler, signal: AbortSignal): Promise<LinkEnd>;
    tombstone(): Promise<TombstoneState>;
    acknowledge(throughSequence: number): void;
    cancel(): void;
}

export type EventHandler = (sequence: number, event: AttemptEvent, load: Load | undefined) => void;

/** The load of an upstream, as carried by heartbeats and end events. */
export interface Load {
    readonly running: number;
    readonly capacity: number;
}

/** Converts a message to an event; returns undefined for a kind that this version does not know. */
function toAttemptEvent({ event }: RunEvent): { readonly event: AttemptEvent; readonly load?: Load } | undefined {
    switch (event.case) {
        case "started":
            return { event: { kind: "started", head: { status: event.value.status, headers: event.value.headers } } };
        case "chunk":
            return { event: { kind: "chunk", data: event.value.data } };
        case "heartbeat":
            return { event: { kind: "heartbeat" }, load: event.value };
        case "end": {
            const { chunks, bytes } = event.value;
            return { event: { kind: "end", chunks: Number(chunks), bytes: Number(bytes) }, load: event.value };
        }
        case "failure": {
            const { code, execution, retryAfterMs, detail } = event.value;
            const knownExecution = execution === "not-run" || execution === "ran" ? execution : "unknown";
            return { event: { kind: "failure", code: refusalCodeOf(code), execution: knownExecution, retryAfterMs, detail } };
        }
        default:
            return undefined;
    }
}

async function readEvents(events: AsyncIterable<RunEvent>, onEvent: EventHandler): Promise<LinkEnd> {
    try {
        for await (const message of events) {
            const received = toAttemptEvent(message);
            if (received === undefined) {
                continue;
            }
            onEvent(Number(message.sequence), received.event, received.load);
            if (received.event.kind === "end" || received.event.kind === "failure") {
                return "finished";
            }
        }
        return "lost";
    }
    catch (error) {
        return ConnectError.from(error).code === Code.NotFound ? "not-known" : "lost";
    }
}

/** Creates the link of an attempt. Opens no connection until it is used. */
export function createAttemptLink(connections: PeerConnections, attemptId: string, upstream: ChosenUpstream): AttemptLink {
    const { address, sidecarBootId } = upstream;
    let connection: PeerConnection | undefined;

    /** Returns a client on a connection other than the suspect one. Attempts that shared the suspect connection share its replacement. */
    function freshClient() {
        const pooled = connections.get(address);
        connection = pooled === connection ? connections.replace(address) : pooled;
        return createClient(SidecarService, connection.transport);
    }

    function currentClient() {
        connection ??= connections.get(address);
        return createClient(SidecarService, connection.transport);
    }

    function sendAcknowledge(throughSequence: number, cancel: boolean) {
        const request = { attemptId, throughSequence: BigInt(throughSequence), cancel };
        currentClient().acknowledge(request, { timeoutMs: acknowledgeTimeoutMs }).catch(() => undefined);
    }

    return {
        run: (request, onEvent, signal) => readEvents(currentClient().run(request, { signal }), onEvent),
        resume(fromSequence, onEvent, signal) {
            return readEvents(freshClient().resume({ attemptId, sidecarBootId, fromSequence: BigInt(fromSequence) }, { signal }), onEvent);
        },
        async tombstone() {
            try {
                const { state } = await freshClient().tombstone({ attemptId, sidecarBootId }, { timeoutMs: tombstoneTimeoutMs });
                return state as TombstoneState;
            }
            catch {
                return "unreachable";
            }
        },
        acknowledge: throughSequence => sendAcknowledge(throughSequence, false),
        cancel: () => sendAcknowledge(0, true),
    };
}
