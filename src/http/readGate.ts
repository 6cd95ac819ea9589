/**
 * Pauses the reading of a connection whose bytes undici parses.
 *
 * undici pauses its parser, which then throws in an event of the socket, where nobody can catch it, if the connection ends meanwhile and
 * the answer may end with it. It also takes an answer for incomplete whose connection ends while its last bytes wait in the parser.
 *
 * @module
 */

import type { Socket } from "node:net";

export interface ReadGate {
    /** Bytes that have been handed to the parser still arrive: up to one chunk of the socket. */
    pause(): void;
    resume(): void;
}

/** Creates the gate of a socket that undici reads. */
export function createReadGate(socket: Socket): ReadGate {
    let isPaused = false;
    const read = socket.read.bind(socket);
    // undici asks for all that has come. The socket itself asks for 0 bytes to fill its buffer, until that is full.
    // eslint-disable-next-line no-restricted-syntax -- streams return it if there is nothing to read
    socket.read = bytes => isPaused && bytes === undefined ? null : read(bytes);
    return {
        pause() {
            isPaused = true;
        },
        resume() {
            if (!isPaused) {
                return;
            }
            isPaused = false;
            // The parser may be calling back now, and must not be called from there.
            queueMicrotask(() => !socket.destroyed && socket.emit("readable"));
        },
    };
}
