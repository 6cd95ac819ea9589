/**
 * Skips the tests that KNOWN-RED.txt lists as known to fail: CI skips only these and prints them. A line has the form
 * "full title | cause | issue". A line that names no test, a fourth line or a malformed line fails the run, so that the list can't
 * grow unnoticed or outlive its tests. Outside CI nothing is skipped.
 *
 * @module
 */

import { existsSync, readFileSync } from "node:fs";

export interface KnownRed {
    readonly title: string;
    readonly cause: string;
    readonly issue: string;
}

const maxKnownRed = 3;

/** Parses the list. Throws if it is malformed, too long or names a test twice. */
export function parseKnownRed(text: string): KnownRed[] {
    const lines = text.split("\n").map(line => line.trim()).filter(line => line !== "" && !line.startsWith("#"));
    if (lines.length > maxKnownRed) {
        throw new Error(`KNOWN-RED.txt: ${lines.length} lines, ${maxKnownRed} at most`);
    }
    const entries = lines.map(line => {
        const [title, cause, issue, ...surplus] = line.split("|").map(part => part.trim());
        if (!title || !cause || !issue || surplus.length > 0) {
            throw new Error(`KNOWN-RED.txt: expected "full title | cause | issue", found "${line}"`);
        }
        return { title, cause, issue };
    });
    const titles = new Set(entries.map(entry => entry.title));
    if (titles.size < entries.length) {
        throw new Error("KNOWN-RED.txt: a test is named twice");
    }
    return entries;
}

/** Registers the root hooks that skip listed tests. Matches are counted, so that one title never covers two tests. */
export function skipKnownRed(file: string, isCi: boolean) {
    const entries = existsSync(file) ? parseKnownRed(readFileSync(file, "utf8")) : [];
    if (!isCi || entries.length === 0) {
        return;
    }
    const seen = new Map<string, number>(entries.map(entry => [entry.title, 0]));

    beforeEach(function () {
        const title = this.currentTest!.fullTitle();
        const entry = entries.find(item => item.title === title);
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
