/**
 * Runners lose some answers for four seconds, twice. A route that was added later is refused from then on, although all runners are sound
 * again. See `claim.txt`.
 *
 * @module
 */

import { fileURLToPath } from "node:url";
import { setTimeout as pause } from "node:timers/promises";
import { sendAttempt } from "../lib-2/client.mjs";
import { appDeadlineMs, exits, hasTrouble, host, key, manifestOf, runCase, startDeployment } from "../lib-2/deployment.mjs";
import { smallBounds } from "../lib-2/site.mjs";

/** The largest dose of the small site files for `answer_lost`, how `reset`: this part of the runners, of their answers, and this long. */
const [troubledShare, lostShare, troubleMs] = [0.6, 0.4, 4_000];
const appSize = 3;
const requestsPerS = 20;
/** From this long after the trouble on, the site is in a steady state. */
const settleMs = 2 * smallBounds.contactMs;
const steadyMs = 10_000;
/** The rule asks for 20 requests at least, and for a quarter of the share that is served on the first routes. */
const [minRequests, minShare] = [20, 1 / 4];
const msPerSecond = 1_000;

const troubled = new Set();

/** Runs the request and loses its answer, as a runner in trouble does. */
function loseAnswer(runner, message, response) {
    if (!troubled.has(runner) || Math.random() >= lostShare) {
        return false;
    }
    response.socket.resetAndDestroy();
    return true;
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async record => {
    const deployment = await startDeployment({ record, poolSize: 2, groups: 1, appSize, onRequest: loseAnswer });
    const { site, machines, operator, runners } = deployment;
    const addresses = machines.map(({ name }) => site.frontAddress(name));
    const apps = runners.filter(({ service }) => service === "app");
    const phases = { trouble: [], steady: [] };
    const pending = [];
    let phase;
    let isOver = false;

    /** Sends requests on the route that was added and, by turns, on a first one. */
    async function keepSending() {
        for (let number = 0; !isOver; number++) {
            const isAdded = number % 2 === 0;
            const address = addresses[Math.floor(Math.random() * addresses.length)];
            const path = isAdded ? "/board/today" : `/reading/${number}`;
            const answers = phases[phase];
            pending.push(sendAttempt(address, { path, host, headers: { "api-key": key }, deadlineMs: appDeadlineMs })
                .then(answer => answers?.push({ ...answer, isAdded, path })));
            await pause(msPerSecond / requestsPerS * (0.5 + Math.random()));
        }
    }

    async function trouble(first) {
        const count = Math.round(troubledShare * appSize);
        const chosen = Array.from({ length: count }, (_, index) => apps[(first + index) % appSize]);
        record.line(hasTrouble ? `${chosen.map(({ id }) => id).join(" and ")} lose ${100 * lostShare} in 100 answers` : "no trouble");
        chosen.forEach(runner => hasTrouble && troubled.add(runner));
        await pause(troubleMs);
        troubled.clear();
    }

    const isServed = ({ status, isComplete }) => status === 200 && isComplete;
    const shareOf = answers => answers.filter(isServed).length / Math.max(1, answers.length);

    try {
        const { routes } = manifestOf(1);
        const reading = routes.find(({ name }) => name === "reading");
        const added = { ...reading, name: "board", pathPrefix: "/board/" };
        if (!(await operator.publish(manifestOf(2, { routes: [...routes, added] }))).isAcknowledged) {
            return exits.cannotRun;
        }
        await pause(smallBounds.configApplyMs);
        const sending = keepSending();
        await pause(settleMs);
        phase = "trouble";
        await trouble(0);
        await pause(settleMs);
        await trouble(1);
        phase = undefined;
        record.line("all runners are sound");
        await pause(settleMs);
        phase = "steady";
        await pause(steadyMs);
        isOver = true;
        await sending;
        await Promise.all(pending);
        const runIds = new Map(runners.flatMap(({ id, runs }) => runs.map(run => [run.id, id])));
        for (const [name, answers] of Object.entries(phases)) {
            answers.forEach(({ id, path, status, isComplete, body }) => record.line(`${name}: ${path} ${id}: status ${status ?? "none"}` +
                `${isComplete ? "" : ", not whole"}${status === 503 ? ` ${body}` : ""}, run by ${runIds.get(id) ?? "none"}`));
        }
        const [later, first] = [true, false].map(isAdded => phases.steady.filter(answer => answer.isAdded === isAdded));
        record.line(`steady state, route that was added: ${later.length} requests, ${later.filter(isServed).length} served`);
        record.line(`steady state, first route: ${first.length} requests, ${first.filter(isServed).length} served`);
        const isBroken = later.length >= minRequests && shareOf(later) < minShare * shareOf(first);
        record.line(isBroken ? "CONFIG: the route that was added is served less than a quarter as often" : "held");
        return isBroken ? exits.broken : exits.held;
    }
    finally {
        isOver = true;
        await deployment.stop();
    }
});
