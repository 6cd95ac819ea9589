/**
 * Parses INI text into sections and entries with line numbers. The `ini` library parses the key and value of each line, including
 * quotes and comments. Given the whole text, it would lose line numbers, silently keep the last of two equal keys and split section
 * names at dots, so this module tracks sections, lines and duplicates itself.
 *
 * @module
 */

import { parse } from "ini";
import type { Finding } from "./findings.js";

export interface IniEntry {
    readonly key: string;
    readonly value: string;
    readonly line: number;
}

export interface IniSection {
    readonly name: string;
    readonly line: number;
    readonly entries: ReadonlyMap<string, IniEntry>;
}

export interface IniFile {
    readonly file: string;
    readonly sections: ReadonlyMap<string, IniSection>;
    /** Problems in the syntax: duplicates and stray lines. */
    readonly findings: readonly Finding[];
}

interface MutableSection {
    name: string;
    line: number;
    entries: Map<string, IniEntry>;
}

const sectionPattern = /^\[([^\]]*)\]\s*(?:[;#].*)?$/;
const blankOrCommentPattern = /^(?:[;#].*)?$/;

/** Parses one `key = value` line; returns `undefined` for a line without "=" or with a key that the library rejects. */
function readEntry(text: string, line: number): IniEntry | undefined {
    const [pair] = Object.entries(parse(text, { bracketedArray: false }));
    if (pair === undefined || !text.includes("=")) {
        return undefined;
    }
    return { key: pair[0], value: String(pair[1]), line };
}

/** Splits `text` into sections; never throws, whatever the input. */
export function readIni(file: string, text: string): IniFile {
    const sections = new Map<string, MutableSection>();
    const findings: Finding[] = [];
    let current: MutableSection | undefined;

    function openSection(name: string, line: number) {
        const existing = sections.get(name);
        if (existing !== undefined) {
            findings.push({ file, line, section: name, expected: "each section once", found: `a duplicate; the first is on line ${existing.line}` });
        }
        current = existing ?? { name, line, entries: new Map() };
        sections.set(name, current);
    }

    function addEntry(entry: IniEntry) {
        if (current === undefined) {
            findings.push({ file, line: entry.line, key: entry.key, expected: "a [section] before the first key", found: "a key outside any section" });
            return;
        }
        const existing = current.entries.get(entry.key);
        if (existing !== undefined) {
            const found = `a duplicate; the first is on line ${existing.line}`;
            findings.push({ file, line: entry.line, section: current.name, key: entry.key, expected: "each key once", found });
            return;
        }
        current.entries.set(entry.key, entry);
    }

    text.replace(/^\uFEFF/, "").split(/\r?\n/).forEach((raw, index) => {
        const line = index + 1;
        const trimmed = raw.trim();
        if (blankOrCommentPattern.test(trimmed)) {
            return;
        }
        const header = sectionPattern.exec(trimmed);
        if (header) {
            openSection(header[1]!.trim(), line);
            return;
        }
        const entry = readEntry(trimmed, line);
        if (entry === undefined) {
            findings.push({ file, line, section: current?.name, expected: "[section], key = value or a comment", found: JSON.stringify(trimmed) });
            return;
        }
        addEntry(entry);
    });
    return { file, sections, findings };
}
