/**
 * Reads an INI text against a schema of sections. Everything that is wrong is found in one pass: the text, the keys and their values,
 * and what sections need of each other.
 *
 * @module
 */

import type { z } from "zod";
import { type Finding, sortFindings } from "./findings.js";
import { type IniFile, readIni } from "./iniFile.js";
import { issueFinding, mayBeAbsent, readSection, unwrap } from "./section.js";

/** Sections as read, texts turned into what their schemas ask for and not yet checked. */
export type RawSettings<Name extends string> = Partial<Record<Name, Record<string, unknown>>>;

/** A rule between sections. It reads the raw texts, so that it speaks also when other values are wrong. */
export type Rule<Name extends string> = (raw: RawSettings<Name>) => { section: Name; key?: string; expected: string; found: string }[];

/** The settings of a text, or everything that is wrong with it. */
export type CheckedText<Output> = { readonly settings: Output } | { readonly findings: readonly Finding[] };

type Sections = z.ZodObject;

function readSections<Name extends string>(ini: IniFile, schema: Sections): { raw: RawSettings<Name>; findings: Finding[] } {
    const raw: RawSettings<Name> = {};
    const findings: Finding[] = [];
    for (const section of ini.sections.values()) {
        const inner = schema.shape[section.name];
        if (inner === undefined) {
            const expected = `one of the sections ${Object.keys(schema.shape).join(", ")}`;
            findings.push({ file: ini.file, line: section.line, section: section.name, expected, found: "an unknown section" });
            continue;
        }
        const read = readSection(ini.file, section, (unwrap(inner) as z.ZodObject).shape);
        raw[section.name as Name] = read.raw;
        findings.push(...read.findings);
    }
    return { raw, findings };
}

function absentSections(ini: IniFile, schema: Sections): Finding[] {
    return Object.entries(schema.shape)
        .filter(([name, inner]) => !ini.sections.has(name) && !mayBeAbsent(inner))
        .map(([name]) => ({ file: ini.file, line: 1, section: name, expected: `a section [${name}]`, found: "nothing" }));
}

function schemaFindings(ini: IniFile, raw: object, schema: Sections): Finding[] {
    const issues = schema.safeParse(raw).error?.issues ?? [];
    return issues.flatMap(issue => {
        const [name, ...path] = issue.path;
        // An absent section has its own finding.
        return path.length === 0 ? [] : [issueFinding(ini.file, String(name), ini.sections.get(String(name)), { ...issue, path })];
    });
}

function ruleFindings<Name extends string>(ini: IniFile, raw: RawSettings<Name>, rules: readonly Rule<Name>[]): Finding[] {
    return rules.flatMap(rule => rule(raw)).map(broken => {
        const section = ini.sections.get(broken.section);
        const entry = broken.key === undefined ? undefined : section?.entries.get(broken.key);
        return { file: ini.file, line: entry?.line ?? section?.line ?? 1, ...broken };
    });
}

/** Checks `text` against `schema` and `rules`; `file` names it in the findings. */
export function checkText<Schema extends Sections>(
    file: string, text: string, schema: Schema, rules: readonly Rule<Extract<keyof Schema["shape"], string>>[],
): CheckedText<z.infer<Schema>> {
    const ini = readIni(file, text);
    const { raw, findings } = readSections<Extract<keyof Schema["shape"], string>>(ini, schema);
    const inValues = [...schemaFindings(ini, raw, schema), ...ruleFindings(ini, raw, rules)];
    const all = [...ini.findings, ...findings, ...absentSections(ini, schema), ...inValues];
    return all.length > 0 ? { findings: sortFindings(all) } : { settings: schema.parse(raw) };
}
