/**
 * The RPC listener for other daemons.
 *
 * @module
 */

import { type ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createSecureServer, createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";

/** The certificates of one daemon in PEM format. Peer certificates are verified against `ca`. */
export interface PeerCertificates {
    readonly cert: string;
    readonly key: string;
    readonly ca: string;
}

/** A listener for other daemons. */
export interface RpcServer {
    /** The bound address as `host:port`. */
    readonly address: string;
    /** Replaces the certificates for new connections. */
    reloadCertificates(certificates: PeerCertificates): void;
    /** Accepts no new connections and stops once all open streams have ended, or immediately if `force` is set. */
    stop(force?: boolean): Promise<void>;
}

/** Splits an address of the form `host:port`. */
export function splitAddress(address: string): { host: string; port: number } {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function listen(server: Http2Server, address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            // A connection that can't be accepted, as without a free file descriptor, must not end the process.
            server.off("error", reject).on("error", () => undefined);
            resolve(`${host}:${(server.address() as AddressInfo).port}`);
        });
    });
}

/** Serves `routes` on `address`. With certificates, only peers with a certificate of the same authority are accepted. */
export async function createRpcServer(
    address: string,
    routes: (router: ConnectRouter) => void,
    certificates?: PeerCertificates,
): Promise<RpcServer> {
    const handler = connectNodeAdapter({ routes, acceptCompression: [] });
    const secureServer = certificates === undefined
        ? undefined
        : createSecureServer({ ...certificates, requestCert: true, rejectUnauthorized: true }, handler);
    const server = secureServer ?? createServer({}, handler);
    const openSessions = new Set<ServerHttp2Session>();
    server.on("session", session => {
        openSessions.add(session);
        session.on("close", () => openSessions.delete(session));
    });
    const boundAddress = await listen(server as Http2Server, address);
    return {
        address: boundAddress,
        reloadCertificates(newCertificates) {
            secureServer?.setSecureContext(newCertificates);
        },
        stop(force = false) {
            const closed = new Promise<void>(resolve => server.close(() => resolve()));
            for (const session of openSessions) {
                if (force) {
                    session.destroy();
                }
                else {
                    session.close();
                }
            }
            return closed;
        },
    };
}
