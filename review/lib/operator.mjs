/**
 * The operator: sends an order to one control daemon after the other until it is acknowledged.
 *
 * @module
 */

import { call, pause } from "./http.mjs";

const callTimeoutMs = 1_000;
const backoffMs = 200;

/** Follows redirects twice, as every caller of control does. */
async function callControl(address, options) {
    let answer = await call(address, options);
    for (let hop = 0; hop < 2 && answer.status === 307; hop++) {
        const { host, pathname } = new URL(answer.headers.location);
        answer = await call(host, { ...options, path: pathname });
    }
    return answer;
}

/** Sends an order until it is acknowledged. Returns false if that has not happened within `withinMs`. */
export async function order(addresses, path, body, withinMs) {
    const untilMs = performance.now() + withinMs;
    for (let attempt = 0; performance.now() < untilMs; attempt++) {
        const address = addresses[attempt % addresses.length];
        const headers = body === undefined ? {} : { "content-type": "application/json" };
        const { status } = await callControl(address, { method: "POST", path, body, headers, timeoutMs: callTimeoutMs });
        if (status === 200) {
            return true;
        }
        await pause(backoffMs);
    }
    return false;
}
