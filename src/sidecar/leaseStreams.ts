/**
 * Transports the member leases of a replica: the leader VM opens a stream of lease requests to each member, which grants leases on it.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { LeaseAsk, LeaseGrant } from "../membership/index.js";
import {
    createPeerConnection,
    type MemberLeaseAsk,
    MemberLeaseAskSchema,
    type MemberLeaseGrant,
    MemberLeaseGrantSchema,
    type PeerCertificates,
    SidecarService,
} from "../rpc/index.js";
import { type AsyncQueue, createAsyncQueue } from "../runtime/index.js";

/** A stream without an answer for this long is closed. Two requests are outstanding by then. */
const answerTimeoutMs = 1_100;

function toAskMessage(ask: LeaseAsk): MemberLeaseAsk {
    return create(MemberLeaseAskSchema, { ...ask, epoch: BigInt(ask.epoch), nonce: BigInt(ask.nonce) });
}

function fromAskMessage(message: MemberLeaseAsk): LeaseAsk {
    return { ...message, epoch: Number(message.epoch), nonce: Number(message.nonce) };
}

function toGrantMessage(grant: LeaseGrant): MemberLeaseGrant {
    return create(MemberLeaseGrantSchema, { ...grant, epoch: BigInt(grant.epoch), nonce: BigInt(grant.nonce) });
}

function fromGrantMessage(message: MemberLeaseGrant, vmId: string): LeaseGrant {
    return { ...message, vmId, epoch: Number(message.epoch), nonce: Number(message.nonce) };
}

/** The leader VM's side: requests leases from members. */
export interface LeaseRequester {
    send(vmId: string, address: string, ask: LeaseAsk): void;
    stop(): void;
}

interface LeaseRequestStream {
    readonly asks: AsyncQueue<MemberLeaseAsk>;
    lastGrantAtMs: number;
    close(): void;
}

/**
 * Creates the leader VM's side. A link that has failed silently keeps its stream open without any answer, and the replica would stay
 * down although new connections work. A stream without answers is therefore closed, and the next request opens a new connection.
 */
export function createLeaseRequester(
    nowMs: () => number,
    onGrant: (grant: LeaseGrant) => void,
    certificates?: () => PeerCertificates | undefined,
): LeaseRequester {
    const streams = new Map<string, LeaseRequestStream>();

    function drop(vmId: string, stream: LeaseRequestStream) {
        if (streams.get(vmId) === stream) {
            streams.delete(vmId);
        }
        stream.close();
    }

    async function read(vmId: string, stream: LeaseRequestStream, grants: AsyncIterable<MemberLeaseGrant>) {
        try {
            for await (const grant of grants) {
                stream.lastGrantAtMs = nowMs();
                onGrant(fromGrantMessage(grant, vmId));
            }
        }
        catch {
            // The next request opens a new stream.
        }
        drop(vmId, stream);
    }

    function open(vmId: string, address: string): LeaseRequestStream {
        const connection = createPeerConnection(address, certificates?.());
        const abortController = new AbortController();
        const asks = createAsyncQueue<MemberLeaseAsk>();
        const stream: LeaseRequestStream = {
            asks,
            lastGrantAtMs: nowMs(),
            close() {
                asks.end();
                abortController.abort();
                connection.close();
            },
        };
        streams.set(vmId, stream);
        const client = createClient(SidecarService, connection.transport);
        void read(vmId, stream, client.memberLeases(asks, { signal: abortController.signal }));
        return stream;
    }

    return {
        send(vmId, address, ask) {
            const existing = streams.get(vmId);
            if (existing !== undefined && nowMs() - existing.lastGrantAtMs > answerTimeoutMs) {
                drop(vmId, existing);
            }
            (streams.get(vmId) ?? open(vmId, address)).asks.push(toAskMessage(ask));
        },
        stop() {
            streams.forEach(stream => stream.close());
            streams.clear();
        },
    };
}

/** The member's side: answers lease requests of leader VMs. */
export interface LeaseGranter {
    /** Serves one stream from a leader VM. */
    serve(asks: AsyncIterable<MemberLeaseAsk>): AsyncIterable<MemberLeaseGrant>;
    /** Sends a grant on the newest stream from that leader VM, or drops it if there is no stream. */
    send(toVmId: string, grant: LeaseGrant): void;
}

/** Creates the member's side. */
export function createLeaseGranter(onAsk: (ask: LeaseAsk) => void): LeaseGranter {
    const streams = new Map<string, AsyncQueue<MemberLeaseGrant>>();

    async function read(asks: AsyncIterable<MemberLeaseAsk>, grants: AsyncQueue<MemberLeaseGrant>) {
        try {
            for await (const message of asks) {
                streams.set(message.leaderVmId, grants);
                onAsk(fromAskMessage(message));
            }
        }
        catch {
            // The leader VM opens a new stream when it needs one.
        }
        grants.end();
    }

    async function* serve(asks: AsyncIterable<MemberLeaseAsk>): AsyncGenerator<MemberLeaseGrant> {
        const grants = createAsyncQueue<MemberLeaseGrant>();
        void read(asks, grants);
        try {
            yield* grants;
        }
        finally {
            for (const [vmId, queue] of streams) {
                if (queue === grants) {
                    streams.delete(vmId);
                }
            }
        }
    }

    return {
        serve,
        send(toVmId, grant) {
            streams.get(toVmId)?.push(toGrantMessage(grant));
        },
    };
}
