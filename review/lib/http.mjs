/**
 * HTTP calls of the stand-ins: one request on a new connection, with its answer or the way in which it failed.
 *
 * @module
 */

import { request } from "node:http";

export function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}

/**
 * Sends a request. Resolves to the status, headers and body; `status` is undefined if no answer began, `isComplete` false if it was cut
 * off. `timeoutMs` bounds the whole exchange.
 */
export function call(address, { method = "GET", path, headers = {}, body, timeoutMs }) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        let status;
        let answerHeaders = {};
        let text = "";
        let isOver = false;
        const finish = (isComplete, reason) => {
            if (!isOver) {
                isOver = true;
                clearTimeout(timer);
                clientRequest.destroy();
                resolve({ status, headers: answerHeaders, text, isComplete, reason });
            }
        };
        const length = body === undefined ? {} : { "content-length": Buffer.byteLength(body) };
        const clientRequest = request({ host, port, method, path, headers: { ...headers, ...length }, agent: false }, response => {
            status = response.statusCode;
            answerHeaders = response.headers;
            response.on("data", chunk => {
                text += String(chunk);
            });
            response.on("end", () => finish(response.complete, "ended"));
            response.on("error", error => finish(false, error.message));
            response.on("close", () => finish(response.complete, "closed"));
        });
        const timer = setTimeout(() => finish(false, "timeout"), timeoutMs);
        clientRequest.on("error", error => finish(false, error.message));
        clientRequest.end(body);
    });
}
