/**
 * Checks INI text against a schema of sections. One pass reports every problem: in the syntax, in the keys and their values, and in
 * the rules between sections.
 *
 * @module
 */

import type { z } from "zod";
import { type Finding, sortFindings } from "./findings.js";
import { type IniFile, readIni } from "./iniFile.js";
import { isOptional, issueFinding, readSection, unwrapSchema } from "./section.js";

/** Sections with their values converted to the types of the schema, before validation. */
export type RawSettings<Name extends string> = Partial<Record<Name, Record<string, unknown>>>;

/** A rule between sections. It gets the unvalidated settings, so that it runs even when other values are invalid. */
export type Rule<Name extends string> = (raw: RawSettings<Name>) => { section: Name; key?: string; expected: string; found: string }[];

/** The validated settings, or every problem found. */
export type CheckedText<Output> = { readonly settings: Output } | { readonly findings: readonly Finding[] };

type Sections = z.ZodObject;

function readSections<Name extends string>(ini: IniFile, schema: Sections): { raw: RawSettings<Name>; findings: Finding[] } {
    const raw: RawSettings<Name> = {};
    const findings: Finding[] = [];
    for (const section of ini.sections.values()) {
        const sectionSchema = schema.shape[section.name];
        if (sectionSchema === undefined) {
            const expected = `one of the sections ${Object.keys(schema.shape).join(", ")}`;
            findings.push({ file: ini.file, line: section.line, section: section.name, expected, found: "an unknown section" });
            continue;
        }
        const read = readSection(ini.file, section, (unwrapSchema(sectionSchema) as z.ZodObject).shape);
        raw[section.name as Name] = read.raw;
        findings.push(...read.findings);
    }
    return { raw, findings };
}

function missingSectionFindings(ini: IniFile, schema: Sections): Finding[] {
    return Object.entries(schema.shape)
        .filter(([name, sectionSchema]) => !ini.sections.has(name) && !isOptional(sectionSchema))
        .map(([name]) => ({ file: ini.file, line: 1, section: name, expected: `a section [${name}]`, found: "nothing" }));
}

function schemaFindings(ini: IniFile, raw: object, schema: Sections): Finding[] {
    const issues = schema.safeParse(raw).error?.issues ?? [];
    return issues.flatMap(issue => {
        const [name, ...path] = issue.path;
        // `missingSectionFindings` reports absent sections.
        return path.length === 0 ? [] : [issueFinding(ini.file, String(name), ini.sections.get(String(name)), { ...issue, path })];
    });
}

function ruleFindings<Name extends string>(ini: IniFile, raw: RawSettings<Name>, rules: readonly Rule<Name>[]): Finding[] {
    return rules.flatMap(rule => rule(raw)).map(violation => {
        const section = ini.sections.get(violation.section);
        const entry = violation.key === undefined ? undefined : section?.entries.get(violation.key);
        return { file: ini.file, line: entry?.line ?? section?.line ?? 1, ...violation };
    });
}

/** Checks `text` against `schema` and `rules`; `file` is the file name in the findings. */
export function checkText<Schema extends Sections>(
    file: string, text: string, schema: Schema, rules: readonly Rule<Extract<keyof Schema["shape"], string>>[],
): CheckedText<z.infer<Schema>> {
    const ini = readIni(file, text);
    const { raw, findings } = readSections<Extract<keyof Schema["shape"], string>>(ini, schema);
    const valueFindings = [...schemaFindings(ini, raw, schema), ...ruleFindings(ini, raw, rules)];
    const allFindings = [...ini.findings, ...findings, ...missingSectionFindings(ini, schema), ...valueFindings];
    return allFindings.length > 0 ? { findings: sortFindings(allFindings) } : { settings: schema.parse(raw) };
}
