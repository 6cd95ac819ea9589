/**
 * The callers' open connections and what each of them has carried.
 *
 * @module
 */

import type { Socket } from "node:net";

export interface CallerConnections {
    /** Notes a new connection. */
    opened(socket: Socket): void;
    /** Notes a request that has come; returns how many its connection had carried before. */
    took(socket: Socket): number;
    readonly open: number;
    /** Open connections that have carried no request yet. */
    readonly unused: number;
}

/** Creates the account of one listener. */
export function createCallerConnections(): CallerConnections {
    const carried = new Map<Socket, number>();
    const open = () => [...carried].filter(([socket]) => !socket.destroyed);
    return {
        opened(socket) {
            carried.set(socket, 0);
            socket.once("close", () => carried.delete(socket));
        },
        took(socket) {
            const before = carried.get(socket) ?? 0;
            carried.set(socket, before + 1);
            return before;
        },
        get open() {
            return open().length;
        },
        get unused() {
            return open().filter(([, count]) => count === 0).length;
        },
    };
}
