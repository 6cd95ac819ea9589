/**
 * Carries letters between voters: one long-lived stream for each peer and direction. Letters may be lost, and the reducer bears
 * it; what this module sees to is that a link that went silent is given up and a *new* connection opened in its place.
 *
 * @module
 */

import { type Client, type ConnectRouter, createClient } from "@connectrpc/connect";
import { create } from "@bufbuild/protobuf";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { type ConsensusEnvelope, ConsensusEnvelopeSchema, ConsensusService } from "../rpc/gen/zinnialanding/v1/consensus_pb.js";
import { type Letter, letterSchema } from "./messages.js";

/** Certificates for links between daemons, as PEM. */
export interface LinkTls {
    readonly authority: string;
    readonly certificate: string;
    readonly key: string;
}

export interface TransportOptions {
    readonly voterId: string;
    readonly tls?: LinkTls | undefined;
    /** Silence after which the other end is asked for a sign of life, and the time it has to give one. */
    readonly pingMs: number;
    readonly pingTimeoutMs: number;
    readonly backoffMinMs: number;
    readonly backoffMaxMs: number;
    /** Letters waiting for one link beyond which new ones are dropped. */
    readonly queueLetters: number;
    readonly random?: () => number;
}

export const defaultTransport = { pingMs: 1_000, pingTimeoutMs: 1_000, backoffMinMs: 50, backoffMaxMs: 1_000, queueLetters: 2_000 };

export interface Transport {
    /** Sends if the link stands or can be opened; a letter for a link in backoff is dropped. */
    send(address: string, toVoterId: string, letter: Letter): void;
    close(): void;
}

interface Link {
    send(envelope: ConsensusEnvelope): void;
    /** False once the stream is gone, also where nothing has said so: an end without an error leaves the call waiting. */
    stands(): boolean;
    close(): void;
}

/** A queue that a stream reads from; it ends when closed. */
function createOutbox(limit: number) {
    const waiting: ConsensusEnvelope[] = [];
    let wake: (() => void) | undefined;
    let closed = false;
    /** Since when letters have waited without one being read. */
    let stuckSinceMs: number | undefined;
    return {
        push(envelope: ConsensusEnvelope) {
            if (waiting.length < limit) {
                waiting.push(envelope);
            }
            stuckSinceMs ??= performance.now();
            wake?.();
        },
        /** For how long letters have waited without one being read, in ms. */
        get stuckMs() {
            return waiting.length === 0 || stuckSinceMs === undefined ? 0 : performance.now() - stuckSinceMs;
        },
        close() {
            closed = true;
            wake?.();
        },
        async* read(): AsyncGenerator<ConsensusEnvelope> {
            while (!closed) {
                const next = waiting.shift();
                stuckSinceMs = waiting.length === 0 ? undefined : performance.now();
                if (next !== undefined) {
                    yield next;
                    continue;
                }
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
                wake = undefined;
            }
        },
    };
}

/** Opens clients for other voters, each over a connection of its own. */
export function openClient(address: string, options: Pick<TransportOptions, "tls" | "pingMs" | "pingTimeoutMs">): {
    client: Client<typeof ConsensusService>;
    session: Http2SessionManager;
} {
    const { tls } = options;
    const baseUrl = `${tls === undefined ? "http" : "https"}://${address}`;
    const secure = tls === undefined ? {} : { ca: tls.authority, cert: tls.certificate, key: tls.key };
    const session = new Http2SessionManager(baseUrl, { pingIntervalMs: options.pingMs, pingTimeoutMs: options.pingTimeoutMs }, secure);
    const transport = createConnectTransport({ httpVersion: "2", baseUrl, sessionManager: session });
    return { client: createClient(ConsensusService, transport), session };
}

/** How long an ended connection is given to report its own error. */
const errorGraceMs = 1_000;

/** How long a new link may be without a connection. */
const connectGraceMs = 1_000;
/** How long letters may wait for a stream that reads none of them. */
const mostStuckMs = 3_000;

