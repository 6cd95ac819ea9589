import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** One request as received on the wire. */
export interface RawRequest {
    readonly head: string;
    readonly body: string;
    header(name: string): string | undefined;
}

export interface RawUpstream {
    readonly address: string;
    readonly requests: RawRequest[];
    close(): Promise<void>;
}

/**
 * Starts an upstream whose raw responses the test writes: `respond` is called with each request, its socket and its index. It listens on
 * `port`, or on any free one.
 */
export async function startRawUpstream(
    respond: (request: RawRequest, socket: Socket, index: number) => void, port = 0,
): Promise<RawUpstream> {
    const requests: RawRequest[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        let text = "";
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            for (let end = text.indexOf("\r\n\r\n"); end >= 0; end = text.indexOf("\r\n\r\n")) {
                const head = text.slice(0, end);
                const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
                if (text.length < end + 4 + length) {
                    return;
                }
                const request: RawRequest = {
                    head,
                    body: text.slice(end + 4, end + 4 + length),
                    header: name => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim(),
                };
                text = text.slice(end + 4 + length);
                requests.push(request);
                respond(request, socket, requests.length - 1);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        requests,
        close: () => new Promise(resolve => {
            sockets.forEach(socket => socket.destroy());
            server.close(() => resolve());
        }),
    };
}

/** Writes bytes to a connection for as long as its other side takes them. Returns a function that tells how many it has taken. */
export function pourInto(socket: Socket): () => number {
    const chunk = Buffer.alloc(65_536, "x");
    const pour = () => {
        while (!socket.destroyed && socket.write(chunk)) {
            // Until the buffer is full.
        }
    };
    socket.on("drain", pour);
    pour();
    return () => socket.bytesWritten;
}
