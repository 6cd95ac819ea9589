/**
 * Checks of the daemons themselves, as the operating system and their logs show them, and of what they take up.
 *
 * @module
 */

import type { ProcessRun } from "../../standin/platform/index.js";
import type { Check } from "./checks.js";

const lastLineLength = 300;

/** Whether a process has ended otherwise than by a signal that it was sent, or with status 0 after it was asked to stop. */
function hasEndedByItself({ end, endOrders }: ProcessRun): boolean {
    if (end === undefined) {
        return false;
    }
    return end.signal === undefined ? end.status !== 0 || !endOrders.includes("SIGTERM") : !endOrders.includes(end.signal);
}

function describe({ daemon, pid, startedAtMs, end, output }: ProcessRun): string {
    const how = end!.signal === undefined ? `with status ${end!.status}` : `by ${end!.signal}`;
    const lastLine = output.trimEnd().split("\n").at(-1)!.slice(0, lastLineLength);
    return `${daemon} (${pid}) ended by itself ${how} after ${Math.round(end!.atMs - startedAtMs)} ms; its last line: ${lastLine}`;
}

/** Once the faults are over, a daemon counts as disturbed without end for as long as it hasn't started. */
export const daemonsStart: Check = ({ outages }) => outages.filter(({ toMs }) => toMs === Infinity)
    .map(({ daemon }) => `${daemon} had not started by the end of the run`);

export const daemonsStay: Check = ({ processes }) => processes.filter(hasEndedByItself).map(describe);

/** A process that a signal ends can't write anything. */
export const logsSayWhy: Check = ({ processes }) => processes
    .filter(run => hasEndedByItself(run) && run.end!.signal === undefined && !run.output.includes("ending because of an exception"))
    .map(({ daemon, pid }) => `${daemon} (${pid}) ended by itself and its log has no line that says why`);

export const nothingThrows: Check = ({ processes }) => processes.flatMap(({ daemon, output }) => output.split("\n")
    .filter(line => line.includes("exception contained"))
    .map(line => `${daemon}: ${line.slice(0, lastLineLength)}`));

export const oddCheckInsAreRefused: Check = ({ oddCheckIns }) => oddCheckIns
    .filter(({ isRefusable, status }) => isRefusable && status === 200)
    .map(({ daemon, id, name }) => `${daemon} took up a check-in of ${id.slice(0, 40)} with ${name}`);
