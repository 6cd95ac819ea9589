/**
 * Client connections to other daemons.
 *
 * @module
 */

import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { PeerCertificates } from "./server.js";
import { createSessionManager } from "./sessionManager.js";

const pingIntervalMs = 2_000;
const pingTimeoutMs = 1_000;
/** A failed connection reports its error within this time. */
const errorGraceMs = 1_000;
const idleConnectionTimeoutMs = 60_000;

/** A connection to one peer. */
export interface PeerConnection {
    readonly address: string;
    readonly transport: Transport;
    /**
     * Aborts the connection and its open streams after a short delay. A connection whose ping timed out fails its streams first and emits
     * its own error afterwards. If it were aborted in between, the error would have no listener and would terminate the process.
     */
    close(): void;
}

/**
 * Creates a connection that opens on first use. Messages are not compressed, because tokens are too small to benefit from it. A link
 * whose state was lost by a middlebox stays silent forever. Pings detect this and fail its streams, so that callers can continue on a new
 * connection. Idle connections are not pinged but verified before their next use: the library starts the ping timer of an idle
 * connection when its last stream ends, even if it ends because the connection was destroyed, and pinging a destroyed connection
 * terminates the process.
 */
export function createPeerConnection(address: string, certificates?: PeerCertificates): PeerConnection {
    const baseUrl = `${certificates === undefined ? "http" : "https"}://${address}`;
    const options = { pingIntervalMs, pingTimeoutMs, pingIdleConnection: false, idleConnectionTimeoutMs };
    const sessionManager = createSessionManager(baseUrl, options, certificates === undefined ? undefined : { ...certificates });
    const transport = createConnectTransport({ baseUrl, httpVersion: "2", sessionManager, acceptCompression: [] });
    return {
        address,
        transport,
        close() {
            setTimeout(() => sessionManager.abort(), errorGraceMs).unref();
        },
    };
}

/** A pool of connections by address, which are opened when first requested. */
export interface PeerConnections {
    get(address: string): PeerConnection;
    /** Replaces the connection for an address with a new one. The old connection is not closed here. */
    replace(address: string): PeerConnection;
    closeAll(): void;
}

/** Creates an empty pool. */
export function createPeerConnections(certificates?: () => PeerCertificates | undefined): PeerConnections {
    const connections = new Map<string, PeerConnection>();
    function get(address: string): PeerConnection {
        const existing = connections.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const created = createPeerConnection(address, certificates?.());
        connections.set(address, created);
        return created;
    }
    return {
        get,
        replace(address) {
            connections.delete(address);
            return get(address);
        },
        closeAll() {
            connections.forEach(connection => connection.close());
            connections.clear();
        },
    };
}
