/**
 * Carries messages between voters: one long-lived stream per peer and direction. Messages may be lost, which the reducer tolerates.
 * This module ensures that a link that went silent is closed and replaced by a *new* connection.
 *
 * @module
 */

import { type Client, type ConnectRouter, createClient } from "@connectrpc/connect";
import { create } from "@bufbuild/protobuf";
import { createConnectTransport } from "@connectrpc/connect-node";
import { type ConsensusEnvelope, ConsensusEnvelopeSchema, ConsensusService } from "../rpc/gen/zinnialanding/v1/consensus_pb.js";
import { createSessionManager, type SessionManager } from "../rpc/sessionManager.js";
import { type AddressedMessage, addressedMessageSchema } from "./messages.js";
import { createSendQueue, type SendQueueLimits } from "./sendQueue.js";

/** PEM certificates and key for links between daemons. */
export interface LinkTls {
    readonly authority: string;
    readonly certificate: string;
    readonly key: string;
}

export interface TransportOptions extends SendQueueLimits {
    readonly voterId: string;
    readonly tls?: LinkTls | undefined;
    /** Idle time after which the peer is pinged, and the time it has to answer. */
    readonly pingMs: number;
    readonly pingTimeoutMs: number;
    readonly backoffMinMs: number;
    readonly backoffMaxMs: number;
    readonly random?: () => number;
}

export const defaultTransport = {
    pingMs: 1_000, pingTimeoutMs: 1_000, backoffMinMs: 50, backoffMaxMs: 1_000, maxQueuedMessages: 2_000, maxQueuedBytes: 4 * 1024 * 1024,
};

export interface Transport {
    /** Sends if the link is usable or can be opened; a message for a link in backoff is dropped. */
    send(address: string, toVoterId: string, addressedMessage: AddressedMessage): void;
    close(): void;
}

interface Link {
    send(envelope: ConsensusEnvelope): void;
    /** False once the stream is gone, even if no error was reported: a stream that ends without one leaves the call pending. */
    isUsable(): boolean;
    close(): void;
}

/** Opens a client for another voter, over its own connection. */
export function openClient(address: string, options: Pick<TransportOptions, "tls" | "pingMs" | "pingTimeoutMs">): {
    client: Client<typeof ConsensusService>;
    session: SessionManager;
} {
    const { tls } = options;
    const baseUrl = `${tls === undefined ? "http" : "https"}://${address}`;
    const secure = tls === undefined ? {} : { ca: tls.authority, cert: tls.certificate, key: tls.key };
    const session = createSessionManager(baseUrl, { pingIntervalMs: options.pingMs, pingTimeoutMs: options.pingTimeoutMs }, secure);
    const transport = createConnectTransport({ httpVersion: "2", baseUrl, sessionManager: session });
    return { client: createClient(ConsensusService, transport), session };
}

/** How long an ended connection may take to report its own error. */
const errorGraceMs = 1_000;

/** How long a new link may take to connect. */
const connectGraceMs = 1_000;
/** How long messages may be queued for a stream that reads none of them. */
const maxStalledMs = 3_000;

function openLink(address: string, options: TransportOptions, onEnded: () => void): Link {
    const { client, session } = openClient(address, options);
    const sendQueue = createSendQueue(options);
    function close() {
        sendQueue.close();
        session.abort();
    }
    client.deliver(sendQueue.read()).catch(() => undefined).finally(() => {
        sendQueue.close();
        // A connection whose ping timed out fails its streams first and emits its own error later. If the session were aborted in between,
        // that error would have no listener and would end the process. After the grace period it has been handled.
        setTimeout(() => session.abort(), errorGraceMs).unref();
        onEnded();
    });
    const openedAtMs = performance.now();

    /**
     * Whether messages can still get through. When a peer stops, its connection becomes "closed" without an error, which is also the
     * library's state before the first connection, and the call stays pending forever. If it counted as usable, a peer that restarts
     * would get no more messages from this voter. The same goes for a stream that the peer ended while its connection stays open:
     * messages queued for it are no longer read.
     */
    function isUsable(): boolean {
        if (sendQueue.stalledMs > maxStalledMs) {
            return false;
        }
        const state = session.state();
        const isStarting = state === "closed" && performance.now() - openedAtMs < connectGraceMs;
        return isStarting || (state !== "closed" && state !== "idle" && state !== "error");
    }

    return { send: sendQueue.push, isUsable, close };
}

