import { Worker } from "node:worker_threads";

const code = `
    const { workerData: { port, bytes, sent }, parentPort } = require("node:worker_threads");
    const socket = require("node:net").connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", chunk => {
        text += chunk.toString("latin1");
    });
    socket.on("error", () => undefined);
    socket.on("close", () => parentPort.postMessage(text));
    socket.write(bytes, () => {
        Atomics.store(sent, 0, 1);
        Atomics.notify(sent, 0);
    });
`;

/** What the kernel may take to deliver between two sockets of one machine that is busy. */
const deliveryMs = 200;

const words = (count: number) => new Int32Array(new SharedArrayBuffer(4 * count));

/** Holds this thread's event loop. */
export function holdLoop(forMs: number) {
    Atomics.wait(words(1), 0, 0, forMs);
}

/** Holds this thread's event loop until what was sent before has arrived, unread. */
export function letArrive() {
    holdLoop(deliveryMs);
}

/**
 * Opens a connection and sends bytes on it while this thread's event loop stands still: when the call returns, they have arrived and
 * nothing has noticed. Resolves to all that comes back until the connection closes.
 */
export function sendWhileBlocked(port: number, bytes: string): { readonly answer: Promise<string> } {
    const sent = words(1);
    const worker = new Worker(code, { eval: true, workerData: { port, bytes, sent } });
    const answer = new Promise<string>((resolve, reject) => worker.once("message", resolve).once("error", reject));
    Atomics.wait(sent, 0, 0, 10_000);
    letArrive();
    return { answer };
}
