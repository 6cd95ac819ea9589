/**
 * A runner that has just started becomes cold again before it is warm, and says so. It gets the full load while it is cold, and crashes
 * with the requests that it runs. See `claim.txt`.
 *
 * @module
 */

import { fileURLToPath } from "node:url";
import { setTimeout as pause } from "node:timers/promises";
import { sendAttempt } from "../../lib-2/client.mjs";
import { appDeadlineMs, exits, hasTrouble, host, key, manifestOf, runCase, startDeployment, zones } from "../../lib-2/deployment.mjs";
import { startRunner } from "../../lib-2/runner.mjs";
import { smallBounds } from "../../lib-2/site.mjs";

/** How long a runner is cold after its start, and what it bears then, requests a second. */
const [coldStartS, coldPerS] = [3, 10];
/** When the runner becomes cold again, after its start, and for how long. */
const [coldAgainAfterMs, coldAgainMs] = [2_000, 3_000];
/** Requests in one second that the rule allows. */
const allowed = coldPerS * smallBounds.coldOverage + smallBounds.coldSlack;
/** A cold runner crashes at a rate well above what it bears. */
const crashesAbove = 3 * coldPerS;
const requestsPerS = 80;
const [settleMs, observedMs] = [4_000, 9_000];
const msPerSecond = 1_000;

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async record => {
    const deployment = await startDeployment({ record, poolSize: 2, groups: 1, appSize: 1 });
    const { site, machines, operator, runners } = deployment;
    const addresses = machines.map(({ name }) => site.frontAddress(name));
    /** When requests began at the runner while it was cold. */
    const coldArrivals = [];
    const pending = [];
    const answers = [];
    let mostInOneSecond = 0;
    let isOver = false;
    let isCrashed = false;

    function onArrival(runner, { atMs }) {
        if (runner.id !== "i-new" || atMs >= runner.coldUntilMs) {
            return;
        }
        coldArrivals.push(atMs);
        const inLastSecond = coldArrivals.filter(at => atMs - at < msPerSecond).length;
        mostInOneSecond = Math.max(mostInOneSecond, inLastSecond);
        if (inLastSecond > crashesAbove && !isCrashed) {
            isCrashed = true;
            record.line(`${runner.id} crashes: ${inLastSecond} requests in a second while it is cold, ${runner.running} running`);
            runner.close();
        }
    }

    async function keepSending() {
        for (let number = 0; !isOver; number++) {
            const sent = { method: "POST", path: "/booking/1", host, body: "b".repeat(600), headers: { "api-key": key }, deadlineMs: appDeadlineMs };
            pending.push(sendAttempt(addresses[number % addresses.length], sent).then(answer => answers.push(answer)));
            await pause(msPerSecond / requestsPerS * (0.5 + Math.random()));
        }
    }

    try {
        const { services } = manifestOf(1);
        const changed = services.map(service => service.name === "app" ? { ...service, coldStartS, coldPerS } : service);
        if (!(await operator.publish(manifestOf(2, { services: changed }))).isAcknowledged) {
            return exits.cannotRun;
        }
        const sending = keepSending();
        await pause(settleMs);
        const added = await startRunner({
            id: "i-new", service: "app", host: site.freeHost(100), port: 8_080, zone: zones[0], controls: () => site.controlAddresses, slots: 6,
            workMs: 43, coldMs: coldStartS * msPerSecond, onArrival,
        });
        runners.push(added);
        record.line(`${added.id} starts, cold for ${coldStartS} s`);
        await pause(coldAgainAfterMs);
        if (hasTrouble) {
            added.coldUntilMs = performance.now() + coldAgainMs;
            record.line(`${added.id} is cold again for ${coldAgainMs} ms, acknowledged by ${await added.checkIn()}`);
        }
        await pause(observedMs);
        isOver = true;
        await sending;
        await Promise.all(pending);
        coldArrivals.forEach(atMs => record.line(`request at the cold runner at ${Math.round(atMs)} ms`));
        const ends = new Map();
        answers.forEach(({ status }) => ends.set(status, (ends.get(status) ?? 0) + 1));
        record.line(`answers by status: ${JSON.stringify(Object.fromEntries(ends))}`);
        const lost = answers.filter(({ id, status }) => status !== 200 && added.runs.some(run => run.id === id)).length;
        record.line(`${lost} requests that the runner had begun were lost with it`);
        const isBroken = mostInOneSecond > allowed;
        record.line(`${isBroken ? "FAILBACK" : "held"}: ${mostInOneSecond} requests in one second at the cold runner, ${allowed} are allowed`);
        return isBroken ? exits.broken : exits.held;
    }
    finally {
        isOver = true;
        await deployment.stop();
    }
});
