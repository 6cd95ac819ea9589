/**
 * A TCP relay between two processes to simulate link faults: connections that are reset, refused, or silent in one or
 * both directions while new connections work, and a link that is cut for a while and then delivers what was sent over it.
 *
 * @module
 */

import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";

export type Direction = "there" | "back";

interface ConnectionPair {
    readonly inbound: Socket;
    readonly outbound: Socket;
    /** Directions in which data is discarded. */
    readonly silencedDirections: Set<Direction>;
}

export interface Relay {
    readonly address: string;
    /** Discards the data of all current connections in the given directions. They stay open; later connections work. */
    silence(...directions: Direction[]): void;
    /** Resets every open connection. */
    resetConnections(): void;
    /** Sets whether data and ends of connections, open and new, are held back. What was held is delivered in order afterwards. */
    setHolding(isHolding: boolean): void;
    /** Sets whether new connections are refused. */
    setRefusing(isRefusing: boolean): void;
    /** Number of connections accepted since the start. */
    readonly acceptedCount: number;
    stop(): void;
}

/** Starts a relay to `target`, given as host:port. */
export async function startRelay(target: string): Promise<Relay> {
    const [host, port] = target.split(":") as [string, string];
    const pairs = new Set<ConnectionPair>();
    let refusesConnections = false;
    let isHolding = false;
    let acceptedCount = 0;

    function forward(from: Socket, to: Socket, direction: Direction, pair: ConnectionPair) {
        from.on("data", data => pair.silencedDirections.has(direction) || to.write(data));
        from.on("error", () => to.destroy());
        from.on("close", () => {
            if (!pair.silencedDirections.has(direction)) {
                to.destroy();
            }
            pairs.delete(pair);
        });
    }

    function hold({ inbound, outbound }: ConnectionPair) {
        [inbound, outbound].forEach(socket => isHolding ? socket.pause() : socket.resume());
    }

    const server = createServer(inbound => {
        if (refusesConnections) {
            inbound.destroy();
            return;
        }
        acceptedCount++;
        const outbound = connect(Number(port), host);
        const pair: ConnectionPair = { inbound, outbound, silencedDirections: new Set() };
        pairs.add(pair);
        hold(pair);
        forward(inbound, outbound, "there", pair);
        forward(outbound, inbound, "back", pair);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const bound = server.address() as { port: number };

    function resetConnections() {
        pairs.forEach(({ inbound, outbound }) => {
            inbound.resetAndDestroy();
            outbound.resetAndDestroy();
        });
    }

    return {
        address: `127.0.0.1:${bound.port}`,
        silence: (...directions) => pairs.forEach(pair => directions.forEach(direction => pair.silencedDirections.add(direction))),
        resetConnections,
        setHolding(holds) {
            isHolding = holds;
            pairs.forEach(hold);
        },
        setRefusing(isRefusing) {
            refusesConnections = isRefusing;
        },
        get acceptedCount() {
            return acceptedCount;
        },
        stop() {
            resetConnections();
            server.close();
        },
    };
}
