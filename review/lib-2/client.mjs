/**
 * A client of the pages: sends one request on a new channel, abandons a stream after a long gap, and records what it got.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { request } from "node:http";

export const newAttemptId = () => randomBytes(8).toString("hex");

/**
 * Sends one attempt. Resolves to `{ id, status, headers, body, isComplete, tookMs, sentAtMs }`; the status is undefined if the channel has
 * ended without the head of an answer. `patienceMs`: the gap, before the first event too, after which the client leaves.
 */
export function sendAttempt(address, { method = "GET", path, host, headers = {}, body, deadlineMs, patienceMs = Infinity, id = newAttemptId(), agent = false }) {
    const [ip, port] = address.split(":");
    const sentAtMs = performance.now();
    return new Promise(resolve => {
        let status;
        let answerHeaders = {};
        const chunks = [];
        let gapTimer;
        let hasLeft = false;
        const sent = request({
            host: ip, port, method, path, agent,
            headers: {
                host, "zinnialanding-attempt-id": id, "zinnialanding-deadline-ms": String(deadlineMs), ...headers,
                ...body === undefined ? {} : { "content-length": Buffer.byteLength(body) },
            },
        });
        const leave = () => {
            hasLeft = true;
            sent.destroy();
        };
        const deadline = setTimeout(leave, deadlineMs);
        const watchGap = () => {
            clearTimeout(gapTimer);
            gapTimer = patienceMs === Infinity ? undefined : setTimeout(leave, patienceMs);
        };
        let isSettled = false;
        const settle = isComplete => {
            if (isSettled) {
                return;
            }
            isSettled = true;
            clearTimeout(deadline);
            clearTimeout(gapTimer);
            resolve({
                id, status, headers: answerHeaders, body: Buffer.concat(chunks).toString(), isComplete, hasLeft, sentAtMs,
                tookMs: performance.now() - sentAtMs,
            });
        };
        watchGap();
        sent.on("error", () => settle(false));
        sent.on("close", () => settle(false));
        sent.on("response", response => {
            ({ statusCode: status, headers: answerHeaders } = response);
            response.on("data", chunk => {
                chunks.push(chunk);
                watchGap();
            });
            response.on("error", () => settle(false));
            response.on("end", () => settle(response.complete));
        });
        sent.end(body);
    });
}
