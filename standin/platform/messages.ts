/**
 * What a simulated runner reads, and the broken answers that it writes past its HTTP server.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";

/** Time between two packets, long enough for a reader to take up the first one by itself. */
const packetIntervalMs = 15;
/** How an answer says where it ends; without any of these, its end is that of the connection. */
const lengthHeaders: readonly Record<string, string>[] = [{ "content-length": "12" }, { "transfer-encoding": "chunked" }, {}, { connection: "close" }];
/** A prime that is greater than the length of a head, so that parts of all lengths come. */
const lengthStep = 10_007;
const maxPackets = 3;
let asked = 0;
let cut = 0;

export async function readBody(message: IncomingMessage): Promise<string> {
    let text = "";
    for await (const chunk of message) {
        text += String(chunk);
    }
    return text;
}

/** Returns true for every second answer. */
export function isHeadCut(): boolean {
    return asked++ % 2 === 0;
}

/** Writes a part of an answer's head, in one packet or several, and closes the connection, by turns with its end and with a reset. */
export async function writePartOfHead(socket: Socket, headers: Record<string, string>): Promise<void> {
    const turn = cut++;
    const fields = Object.entries({ ...headers, ...lengthHeaders[turn % lengthHeaders.length] }).map(([name, value]) => `${name}: ${value}\r\n`);
    const head = Buffer.from(`HTTP/1.1 200 OK\r\n${fields.join("")}\r\n`);
    const part = head.subarray(0, 1 + turn * lengthStep % (head.length - 1));
    const packetLength = Math.ceil(part.length / (1 + turn % maxPackets));
    socket.setNoDelay(true);
    for (let offset = 0; offset < part.length && !socket.destroyed; offset += packetLength) {
        socket.write(part.subarray(offset, offset + packetLength));
        await pause(packetIntervalMs);
    }
    if (Math.floor(turn / lengthHeaders.length) % 2 === 0) {
        socket.end();
    }
    else {
        socket.resetAndDestroy();
    }
}