/** Creates the sending side of the transport. */
export function createTransport(options: TransportOptions): Transport {
    const links = new Map<string, Link>();
    const backoffs = new Map<string, { delayMs: number; untilMs: number; openedAtMs: number }>();
    const random = options.random ?? Math.random;
    let closed = false;

    function onEnded(address: string) {
        links.delete(address);
        const nowMs = performance.now();
        const previous = backoffs.get(address)!;
        // A link that was up for a while failed for a new reason, so the backoff starts again at its minimum.
        const wasStable = nowMs - previous.openedAtMs > options.backoffMaxMs;
        const delayMs = wasStable ? options.backoffMinMs : Math.min(options.backoffMaxMs, previous.delayMs * 2);
        backoffs.set(address, { ...previous, delayMs, untilMs: nowMs + delayMs * (0.5 + random()) });
    }

    function linkTo(address: string): Link | undefined {
        const existing = links.get(address);
        if (existing?.isUsable()) {
            return existing;
        }
        if (existing !== undefined) {
            existing.close();
            onEnded(address);
        }
        const nowMs = performance.now();
        const backoff = backoffs.get(address) ?? { delayMs: options.backoffMinMs, untilMs: 0, openedAtMs: 0 };
        if (nowMs < backoff.untilMs) {
            return undefined;
        }
        backoffs.set(address, { ...backoff, openedAtMs: nowMs });
        try {
            const link: Link = openLink(address, options, () => links.get(address) === link && onEnded(address));
            links.set(address, link);
            return link;
        }
        catch {
            // No connection can be constructed to this address. Addresses come from other processes and from settings.
            onEnded(address);
            return undefined;
        }
    }

    return {
        send(address, toVoterId, addressedMessage) {
            if (closed) {
                return;
            }
            const message = Buffer.from(JSON.stringify(addressedMessage));
            linkTo(address)?.send(create(ConsensusEnvelopeSchema, { from: options.voterId, to: toVoterId, message }));
        },
        close() {
            closed = true;
            links.forEach(link => link.close());
        },
    };
}

/** Handles the messages received for a voter. */
export interface Receiver {
    readonly voterId: string;
    onMessage(addressedMessage: AddressedMessage): void;
    /** Called for the first message of a stream that can't be read. */
    onUnreadable(fromVoterId: string, reason: string): void;
}

const maxReasonChars = 300;

function decodeMessage(bytes: Uint8Array): { readonly addressedMessage: AddressedMessage } | { readonly reason: string } {
    try {
        return { addressedMessage: addressedMessageSchema.parse(JSON.parse(Buffer.from(bytes).toString("utf8"))) };
    }
    catch (error) {
        return { reason: (error as Error).message.slice(0, maxReasonChars) };
    }
}

/** Reads one incoming stream. A message that does not match the schema, such as one of a newer daemon, counts as lost. */
export async function receive(envelopes: AsyncIterable<ConsensusEnvelope>, receiver: Receiver): Promise<bigint> {
    let received = 0n;
    let hasReported = false;
    for await (const envelope of envelopes) {
        const decoded = envelope.to === receiver.voterId ? decodeMessage(envelope.message) : undefined;
        if (decoded !== undefined && "reason" in decoded) {
            if (!hasReported) {
                receiver.onUnreadable(envelope.from, decoded.reason);
            }
            hasReported = true;
        }
        else if (decoded !== undefined) {
            receiver.onMessage(decoded.addressedMessage);
        }
        received++;
    }
    return received;
}

export type ConsensusRoutes = (router: ConnectRouter) => void;
