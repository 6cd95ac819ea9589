/**
 * Reads KNOWN-RED.txt, the list of what is known to fail: CI skips exactly the listed tests, and prints everything that is listed. A line
 * has the form "full title | cause | issue" for a test, "script: PATH | cause | issue" for a script that is run by hand, and
 * "soak: SEED | cause | issue" for a seed of the soak. A line that names no test or no file, a fourth line of one kind or a malformed line
 * fails the run, so that the list can't grow unnoticed or outlive its entries. Outside CI nothing is skipped.
 *
 * @module
 */

import { existsSync, readFileSync } from "node:fs";

export interface KnownRed {
    readonly kind: "test" | "script" | "soak";
    /** The full title of the test, the path of the script or the seed of the soak. */
    readonly name: string;
    readonly cause: string;
    readonly issue: string;
}

const maxOfEachKind = 3;
const kindPattern = /^(script|soak):\s*/;
const issuePattern = /^#?\d+$/;

function parseLine(line: string): KnownRed {
    const [title, cause, issue, ...surplus] = line.split("|").map(part => part.trim());
    if (!title || !cause || !issue || !issuePattern.test(issue) || surplus.length > 0) {
        throw new Error(`KNOWN-RED.txt: expected "name | cause | number of the issue", found "${line}"`);
    }
    const kind = (kindPattern.exec(title)?.[1] ?? "test") as KnownRed["kind"];
    const name = title.replace(kindPattern, "");
    if (kind === "script" && !existsSync(name)) {
        throw new Error(`KNOWN-RED.txt: there is no script "${name}"`);
    }
    if (kind === "soak" && !/^\d+$/.test(name)) {
        throw new Error(`KNOWN-RED.txt: expected a seed of the soak, found "${name}"`);
    }
    return { kind, name, cause, issue };
}

/** Parses the list. Throws if it is malformed or too long, names something twice or a script that doesn't exist. */
export function parseKnownRed(text: string): KnownRed[] {
    const lines = text.split("\n").map(line => line.trim()).filter(line => line !== "" && !line.startsWith("#"));
    const entries = lines.map(parseLine);
    for (const kind of ["test", "script", "soak"]) {
        const count = entries.filter(entry => entry.kind === kind).length;
        if (count > maxOfEachKind) {
            throw new Error(`KNOWN-RED.txt: ${count} lines of the kind "${kind}", ${maxOfEachKind} at most`);
        }
    }
    if (new Set(entries.map(({ kind, name }) => `${kind} ${name}`)).size < entries.length) {
        throw new Error("KNOWN-RED.txt: something is named twice");
    }
    return entries;
}

/** Registers the root hooks that skip listed tests. Matches are counted, so that one title never covers two tests. */
export function skipKnownRed(file: string, isCi: boolean) {
    const entries = existsSync(file) ? parseKnownRed(readFileSync(file, "utf8")) : [];
    if (!isCi || entries.length === 0) {
        return;
    }
    const tests = entries.filter(({ kind }) => kind === "test");
    const seen = new Map<string, number>(tests.map(({ name }) => [name, 0]));

    before(() => {
        for (const { kind, name, cause, issue } of entries.filter(entry => entry.kind !== "test")) {
            console.log(`KNOWN RED, run by hand: ${kind} ${name} | ${cause} | ${issue}`);
        }
    });

    beforeEach(function () {
        const title = this.currentTest!.fullTitle();
        const entry = tests.find(({ name }) => name === title);
        if (entry === undefined) {
            return;
        }
        seen.set(title, seen.get(title)! + 1);
        console.log(`KNOWN RED, not run: ${title} | ${entry.cause} | ${entry.issue}`);
        this.skip();
    });

    after(() => {
        const mismatches = [...seen].filter(([, times]) => times !== 1).map(([title, times]) => `"${title}" names ${times} tests`);
        if (mismatches.length > 0) {
            throw new Error(`KNOWN-RED.txt: ${mismatches.join("; ")}; each line names exactly one`);
        }
    });
}
