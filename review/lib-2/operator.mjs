/**
 * The operator of the pages: sends manifests and evacuations to any daemon that serves control, sends the same again without a clear
 * response, and reads the manifest back.
 *
 * @module
 */

import { request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

/** Callers of control move on to another daemon after a second without a response. */
const answerTimeoutMs = 1_000;
const maxRedirects = 2;
const [minBackoffMs, maxBackoffMs] = [50, 800];
const endingStatuses = new Set([400, 409, 412, 413, 422]);

/** Sends one call. Resolves to its status and body; the status is 0 without an answer. */
export function call(address, method, path, body, timeoutMs = answerTimeoutMs) {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const sent = request({
            host, port, method, path, agent: false, timeout: timeoutMs,
            headers: { "content-type": "application/json", ...body === undefined ? {} : { "content-length": Buffer.byteLength(body) } },
        });
        const none = error => resolve({ status: 0, text: "", error: error?.message });
        const timer = setTimeout(() => sent.destroy(new Error("no answer in time")), timeoutMs);
        sent.on("error", error => {
            clearTimeout(timer);
            none(error);
        });
        sent.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", none);
            response.on("end", () => {
                clearTimeout(timer);
                resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString(), location: response.headers.location });
            });
        });
        sent.end(body);
    });
}

async function callFollowing(address, method, path, body) {
    let answer = await call(address, method, path, body);
    for (let redirects = 0; answer.status === 307 && redirects < maxRedirects; redirects++) {
        const target = new URL(answer.location);
        answer = await call(target.host, method, target.pathname, body);
    }
    return answer;
}

/** Creates an operator who calls the daemons at `addresses`. `record` gets a line for each clear answer. */
export function createOperator(addresses, record) {
    async function order(path, body, withinMs, what) {
        const deadlineMs = performance.now() + withinMs;
        let backoffMs = minBackoffMs;
        for (let turn = Math.floor(Math.random() * addresses.length); performance.now() < deadlineMs; turn++) {
            const address = addresses[turn % addresses.length];
            const answer = await callFollowing(address, "POST", path, body);
            if (answer.status === 200 || endingStatuses.has(answer.status)) {
                record(`${what}: ${answer.status} from ${address}`);
                return { isAcknowledged: answer.status === 200, address };
            }
            await pause(backoffMs);
            backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
        }
        record(`${what}: no acknowledgement within ${withinMs} ms`);
        return { isAcknowledged: false, address: undefined };
    }

    return {
        /** Sends a manifest until it is acknowledged; resolves to whether it was, and by which daemon. */
        publish: (manifest, withinMs = 30_000) =>
            order("/api/config/put", JSON.stringify(manifest), withinMs, `manifest ${manifest.version}`),
        evacuate: (zone, withinMs = 30_000) => order(`/api/evacuations/${zone}/start`, undefined, withinMs, `evacuation of ${zone}`),
        restore: (zone, withinMs = 30_000) => order(`/api/evacuations/${zone}/end`, undefined, withinMs, `end of the evacuation of ${zone}`),
        /** Reads the manifest from one daemon. Resolves to its version; undefined without a clear answer. */
        async read(address) {
            const { status, text } = await callFollowing(address, "GET", "/api/config/get");
            return status === 200 ? JSON.parse(text).version : undefined;
        },
    };
}