function openLink(address: string, options: TransportOptions, ended: () => void): Link {
    const { client, session } = openClient(address, options);
    const outbox = createOutbox(options.queueLetters);
    function close() {
        outbox.close();
        session.abort();
    }
    client.deliver(outbox.read()).catch(() => undefined).finally(() => {
        outbox.close();
        // A connection whose ping timed out fails its streams first and reports its own error later. Were the session ended in
        // between, nobody would listen for that error any more, and it would end the process. By then it has been heard.
        setTimeout(() => session.abort(), errorGraceMs).unref();
        ended();
    });
    const openedAtMs = performance.now();

    /**
     * A peer that ends leaves its connection closed without an error, the library's state before the first connection as well. The call
     * on it waits for good; were it taken to stand, a voter that comes back would hear nothing from this one any more. The same holds for
     * a stream that its peer ended on a connection that goes on: nothing is read for it any more.
     */
    function stands(): boolean {
        if (outbox.stuckMs > mostStuckMs) {
            return false;
        }
        const state = session.state();
        const isStarting = state === "closed" && performance.now() - openedAtMs < connectGraceMs;
        return isStarting || (state !== "closed" && state !== "idle" && state !== "error");
    }

    return { send: outbox.push, stands, close };
}

/** Creates the sending side. */
export function createTransport(options: TransportOptions): Transport {
    const links = new Map<string, Link>();
    const backoffs = new Map<string, { delayMs: number; untilMs: number; openedAtMs: number }>();
    const random = options.random ?? Math.random;
    let closed = false;

    function onEnded(address: string) {
        links.delete(address);
        const nowMs = performance.now();
        const earlier = backoffs.get(address)!;
        // A link that stood for a while failed for a new reason: begin with the shortest wait again.
        const stood = nowMs - earlier.openedAtMs > options.backoffMaxMs;
        const delayMs = stood ? options.backoffMinMs : Math.min(options.backoffMaxMs, earlier.delayMs * 2);
        backoffs.set(address, { ...earlier, delayMs, untilMs: nowMs + delayMs * (0.5 + random()) });
    }

    function linkTo(address: string): Link | undefined {
        const standing = links.get(address);
        if (standing?.stands()) {
            return standing;
        }
        if (standing !== undefined) {
            standing.close();
            onEnded(address);
        }
        const nowMs = performance.now();
        const backoff = backoffs.get(address) ?? { delayMs: options.backoffMinMs, untilMs: 0, openedAtMs: 0 };
        if (nowMs < backoff.untilMs) {
            return undefined;
        }
        backoffs.set(address, { ...backoff, openedAtMs: nowMs });
        const link = openLink(address, options, () => links.get(address) === link && onEnded(address));
        links.set(address, link);
        return link;
    }

    return {
        send(address, toVoterId, letter) {
            if (closed) {
                return;
            }
            const message = Buffer.from(JSON.stringify(letter));
            linkTo(address)?.send(create(ConsensusEnvelopeSchema, { from: options.voterId, to: toVoterId, message }));
        },
        close() {
            closed = true;
            links.forEach(link => link.close());
        },
    };
}

/** What the receiving side hands over. */
export interface Receiver {
    readonly voterId: string;
    onLetter(letter: Letter): void;
}

/** Reads one incoming stream. A letter that does not fit the schema ends the stream; the sender opens another. */
export async function receive(envelopes: AsyncIterable<ConsensusEnvelope>, receiver: Receiver): Promise<bigint> {
    let received = 0n;
    for await (const envelope of envelopes) {
        if (envelope.to === receiver.voterId) {
            const letter: unknown = JSON.parse(Buffer.from(envelope.message).toString("utf8"));
            receiver.onLetter(letterSchema.parse(letter));
        }
        received++;
    }
    return received;
}

export type ConsensusRoutes = (router: ConnectRouter) => void;
