/**
 * The record of a run: a line for each thing that was sent, answered and run, with the time since the start.
 *
 * @module
 */

import { writeFileSync } from "node:fs";

/** Creates a record, which `write` puts into `file`. */
export function createRecord(file) {
    const startMs = performance.now();
    const lines = [];
    return {
        line(text) {
            lines.push(`${((performance.now() - startMs) / 1_000).toFixed(3).padStart(8)} s  ${text}`);
        },
        write: () => writeFileSync(file, `${lines.join("\n")}\n`),
    };
}

const [ruleHeld, ruleBroken, couldNotRun] = [0, 1, 2];

/**
 * Runs a case and ends the process: 0 if `play` resolves to undefined, 1 if it resolves to how the rule was broken, 2 if it throws.
 * `play(record, isTroubled)`; with `TROUBLE=0` in the environment there is no disruption. `cleanUp` is called in any case.
 */
export async function runCase(file, play, cleanUp) {
    const record = createRecord(file);
    const isTroubled = process.env.TROUBLE !== "0";
    let exitCode;
    // `run.sh` ends a case that takes too long.
    const stopped = new Promise((_resolve, reject) => {
        process.once("SIGTERM", () => reject(new Error("it took too long")));
    });
    try {
        const broken = await Promise.race([play(record.line, isTroubled), stopped]);
        record.line(broken === undefined ? "the rule held" : `the rule was broken: ${broken}`);
        exitCode = broken === undefined ? ruleHeld : ruleBroken;
    }
    catch (error) {
        record.line(`the case could not run: ${error.message}`);
        exitCode = couldNotRun;
    }
    await cleanUp();
    record.write();
    console.log(`exit ${exitCode}`);
    process.exit(exitCode);
}
