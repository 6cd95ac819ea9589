/**
 * One runner in trouble sends bytes without end in place of its streams' events. Requests to another service, whose runners are sound,
 * get no answer. See `claim.txt`.
 *
 * @module
 */

import { monitorEventLoopDelay } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import { setTimeout as pause } from "node:timers/promises";
import { newAttemptId, sendAttempt } from "../../lib-2/client.mjs";
import {
    appDeadlineMs, appTimeoutMs, exits, hasTrouble, host, key, model, runCase, startDeployment, streamPatienceMs, streamTimeoutMs,
} from "../../lib-2/deployment.mjs";

/** The traffic of a small installation, on all machines together. */
const [streamsPerS, bookingsPerS] = [57, 12];
const [poolSize, awaitedGroups] = [12, 5];
const [calmMs, troubleMs, settleMs] = [5_000, 8_000, 4_000];
/** Pieces of the size of a usual event, 4 Mbit/s on each channel, of the 1,000 Mbit/s that a machine's link has. */
const [pieceBytes, piecesAtOnce, pieceIntervalMs] = [64, 40, 5];
/** Half a second after the route's `timeoutMs`. */
const judgedAfterMs = appTimeoutMs + 500;
/** Fewer requests break no rule. */
const minUnanswered = 8;
const [msPerSecond, nsPerMs] = [1_000, 1e6];

/** Chunks of the body, encoded once: the stand-in is to have little work, so that it is not what makes answers late. */
const pieces = Buffer.from(`${pieceBytes.toString(16)}\r\n${"a".repeat(pieceBytes)}\r\n`.repeat(piecesAtOnce));

let isInTrouble = false;
let troubled;

/** Answers with a proper head, then with bytes that are no events, until the caller closes. */
function sendWithoutEnd(runner, message, response) {
    if (!isInTrouble || runner !== troubled) {
        return false;
    }
    response.writeHead(200, { ...runner.headersFor(message), ...runner.signature(message), "content-type": "text/event-stream" });
    response.flushHeaders();
    const { socket } = response;
    const timer = setInterval(() => {
        if (response.destroyed) {
            clearInterval(timer);
        }
        else if (!socket.writableNeedDrain) {
            socket.write(pieces);
        }
    }, pieceIntervalMs);
    return true;
}

function sendStream(address, number) {
    return sendAttempt(address, {
        method: "POST", host, path: `/draft/${number}`, body: "p".repeat(700), deadlineMs: streamTimeoutMs, patienceMs: streamPatienceMs,
        headers: {
            "api-key": key, "zinnialanding-model": model.name, "zinnialanding-token-usage": "714,60",
            "zinnialanding-prefix-hash": `5c1e07a2:40,${newAttemptId()}:674`,
        },
    });
}

const sendBooking = address => sendAttempt(address, {
    method: "POST", host, path: "/booking/1", body: "b".repeat(600), deadlineMs: appDeadlineMs, headers: { "api-key": key },
});

/** Judges requests by the rule: those unanswered at `timeoutMs`, and those of them that are half a second later. */
function judge(answers) {
    const unanswered = answers.filter(({ tookMs }) => tookMs > appTimeoutMs);
    const late = unanswered.filter(({ tookMs, status, isComplete }) => tookMs > judgedAfterMs || (status === undefined && !isComplete));
    return { sent: answers.length, unanswered: unanswered.length, late: late.length };
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async record => {
    const deployment = await startDeployment({ record, poolSize, groups: awaitedGroups, onRequest: sendWithoutEnd });
    const { site, machines } = deployment;
    const delays = monitorEventLoopDelay();
    delays.enable();
    const addresses = machines.map(({ name }) => site.frontAddress(name));
    const phases = { calm: [], trouble: [], after: [] };
    const pending = [];
    let phase = "calm";
    let isOver = false;
    const streamEnds = new Map();

    async function keepSending(perS, sendOne) {
        for (let number = 0; !isOver; number++) {
            const answers = phases[phase];
            pending.push(sendOne(addresses[number % addresses.length], number).then(answer => answers?.push(answer)));
            await pause(msPerSecond / perS * (0.5 + Math.random()));
        }
    }

    try {
        void keepSending(bookingsPerS, sendBooking);
        void keepSending(streamsPerS, async (address, number) => {
            const { status, isComplete, hasLeft } = await sendStream(address, number);
            const end = isComplete ? `status ${status}` : hasLeft ? "left after a long gap" : "channel ended without a whole answer";
            streamEnds.set(end, (streamEnds.get(end) ?? 0) + 1);
            return undefined;
        }).catch(error => record.line(error.message));
        await pause(calmMs);
        [troubled] = deployment.heads();
        phase = "trouble";
        isInTrouble = hasTrouble;
        record.line(hasTrouble ? `${troubled.id} sends bytes without end, one of ${poolSize} runners` : "no trouble");
        await pause(troubleMs);
        phase = "after";
        isInTrouble = false;
        await pause(settleMs);
        isOver = true;
        await Promise.all(pending);
        record.line(`streams: ${JSON.stringify(Object.fromEntries(streamEnds))}; this process was blocked for ${Math.round(delays.max / nsPerMs)} ms at most`);
        const runs = new Map(deployment.runners.flatMap(runner => runner.runs.map(run => [run.id, runner.id])));
        for (const [name, answers] of Object.entries(phases)) {
            const bookings = answers.filter(Boolean);
            bookings.forEach(({ id, status, tookMs }) =>
                record.line(`${name}: booking ${id}: status ${status ?? "none"} after ${Math.round(tookMs)} ms, run by ${runs.get(id) ?? "none"}`));
            record.line(`${name}: bookings ${JSON.stringify(judge(bookings))}, slowest ${Math.round(Math.max(...bookings.map(({ tookMs }) => tookMs)))} ms`);
        }
        site.ownEnds.forEach(({ name, role, code }) => record.line(`${name}/${role} ended by itself with ${code}`));
        const { unanswered, late } = judge(phases.trouble.filter(Boolean));
        const isBroken = late >= minUnanswered && late > unanswered / 2;
        record.line(isBroken ? `CONFIG: of ${unanswered} requests unanswered at timeoutMs, ${late} have no answer half a second later` : "held");
        return isBroken ? exits.broken : exits.held;
    }
    finally {
        isOver = true;
        await deployment.stop();
    }
});
