/**
 * The HTTP/2 connections to one peer.
 *
 * @module
 */

import type { ClientHttp2Session, ClientSessionOptions, SecureClientSessionOptions } from "node:http2";
import type { createConnectTransport } from "@connectrpc/connect-node";
import { Http2SessionManager } from "@connectrpc/connect-node";

type TransportOptions = Parameters<typeof createConnectTransport>[0];
type TransportSessionManager = NonNullable<Extract<TransportOptions, { httpVersion: "2" }>["sessionManager"]>;
export type PingOptions = ConstructorParameters<typeof Http2SessionManager>[1];

export interface SessionManager extends TransportSessionManager {
    state(): ReturnType<Http2SessionManager["state"]>;
    /** Closes the connection and its streams. */
    abort(): void;
}

/**
 * Creates the manager of the connection to `baseUrl`, which is opened by the first request and again after its end.
 *
 * The library stops listening to a connection that has been destroyed as soon as the next request opens a new one. The old connection may
 * report its error only then, when its socket closes, and an error that nobody listens to ends the process.
 */
export function createSessionManager(
    baseUrl: string, pingOptions: PingOptions, sessionOptions?: ClientSessionOptions | SecureClientSessionOptions,
): SessionManager {
    const manager = new Http2SessionManager(baseUrl, pingOptions, sessionOptions);
    const heard = new WeakSet<ClientHttp2Session>();

    function hearErrors(session: ClientHttp2Session | undefined) {
        if (session !== undefined && !heard.has(session)) {
            heard.add(session);
            // The streams of the connection report the error to those who use them.
            session.on("error", () => undefined);
        }
    }

    return {
        authority: manager.authority,
        async request(method, path, headers, options) {
            const stream = await manager.request(method, path, headers, options);
            hearErrors(stream.session as ClientHttp2Session | undefined);
            return stream;
        },
        notifyResponseByteRead: stream => manager.notifyResponseByteRead(stream),
        state: () => manager.state(),
        abort: () => manager.abort(),
    };
}
