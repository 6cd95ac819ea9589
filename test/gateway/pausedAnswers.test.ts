import { expect } from "chai";
import type { Socket } from "node:net";
import { createConnections, type Connections, type RunningExchange } from "../../src/gateway/connections.js";
import { type RawUpstream, startRawUpstream } from "../support/rawUpstream.js";
import { waitUntil } from "../support/platformSite.js";

const heads = {
    "without a length": "HTTP/1.1 200 OK\r\n\r\n",
    "with a length on a closing connection": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\nConnection: close\r\n\r\n",
    "of HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n",
    "with a length": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n",
};
const endings: Record<string, (socket: Socket) => void> = {
    ends: socket => socket.end(),
    "is reset": socket => socket.resetAndDestroy(),
};

describe("an answer that is not read on", () => {
    let upstream: RawUpstream;
    let connections: Connections;

    afterEach(async () => {
        connections.close();
        await upstream.close();
    });

    /** Pauses the exchange at each part of its answer, and resumes it after the connection has ended. */
    async function exchangePaused(head: string, endConnection: (socket: Socket) => void) {
        upstream = await startRawUpstream((_request, socket) => {
            socket.write(`${head}part one`);
            setTimeout(() => socket.write("part two"), 20);
            setTimeout(() => endConnection(socket), 40);
        });
        connections = createConnections();
        let body = "";
        let outcome: string | undefined;
        await new Promise<void>(resolve => {
            const request = { method: "GET", path: "/", headers: [], body: undefined, needsNewConnection: true };
            const exchange: RunningExchange = connections.start(upstream.address, request, {
                head: () => undefined,
                data(chunk) {
                    body += chunk.toString();
                    exchange.pause();
                    setTimeout(() => exchange.resume(), 80);
                },
                end() {
                    outcome = body;
                    resolve();
                },
                failed() {
                    outcome = "failed";
                    resolve();
                },
            });
        });
        await waitUntil("the connection is closed", () => connections.open === 0 || connections.hasIdle(upstream.address));
        return outcome;
    }

    for (const [name, head] of Object.entries(heads)) {
        for (const [ending, endConnection] of Object.entries(endings)) {
            const isWhole = ending === "ends";
            // Guards against an exception in an event of the socket, which ends the entry.
            it(`${name} is ${isWhole ? "whole" : "broken off"} if its connection ${ending} meanwhile`, async () => {
                expect(await exchangePaused(head, endConnection)).to.equal(isWhole ? "part onepart two" : "failed");
            });
        }
    }
});
